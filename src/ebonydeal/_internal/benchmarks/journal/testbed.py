"""In-memory stores with a fixed latency, and shard owners that use them."""

import random
from typing import NamedTuple

from ebonydeal._internal.errors import ErrorKind
from ebonydeal._internal.journal.claims import Identity, claim_shard
from ebonydeal._internal.journal.dispatcher import Dispatcher
from ebonydeal._internal.journal.node import JournalNode
from ebonydeal._internal.journal.owner import ShardOwner
from ebonydeal._internal.journal.pacing import Budget, Pacer
from ebonydeal._internal.journal.parts import OwnerParts
from ebonydeal._internal.models.endpoints import EndpointView
from ebonydeal._internal.models.places import Place
from ebonydeal._internal.models.requests import Priority, Request, RequestKind
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.outside.engines import HttpEngine
from ebonydeal._internal.outside.interfaces import Put
from ebonydeal._internal.outside.services import HttpPlainServices
from ebonydeal._internal.settings.journal import JournalSettings
from ebonydeal._internal.standin.faults import Operation
from ebonydeal._internal.standin.memory import MemoryObjects, MemoryTables
from ebonydeal._internal.utils.clock import SystemClock

BODY = '{"model": "m", "messages": [{"role": "user", "content": "covers"}]}'
ENDPOINT_TIMEOUT_S = 1.0


class RowCounts(NamedTuple):
    """Table operations so far."""

    transactions: int
    rows_put: int
    reads: int


class NoEndpoints:
    """A picker without endpoints, so that accepted requests stay in the journal."""

    def pick(self, request: Request, exclude: frozenset[str]) -> EndpointView | None:
        """Return None."""
        return None

    def is_leaving(self, view: EndpointView) -> bool:
        """Return False."""
        return False

    def record_sent(self, request: Request, view: EndpointView) -> None:
        """Do nothing."""

    def record_finished(
        self, request: Request, view: EndpointView, error: ErrorKind | None
    ) -> None:
        """Do nothing."""


def bench_request(request_id: str) -> Request:
    """Return a small deferred request."""
    return Request(
        request_id=request_id,
        account="bench",
        deployment="pool",
        kind=RequestKind.CHAT,
        method="POST",
        path="/v1/chat/completions",
        headers={},
        body=BODY,
        body_object="",
        body_digest="d",
        key="",
        idempotent=True,
        priority=Priority.BATCH,
        accepted_at=0.0,
        deadline=0.0,
        prompt_tokens=100,
        max_tokens=100,
    )


class Testbed:
    """One table service and the processes of one measurement."""

    def __init__(self, cfg: JournalSettings, latency: float, seed: int) -> None:
        self.cfg = cfg
        self.clock = SystemClock()
        self.rng = random.Random(seed)
        self.tables = MemoryTables(self.clock)
        self.objects = MemoryObjects(self.clock)
        self.tables.faults.delay = latency
        self.objects.faults.delay = latency
        self.tables.faults.after = self._count_rows
        self._rows_put = 0
        self._nodes: dict[str, JournalNode] = {}
        self._started: list[Dispatcher | ShardOwner | JournalNode] = []

    async def _count_rows(self, operation: Operation) -> None:
        if operation.detail is not None:
            writes = operation.detail[1]
            self._rows_put += sum(isinstance(item, Put) for item in writes)

    def counts(self) -> RowCounts:
        """Return the table operations so far."""
        return RowCounts(self.tables.writes, self._rows_put, self.tables.reads)

    async def parts(self, owners: int) -> OwnerParts:
        """Return one process's shared parts, with a started dispatcher."""
        metrics = Metrics()
        dispatcher = Dispatcher(
            NoEndpoints(),
            HttpEngine(ENDPOINT_TIMEOUT_S),
            HttpPlainServices(ENDPOINT_TIMEOUT_S),
            cfg=self.cfg,
            clock=self.clock,
            metrics=metrics,
        )
        await dispatcher.start()
        self._started.append(dispatcher)
        budget = Budget(self.cfg.writes_per_s, self.cfg.urgent_writes_per_s)
        return OwnerParts(
            self.tables,
            self.objects,
            dispatcher,
            Pacer(budget, self.clock.now(), owners),
            self.cfg,
            self.clock,
            self.rng,
            metrics,
        )

    async def owners(self, processes: int) -> dict[int, ShardOwner]:
        """Return serving owners of all shards, spread evenly over processes."""
        parts = [await self.parts(processes) for _ in range(processes)]
        owners = {}
        for shard in range(self.cfg.shards):
            number = shard % processes
            owners[shard] = await self._own(shard, number, parts[number])
        for owner in owners.values():
            while not owner.serving:
                await self.clock.sleep(0.01)
        return owners

    async def _own(self, shard: int, number: int, parts: OwnerParts) -> ShardOwner:
        identity = Identity(f"n-{number}", f"127.0.0.1:{number}", 1)
        claim = await claim_shard(
            self.tables, shard, None, identity, clock=self.clock, rng=self.rng
        )
        assert claim is not None
        owner = ShardOwner(claim, parts, lambda _shard: None)
        await owner.start()
        self._started.append(owner)
        return owner

    async def node(self, name: str) -> JournalNode:
        """Return a started node, which claims shards itself."""
        identity = Identity(name, f"{name}:1", 1)
        parts = await self.parts(1)
        node = JournalNode(identity, Place("r", "r-1"), parts, 10.0, self._offer)
        self._nodes[identity.address] = node
        await node.start()
        self._started.append(node)
        return node

    async def _offer(self, address: str, shard: int) -> None:
        """Offer a shard as the listener would, without the network."""
        await self._nodes[address].accept_offer(shard)

    async def close(self) -> None:
        """Stop everything that was started."""
        self.tables.faults.delay = 0.0
        for item in self._started:
            if isinstance(item, ShardOwner):
                item.stop_serving()
        for item in reversed(self._started):
            await item.stop()
