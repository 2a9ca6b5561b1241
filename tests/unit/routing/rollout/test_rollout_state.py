"""A roll-out from its order to its verdict, on a modelled service."""

import pytest

from ebonydeal._internal.benchmarks.rollouts.suite import BOUND, Ways, play
from ebonydeal._internal.benchmarks.rollouts.world import Case, Fault, When
from ebonydeal._internal.models.rollouts import Phase, RolloutOrder
from ebonydeal._internal.routing.rollout.rollout_state import (
    Complete,
    Continue,
    RollBack,
    RolloutState,
    ServiceEndpoints,
)
from ebonydeal._internal.routing.rollout.tally import FAILED, category_of, empty

WAYS = [Ways("mixture", "steady"), Ways("mixture", "loaded")]
SEEDS = range(4)


def case(fault=Fault.NONE, when=When.AT_ONCE, seed=0, **more):
    terms = {
        "strength": 0.5,
        "factor": 5.0,
        "rates": (90.0, 110.0, 30.0),
        "duration": 20.0,
        "relays": 68,
        "boot": 1.5,
        "old": 6,
        "new": 6,
        "storm": False,
        **more,
    }
    return Case(fault, when, seed=seed, **terms)


class TestModelled:
    @pytest.mark.parametrize("ways", WAYS)
    @pytest.mark.parametrize("seed", SEEDS)
    def test_a_good_version_is_completed_in_time(self, ways, seed):
        came = play(case(seed=seed), ways)
        assert came.phase is Phase.COMPLETED and came.decided <= 20.0

    @pytest.mark.parametrize("ways", WAYS)
    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("when", list(When))
    @pytest.mark.parametrize("fault", [Fault.FAILS, Fault.SLOW])
    def test_a_bad_one_is_rolled_back_within_its_bound(self, ways, seed, when, fault):
        came = play(case(fault, when, seed), ways)
        assert came.phase is Phase.ROLLED_BACK
        assert came.exposed <= 1.0 and came.late <= 0.0

    @pytest.mark.parametrize("relays", [9, 195])
    def test_a_bad_one_at_any_number_of_relays(self, relays):
        came = play(case(Fault.FAILS, relays=relays), WAYS[1])
        assert came.phase is Phase.ROLLED_BACK and came.exposed <= 1.0

    def test_the_bound_is_the_deployments(self):
        assert tuple(BOUND) == (0.1, 50.0)


def course(duration=20.0, until=20.0):
    return RolloutState(RolloutOrder("s", "v2", duration, 1), until)


def told(found, now, new=None, failing=False, rate=25):
    """Tell a quarter second of answers, all of them usual."""
    usual = empty()
    usual[category_of(0.1, 0.1)] = rate
    fresh = {}
    for endpoint_id in new or ():
        counts = empty()
        counts[FAILED if failing else category_of(0.1, 0.1)] = 3
        fresh[endpoint_id] = counts
    found.add_requests({"r": rate}, 0)
    found.evidence.add({"r": usual}, {"r": fresh}, now)


class TestFleet:
    def test_without_new_endpoints_nothing_goes_over(self):
        found = course()
        told(found, 1.0)
        assert found.decide(ServiceEndpoints(("a",), ()), 0.6, 1.0) == Continue({}, ())

    def test_too_few_of_them_never_get_all(self):
        found = course()
        for step in range(100):
            told(found, step * 0.25, ("b",))
            verdict = found.decide(
                ServiceEndpoints(tuple("acdef"), ("b",)), 0.6, step * 0.25
            )
            assert isinstance(verdict, Continue) and not verdict.full

    def test_one_that_seems_ill_goes_last(self):
        found = course()
        for step in range(20):
            told(found, step * 0.25, ("b",), failing=step > 12)
            verdict = found.decide(
                ServiceEndpoints(("a",), ("b", "c", "d")), 0.6, step * 0.25
            )
            assert isinstance(verdict, Continue)
        assert "b" not in verdict.canaries

    def test_one_ill_endpoint_doesnt_keep_a_good_version_back(self):
        found = course()
        fleet = ServiceEndpoints(("a",), ("b", "c", "d"))
        for step in range(101):
            now = step * 0.2
            told(found, now, ("c", "d"), rate=20)
            told(found, now, ("b",), failing=True, rate=20)
            verdict = found.decide(fleet, 0.6, now)
            if isinstance(verdict, Complete):
                break
        assert isinstance(verdict, Complete)

    def test_endpoints_that_come_too_late_are_judged_first(self):
        found = course()
        for step in range(105):
            told(found, step * 0.2, rate=20)
            found.decide(ServiceEndpoints(("a",), ()), 0.6, step * 0.2)
        looks = []
        for step in range(105, 125):
            now = step * 0.2
            told(found, now, ("b", "c"), failing=True, rate=20)
            looks.append(found.decide(ServiceEndpoints(("a",), ("b", "c")), 0.6, now))
            if isinstance(looks[-1], RollBack):
                break
        assert isinstance(looks[-1], RollBack)
        assert not any(isinstance(look, Continue) and look.full for look in looks)

    def test_the_only_one_speaks_for_all(self):
        found = course()
        verdicts = []
        for step in range(20):
            told(found, step * 0.25, ("b",), failing=step > 12)
            verdicts.append(
                found.decide(ServiceEndpoints(("a",), ("b",)), 0.6, step * 0.25)
            )
        assert any(isinstance(verdict, RollBack) for verdict in verdicts)


class TestAlone:
    """All old endpoints are lost amid a roll-out."""

    def play(self, failing):
        found = course()
        for step in range(20):
            told(found, step * 0.25)
            found.decide(ServiceEndpoints(("a",), ()), 0.6, step * 0.25)
        shares = []
        for step in range(20, 40):
            now = step * 0.25
            fresh = empty()
            fresh[FAILED if failing else category_of(0.1, 0.1)] = 5
            found.add_requests({"r": 25}, 5)
            found.evidence.add({}, {"r": {"b": fresh, "c": fresh}}, now, alone=True)
            verdict = found.decide(ServiceEndpoints((), ("b", "c")), 0.6, now)
            if isinstance(verdict, RollBack):
                return shares, verdict
            shares.append(verdict.shares["r"])
        return shares, verdict

    def test_a_good_version_serves_all_soon(self):
        shares, _verdict = self.play(failing=False)
        assert shares[-1] == 1.0

    def test_a_bad_one_gets_little_and_is_rolled_back(self):
        shares, verdict = self.play(failing=True)
        assert isinstance(verdict, RollBack) and not any(s == 1.0 for s in shares)


class TestCompletion:
    def play(self, running):
        found = course()
        for step in range(0, 100):
            now = step * 0.2
            told(found, now, ("b", "c"), rate=20)
            verdict = found.decide(
                ServiceEndpoints(("a",), ("b", "c"), running), 0.6, now
            )
            if isinstance(verdict, Complete):
                return now, verdict
        raise AssertionError("not completed")

    def test_waits_for_what_runs_on_old_endpoints(self):
        at, verdict = self.play(running=3)
        assert 20.0 - at <= 0.4 and verdict.old_in_flight == 3

    def test_doesnt_wait_longer_than_needed(self):
        at, verdict = self.play(running=0)
        assert 0.3 <= 20.0 - at <= 0.8 and verdict.old_in_flight == 0
