"""Strikes of the fault matrix on the path of accepted requests."""

from typing import Any

from ebonydeal._internal.models.endpoints import LeavingMark, LoadReport
from ebonydeal._internal.standin.faults import Fault, Operation
from tests.lib.matrix import ACTOR, Channel, Column, Row, Strike, When, spawn
from tests.lib.matrix_endpoints import Run

OUTAGE_S = 40.0
SLOW_S = 3.0
NOTICE_S = 12.0
ZONE_NOTICE_S = 5.0
NEW_REQUESTS_AFTER_S = 4.0
PAUSE_S = 16.0
SCAN_S = 3.0
LATE_S = 35.0
LATE_WRITE_S = 25.0

_WRITE_FAULTS = {
    Row.TABLE_LOST: Fault.LOST_ANSWER,
    Row.TABLE_REFUSED: Fault.REFUSED,
    Row.OBJECTS_LOST: Fault.LOST_ANSWER,
    Row.OBJECTS_REFUSED: Fault.REFUSED,
    Row.LATE: Fault.LATE,
    Row.DUPLICATED: Fault.DUPLICATE,
    Row.REORDERED: Fault.LATE,
}
_ANNOUNCED = (Row.NOTICE, Row.ZONE_WAVE, Row.LOAD, Row.CACHE)


