"""What part of the requests a new version gets."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonydeal._internal.routing.rollout.exposure import (
    Exposure,
    ExposureBound,
    LoadedPlan,
    SteadyPlan,
    last_stage_s,
)

BOUND = ExposureBound(0.1, 50.0)
NEW = tuple(f"b{n}" for n in range(10))
PLANS = [SteadyPlan(), LoadedPlan()]


def exposure(requests=1000.0, exposed=0.0, rates=None, time_left=10.0, duration=None):
    """Return an exposure; without a ``duration`` no time has elapsed."""
    elapsed = 0.0 if duration is None else duration - time_left
    return Exposure(requests, exposed, rates or {"r": 100.0}, time_left, 0.6, elapsed)


class TestCanaryStage:
    @pytest.mark.parametrize("plan", PLANS)
    @given(
        requests=st.floats(0, 1e5),
        exposed=st.floats(0, 1e4),
        rates=st.lists(st.floats(0, 3000), min_size=1, max_size=5),
        time_left=st.floats(-5, 60),
        old=st.integers(1, 40),
    )
    def test_shares_are_valid_and_stay_within_the_bound(
        self, plan, requests, exposed, rates, time_left, old
    ):
        by_route = {f"r{n}": rate for n, rate in enumerate(rates)}
        at = exposure(requests, exposed, by_route, time_left, duration=60.0)
        traffic = plan.canary_traffic(BOUND, at, old, NEW)
        assert all(0.0 <= share <= 0.5 for share in traffic.shares.values())
        rate = sum(by_route[r] * share for r, share in traffic.shares.items())
        remaining = BOUND.share * requests + BOUND.slack - exposed
        assert rate * at.lag <= max(0.0, remaining) + 1e-6

    @pytest.mark.parametrize("plan", PLANS)
    def test_nothing_goes_over_once_the_canary_part_of_the_bound_is_used(self, plan):
        traffic = plan.canary_traffic(
            BOUND, exposure(exposed=200.0, duration=20.0), 10, NEW
        )
        assert sum(traffic.shares.values()) == 0.0

    def test_each_route_gets_the_same_rate(self):
        rates = {"often": 200.0, "seldom": 40.0}
        shares = (
            SteadyPlan()
            .canary_traffic(BOUND, exposure(rates=rates, duration=20.0), 10, NEW)
            .shares
        )
        assert shares["often"] * 200.0 == pytest.approx(shares["seldom"] * 40.0)

    def test_one_canary_at_a_time_gets_a_full_load_in_bursts(self):
        rates = {"r": 90.0}
        steps = [
            LoadedPlan().canary_traffic(
                BOUND,
                exposure(rates=rates, time_left=20.0 - t / 5, duration=20.0),
                3,
                NEW,
            )
            for t in range(60)
        ]
        loads = [step.shares.get("r", 0.0) * 90.0 for step in steps if step.canaries]
        assert max(loads) >= 30.0
        assert all(len(step.canaries) <= 1 for step in steps)
        assert any(not step.canaries for step in steps)

    def test_the_bursts_go_to_one_canary_after_the_other(self):
        rates = {"r": 90.0}
        canaries = {
            LoadedPlan()
            .canary_traffic(
                BOUND, exposure(rates=rates, time_left=left, duration=30.0), 3, NEW
            )
            .canaries
            for left in (t / 10 for t in range(300))
        }
        assert len(canaries - {()}) == 3


class TestLastStage:
    @given(
        requests=st.floats(0, 1e6),
        rate=st.floats(0.1, 3000),
        time_left=st.floats(0, 30),
        used=st.floats(0, 1),
    )
    def test_the_bound_holds_even_if_all_of_it_is_bad(
        self, requests, rate, time_left, used
    ):
        exposed = used * (BOUND.share * requests + BOUND.slack)
        length = last_stage_s(
            BOUND, exposure(requests, exposed, {"r": rate}, time_left)
        )
        total = requests + rate * time_left
        after = exposed + rate * min(length, time_left)
        assert after <= max(exposed, BOUND.share * total + BOUND.slack) + 1e-6

    def test_it_is_shorter_the_more_of_the_bound_was_used(self):
        assert last_stage_s(BOUND, exposure(exposed=60.0)) < last_stage_s(
            BOUND, exposure()
        )
