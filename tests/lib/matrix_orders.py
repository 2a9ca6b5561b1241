"""Orders and instance starts of a controller under one or more faults.

Two real controllers lead one deployment in turn, with a cloud, engines and a table
in memory. The faults hit the first one; the second must continue from its state.
"""

import asyncio
from typing import Any

from ebonydeal._internal.benchmarks.spend.simulated_platform import (
    AFTER,
    BEFORE,
    SimulatedDurations,
)
from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.outside.interfaces import EngineOrder
from tests.lib.clock import settle
from tests.lib.controller_fakes import ControllerCluster, make_deployment, make_document
from tests.lib.matrix import Row, Strike, When, spawn

TIMES = SimulatedDurations(boot=5.0, load=5.0, list_lag=0.0)
ROUND_S = 5.0
ROUNDS = 14
OUTAGE_ROUNDS = 6
SLOW_S = 3.0
NOTICE_S = 30.0
TABLE = ("transact", "get", "scan")
ENGINE = ("order", "order_state", "load")
DOWN = EbonydealError(ErrorKind.STORE_UNAVAILABLE, "down")
LOST = EbonydealError(ErrorKind.STORE_IN_DOUBT, "lost")
UNREACHABLE = EbonydealError(ErrorKind.CONNECT_FAILED, "away")
LOAD_LOST = EbonydealError(ErrorKind.ENDPOINT_STALLED, "no report")