class FaultInjector:
    """Injects each strike once at its step, and tracks the pending ones."""

    def __init__(self, world: Any, strikes: tuple[Strike, ...]) -> None:
        self.pending = list(strikes)
        self.announced_only = all(item.row in _ANNOUNCED for item in strikes)
        self.armed = False
        self.slow_scans_until = 0.0
        self.last_fault_end = 0.0
        self._world = world
        self._apply_next = False

    async def on_step(
        self, column: Column | None, channel: Channel, when: When, what: Any
    ) -> None:
        """Handle a step; called for every operation of every process."""
        if not self.armed:
            return
        self._apply_reordered(channel, when, what)
        for strike in list(self.pending):
            meets = strike.channel
            if meets is Channel.HOST:
                meets = Channel.ENDPOINT
            here = (strike.column, meets, strike.when)
            if here == (column, channel, when) and _matches_victim(strike, what):
                self.pending.remove(strike)
                await self._strike(strike, what)

    def _apply_reordered(self, channel: Channel, when: When, what: Any) -> None:
        """Apply a reordered write right after the next write."""
        write = channel is Channel.TABLE and when is When.AFTER and what.is_write
        if self._apply_next and write:
            self._apply_next = False
            self._world.tables.apply_late_writes()

    def end_faults(self) -> None:
        """End all lasting faults."""
        world = self._world
        for store in (world.tables, world.objects):
            store.faults.down = False
            store.faults.delay = 0.0
        world.network.unreachable.clear()

    def _later(self, seconds: float, act: Any) -> None:
        self.last_fault_end = max(
            self.last_fault_end, self._world.clock.now() + seconds
        )

        async def wait() -> None:
            await self._world.clock.sleep(seconds)
            act()

        spawn(wait())

    # --- the faults ------------------------------------------------------------
    async def _strike(self, strike: Strike, what: Any) -> None:
        world = self._world
        match strike.row:
            case Row.CRASH if strike.channel is Channel.HOST:
                world.directory.gone.add(what.endpoint_id)
            case Row.CRASH:
                spawn(world.replace())
                await self._stop(what, lambda process: process.gate.kill())
            case Row.PAUSED:
                await self._stop(what, self._pause)
            case Row.NOTICE | Row.ZONE_WAVE:
                self._announce(strike, what)
            case Row.TABLE_DOWN | Row.OBJECTS_DOWN:
                store = self._store(strike.row)
                store.faults.down = True
                self._later(OUTAGE_S, lambda: setattr(store.faults, "down", False))
            case Row.TABLE_SLOW | Row.OBJECTS_SLOW:
                store = self._store(strike.row)
                store.faults.delay = SLOW_S
                self._later(OUTAGE_S, lambda: setattr(store.faults, "delay", 0.0))
            case Row.UNREACHABLE:
                process = world.owner()
                if process is not None:
                    address = process.address
                    world.network.unreachable.add(address)
                    unreachable = world.network.unreachable
                    self._later(OUTAGE_S, lambda: unreachable.discard(address))
            case Row.LOAD:
                self._send_bad_load_reports()
            case Row.CACHE:
                self._send_cache_events()
            case row:
                await self._disturb(row, strike.channel, what)

    def _store(self, row: Row) -> Any:
        is_table = row in (Row.TABLE_DOWN, Row.TABLE_SLOW)
        return self._world.tables if is_table else self._world.objects

    async def _stop(self, what: Any, act: Any) -> None:
        """Kill or pause the process at this step, which blocks its operation."""
        process = ACTOR.get() or self._world.owner()
        if process is not None:
            act(process)
            if ACTOR.get() is not None:
                await process.gate.wait_until_running()

    def _pause(self, process: Any) -> None:
        """Pause; right after the pause, a gateway with stale owners sends a request."""
        process.gate.running.clear()

        def resume() -> None:
            # Its operations in flight continue before it reads who owns the shard.
            self.slow_scans_until = self._world.clock.now() + SCAN_S
            process.gate.running.set()
            self._world.submit_with_stale_client()

        self._later(PAUSE_S, resume)
        # The next owner has its own requests by then.
        self._later(PAUSE_S - SCAN_S, self._world.submit_more)

    def _announce(self, strike: Strike, what: Any) -> None:
        """Announce the reclaim of an endpoint or a zone, and reclaim it later."""
        world = self._world
        wall = world.clock.wall()
        name = what.endpoint_id if isinstance(what, Run) else "e-1"
        zone, notice = "", NOTICE_S
        if strike.row is Row.ZONE_WAVE:
            name, zone, notice = "", "z1", ZONE_NOTICE_S
        mark = LeavingMark(name, 1, zone, wall + notice, "cloud", wall)
        covered = world.directory.mark(mark)
        for process in world.processes:
            process.dispatcher.on_endpoint_leaving(mark)
        self._later(notice, lambda: world.directory.gone.update(covered))
        if strike.row is Row.NOTICE:
            self._later(NEW_REQUESTS_AFTER_S, world.submit_more)

    def _send_bad_load_reports(self) -> None:
        """Make one report missing, one old and wrong, and one from the future."""
        world = self._world
        views = world.directory.endpoints
        report = [None, _load(world, -60.0, 8), _load(world, 5.0, 0)]
        for number, load in enumerate(report):
            views[number] = views[number]._replace(load=load)

    def _send_cache_events(self) -> None:
        """Send late, duplicate, unordered and unknown cache events, with gaps."""
        now = self._world.clock.wall()
        events = [(9, True, "b9"), (3, False, "b3"), (3, False, "b3"), (40, True, "b")]
        for process in self._world.processes:
            for endpoint in ("e-1", "e-2", "e-3", "gone"):
                process.router.apply_cache_events(endpoint, events, now)

    async def _disturb(self, row: Row, channel: Channel, what: Any) -> None:
        """Lose, delay, duplicate or reorder one message."""
        world = self._world
        if channel is Channel.PEER:
            world.network.disturbances.append(_disturbance(row))
        elif isinstance(what, Operation):
            store = world.tables if channel is Channel.TABLE else world.objects
            store.faults.plan[what.number] = _WRITE_FAULTS[row]
            if row is Row.REORDERED:
                self._apply_next = True
            elif row in (Row.LATE, Row.DUPLICATED):
                self._later(LATE_WRITE_S, store.apply_late_writes)
        elif row is Row.LATE:
            await world.clock.sleep(LATE_S)
        elif isinstance(what, Run):
            world.engines.disturbance[what.attempt_id] = _disturbance(row)


def _matches_victim(strike: Strike, what: Any) -> bool:
    match what:
        case Run(tag=name) | Operation(name=name):
            return strike.victim in ("", name)
    return not strike.victim


def _disturbance(row: Row) -> str:
    return {Row.LATE: "late", Row.DUPLICATED: "duplicated"}.get(row, "reordered")


def _load(world: Any, age: float, running: int) -> Any:

    return LoadReport(running, 0, 8, 0.0, 40.0, world.clock.wall() + age)
