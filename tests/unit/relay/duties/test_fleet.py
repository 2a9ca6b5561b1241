"""Orders that the fleet's keeper sends, with a clock and a market of ours."""

from types import SimpleNamespace

from ebonydeal._internal.models.forwarding import (
    ClientLimits,
    EngineCapabilities,
    ForwardService,
    Member,
    RouteTable,
    Scaling,
)
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.relay.duties.fleet import Fleet
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.routing.fleet.fleet_plan import FleetTerms
from tests.lib.clock import ManualClock
from tests.lib.relay_fakes import MemoryDuties

PRICES = {"a": 1.0, "b": 1.0, "c": 1.0}
SCALING = Scaling(1, 6, 4.0, 0.2, PRICES)
SERVICE = ForwardService("s", "/h", 100, EngineCapabilities(64, 1000, 8, True), SCALING)


class Market:
    """A service, its endpoints by zone, the load, and the keeper of its fleet."""

    def __init__(self, work, terms=None):
        self.clock = ManualClock(100.0)
        self.view = RelayView(2.0)
        limits = ClientLimits(1, 1, 1.0, 1.0)
        table = RouteTable(1, (), {"s": SERVICE}, limits, ())
        self.view.take_table(table, b"1", "test")
        self.view.members_known = True
        self.duties = MemoryDuties()
        self.work = work
        self._revision = 0
        coordinator = SimpleNamespace(
            may_order=True,
            lease=SimpleNamespace(mine=True, fence=3),
            heard_lately=lambda: [{"work": {"s": self.work}, "loads": {}}],
            order_refused=lambda: None,
        )
        self.fleet = Fleet(
            coordinator, self.duties, self.view, Metrics(), self.clock, terms
        )

    def has(self, name, zone, spot=True, leaving=False):
        self._revision += 1
        member = Member(
            name, "s", f"{name}:1", zone, 64, leaving, None, spot, 0.0, self._revision
        )
        self.view.put(member, self.clock.now())

    def takes_back(self, zone):
        for member in list(self.view.members.values()):
            if member.zone == zone and member.reclaimable:
                self.has(member.endpoint_id, zone, leaving=True)

    async def play(self, seconds, step=0.2):
        """Let time go on; return the orders sent meanwhile."""
        before = len(self.duties.orders)
        for _ in range(max(1, round(seconds / step))):
            await self.fleet._steer(SERVICE, SCALING)
            await self.clock.advance(step)
        return self.duties.orders[before:]


async def settled(work=1.5, terms=None):
    """Return a market whose load was seen for long, with two a zone."""
    market = Market(work, terms)
    for zone in PRICES:
        for number in range(2):
            market.has(f"{zone}{number}", zone)
    await market.play(20.0)
    market.duties.orders.clear()
    return market


def fixed(orders):
    return [(zone, count) for _s, zone, count, spot, _f in orders if not spot]


class TestAwaited:
    async def test_what_is_beyond_a_zones_bound_is_not_awaited(self):
        market = Market(0.0)
        for number in range(SCALING.max_endpoints):
            market.has(f"f{number}", "a", spot=False)
        market.has("f", "b", spot=False)
        await market.play(0.4)
        orders = {zone: n for _s, zone, n, spot, _f in market.duties.orders if spot}
        assert orders.get("a", 0) == 0
        assert orders["b"] + orders["c"] >= SCALING.max_endpoints + 1

    async def test_an_order_is_not_sent_again_before_it_could_come(self):
        market = Market(0.3)
        first = await market.play(0.2)
        assert first
        assert await market.play(SCALING.boot_s) == []

    async def test_one_that_brought_nothing_is_sent_again(self):
        market = Market(0.3)
        await market.play(0.2)
        assert await market.play(SCALING.boot_s + 2.0) != []


