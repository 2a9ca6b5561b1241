"""Journal processes and the network between them, for the fault matrix."""

import asyncio
import json
import random
from typing import Any

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.journal.claims import Identity
from ebonydeal._internal.journal.dispatcher import Dispatcher
from ebonydeal._internal.journal.node import JournalNode
from ebonydeal._internal.journal.owner import OwnerParts
from ebonydeal._internal.journal.pacing import Budget, Pacer
from ebonydeal._internal.journal.picker import RoutedPicker
from ebonydeal._internal.models.places import Place
from ebonydeal._internal.models.requests import Request
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.peers.journal_client import PATH_PREFIX
from ebonydeal._internal.routing.placement.router import Router
from ebonydeal._internal.settings.journal import JournalSettings
from ebonydeal._internal.settings.routing import RoutingSettings
from tests.lib.clock import ManualClock
from tests.lib.matrix import (
    Channel,
    Column,
    Gate,
    GatedClient,
    GatedClock,
    GatedEngine,
    When,
    spawn,
)

CFG = JournalSettings(
    shards=1,
    settle_seconds=1e9,
    writes_per_s=1000.0,
    urgent_writes_per_s=1000.0,
    inline_bytes=8,
    snapshot_rows=2,
    retention_seconds=1e6,
    client_patience=8.0,
)
DRAIN_S = 30.0
PLACE = Place("wales", "z1")


class Process:
    """One journal process: its node, dispatcher and clients, behind one gate."""

    def __init__(self, world: Any, name: str) -> None:
        self.name = name
        self.address = f"{name}:1"
        self.gate = Gate()
        clock = GatedClock(world.clock, self.gate)
        metrics = Metrics()
        self.router = Router.from_config(RoutingSettings(), random.Random(name))
        picker = RoutedPicker(world.directory, self.router, PLACE, clock)
        self.dispatcher = Dispatcher(
            picker,
            GatedEngine(world.engines, self),
            GatedClient(world.services, self),
            cfg=CFG,
            clock=clock,
            metrics=metrics,
        )
        budget = Budget(CFG.writes_per_s, CFG.urgent_writes_per_s)
        parts = OwnerParts(
            GatedClient(world.tables, self),
            GatedClient(world.objects, self),
            self.dispatcher,
            Pacer(budget, clock.now()),
            CFG,
            clock,
            random.Random(f"owner {name}"),
            metrics,
        )
        me = Identity(name, self.address, 1)
        self.node = JournalNode(me, PLACE, parts, DRAIN_S)

    async def start(self) -> None:
        await self.dispatcher.start()
        await self.node.start()

    @property
    def is_serving(self) -> bool:
        alive = not self.gate.dead and self.gate.running.is_set()
        return alive and any(owner.serving for owner in self.node.owners.values())

    async def handle(self, path: str, message: dict[str, Any]) -> dict[str, Any]:
        """Handle a call as the journal's listener does."""
        await self.gate.wait_until_running()
        name = path.removeprefix(PATH_PREFIX)
        if name in ("accept", "call"):
            request = Request.from_message(message["request"])
            owner = self.node.owner_of(request.request_id)
            if name == "call":
                return dict(await owner.call(request, message["wait"]))
            await owner.accept(request)
            return {"request_id": request.request_id, "state": "accepted"}
        request_id, account = message["request_id"], message["account"]
        owner = self.node.owner_of(request_id)
        if name == "cancel":
            return dict(await owner.cancel(request_id, account))
        return dict(await owner.status(request_id, account))


class Network:
    """Calls between gateways and journal processes; a `PeerClient`."""

    def __init__(self, clock: ManualClock, on_step: Any) -> None:
        self.processes: dict[str, Process] = {}
        self.unreachable: set[str] = set()
        self.disturbances: list[str] = []
        self._clock = clock
        self._on_step = on_step
        self._held: asyncio.Event | None = None

    async def call(
        self, address: str, path: str, message: Any, timeout: float
    ) -> dict[str, Any]:
        column = Column.ACCEPT if path.endswith(("accept", "call")) else Column.ANSWER
        process = self.processes.get(address)
        await self._on_step(column, Channel.PEER, When.BEFORE, process)
        if process is None or process.gate.dead or address in self.unreachable:
            raise EbonydealError(ErrorKind.CONNECT_FAILED, f"{address} is unreachable")
        disturbance = self.disturbances.pop(0) if self.disturbances else ""
        message = json.loads(json.dumps(message))
        if disturbance == "duplicated":
            spawn(self._reply(process, path, message))
        reply = await self._race(process, path, message, timeout, disturbance)
        await self._on_step(column, Channel.PEER, When.AFTER, process)
        if process.gate.dead:
            raise EbonydealError(ErrorKind.STORE_IN_DOUBT, "the connection broke")
        if "error" in reply and "request_id" not in reply:
            raise EbonydealError.from_body(reply)
        return reply

    async def _reply(
        self, process: Process, path: str, message: dict[str, Any]
    ) -> dict[str, Any]:
        try:
            reply = await process.handle(path, message)
        except EbonydealError as exc:
            reply = dict(exc.to_body())
        return json.loads(json.dumps(reply))

    async def _race(
        self,
        process: Process,
        path: str,
        message: dict,
        timeout: float,
        disturbance: str,
    ) -> dict[str, Any]:
        """Wait for the reply, the process's death or the timeout."""
        reply = spawn(self._reply(process, path, message))
        died = asyncio.ensure_future(process.gate.died.wait())
        timer = asyncio.ensure_future(self._clock.sleep(timeout))
        waits = {died, timer} if disturbance == "late" else {reply, died, timer}
        if disturbance == "reordered":
            self._held = asyncio.Event()
            await asyncio.wait(
                {timer, asyncio.ensure_future(self._held.wait())},
                return_when=asyncio.FIRST_COMPLETED,
            )
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        if not reply.done() or disturbance == "late":
            raise EbonydealError(ErrorKind.STORE_IN_DOUBT, "no reply")
        if self._held is not None and disturbance != "reordered":
            self._held.set()
        return reply.result()

    async def close(self) -> None:
        pass
