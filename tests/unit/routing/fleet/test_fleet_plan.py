from hypothesis import given, settings
from hypothesis import strategies as st

from ebonydeal._internal.models.forwarding import Scaling
from ebonydeal._internal.routing.fleet.fleet_plan import (
    FleetConfig,
    FleetState,
    ZoneFleet,
    ZoneTarget,
    plan_fleet,
)

PRICES = {"a": 0.85, "b": 1.2, "c": 1.0}
SCALING = Scaling(1, 4, 4.0, 0.22, PRICES)
CONFIG = FleetConfig(target_utilization=0.5, utilization_one_zone_lost=0.75)
ALL = frozenset(PRICES)


def plan(
    load,
    zones=None,
    zones_without_spot=frozenset(),
    scaling=SCALING,
    min_endpoints=1,
    config=CONFIG,
    **more,
):
    state = FleetState(zones or {}, load, zones_without_spot, min_endpoints, **more)
    return plan_fleet(scaling, state, config).zones


class TestSpot:
    def test_idle_service_keeps_the_minimum_in_each_zone(self):
        assert plan(0.0) == dict.fromkeys(PRICES, ZoneTarget(1, 0))

    def test_loss_of_a_zone_leaves_enough_endpoints(self):
        wanted = plan(2.0)
        counts = [target.spot for target in wanted.values()]
        assert sum(counts) - max(counts) >= 3
        assert all(target.on_demand == 0 for target in wanted.values())

    def test_loss_of_two_zones_leaves_enough_endpoints_for_a_while(self):
        counts = [target.spot for target in plan(2.0).values()]
        assert min(counts) >= 2.0 / CONFIG.utilization_two_zones_lost

    def test_cheaper_zones_get_more(self):
        wanted = plan(0.6, min_endpoints=4)
        assert wanted["a"].spot > wanted["b"].spot

    def test_without_a_spot_offer_all_are_on_demand(self):
        wanted = plan(2.0, scaling=SCALING._replace(spot_price=None))
        assert sum(t.on_demand for t in wanted.values()) >= 3
        assert all(t.spot == 0 for t in wanted.values())

    def test_initial_size_is_kept_before_there_is_load(self):
        assert sum(t.spot for t in plan(0.0, min_endpoints=6).values()) == 6


class TestReplacement:
    def test_on_demand_ones_stay_until_spot_ones_serve(self):
        current = {z: ZoneFleet(on_demand=2) for z in PRICES}
        # As many as carry the load while one zone is lost.
        assert sum(t.on_demand for t in plan(2.0, current).values()) == 3

    def test_on_demand_ones_stay_although_both_kinds_fill_a_zone(self):
        booting = {z: ZoneFleet(on_demand=2, spot_pending=2) for z in PRICES}
        wanted = plan(3.0, booting)
        assert sum(t.on_demand for t in wanted.values()) == 4
        assert all(
            t.spot + t.on_demand <= SCALING.max_endpoints for t in wanted.values()
        )

    def test_on_demand_ones_are_released_when_spot_ones_serve(self):
        served = {z: ZoneFleet(spot=2, on_demand=2) for z in PRICES}
        assert sum(t.on_demand for t in plan(2.0, served).values()) == 0

    def test_pending_on_demand_ones_are_kept(self):
        booting = {z: ZoneFleet(on_demand_pending=2) for z in PRICES}
        assert (
            sum(
                t.on_demand for t in plan(2.0, booting, zones_without_spot=ALL).values()
            )
            >= 3
        )

    def test_refused_spot_capacity_is_replaced_on_demand(self):
        remaining = {"a": ZoneFleet(), "b": ZoneFleet(spot=2), "c": ZoneFleet(spot=2)}
        wanted = plan(2.0, remaining, zones_without_spot=ALL)
        assert wanted["b"].spot == 2
        # The next zone lost takes two and leaves two, but three are required.
        assert sum(t.on_demand for t in wanted.values()) >= 1


class TestReclaimBurst:
    REMAINING = {"a": ZoneFleet(), "b": ZoneFleet(spot=2), "c": ZoneFleet(spot=2)}

    def on_demand(self, load, zones, **more):
        wanted = plan(load, zones, zones_without_spot=ALL, **more)
        return sum(target.on_demand for target in wanted.values())

    def test_on_demand_ones_can_carry_the_whole_load(self):
        assert (
            self.on_demand(2.0, self.REMAINING, reclaim_burst=True)
            >= 2.0 / CONFIG.on_demand_utilization_in_burst
        )
        assert self.on_demand(2.0, self.REMAINING) < self.on_demand(
            2.0, self.REMAINING, reclaim_burst=True
        )

    def test_pending_on_demand_ones_count(self):
        current = {**self.REMAINING, "a": ZoneFleet(on_demand_pending=3)}
        assert self.on_demand(2.0, current, reclaim_burst=True) == 3

    def test_changes_nothing_where_none_is_reclaimable(self):
        no_spot = SCALING._replace(spot_price=None)
        current = {z: ZoneFleet(on_demand=1) for z in PRICES}
        in_burst = plan(1.0, current, scaling=no_spot, reclaim_burst=True)
        assert in_burst == plan(1.0, current, scaling=no_spot)


class TestMinimumOfZones:
    REMAINING = {"a": ZoneFleet(spot=2), "b": ZoneFleet(spot=2), "c": ZoneFleet()}

    def test_is_not_filled_with_on_demand_ones_without_load(self):
        assert plan(0.3, self.REMAINING, zones_without_spot=ALL)["c"] == ZoneTarget(
            0, 0
        )
        filled = CONFIG._replace(fill_min_on_demand=True)
        assert plan(0.3, self.REMAINING, zones_without_spot=ALL, config=filled)[
            "c"
        ] == ZoneTarget(0, 1)

    def test_is_filled_where_reclaimable_ones_are_available(self):
        assert plan(0.3, self.REMAINING)["c"].spot >= 1


class TestBounds:
    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(
        load=st.floats(0.0, 30.0),
        counts=st.lists(st.integers(0, 6), min_size=6, max_size=6),
        spot_refused=st.booleans(),
        reclaim_burst=st.booleans(),
        least=st.integers(0, 2),
        most=st.integers(2, 6),
        filled=st.booleans(),
    )
    def test_each_zone_stays_within_its_bounds(
        self, load, counts, spot_refused, reclaim_burst, least, most, filled
    ):
        zones = {
            zone: ZoneFleet(spot=counts[i], on_demand=counts[i + 3])
            for i, zone in enumerate(PRICES)
        }
        scaling = SCALING._replace(min_endpoints=least, max_endpoints=most)
        without_spot = ALL if spot_refused else frozenset()
        config = CONFIG._replace(fill_min_on_demand=filled)
        wanted = plan(
            load,
            zones,
            without_spot,
            scaling,
            config=config,
            reclaim_burst=reclaim_burst,
        )
        # While no spot capacity is available, a zone without load may be left empty.
        lowest = least if filled or not spot_refused else 0
        for target in wanted.values():
            assert lowest <= target.spot + target.on_demand <= most
            assert target.spot >= 0 and target.on_demand >= 0

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(load=st.floats(0.0, 4.0))
    def test_plan_for_a_fleet_that_matches_it_is_the_same(self, load):
        first = plan(load)
        current = {
            z: ZoneFleet(spot=t.spot, on_demand=t.on_demand) for z, t in first.items()
        }
        assert plan(load, current) == first
