"""Fake endpoints, a picker and a shard harness for tests of the journal."""

import asyncio
import json
import random
from collections import deque
from typing import Any

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.journal.claims import Identity, claim_shard
from ebonydeal._internal.journal.dispatcher import Dispatcher
from ebonydeal._internal.journal.node import JournalNode
from ebonydeal._internal.journal.owner import ShardOwner
from ebonydeal._internal.journal.pacing import Budget, Pacer
from ebonydeal._internal.journal.parts import OwnerParts
from ebonydeal._internal.journal.rows import shard_key
from ebonydeal._internal.journal.service import http_offer, journal_app
from ebonydeal._internal.models.endpoints import EndpointKind, EndpointView
from ebonydeal._internal.models.places import Place
from ebonydeal._internal.models.requests import Priority, Request, RequestKind
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.outside.interfaces import (
    CancelResult,
    Chunk,
    Resume,
    ServiceAnswer,
)
from ebonydeal._internal.settings.journal import JournalSettings
from ebonydeal._internal.standin.memory import MemoryObjects, MemoryTables
from ebonydeal._internal.utils.peerclient import PeerClient
from ebonydeal._internal.utils.web import HttpServer
from tests.lib.clock import ManualClock, settle
from tests.lib.endpoints import make_view

TOKENS = ("one ", "two ", "three ", "four")
CREDENTIAL = "peers"
FAST = JournalSettings(writes_per_s=1e12, urgent_writes_per_s=1e12)


def make_request(request_id: str = "r-0000-1", **changes: Any) -> Request:
    body = json.dumps({"model": "m", "messages": []})
    request = Request(
        request_id=request_id,
        account="gwesty",
        deployment="pool",
        kind=RequestKind.CHAT,
        method="POST",
        path="/v1/chat/completions",
        headers={},
        body=body,
        body_object="",
        body_digest="d1",
        key="",
        idempotent=True,
        priority=Priority.BATCH,
        accepted_at=1_000_000.0,
        deadline=0.0,
        prompt_tokens=10,
        max_tokens=10,
    )
    return request._replace(**changes)


def make_keyed_call(request_id: str = "k-0000-1", **changes: Any) -> Request:
    """A non-idempotent call of a plain service with an idempotency key."""
    fields = {
        "kind": RequestKind.SERVICE,
        "path": "/pickups",
        "key": "note-1",
        "idempotent": False,
        "deployment": "tracking",
        **changes,
    }
    return make_request(request_id, **fields)


class FakeEngine:
    """Streams TOKENS; `hold` blocks streams, `fail` makes them fail."""

    def __init__(self) -> None:
        self.log: list[tuple[str, str, Resume | None]] = []
        self.failures: dict[str, deque[tuple[int, ErrorKind]]] = {}
        self.attempt_states: dict[str, str] = {}
        self.cancelled: list[str] = []
        self.held: dict[str, tuple[int, asyncio.Event]] = {}

    def fail(self, endpoint_id: str, after: int, kind: ErrorKind) -> None:
        """Make the next stream at an endpoint fail after ``after`` tokens."""
        self.failures.setdefault(endpoint_id, deque()).append((after, kind))

    def hold(self, endpoint_id: str, after: int) -> asyncio.Event:
        """Block streams at an endpoint after ``after`` tokens until the event."""
        event = asyncio.Event()
        self.held[endpoint_id] = (after, event)
        return event

    async def stream(self, endpoint, path, body, attempt_id, resume=None):  # type: ignore[no-untyped-def]
        after, kind = -1, None
        if self.failures.get(endpoint.endpoint_id):
            after, kind = self.failures[endpoint.endpoint_id].popleft()
        if kind in (ErrorKind.CONNECT_FAILED, ErrorKind.ENDPOINT_REFUSED):
            raise EbonydealError(kind)
        self.log.append((endpoint.endpoint_id, attempt_id, resume))
        start = len(resume.delivered) if resume else 0
        for position in range(start, len(TOKENS)):
            if position - start == after and kind is not None:
                raise EbonydealError(kind)
            stop, event = self.held.get(endpoint.endpoint_id, (-1, None))
            if position - start == stop and event is not None:
                await event.wait()
            last = position == len(TOKENS) - 1
            first = 7 if position == start else 0
            yield Chunk(position, TOKENS[position], "stop" if last else "", 0, first)

    async def cancel(self, endpoint: EndpointView, attempt_id: str) -> CancelResult:
        self.cancelled.append(attempt_id)
        return CancelResult(self.attempt_states.get(endpoint.endpoint_id, "stopped"), 0)


class FakeServices:
    """Answers ``ok``; fails with queued ``failures``, and waits for ``held``."""

    def __init__(self) -> None:
        self.log: list[tuple[str, str]] = []
        self.failures: deque[ErrorKind] = deque()
        self.held: asyncio.Event | None = None
        self.answer = ServiceAnswer(200, "text/plain", b"ok")

    async def call(  # type: ignore[no-untyped-def]
        self, endpoint, method, path, headers, body, attempt_id, timeout
    ) -> ServiceAnswer:
        kind = self.failures.popleft() if self.failures else None
        if kind in (ErrorKind.CONNECT_FAILED, ErrorKind.ENDPOINT_REFUSED):
            raise EbonydealError(kind)
        self.log.append((endpoint.endpoint_id, attempt_id))
        if self.held is not None:
            await self.held.wait()
        if kind is not None:
            raise EbonydealError(kind)
        return self.answer


