"""What part of the requests a new version gets."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonydeal._internal.routing.rollout.exposure import (
    Exposure,
    ExposureBound,
    LoadedPlan,
    SteadyPlan,
    last_step,
)

BOUND = ExposureBound(0.1, 50.0)
NEW = tuple(f"b{n}" for n in range(10))
PLANS = [SteadyPlan(), LoadedPlan()]


def spent(requests=1000.0, exposed=0.0, rates=None, left=10.0, duration=None):
    """Return what was used; without a ``duration`` nothing has passed."""
    elapsed = 0.0 if duration is None else duration - left
    return Exposure(requests, exposed, rates or {"r": 100.0}, left, 0.6, elapsed)


class TestEarly:
    @pytest.mark.parametrize("plan", PLANS)
    @given(
        requests=st.floats(0, 1e5),
        exposed=st.floats(0, 1e4),
        rates=st.lists(st.floats(0, 3000), min_size=1, max_size=5),
        left=st.floats(-5, 60),
        old=st.integers(1, 40),
    )
    def test_shares_are_parts_and_stay_in_what_is_left(
        self, plan, requests, exposed, rates, left, old
    ):
        by_route = {f"r{n}": rate for n, rate in enumerate(rates)}
        at = spent(requests, exposed, by_route, left, duration=60.0)
        early = plan.early(BOUND, at, old, NEW)
        assert all(0.0 <= share <= 0.5 for share in early.shares.values())
        a_second = sum(by_route[r] * share for r, share in early.shares.items())
        room = BOUND.share * requests + BOUND.slack - exposed
        assert a_second * at.lag <= max(0.0, room) + 1e-6

    @pytest.mark.parametrize("plan", PLANS)
    def test_nothing_goes_over_once_the_early_part_is_used_up(self, plan):
        early = plan.early(BOUND, spent(exposed=200.0, duration=20.0), 10, NEW)
        assert sum(early.shares.values()) == 0.0

    def test_each_route_gets_as_many(self):
        rates = {"often": 200.0, "seldom": 40.0}
        shares = (
            SteadyPlan().early(BOUND, spent(rates=rates, duration=20.0), 10, NEW).shares
        )
        assert shares["often"] * 200.0 == pytest.approx(shares["seldom"] * 40.0)

    def test_a_usual_load_is_carried_in_bursts_by_one_endpoint(self):
        rates = {"r": 90.0}
        looks = [
            LoadedPlan().early(
                BOUND, spent(rates=rates, left=20.0 - t / 5, duration=20.0), 3, NEW
            )
            for t in range(60)
        ]
        loads = [look.shares.get("r", 0.0) * 90.0 for look in looks if look.canaries]
        assert max(loads) >= 30.0
        assert all(len(look.canaries) <= 1 for look in looks)
        assert any(not look.canaries for look in looks)

    def test_one_endpoint_after_the_other_carries_it(self):
        rates = {"r": 90.0}
        asked = {
            LoadedPlan()
            .early(BOUND, spent(rates=rates, left=left, duration=30.0), 3, NEW)
            .canaries
            for left in (t / 10 for t in range(300))
        }
        assert len(asked - {()}) == 3


class TestLastStep:
    @given(
        requests=st.floats(0, 1e6),
        rate=st.floats(0.1, 3000),
        left=st.floats(0, 30),
        used=st.floats(0, 1),
    )
    def test_even_if_all_of_it_is_bad_the_bound_holds(self, requests, rate, left, used):
        exposed = used * (BOUND.share * requests + BOUND.slack)
        step = last_step(BOUND, spent(requests, exposed, {"r": rate}, left))
        whole = requests + rate * left
        after = exposed + rate * min(step, left)
        assert after <= max(exposed, BOUND.share * whole + BOUND.slack) + 1e-6

    def test_it_is_shorter_the_more_was_used(self):
        assert last_step(BOUND, spent(exposed=60.0)) < last_step(BOUND, spent())