class OrderWorld:
    """A site, its two controllers, and the pending strikes."""

    def __init__(self, strikes: tuple[Strike, ...], checks_fence: bool) -> None:
        self.pending = list(strikes)
        self.site = ControllerCluster(checks_fence=checks_fence, times=TIMES)
        self.site.document = self._document(())
        self.site.world.nodes = [("n1", "n1:1"), ("n2", "n2:1")]
        self.armed = False
        self.stopped: asyncio.Event | None = None
        self.fault_until: dict[str, float] = {}
        self.next_table_error: EbonydealError | None = None
        self.doubled: EngineOrder | None = None
        self.first = self.site.controller("n1", self._hook)
        self.second = self.site.controller("n2")

    def _document(self, adapters: tuple[str, ...]) -> Any:
        fence = self.site.world.checks_fence
        item = make_deployment(min_replicas=2, checks_fence=fence, adapters=adapters)
        return make_document(item)

    # --- strikes -------------------------------------------------------------
    async def _hook(self, when: str, operation: str) -> None:
        if self.stopped is not None:
            await self.stopped.wait()
        await self._apply_outages(when, operation)
        if not self.armed or operation != "order":
            return
        for strike in list(self.pending):
            if strike.when == (When.BEFORE if when == BEFORE else When.AFTER):
                self.pending.remove(strike)
                await self._strike(strike)

    async def _apply_outages(self, when: str, operation: str) -> None:
        now = self.site.clock.now()
        if operation in TABLE:
            await self._table(when, now)
        if when == BEFORE and operation in ENGINE:
            if now < self.fault_until.get("away", 0.0):
                raise UNREACHABLE
            if operation == "load" and now < self.fault_until.get("load", 0.0):
                raise LOAD_LOST

    async def _table(self, when: str, now: float) -> None:
        if when == BEFORE and now < self.fault_until.get("down", 0.0):
            raise DOWN
        if when == BEFORE and now < self.fault_until.get("slow", 0.0):
            await self.site.clock.sleep(SLOW_S)
        failure = self.next_table_error
        side = BEFORE if failure is DOWN else AFTER
        if failure is not None and when == side:
            self.next_table_error = None
            raise failure

    def _start_outage(self, name: str) -> None:
        self.fault_until[name] = self.site.clock.now() + OUTAGE_ROUNDS * ROUND_S

    async def _strike(self, strike: Strike) -> None:
        world = self.site.world
        match strike.row:
            case Row.CRASH | Row.PAUSED | Row.LATE:
                self.stopped = asyncio.Event()
                await self.stopped.wait()
            case Row.NOTICE:
                world.announce_reclaim("z2", NOTICE_S)
            case Row.ZONE_WAVE:
                world.announce_reclaim("z2", 0.0)
                world.stop_zone("z2")
            case Row.START_REFUSED:
                world.refused_markets.update(
                    {("z1", True), ("z1", False), ("z2", True)}
                )
            case Row.TABLE_DOWN:
                self._start_outage("down")
            case Row.TABLE_SLOW:
                self._start_outage("slow")
            case Row.TABLE_LOST:
                self.next_table_error = LOST
            case Row.TABLE_REFUSED:
                self.next_table_error = DOWN
            case Row.TWO_OPERATORS:
                self.site.document = self._document(("welsh", "breakfast"))
            case Row.LOAD:
                self._start_outage("load")
            case Row.UNREACHABLE:
                self._start_outage("away")
            case Row.DUPLICATED | Row.REORDERED:
                spawn(self._deliver_again(strike.row))

    async def _deliver_again(self, row: Row) -> None:
        """Deliver the first order again, after others."""
        await self.site.clock.sleep(ROUND_S * (2 if row is Row.DUPLICATED else 5))
        world = self.site.world
        if not world.orders:
            return
        instance_id, order = world.orders[0]
        machine = world.find(instance_id)
        if machine is None or (world.checks_fence and order.fence < machine.fence):
            return
        machine.order = order

    # --- the run ---------------------------------------------------------------
    async def rounds(self, controller: Any, number: int) -> bool:
        """Run rounds while time passes; return whether all of them ended."""
        for _ in range(number):
            task = spawn(self.site.rounds(controller, 1, 0.0))
            for _ in range(4):
                await settle(60)
                await self.site.clock.advance(ROUND_S / 4)
            for _ in range(40):
                if task.done() or self.stopped is not None:
                    break
                await self.site.clock.advance(ROUND_S)
            if not task.done():
                return False
            task.result()
        return True

    def broken_promises(self) -> list[str]:
        world = self.site.world
        broken = []
        expected = set(self.site.document.deployments["kitchen"].models)
        expected |= set(self.site.document.deployments["kitchen"].adapters)
        for machine in world.live():
            if set(machine.order.models) != expected:
                broken.append(f"{machine.instance_id} has {machine.order.models}")
        recorded = {row["token"] for row in self.site.instance_rows()}
        started = {machine.token for machine in world.live()}
        if recorded != started:
            broken.append(f"started {sorted(started)}, recorded {sorted(recorded)}")
        target = self.second.workers["kitchen"].target
        if self.site.ready() < target:
            broken.append(f"{self.site.ready()} of {target} replicas are ready")
        return broken + self._late_orders()

    def _late_orders(self) -> list[str]:
        """Return orders of an older holder that arrived after those of a newer one."""
        if not self.site.world.checks_fence:
            return []
        fences: dict[str, int] = {}
        late = []
        for instance_id, order in self.site.world.orders:
            if order.fence < fences.get(instance_id, 0):
                late.append(f"{instance_id} took an order of {order.fence}")
            fences[instance_id] = max(order.fence, fences.get(instance_id, 0))
        return late


async def run_order(
    strikes: tuple[Strike, ...], checks_fence: bool
) -> tuple[list[str], list[Strike]]:
    """Start a deployment, change it under the strikes, and change the leader."""
    world = OrderWorld(strikes, checks_fence)
    await world.rounds(world.first, 6)
    world.armed = True
    world.site.document = world._document(("welsh",))
    await world.rounds(world.first, ROUNDS)
    world.armed = False
    crashed = any(strike.row is Row.CRASH for strike in strikes)
    if world.stopped is None:
        await world.first.on_stop()
    await world.rounds(world.second, ROUNDS)
    if world.stopped is not None and not crashed:
        world.stopped.set()
        world.stopped = None
        await settle(100)
        await world.rounds(world.first, 2)
    await world.rounds(world.second, ROUNDS)
    return world.broken_promises(), world.pending