class TestWave:
    async def test_a_zone_that_goes_brings_on_demand_ones_for_the_whole_load(self):
        market = await settled()
        market.duties.dry = True
        market.takes_back("a")
        orders = await market.play(0.2)
        assert sum(count for _zone, count in fixed(orders)) >= 1.5

    async def test_one_endpoint_that_goes_is_no_wave(self):
        market = await settled()
        market.duties.dry = True
        market.has("a0", "a", leaving=True)
        assert fixed(await market.play(0.2)) == []

    async def test_what_waits_in_a_wave_is_not_all_taken_as_load(self):
        market = await settled()
        market.duties.dry = True
        market.takes_back("a")
        await market.play(0.2)
        market.work = 30.0
        orders = await market.play(3.0)
        assert sum(dict(fixed(orders)).values()) <= 6

    async def test_one_as_traffic_begins_is_met_with_what_the_traffic_needs(self):
        market = Market(0.0)
        for zone in PRICES:
            for number in range(2):
                market.has(f"{zone}{number}", zone)
        await market.play(5.0)
        market.duties.dry = True
        for step in range(25):
            # The meters look back four seconds.
            market.work = min(7.0, 1.75 * step * 0.2)
            if step == 4:
                market.takes_back("a")
            await market.play(0.2)
        ordered = dict(fixed(market.duties.orders))
        assert sum(ordered.values()) >= 7

    async def test_nothing_is_let_go_while_zones_are_taken_back(self):
        market = await settled(terms=FleetTerms(wave=20.0, peak=1.0))
        market.takes_back("a")
        ordered = dict(fixed(await market.play(0.2)))
        for zone, count in ordered.items():
            for number in range(count):
                market.has(f"f{zone}{number}", zone, spot=False)
        market.work = 0.0
        # Longer than an order for more stands, shorter than zones may still go.
        orders = fixed(await market.play(15.0))
        assert [o for o in orders if o[1] < ordered[o[0]]] == []
        orders = fixed(await market.play(10.0))
        assert [o for o in orders if o[1] < ordered[o[0]]]

    async def test_our_own_order_for_none_is_no_wave(self):
        market = await settled()
        kind = next(iter(market.fleet._ordered), None)
        assert kind is None or kind.spot
        market.work = 0.0
        orders = await market.play(30.0)
        for zone in PRICES:
            market.has(f"{zone}1", zone, leaving=True)
        assert fixed(orders + await market.play(1.0)) == []


class TestDryMarket:
    async def test_is_asked_for_one_each_second_until_it_gives(self):
        market = await settled()
        market.duties.dry = True
        market.takes_back("a")
        await market.play(5.0)
        asked = market.fleet._probed["s"]
        assert 3 <= asked <= 6
        market.duties.dry = False
        orders = await market.play(2.0)
        assert [order for order in orders if order[3]]


class TestOrders:
    async def test_one_that_brings_nothing_is_sent_again(self):
        market = Market(1.5)
        for zone in PRICES:
            market.has(zone, zone, spot=False)
        first = [o for o in await market.play(0.2) if o[3]]
        assert first
        assert [o for o in await market.play(4.0) if o[3] and o in first] == []
        again = [o for o in await market.play(3.0) if o[3]]
        assert {order[1] for order in again} >= {order[1] for order in first}

    async def test_nothing_is_ordered_without_the_lease(self):
        market = await settled()
        market.fleet._coordinator.may_order = False
        market.takes_back("a")
        assert await market.play(1.0) == []


class TestRollout:
    async def test_new_endpoints_are_no_room_and_old_ones_stay(self):
        market = await settled()
        market.fleet.rolling = lambda _service: "v2"
        for zone in PRICES:
            market.has(f"n{zone}", zone)
            name = f"n{zone}"
            market.view.put(
                market.view.members[name]._replace(
                    version="v2", revision=market._revision + 100
                )
            )
        zones = market.fleet._zones("s", SCALING, market.clock.now())
        assert {fleet.spot for fleet in zones.values()} == {2}
        market.work = 0.05
        orders = await market.play(20.0)
        assert all(count >= 2 for _s, _zone, count, spot, _f in orders if spot)

    async def test_afterwards_the_fleet_shrinks_again(self):
        market = await settled()
        market.work = 0.05
        orders = await market.play(20.0)
        assert any(count < 2 for _s, _zone, count, spot, _f in orders if spot)
