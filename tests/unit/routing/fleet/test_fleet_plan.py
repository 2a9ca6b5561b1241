from hypothesis import given, settings
from hypothesis import strategies as st

from ebonydeal._internal.models.forwarding import Scaling
from ebonydeal._internal.routing.fleet.fleet_plan import (
    FleetState,
    FleetTerms,
    ZoneFleet,
    ZoneTarget,
    plan_fleet,
)

PRICES = {"a": 0.85, "b": 1.2, "c": 1.0}
SCALING = Scaling(1, 4, 4.0, 0.22, PRICES)
TERMS = FleetTerms(use=0.5, use_short=0.75)
ALL = frozenset(PRICES)


def plan(
    load, zones=None, dry=frozenset(), scaling=SCALING, least=1, terms=TERMS, **more
):
    state = FleetState(zones or {}, load, dry, least, **more)
    return plan_fleet(scaling, state, terms).zones


class TestSpot:
    def test_idle_service_keeps_the_least_in_each_zone(self):
        assert plan(0.0) == dict.fromkeys(PRICES, ZoneTarget(1, 0))

    def test_loss_of_a_zone_leaves_enough(self):
        wanted = plan(2.0)
        counts = [target.spot for target in wanted.values()]
        assert sum(counts) - max(counts) >= 3
        assert all(target.fixed == 0 for target in wanted.values())

    def test_loss_of_two_zones_leaves_enough_for_a_while(self):
        counts = [target.spot for target in plan(2.0).values()]
        assert min(counts) >= 2.0 / TERMS.use_last

    def test_cheaper_zones_first(self):
        wanted = plan(0.6, least=4)
        assert wanted["a"].spot > wanted["b"].spot

    def test_without_an_offer_all_are_on_demand(self):
        wanted = plan(2.0, scaling=SCALING._replace(spot_price=None))
        assert sum(t.fixed for t in wanted.values()) >= 3
        assert all(t.spot == 0 for t in wanted.values())

    def test_found_size_holds_before_there_is_load(self):
        assert sum(t.spot for t in plan(0.0, least=6).values()) == 6


class TestReclaim:
    def test_on_demand_ones_stay_until_spot_ones_serve(self):
        there = {z: ZoneFleet(fixed=2) for z in PRICES}
        # As many as carry the load while a zone is short.
        assert sum(t.fixed for t in plan(2.0, there).values()) == 3

    def test_they_stay_also_where_both_kinds_fill_a_zone(self):
        booting = {z: ZoneFleet(fixed=2, spot_coming=2) for z in PRICES}
        wanted = plan(3.0, booting)
        assert sum(t.fixed for t in wanted.values()) == 4
        assert all(t.spot + t.fixed <= SCALING.max_endpoints for t in wanted.values())

    def test_they_go_when_the_reclaimable_ones_serve(self):
        served = {z: ZoneFleet(spot=2, fixed=2) for z in PRICES}
        assert sum(t.fixed for t in plan(2.0, served).values()) == 0

    def test_ordered_ones_are_not_taken_back_while_they_boot(self):
        booting = {z: ZoneFleet(fixed_coming=2) for z in PRICES}
        assert sum(t.fixed for t in plan(2.0, booting, dry=ALL).values()) >= 3

    def test_dry_market_is_filled_on_demand(self):
        left = {"a": ZoneFleet(), "b": ZoneFleet(spot=2), "c": ZoneFleet(spot=2)}
        wanted = plan(2.0, left, dry=ALL)
        assert wanted["b"].spot == 2
        # Two may be lost next, so two survive; three are needed.
        assert sum(t.fixed for t in wanted.values()) >= 1


class TestWave:
    LEFT = {"a": ZoneFleet(), "b": ZoneFleet(spot=2), "c": ZoneFleet(spot=2)}

    def fixed(self, load, zones, **more):
        wanted = plan(load, zones, dry=ALL, **more)
        return sum(target.fixed for target in wanted.values())

    def test_on_demand_ones_could_carry_all_while_zones_go(self):
        assert self.fixed(2.0, self.LEFT, wave=True) >= 2.0 / TERMS.use_wave
        assert self.fixed(2.0, self.LEFT) < self.fixed(2.0, self.LEFT, wave=True)

    def test_no_more_of_them_once_they_are_ordered(self):
        there = {**self.LEFT, "a": ZoneFleet(fixed_coming=3)}
        assert self.fixed(2.0, there, wave=True) == 3

    def test_nothing_to_insure_where_none_is_reclaimable(self):
        no_spot = SCALING._replace(spot_price=None)
        there = {z: ZoneFleet(fixed=1) for z in PRICES}
        wave = plan(1.0, there, scaling=no_spot, wave=True)
        assert wave == plan(1.0, there, scaling=no_spot)


class TestLeastOfZones:
    LEFT = {"a": ZoneFleet(spot=2), "b": ZoneFleet(spot=2), "c": ZoneFleet()}

    def test_is_not_filled_at_the_on_demand_price_without_load(self):
        assert plan(0.3, self.LEFT, dry=ALL)["c"] == ZoneTarget(0, 0)
        filled = TERMS._replace(least_fixed=True)
        assert plan(0.3, self.LEFT, dry=ALL, terms=filled)["c"] == ZoneTarget(0, 1)

    def test_is_filled_where_reclaimable_ones_are_to_be_had(self):
        assert plan(0.3, self.LEFT)["c"].spot >= 1


class TestBounds:
    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(
        load=st.floats(0.0, 30.0),
        counts=st.lists(st.integers(0, 6), min_size=6, max_size=6),
        dry=st.booleans(),
        wave=st.booleans(),
        least=st.integers(0, 2),
        most=st.integers(2, 6),
        filled=st.booleans(),
    )
    def test_each_zone_stays_within_them(
        self, load, counts, dry, wave, least, most, filled
    ):
        zones = {
            zone: ZoneFleet(spot=counts[i], fixed=counts[i + 3])
            for i, zone in enumerate(PRICES)
        }
        scaling = SCALING._replace(min_endpoints=least, max_endpoints=most)
        there = ALL if dry else frozenset()
        terms = TERMS._replace(least_fixed=filled)
        wanted = plan(load, zones, there, scaling, terms=terms, wave=wave)
        # While none is to be had, a zone without load may be left empty.
        lowest = least if filled or not dry else 0
        for target in wanted.values():
            assert lowest <= target.spot + target.fixed <= most
            assert target.spot >= 0 and target.fixed >= 0

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(load=st.floats(0.0, 4.0))
    def test_a_plan_that_is_there_wants_nothing_else(self, load):
        first = plan(load)
        there = {z: ZoneFleet(spot=t.spot, fixed=t.fixed) for z, t in first.items()}
        assert plan(load, there) == first
