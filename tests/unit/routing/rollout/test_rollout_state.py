"""A roll-out from its order to its verdict, on a simulated service."""

import pytest

from ebonydeal._internal.benchmarks.rollouts.service_model import Case, Fault, When
from ebonydeal._internal.benchmarks.rollouts.suite import (
    EXPOSURE_BOUND,
    Variant,
    simulate,
)
from ebonydeal._internal.models.rollouts import Phase, RolloutOrder
from ebonydeal._internal.routing.rollout.rollout_state import (
    Complete,
    Continue,
    RollBack,
    RolloutState,
    ServiceEndpoints,
)
from ebonydeal._internal.routing.rollout.tally import FAILED, category_of, empty_counts

VARIANTS = [Variant("mixture", "steady"), Variant("mixture", "loaded")]
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
        "disturbed": False,
        **more,
    }
    return Case(fault, when, seed=seed, **terms)


class TestSimulated:
    @pytest.mark.parametrize("variant", VARIANTS)
    @pytest.mark.parametrize("seed", SEEDS)
    def test_a_good_version_is_completed_in_time(self, variant, seed):
        result = simulate(case(seed=seed), variant)
        assert result.phase is Phase.COMPLETED and result.decided <= 20.0

    @pytest.mark.parametrize("variant", VARIANTS)
    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("when", list(When))
    @pytest.mark.parametrize("fault", [Fault.FAILS, Fault.SLOW])
    def test_a_bad_version_is_rolled_back_within_its_bound(
        self, variant, seed, when, fault
    ):
        result = simulate(case(fault, when, seed), variant)
        assert result.phase is Phase.ROLLED_BACK
        assert result.exposed <= 1.0 and result.late <= 0.0

    @pytest.mark.parametrize("relays", [9, 195])
    def test_a_bad_version_is_rolled_back_at_any_number_of_relays(self, relays):
        result = simulate(case(Fault.FAILS, relays=relays), VARIANTS[1])
        assert result.phase is Phase.ROLLED_BACK and result.exposed <= 1.0

    def test_the_bound_is_the_default_of_relays(self):
        assert tuple(EXPOSURE_BOUND) == (0.1, 50.0)


def rollout(duration=20.0, deadline=20.0):
    return RolloutState(RolloutOrder("s", "v2", duration, 1), deadline)


def report(state, now, new=None, failing=False, rate=25):
    """Report answers of a quarter second; the old version's are usual."""
    usual = empty_counts()
    usual[category_of(0.1, 0.1)] = rate
    fresh = {}
    for endpoint_id in new or ():
        counts = empty_counts()
        counts[FAILED if failing else category_of(0.1, 0.1)] = 3
        fresh[endpoint_id] = counts
    state.add_requests({"r": rate}, 0)
    state.evidence.add({"r": usual}, {"r": fresh}, now)


class TestEndpoints:
    def test_without_new_endpoints_all_requests_stay(self):
        state = rollout()
        report(state, 1.0)
        assert state.decide(ServiceEndpoints(("a",), ()), 0.6, 1.0) == Continue({}, ())

    def test_too_few_new_endpoints_never_get_all_requests(self):
        state = rollout()
        for step in range(100):
            report(state, step * 0.25, ("b",))
            verdict = state.decide(
                ServiceEndpoints(tuple("acdef"), ("b",)), 0.6, step * 0.25
            )
            assert isinstance(verdict, Continue) and not verdict.full

    def test_an_endpoint_that_seems_faulty_is_no_canary(self):
        state = rollout()
        for step in range(20):
            report(state, step * 0.25, ("b",), failing=step > 12)
            verdict = state.decide(
                ServiceEndpoints(("a",), ("b", "c", "d")), 0.6, step * 0.25
            )
            assert isinstance(verdict, Continue)
        assert "b" not in verdict.canaries

    def test_one_faulty_endpoint_doesnt_block_a_good_version(self):
        state = rollout()
        fleet = ServiceEndpoints(("a",), ("b", "c", "d"))
        for step in range(101):
            now = step * 0.2
            report(state, now, ("c", "d"), rate=20)
            report(state, now, ("b",), failing=True, rate=20)
            verdict = state.decide(fleet, 0.6, now)
            if isinstance(verdict, Complete):
                break
        assert isinstance(verdict, Complete)

    def test_endpoints_that_start_too_late_are_tested_before_they_get_all(self):
        state = rollout()
        for step in range(105):
            report(state, step * 0.2, rate=20)
            state.decide(ServiceEndpoints(("a",), ()), 0.6, step * 0.2)
        verdicts = []
        for step in range(105, 125):
            now = step * 0.2
            report(state, now, ("b", "c"), failing=True, rate=20)
            verdicts.append(
                state.decide(ServiceEndpoints(("a",), ("b", "c")), 0.6, now)
            )
            if isinstance(verdicts[-1], RollBack):
                break
        assert isinstance(verdicts[-1], RollBack)
        assert not any(isinstance(v, Continue) and v.full for v in verdicts)

    def test_a_single_endpoint_is_enough_to_roll_back(self):
        state = rollout()
        verdicts = []
        for step in range(20):
            report(state, step * 0.25, ("b",), failing=step > 12)
            verdicts.append(
                state.decide(ServiceEndpoints(("a",), ("b",)), 0.6, step * 0.25)
            )
        assert any(isinstance(verdict, RollBack) for verdict in verdicts)


class TestWithoutOld:
    """All old endpoints are lost during a roll-out."""

    def play(self, failing):
        state = rollout()
        for step in range(20):
            report(state, step * 0.25)
            state.decide(ServiceEndpoints(("a",), ()), 0.6, step * 0.25)
        shares = []
        for step in range(20, 40):
            now = step * 0.25
            fresh = empty_counts()
            fresh[FAILED if failing else category_of(0.1, 0.1)] = 5
            state.add_requests({"r": 25}, 5)
            state.evidence.add(
                {}, {"r": {"b": fresh, "c": fresh}}, now, no_old_endpoints=True
            )
            verdict = state.decide(ServiceEndpoints((), ("b", "c")), 0.6, now)
            if isinstance(verdict, RollBack):
                return shares, verdict
            shares.append(verdict.shares["r"])
        return shares, verdict

    def test_a_good_version_soon_gets_all_requests(self):
        shares, _verdict = self.play(failing=False)
        assert shares[-1] == 1.0

    def test_a_bad_version_gets_few_requests_and_is_rolled_back(self):
        shares, verdict = self.play(failing=True)
        assert isinstance(verdict, RollBack) and not any(s == 1.0 for s in shares)


class TestCompletion:
    def play(self, in_flight):
        state = rollout()
        for step in range(0, 100):
            now = step * 0.2
            report(state, now, ("b", "c"), rate=20)
            verdict = state.decide(
                ServiceEndpoints(("a",), ("b", "c"), in_flight), 0.6, now
            )
            if isinstance(verdict, Complete):
                return now, verdict
        raise AssertionError("not completed")

    def test_waits_for_requests_in_flight_on_old_endpoints(self):
        at, verdict = self.play(in_flight=3)
        assert 20.0 - at <= 0.4 and verdict.old_in_flight == 3

    def test_doesnt_wait_longer_than_needed(self):
        at, verdict = self.play(in_flight=0)
        assert 0.3 <= 20.0 - at <= 0.8 and verdict.old_in_flight == 0
