"""Each promise: a log that keeps it, and the planted fault that breaks it."""

import copy

import pytest

from ebonydeal._internal.soak.checks import (
    check_all,
    config_never_back,
    drained,
    refusals_true,
    run_once,
    stops_cut_nothing,
    usage_exact,
    within_limits,
)
from ebonydeal._internal.soak.plants import PLANTS
from ebonydeal._internal.soak.records import (
    Kind,
    Leave,
    Log,
    Publish,
    Report,
    Run,
    Seen,
    Trouble,
    event_count,
)
from ebonydeal._internal.soak.terms import Limit, Terms

TERMS = Terms(
    drain=2.0,
    apply=2.0,
    usage_window=2.0,
    quota_window=2.0,
    limits=(Limit("small", 20.0),),
)
WALL = 1_000_000.0


def run(request_id, at, endpoint="e1", relay="n1", account="large", carried=False):
    return Run(request_id, endpoint, relay, account, at, WALL + at, carried)


def seen(request_id, kind, sent, status=200, **more):
    numbers = ()
    if kind.is_stream and status == 200:
        numbers = tuple(range(1, event_count(request_id) + 1))
    values = {"whole": True, "body_id": request_id, "numbers": numbers, **more}
    return Seen(request_id, kind, "n1", 7, sent, sent + 0.1, status, **values)


