"""Gossip rounds with random peers, and immediate pushes of leaving marks.

Each round sends digests of every topic to one peer and receives what is missing here;
a second call sends what the peer lacks. New marks are pushed to several peers
immediately, and every process that receives a new one forwards it.
"""

import asyncio
import json
import random
from collections.abc import Iterable
from ssl import SSLContext
from typing import Any

from aiohttp import web
from mode import Service

from ebonydeal._internal.directory.service import Directory
from ebonydeal._internal.directory.sharing import EndpointRecord, should_read
from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.endpoints import LeavingMark
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.outside.interfaces import InstanceList
from ebonydeal._internal.peers.access import credential_middleware
from ebonydeal._internal.peers.endpoints_topic import EndpointsTopic
from ebonydeal._internal.peers.exchange import GossipExchange
from ebonydeal._internal.peers.membership import (
    Member,
    Membership,
    MembershipTimeouts,
    MemberStatus,
)
from ebonydeal._internal.peers.peer_selector import PeerSelector
from ebonydeal._internal.peers.topics import (
    MarksTopic,
    MembersTopic,
    Topic,
    mark_to_wire,
)
from ebonydeal._internal.settings.sections import NodeSettings, PeerSettings
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.peerclient import PeerClient
from ebonydeal._internal.utils.web import HttpServer, new_app, read_json

logger = get_logger("peers")

ROUND_PATH = "/peers/v1/round"
PUSH_PATH = "/peers/v1/push"
REQUEST_HEADER_BYTES = 250
RESPONSE_HEADER_BYTES = 160
PUSH_FANOUT = 8
MAX_PUSH_ATTEMPTS = 3
PUSH_BATCH_INTERVAL_S = 0.02
LIST_READ_INTERVAL_S = 5.0
LIST_READING_ROLES = frozenset({"gateway", "journal"})
CALL_TIMEOUT_S = 1.0
_MIN_JITTER = 0.7
_MAX_JITTER = 1.3


def push_target_count(live: int) -> int:
    """Return to how many of ``live`` peers a process pushes."""
    return PUSH_FANOUT if live > 2 * PUSH_FANOUT else live


