import math
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonydeal._internal.controller.placement import PlacementConfig, place
from ebonydeal._internal.controller.values import OfferKey, offers_by_key
from ebonydeal._internal.outside.interfaces import Offer

CONFIG = PlacementConfig()
ZONES = ("a", "b", "c", "d")


def offer(zone: str, price: float, reclaimable: bool = True, name: str = "l") -> Offer:
    return Offer(zone, name, reclaimable, price, 0.0, 8)


def zone_loss_capacity(counts) -> int:
    zones = Counter()
    for key, number in counts.items():
        zones[key.zone] += number
    return sum(zones.values()) - max(zones.values(), default=0)


def brute_force(target: int, prices: dict[str, float]) -> float:
    """Return the minimum cost over all splits; only for few zones and replicas."""
    zones = sorted(prices)
    best = math.inf

    def split(index: int, counts: tuple[int, ...]) -> None:
        nonlocal best
        if index == len(zones):
            if sum(counts) - max(counts) >= target:
                cost = sum(n * prices[z] for n, z in zip(counts, zones, strict=True))
                best = min(best, cost)
            return
        for number in range(target + 1):
            split(index + 1, (*counts, number))

    split(0, ())
    return best


offers_strategy = st.lists(
    st.builds(
        offer,
        st.sampled_from(ZONES),
        st.floats(0.1, 20.0),
        st.booleans(),
        st.sampled_from(("l", "m")),
    ),
    max_size=12,
)


@st.composite
def placement_cases(draw):
    offers = offers_by_key(draw(offers_strategy))
    keys = sorted(offers)
    current = {key: draw(st.integers(0, 6)) for key in keys}
    blocked = {key for key in keys if draw(st.booleans())}
    ceiling = draw(st.one_of(st.just(math.inf), st.floats(0.0, 300.0)))
    return draw(st.integers(1, 12)), offers, current, blocked, ceiling


class TestPlaceAlways:
    @given(placement_cases())
    def test_ceiling_holds_and_blocked_keys_do_not_grow(self, case):
        target, offers, current, blocked, ceiling = case
        found = place(target, offers, current, blocked, ceiling, CONFIG)
        cost = sum(n * offers[key].price_per_hour for key, n in found.counts.items())
        assert cost <= ceiling + 1e-6
        assert found.cost_per_hour == pytest.approx(cost)
        assert found.zone_loss_capacity == zone_loss_capacity(found.counts)
        for key in blocked:
            assert found.counts.get(key, 0) <= current[key]

    @given(placement_cases())
    def test_target_survives_a_zone_loss_with_offers_in_two_zones(self, case):
        target, offers, current, blocked, _ceiling = case
        zones = {key.zone for key in offers if key not in blocked}
        found = place(target, offers, current, blocked, math.inf, CONFIG)
        if len(zones) >= 2:
            assert found.zone_loss_capacity >= target
        elif zones:
            assert sum(found.counts.values()) >= target

    @given(st.integers(1, 6), st.lists(st.floats(0.5, 9.0), min_size=2, max_size=3))
    def test_cost_is_minimal(self, target, prices):
        by_zone = dict(zip(ZONES, prices, strict=False))
        offers = offers_by_key([offer(z, price) for z, price in by_zone.items()])
        found = place(target, offers, {}, set(), math.inf, CONFIG)
        assert found.cost_per_hour == pytest.approx(brute_force(target, by_zone))

    @given(placement_cases(), st.integers(0, 20))
    def test_total_stays_within_the_maximum(self, case, max_total):
        target, offers, current, blocked, ceiling = case
        found = place(
            target, offers, current, blocked, ceiling, CONFIG, 1.0, float(max_total)
        )
        assert sum(found.counts.values()) <= max_total


class TestPlace:
    def test_large_target_costs_the_same_as_trying_every_cap(self):
        prices = {"a": 1.0, "b": 1.7, "c": 4.0}
        offers = offers_by_key([offer(z, price) for z, price in prices.items()])
        found = place(300, offers, {}, set(), math.inf, CONFIG)
        every_cap = [
            cap * 1.0 + cap * 1.7 + max(0, 300 - cap) * 4.0 for cap in range(150, 301)
        ]
        assert found.cost_per_hour == pytest.approx(min(every_cap))

    def test_replicas_prevented_by_the_ceiling_are_counted(self):
        offers = offers_by_key([offer(zone, 10.0) for zone in ("a", "b", "c")])
        found = place(4, offers, {}, set(), 40.0, CONFIG)
        assert sum(found.counts.values()) == 4
        assert found.ceiling_held == 2

    def test_running_instance_is_kept_at_a_small_price_change(self):
        offers = offers_by_key(
            [offer("a", 1.0), offer("b", 1.0), offer("b", 1.1, name="m")]
        )
        kept = {OfferKey("a", "l", True): 2, OfferKey("b", "m", True): 2}
        found = place(2, offers, kept, set(), math.inf, CONFIG)
        assert found.counts == kept

    def test_reclaims_add_to_the_cost(self):
        risky = Offer("a", "l", True, 2.9, 0.5, 8)
        offers = offers_by_key([risky, offer("a", 3.0, False), offer("b", 3.0)])
        calm = place(1, offers, {}, set(), math.inf, CONFIG, 0.0)
        assert calm.counts[OfferKey("a", "l", True)] == 1
        weighed = place(1, offers, {}, set(), math.inf, CONFIG, 1.0)
        assert weighed.counts[OfferKey("a", "l", False)] == 1