def good_log():
    """Return a log of four kinds, probes and two windows, with nothing wrong."""
    log = Log()
    kinds = (Kind.SAFE, Kind.ONCE, Kind.LIVE, Kind.AGAIN)
    for number in range(40):
        at = 10.0 + number * 0.25
        request_id = f"{number:016x}"
        log.runs.append(run(request_id, at))
        log.seen.append(seen(request_id, kinds[number % 4], at))
    for number, version in enumerate((1, 2, 2)):
        probe = seen(f"p{number:015x}", Kind.PROBE, 12.0 + number, version=version)
        log.seen.append(probe)
    log.published = [Publish(1, 9.0), Publish(2, 12.5)]
    window = int((WALL + 12.0) // TERMS.usage_window)
    log.reports = [Report(window, {"large": 8}, "n1", 1)]
    return log


class TestAll:
    def test_a_good_log_breaks_nothing(self):
        assert check_all(good_log(), TERMS) == []

    @pytest.mark.parametrize("plant", sorted(PLANTS))
    def test_a_planted_fault_is_seen(self, plant):
        log = copy.deepcopy(good_log())
        falsify, promise = PLANTS[plant]
        falsify(log, TERMS)
        assert promise in {found.promise for found in check_all(log, TERMS)}


class TestRuns:
    def test_going_on_with_memory_is_the_same_run(self):
        log = good_log()
        log.runs.append(run(f"{1:016x}", 11.0, "e2", carried=True))
        assert list(run_once(log, TERMS)) == []

    def test_a_repeatable_request_may_run_twice_and_be_refused(self):
        log = good_log()
        first = next(s for s in log.seen if s.kind is Kind.SAFE)
        log.runs.append(run(first.request_id, 11.0))
        log.seen[log.seen.index(first)] = first._replace(status=503)
        assert list(run_once(log, TERMS)) == []
        assert list(refusals_true(log, TERMS)) == []


class TestDrain:
    def test_early_enough_is_no_fault(self):
        log = good_log()
        log.leaves = [Leave("e1", log.runs[-1].at - 1.0)]
        assert list(drained(log, TERMS)) == []

    def test_a_relay_that_was_paused_is_excused(self):
        log = good_log()
        at = log.runs[-1].at
        log.leaves = [Leave("e1", at - 5.0)]
        log.troubles = [Trouble("pause", "n1", at - 4.0, at - 1.0)]
        assert list(drained(log, TERMS)) == []
        log.troubles = [Trouble("pause", "n2", at - 4.0, at - 1.0)]
        assert list(drained(log, TERMS)) != []


class TestConfiguration:
    def test_a_new_process_may_begin_with_an_older_version(self):
        log = good_log()
        last = log.seen[-1]
        older = last._replace(pid=8, version=1, sent=20.0, ended=20.1)
        log.seen.append(older)
        assert list(config_never_back(log, TERMS)) == []

    def test_a_version_that_is_still_unknown_after_its_time(self):
        log = good_log()
        log.published = [Publish(1, 9.0)]
        unknown = seen("q" * 16, Kind.PROBE, 13.0, status=404, version=1)
        log.seen.append(unknown)
        assert [v.promise for v in config_never_back(log, TERMS)] == ["configuration"]

    def test_a_route_that_a_newer_version_dropped_is_rightly_unknown(self):
        log = good_log()
        unknown = seen("q" * 16, Kind.PROBE, 18.0, status=404, version=1)
        log.seen.append(unknown)
        assert list(config_never_back(log, TERMS)) == []


class TestLimits:
    def test_a_full_window_is_no_fault(self):
        log = Log()
        log.runs = [run(f"r{n}", 10.0 + n * 0.1, account="small") for n in range(100)]
        terms = TERMS._replace(limits=(Limit("small", 21.0),))
        assert list(within_limits(log, terms)) == []
        assert list(within_limits(log, TERMS)) != []

    def test_tokens_count_by_their_number(self):
        log = Log()
        log.runs = [run(f"r{n}", 10.0 + n, account="small") for n in range(3)]
        log.tokens = {"r0": 100, "r1": 300, "r2": 50}
        for most, broken in [(450.0, False), (449.0, True)]:
            terms = TERMS._replace(limits=(Limit("small", most, in_tokens=True),))
            assert bool(list(within_limits(log, terms))) is broken


class TestUsage:
    def test_a_window_that_began_before_the_log_is_left_out(self):
        log = good_log()
        window = int((WALL + 10.0) // TERMS.usage_window) - 1
        log.reports = [Report(window, {"large": 500}, "n1", 1)]
        assert list(usage_exact(log, TERMS)) == []

    def test_so_is_one_beside_trouble(self):
        log = good_log()
        log.reports[0] = log.reports[0]._replace(counts={"large": 500})
        log.troubles = [Trouble("kill", "n2", 12.0, 13.0)]
        assert list(usage_exact(log, TERMS)) == []

    def killed_at(self, at, told):
        """Return what is found in a window of two relays' requests, 24 in all."""
        log = good_log()
        for number in range(16):
            when = 12.0 + number * 0.125
            log.runs.append(run(f"{100 + number:016x}", when, relay="n2"))
        log.reports[0] = log.reports[0]._replace(counts={"large": told})
        log.troubles = [Trouble("kill", "n2", at, at + 0.5)]
        return list(usage_exact(log, TERMS))

    def test_what_a_killed_relay_had_just_counted_may_be_lost(self):
        assert self.killed_at(13.0, told=24 - 11 - 5) == []

    def test_nothing_else_may_be_lost(self):
        assert len(self.killed_at(13.0, told=24 - 11 - 6)) == 1

    def test_what_was_counted_long_before_the_kill_is_known(self):
        # The three requests from 12.0 to 12.25 were told before.
        assert self.killed_at(14.375, told=24 - 13 - 5) == []
        assert len(self.killed_at(14.375, told=24 - 16 - 5)) == 1

    def test_a_kill_excuses_no_surplus(self):
        assert len(self.killed_at(13.0, told=24 + 6)) == 1


class TestStop:
    def cut(self, *others):
        log = good_log()
        victim = next(s for s in log.seen if s.kind is Kind.ONCE)
        log.seen[log.seen.index(victim)] = victim._replace(status=0, whole=False)
        stop = Trouble("stop", "n1", victim.sent, victim.ended)
        log.troubles = [stop, *others]
        return list(stops_cut_nothing(log, TERMS))

    def test_a_cut_by_the_stop_alone_is_a_fault(self):
        assert len(self.cut()) == 1

    def test_not_beside_other_trouble(self):
        assert self.cut(Trouble("crash", "", 10.0, 12.0)) == []