class PeerService(Service):
    """Gossip between the system's own processes.

    Parameters
    ----------
    node : NodeSettings
        Id and location of this process.
    cfg : PeerSettings
        Port, seeds, credential and period.
    metrics, clock, rng
        Counters, time, and the source of peer choice and jitter.
    instances : InstanceList, optional
        For finding further peers.
    directory : Directory, optional
        Its leaving marks and its records of the instance list are spread.
    roles : iterable of str
        Programs that this process runs.
    ssl_server, ssl_client : SSLContext, optional
        For TLS.
    """

    def __init__(
        self,
        node: NodeSettings,
        cfg: PeerSettings,
        metrics: Metrics,
        clock: Clock,
        rng: random.Random,
        *,
        instances: InstanceList | None = None,
        directory: Directory | None = None,
        roles: Iterable[str] = (),
        ssl_server: SSLContext | None = None,
        ssl_client: SSLContext | None = None,
    ) -> None:
        super().__init__()
        self._node = node
        self._cfg = cfg
        self._metrics = metrics
        self._clock = clock
        self._rng = rng
        self._instances = instances
        self._selector = PeerSelector(cfg.seeds, cfg.port)
        self._client = PeerClient(cfg.credential, ssl_client)
        self._pushes: dict[str, list[Any]] = {}
        self._push_requested = asyncio.Event()
        self.app = new_app(metrics)
        self.app.middlewares.append(credential_middleware(cfg.credential))
        self.app.router.add_post(ROUND_PATH, self._handle_round)
        self.app.router.add_post(PUSH_PATH, self._handle_push)
        self.server = HttpServer(
            self.app,
            node.host,
            cfg.port,
            ssl_context=ssl_server,
            drain_seconds=node.drain_seconds,
        )
        self.membership = self._new_membership(tuple(roles))
        self._exchange = GossipExchange(self.membership)
        self.register(MembersTopic(self.membership, clock))
        if directory is not None:
            self._connect_directory(directory)

    @classmethod
    def from_config(
        cls,
        node: NodeSettings,
        cfg: PeerSettings,
        metrics: Metrics,
        clock: Clock,
        rng: random.Random,
        *,
        instances: InstanceList | None = None,
        directory: Directory | None = None,
        roles: Iterable[str] = (),
        ssl_server: SSLContext | None = None,
        ssl_client: SSLContext | None = None,
    ) -> "PeerService":
        """Build from the ``[node]`` and ``[peers]`` sections."""
        return cls(
            node,
            cfg,
            metrics,
            clock,
            rng,
            instances=instances,
            directory=directory,
            roles=roles,
            ssl_server=ssl_server,
            ssl_client=ssl_client,
        )

    def _connect_directory(self, directory: Directory) -> None:
        """Spread a directory's leaving marks and its records of the instance list."""
        self.register(MarksTopic(directory.marks, directory.mark))
        directory.on_mark(self._push_mark)
        self.register(EndpointsTopic(directory.shared, directory.receive_records))
        directory.on_records(self._push_records)
        directory.set_reader_count(self._reader_count)

    def _reader_count(self) -> int:
        """Return the number of processes that share the platform's list, with this."""
        live = self.membership.live()
        return 1 + sum(
            not LIST_READING_ROLES.isdisjoint(member.roles) for member in live
        )

    # --- for other parts ---------------------------------------------------------
    def register(self, topic: Topic) -> None:
        """Add a topic; before the start."""
        self._exchange.register(topic)

    def add_routes(self, routes: Iterable[web.AbstractRouteDef]) -> None:
        """Serve further routes on the peer listener; before the start."""
        self.app.add_routes(routes)

    def members(self) -> tuple[Member, ...]:
        """Return the other processes that are believed alive."""
        return tuple(self.membership.live())

    @property
    def address(self) -> str:
        """``host:port`` of the peer listener, as bound."""
        return self.server.address

    @property
    def incarnation(self) -> int:
        """Incarnation of this process."""
        return self.membership.own.incarnation

    def push(self, topic: str, items: list[Any]) -> None:
        """Push payload items of a topic to several peers with the next batch."""
        self._pushes.setdefault(topic, []).extend(items)
        self._push_requested.set()

    def push_if_small_group(self, topic: str, items: list[Any]) -> None:
        """Push items, unless the group is large; there they wait for the rounds.

        Each process forwards a push, so its bytes grow with the number of targets;
        rounds deliver each item once, some seconds later.
        """
        if len(self.membership.live()) <= 2 * PUSH_FANOUT:
            self.push(topic, items)

    # --- lifecycle -------------------------------------------------------------
    async def on_start(self) -> None:
        """Bind the listener, then announce its address."""
        await self.add_runtime_dependency(self.server)
        self.membership.set_address(self.server.address, self._clock.now())

    async def on_stop(self) -> None:
        """Announce the stop, so that no peer suspects this process."""
        self.membership.leave(self._clock.now())
        await self._push_to_some({})

    async def on_shutdown(self) -> None:
        """Close the connections."""
        await self._client.close()

    @Service.task
    async def _run_rounds(self) -> None:
        while not self.should_stop:
            await self.round()
            jitter = self._rng.uniform(_MIN_JITTER, _MAX_JITTER)
            await self._clock.sleep(self._cfg.period * jitter)

    @Service.task
    async def _send_pushes(self) -> None:
        while not self.should_stop:
            await self._push_requested.wait()
            await self._clock.sleep(PUSH_BATCH_INTERVAL_S)
            self._push_requested.clear()
            payloads, self._pushes = self._pushes, {}
            await self._push_to_some(payloads)

    @Service.task
    async def _follow_list(self) -> None:
        while not self.should_stop and self._instances is not None:
            if should_read(self._reader_count(), self._rng.random()):
                await self._read_nodes(self._instances)
            jitter = self._rng.uniform(_MIN_JITTER, _MAX_JITTER)
            await self._clock.sleep(LIST_READ_INTERVAL_S * jitter)

    async def _read_nodes(self, instances: InstanceList) -> None:
        """Look for peers that gossip hasn't found yet."""
        try:
            self._selector.set_listed(await instances.own_nodes())
        except EbonydealError as exc:
            logger.debug("Reading the instance list failed.", reason=str(exc))

    # --- rounds --------------------------------------------------------------------
    async def round(self) -> None:
        """Run one round with one peer, if any is known."""
        for member in self.membership.tick(self._clock.now()):
            logger.warning("Peer declared dead after its suspicion.", peer=member.id)
        target = self._selector.choose(self.membership, self._rng)
        if target is None:
            return
        self._metrics.count(Event.PEER_ROUNDS)
        try:
            await self._round_with(target.address, target.member_id)
        except EbonydealError as exc:
            self._metrics.count(Event.PEER_UNREACHABLE)
            if exc.kind is ErrorKind.UNAUTHORIZED:
                logger.error("Peer rejected the credential.", address=target.address)
            self.membership.record_unreachable(target.member_id, self._clock.now())

    async def _round_with(self, address: str, member_id: str) -> None:
        """Exchange digests, apply what is missing here, push what the peer lacks."""
        response = await self._call(address, ROUND_PATH, self._exchange.build_request())
        push = self._exchange.handle_response(response, member_id, self._clock.now())
        if push is not None:
            self._exchange.apply_payloads(await self._call(address, PUSH_PATH, push))

    async def _handle_round(self, req: web.Request) -> web.Response:
        """Respond to a peer's digests with what it lacks and with own digests."""
        message = await read_json(req)
        return self._respond(self._exchange.handle_request(message, self._clock.now()))

    async def _handle_push(self, req: web.Request) -> web.Response:
        """Apply a peer's push; respond with what it lacks, if it sent digests."""
        message = await read_json(req)
        return self._respond(self._exchange.handle_push(message, self._clock.now()))

    # --- pushes --------------------------------------------------------------------
    def _push_mark(self, mark: LeavingMark) -> None:
        self.push(MarksTopic.name, [mark_to_wire(mark)])

    def _push_records(self, records: list[EndpointRecord]) -> None:
        self.push_if_small_group(
            EndpointsTopic.name, [record.to_wire() for record in records]
        )

    async def _push_to_some(self, payloads: dict[str, Any]) -> None:
        """Push to random peers; replace unreachable ones by others."""
        live = self.membership.live()
        self._rng.shuffle(live)
        message = self._exchange.build_push(payloads)
        wanted = push_target_count(len(live))
        for _ in range(MAX_PUSH_ATTEMPTS):
            chosen, live = live[:wanted], live[wanted:]
            results = await asyncio.gather(
                *(self._push_to(member, message) for member in chosen)
            )
            wanted = results.count(False)
            if not wanted:
                return

    async def _push_to(self, member: Member, message: dict[str, Any]) -> bool:
        try:
            reply = await self._call(member.address, PUSH_PATH, message)
        except EbonydealError:
            self._metrics.count(Event.PEER_UNREACHABLE)
            return False
        self._exchange.apply_payloads(reply)
        return True

    # --- transport -------------------------------------------------------------------
    async def _call(self, address: str, path: str, message: Any) -> dict[str, Any]:
        self._count_bytes(message, REQUEST_HEADER_BYTES)
        reply = await self._client.call(address, path, message, CALL_TIMEOUT_S)
        if not isinstance(reply, dict):
            raise EbonydealError(
                ErrorKind.INTERNAL, f"{address} sent a malformed response"
            )
        return reply

    def _respond(self, message: Any) -> web.Response:
        self._count_bytes(message, RESPONSE_HEADER_BYTES)
        return web.json_response(message)

    def _count_bytes(self, message: Any, headers: int) -> None:
        """Count body and HTTP headers; the overhead of TCP and IP isn't known here."""
        size = len(json.dumps(message)) + headers
        self._metrics.count(Event.PEER_BYTES_OUT, size)

    def _new_membership(self, roles: tuple[str, ...]) -> Membership:
        own = Member(
            id=self._node.id,
            incarnation=int(self._clock.wall() * 1000),
            heartbeat=0,
            status=MemberStatus.ALIVE,
            address="",
            region=self._node.region,
            zone=self._node.zone,
            roles=roles,
        )
        return Membership(own, MembershipTimeouts(period=self._cfg.period))