class FakePicker:
    """Picks the first endpoint that isn't excluded or leaving."""

    def __init__(self, *views: EndpointView) -> None:
        self.views = list(views)
        self.leaving: set[str] = set()

    def pick(self, request: Request, exclude: frozenset[str]) -> EndpointView | None:
        for view in self.views:
            able = view.deployment == request.deployment
            if able and view.endpoint_id not in exclude | self.leaving:
                return view
        return None

    def is_leaving(self, view: EndpointView) -> bool:
        return view.endpoint_id in self.leaving

    def record_sent(self, request: Request, view: EndpointView) -> None:
        pass

    def record_finished(
        self, request: Request, view: EndpointView, error: ErrorKind | None
    ) -> None:
        pass


ENGINES = (make_view("e-1"), make_view("e-2"))
SERVICES = tuple(
    make_view(name, kind=EndpointKind.SERVICE, deployment="tracking", models=())
    for name in ("s-1", "s-2")
)


class Pausable:
    """Forwards calls to ``inner``; while paused, calls and results are delayed."""

    def __init__(self, inner: Any, running: asyncio.Event) -> None:
        self._inner = inner
        self._running = running

    def __getattr__(self, name: str) -> Any:
        method = getattr(self._inner, name)

        async def paused(*args: Any, **kwargs: Any) -> Any:
            await self._running.wait()
            try:
                return await method(*args, **kwargs)
            finally:
                await self._running.wait()

        return paused


class World:
    """Stores and endpoints that outlive the processes of a test."""

    def __init__(self, cfg: JournalSettings = FAST) -> None:
        self.clock = ManualClock()
        self.tables = MemoryTables(self.clock)
        self.objects = MemoryObjects(self.clock)
        self.engine = FakeEngine()
        self.services = FakeServices()
        self.picker = FakePicker(*ENGINES, *SERVICES)
        self.cfg = cfg
        self.rng = random.Random(1)
        self.nodes: list[Node] = []

    async def node(self, name: str = "n-1", serve: bool = True) -> "Node":
        node = Node(self, name)
        self.nodes.append(node)
        await node.dispatcher.start()
        if serve:
            await node.claim(0)
        return node

    async def close(self) -> None:
        for node in self.nodes:
            await node.kill()


class Node:
    """One process: a dispatcher and the owners of its shards."""

    def __init__(self, world: World, name: str) -> None:
        self.world = world
        self.me = Identity(name, f"{name}:1", 1)
        self.metrics = Metrics()
        self.running = asyncio.Event()
        self.running.set()
        self.dispatcher = Dispatcher(
            world.picker,
            world.engine,  # type: ignore[arg-type]
            Pausable(world.services, self.running),
            cfg=world.cfg,
            clock=world.clock,
            metrics=self.metrics,
        )
        budget = Budget(world.cfg.writes_per_s, world.cfg.urgent_writes_per_s)
        self.parts = OwnerParts(
            Pausable(world.tables, self.running),
            world.objects,
            self.dispatcher,
            Pacer(budget, world.clock.now()),
            world.cfg,
            world.clock,
            world.rng,
            self.metrics,
        )
        self.owners: list[ShardOwner] = []
        self.lost: list[int] = []

    @property
    def owner(self) -> ShardOwner:
        return self.owners[-1]

    async def claim(self, shard: int) -> ShardOwner:
        """Claim a shard and start its owner."""
        tables, clock = self.world.tables, self.world.clock
        seen = await tables.get(shard_key(shard))
        claim = await claim_shard(
            tables, shard, seen, self.me, clock=clock, rng=self.world.rng
        )
        assert claim is not None
        owner = ShardOwner(claim, self.parts, self.lost.append)
        self.owners.append(owner)
        await owner.start()
        await settle()
        return owner

    async def kill(self) -> None:
        """Stop at once, as in a crash: nothing more is written."""
        self.running.set()
        for owner in self.owners:
            owner.stop_serving()
            await owner.stop()
        await self.dispatcher.stop()


class Process:
    """The journal node and the listener of one process."""

    def __init__(self, world: World, name: str) -> None:
        self.base = Node(world, name)
        me = Identity(name, "", int(world.clock.wall()))
        self.peers = PeerClient(CREDENTIAL)
        self.node = JournalNode(
            me,
            Place("wales", "wales-1"),
            self.base.parts,
            drain_seconds=10.0,
            offer=http_offer(self.peers),
        )
        app = journal_app(self.node, CREDENTIAL, self.base.metrics)
        self.server = HttpServer(app, "127.0.0.1", 0, drain_seconds=1.0)

    async def start(self) -> None:
        await self.server.start()
        await self.base.dispatcher.start()
        self.node.me = self.node.me._replace(address=self.server.address)
        await self.node.start()

    async def kill(self) -> None:
        """Stop as in a crash, without handing over shards."""
        self.node._leaving = True
        for owner in list(self.node.owners.values()):
            owner.stop_serving()
        await self.node.stop()
        await self.base.dispatcher.stop()
        await self.server.stop()
        await self.peers.close()

    async def stop(self) -> None:
        """Stop gracefully."""
        await self.node.stop()
        await self.base.dispatcher.stop()
        await self.server.stop()
        await self.peers.close()
