"""Each guarantee: a log that satisfies it, and a planted violation."""

import copy

import pytest

from ebonydeal._internal.soak.checks import (
    account_limits_respected,
    check_all,
    no_requests_after_drain,
    planned_stops_interrupt_no_requests,
    refused_requests_never_run,
    runs_at_most_once,
    usage_exact,
)
from ebonydeal._internal.soak.config_checks import (
    config_in_force_in_time,
    config_never_reverts,
)
from ebonydeal._internal.soak.guarantees import Guarantees, Limit, OverloadBounds
from ebonydeal._internal.soak.plants import PLANTS
from ebonydeal._internal.soak.records import (
    ClientResult,
    FaultPeriod,
    Kind,
    LinkCutPeriod,
    ListedLeaving,
    Log,
    PublishedConfig,
    Run,
    UsageReport,
    event_count,
)
from ebonydeal._internal.soak.served_checks import served_while_links_are_cut

GUARANTEES = Guarantees(
    drain_s=2.0,
    contact_s=3.0,
    apply_s=2.0,
    usage_window_s=2.0,
    quota_window_s=2.0,
    timeout_s=5.0,
    limits=(Limit("small", 20.0),),
    overload=OverloadBounds(objective_s=0.8, recovery_s=5.0, learning_s=3.0),
)
WALL = 1_000_000.0


def make_run(
    request_id, at, endpoint="e1", relay="n1", account="large", migrated=False
):
    return Run(request_id, endpoint, relay, account, at, WALL + at, migrated)


def make_result(request_id, kind, sent, status=200, **fields):
    event_ids = ()
    if kind.is_stream and status == 200:
        event_ids = tuple(range(1, event_count(request_id) + 1))
    values = {
        "complete": True,
        "body_request_id": request_id,
        "event_ids": event_ids,
        **fields,
    }
    return ClientResult(request_id, kind, "n1", 7, sent, sent + 0.1, status, **values)


def good_log():
    """Return a log of four kinds, probes and two windows, without violations."""
    log = Log()
    kinds = (Kind.IDEMPOTENT, Kind.AT_MOST_ONCE, Kind.STREAM, Kind.RESUMABLE_STREAM)
    for number in range(40):
        at = 10.0 + number * 0.25
        request_id = f"{number:016x}"
        log.runs.append(make_run(request_id, at))
        log.results.append(make_result(request_id, kinds[number % 4], at))
    for number, version in enumerate((1, 2, 2)):
        probe = make_result(
            f"p{number:015x}", Kind.PROBE, 12.0 + number, version=version
        )
        log.results.append(probe)
    log.published_configs = [PublishedConfig(1, 9.0), PublishedConfig(2, 12.5)]
    window = int((WALL + 12.0) // GUARANTEES.usage_window_s)
    log.usage_reports = [UsageReport(window, {"large": 8}, "n1", 1)]
    return log


class TestAll:
    def test_a_good_log_has_no_violations(self):
        assert check_all(good_log(), GUARANTEES) == []

    @pytest.mark.parametrize("plant", sorted(PLANTS))
    def test_a_planted_violation_is_detected(self, plant):
        log = copy.deepcopy(good_log())
        falsify, promise = PLANTS[plant]
        falsify(log, GUARANTEES)
        assert promise in {found.promise for found in check_all(log, GUARANTEES)}


class TestRuns:
    def test_a_migrated_run_is_not_a_second_run(self):
        log = good_log()
        log.runs.append(make_run(f"{1:016x}", 11.0, "e2", migrated=True))
        assert list(runs_at_most_once(log, GUARANTEES)) == []

    def test_an_idempotent_request_may_run_twice_and_be_refused(self):
        log = good_log()
        first = next(s for s in log.results if s.kind is Kind.IDEMPOTENT)
        log.runs.append(make_run(first.request_id, 11.0))
        log.results[log.results.index(first)] = first._replace(status=503)
        assert list(runs_at_most_once(log, GUARANTEES)) == []
        assert list(refused_requests_never_run(log, GUARANTEES)) == []


class TestDrain:
    def test_a_request_within_the_drain_time_is_allowed(self):
        log = good_log()
        log.listed_leaving = [ListedLeaving("e1", log.runs[-1].at - 1.0)]
        assert list(no_requests_after_drain(log, GUARANTEES)) == []

    def test_a_relay_that_was_paused_is_excused(self):
        log = good_log()
        at = log.runs[-1].at
        log.listed_leaving = [ListedLeaving("e1", at - 5.0)]
        log.fault_periods = [FaultPeriod("pause", "n1", at - 4.0, at - 1.0)]
        assert list(no_requests_after_drain(log, GUARANTEES)) == []
        log.fault_periods = [FaultPeriod("pause", "n2", at - 4.0, at - 1.0)]
        assert list(no_requests_after_drain(log, GUARANTEES)) != []


class TestConfiguration:
    def test_a_new_process_may_start_with_an_older_version(self):
        log = good_log()
        last = log.results[-1]
        older = last._replace(pid=8, version=1, sent=20.0, ended=20.1)
        log.results.append(older)
        assert list(config_never_reverts(log, GUARANTEES)) == []

    def test_a_version_not_applied_in_time_is_a_violation(self):
        log = good_log()
        log.published_configs = [PublishedConfig(1, 9.0)]
        unknown = make_result("q" * 16, Kind.PROBE, 13.0, status=404, version=1)
        log.results.append(unknown)
        assert [v.promise for v in config_in_force_in_time(log, GUARANTEES)] == [
            "configuration"
        ]

    def test_a_route_removed_by_a_newer_version_may_be_unknown(self):
        log = good_log()
        unknown = make_result("q" * 16, Kind.PROBE, 18.0, status=404, version=1)
        log.results.append(unknown)
        assert list(config_in_force_in_time(log, GUARANTEES)) == []

    def test_a_removed_route_served_later_than_allowed_is_a_violation(self):
        log = good_log()
        for sent, violations in [(15.4, 0), (15.6, 1)]:
            served = make_result("q" * 16, Kind.PROBE, sent, version=1)
            log.results.append(served)
            assert len(list(config_in_force_in_time(log, GUARANTEES))) == violations

    @pytest.mark.parametrize(
        ("period", "excused"),
        [
            (FaultPeriod("store", "", 12.0, 15.0), True),
            (FaultPeriod("kill", "n1", 12.0, 15.0), True),
            (FaultPeriod("store", "", 12.0, 12.9), False),
            (FaultPeriod("kill", "n2", 12.0, 15.0), False),
            (FaultPeriod("link", "", 12.0, 15.0), False),
        ],
    )
    def test_only_a_recent_fault_of_the_relay_or_the_store_excuses(
        self, period, excused
    ):
        log = good_log()
        log.fault_periods = [period]
        served = make_result("q" * 16, Kind.PROBE, 16.0, version=1)
        log.results.append(served)
        found = list(config_in_force_in_time(log, GUARANTEES))
        assert (found == []) is excused


class TestLimits:
    def test_a_window_at_its_limit_is_allowed(self):
        log = Log()
        log.runs = [
            make_run(f"r{n}", 10.0 + n * 0.1, account="small") for n in range(100)
        ]
        guarantees = GUARANTEES._replace(limits=(Limit("small", 21.0),))
        assert list(account_limits_respected(log, guarantees)) == []
        assert list(account_limits_respected(log, GUARANTEES)) != []

    def test_a_token_limit_counts_tokens(self):
        log = Log()
        log.runs = [make_run(f"r{n}", 10.0 + n, account="small") for n in range(3)]
        log.tokens = {"r0": 100, "r1": 300, "r2": 50}
        for max_in_window, violated in [(450.0, False), (449.0, True)]:
            guarantees = GUARANTEES._replace(
                limits=(Limit("small", max_in_window, in_tokens=True),)
            )
            assert bool(list(account_limits_respected(log, guarantees))) is violated


class TestUsage:
    def test_a_window_that_began_before_the_log_is_skipped(self):
        log = good_log()
        window = int((WALL + 10.0) // GUARANTEES.usage_window_s) - 1
        log.usage_reports = [UsageReport(window, {"large": 500}, "n1", 1)]
        assert list(usage_exact(log, GUARANTEES)) == []

    def test_a_request_that_ran_in_two_windows_is_reported_in_one_of_them(self):
        # A second run in a later window looked like a lost count.
        log = good_log()
        earlier = [run for run in log.runs if 10.5 <= run.at < 12.0]
        log.runs += [run._replace(at=13.0, wall_time=WALL + 13.0) for run in earlier]
        report = log.usage_reports[0]
        tolerance = 4
        allowed = range(8 - tolerance, 8 + len(earlier) + tolerance + 1)
        for count in (allowed[0] - 1, allowed[0], allowed[-1], allowed[-1] + 1):
            log.usage_reports[0] = report._replace(counts={"large": count})
            found = list(usage_exact(log, GUARANTEES))
            assert bool(found) is (count not in allowed)

    def test_a_window_next_to_a_fault_is_skipped(self):
        log = good_log()
        log.usage_reports[0] = log.usage_reports[0]._replace(counts={"large": 500})
        log.fault_periods = [FaultPeriod("kill", "n2", 12.0, 13.0)]
        assert list(usage_exact(log, GUARANTEES)) == []

    def killed_at(self, at, reported):
        """Return the violations in a window with 24 requests of two relays."""
        log = good_log()
        for number in range(16):
            when = 12.0 + number * 0.125
            log.runs.append(make_run(f"{100 + number:016x}", when, relay="n2"))
        log.usage_reports[0] = log.usage_reports[0]._replace(counts={"large": reported})
        log.fault_periods = [FaultPeriod("kill", "n2", at, at + 0.5)]
        return list(usage_exact(log, GUARANTEES))

    def test_recent_counts_of_a_killed_relay_may_be_lost(self):
        assert self.killed_at(13.0, reported=24 - 11 - 5) == []

    def test_no_other_counts_may_be_lost(self):
        assert len(self.killed_at(13.0, reported=24 - 11 - 6)) == 1

    def test_counts_long_before_the_kill_may_not_be_lost(self):
        # The three requests from 12.0 to 12.25 were reported before the kill.
        assert self.killed_at(14.375, reported=24 - 13 - 5) == []
        assert len(self.killed_at(14.375, reported=24 - 16 - 5)) == 1

    def test_a_kill_excuses_no_excess_counts(self):
        assert len(self.killed_at(13.0, reported=24 + 6)) == 1


class TestStop:
    def interrupt(self, *others, seconds=0.0):
        """Return the violations if a request ends ``seconds`` after its relay."""
        log = good_log()
        victim = next(s for s in log.results if s.kind is Kind.AT_MOST_ONCE)
        log.results[log.results.index(victim)] = victim._replace(
            status=0, complete=False, ended=victim.ended + seconds
        )
        stop = FaultPeriod("stop", "n1", victim.sent, victim.ended)
        log.fault_periods = [stop, *others]
        return list(planned_stops_interrupt_no_requests(log, GUARANTEES))

    def test_a_request_interrupted_by_a_stop_alone_is_a_violation(self):
        assert len(self.interrupt()) == 1

    def test_a_request_interrupted_during_another_fault_is_excused(self):
        assert self.interrupt(FaultPeriod("crash", "", 10.0, 12.0)) == []

    def test_a_slow_reader_that_notices_it_later_is_a_violation(self):
        assert len(self.interrupt(seconds=1.0)) == 1

    def test_a_request_that_its_own_deadline_ended_is_excused(self):
        assert self.interrupt(seconds=GUARANTEES.timeout_s) == []


class TestCutLinks:
    """One relay is cut from the endpoints, the only other one has its links."""

    def log(self):
        found = Log()
        found.link_cuts = [LinkCutPeriod(("n1",), 0.0, 9.0)]
        for number in range(20):
            served = make_result(f"s{number}", Kind.IDEMPOTENT, 4.0 + 0.01 * number)
            refused = make_result(
                f"r{number}", Kind.IDEMPOTENT, 4.5 + 0.01 * number, status=503
            )
            found.results += [served._replace(relay="n2"), refused]
        return found

    def test_unserved_requests_are_a_violation_while_the_other_relay_is_well(self):
        assert list(served_while_links_are_cut(self.log(), GUARANTEES))

    def test_they_arent_once_the_other_relay_is_killed(self):
        found = self.log()
        found.fault_periods = [FaultPeriod("kill", "n2", 4.4, 8.0)]
        assert not list(served_while_links_are_cut(found, GUARANTEES))
