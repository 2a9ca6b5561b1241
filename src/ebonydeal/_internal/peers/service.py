"""Rounds with random peers, and at-once pushes of leaving marks.

Each round sends digests of every topic to one peer and gets what is missing back;
a second call sends what the peer is missing. Marks that are news are pushed to
several peers at once, and every process that hears of one passes it on.
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
_LOWEST_JITTER = 0.7
_HIGHEST_JITTER = 1.3


def push_target_count(live: int) -> int:
    """Return to how many of ``live`` peers a push goes first."""
    return PUSH_FANOUT if live > 2 * PUSH_FANOUT else live


class PeerService(Service):
    """The system's own processes among each other.

    Parameters
    ----------
    node : NodeSettings
        Who and where this process is.
    cfg : PeerSettings
        Port, seeds, credential and period.
    metrics, clock, rng
        Counters, time, and the source of peer choice and jitter.
    instances : InstanceList, optional
        Where further peers are found.
    directory : Directory, optional
        Whose leaving marks are carried.
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
        self._targets = PeerSelector(cfg.seeds, cfg.port)
        self._client = PeerClient(cfg.credential, ssl_client)
        self._pushes: dict[str, list[Any]] = {}
        self._push_wanted = asyncio.Event()
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
            self._carry(directory)

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

    def _carry(self, directory: Directory) -> None:
        """Carry a directory's leaving marks and its share of the instance list."""
        self.register(MarksTopic(directory.marks, directory.mark))
        directory.on_mark(self._push_mark)
        self.register(EndpointsTopic(directory.shared, directory.receive_records))
        directory.on_records(self._push_records)
        directory.set_reader_count(self._readers)

    def _readers(self) -> int:
        """Return the processes that share the platform's list with this one."""
        live = self.membership.live()
        return 1 + sum(
            not LIST_READING_ROLES.isdisjoint(member.roles) for member in live
        )

    # --- for other parts ---------------------------------------------------------
    def register(self, topic: Topic) -> None:
        """Carry a further topic; before the start."""
        self._exchange.register(topic)

    def add_routes(self, routes: Iterable[web.AbstractRouteDef]) -> None:
        """Serve further routes on the peer listener; before the start."""
        self.app.add_routes(routes)

    def members(self) -> tuple[Member, ...]:
        """Return the other processes that are alive, as far as is known."""
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
        """Send payload items of a topic to several peers at once, soon."""
        self._pushes.setdefault(topic, []).extend(items)
        self._push_wanted.set()

    def push_if_small_group(self, topic: str, items: list[Any]) -> None:
        """Push news that can wait for the rounds in a large group.

        Each process passes a push on, so its bytes grow with the width; rounds
        bring each item once, some seconds later.
        """
        if len(self.membership.live()) <= 2 * PUSH_FANOUT:
            self.push(topic, items)

    # --- life ------------------------------------------------------------------
    async def on_start(self) -> None:
        """Bind the listener, then tell its address."""
        await self.add_runtime_dependency(self.server)
        self.membership.set_address(self.server.address, self._clock.now())

    async def on_stop(self) -> None:
        """Say goodbye, so that nobody suspects this process."""
        self.membership.leave(self._clock.now())
        await self._push_to_some({})

    async def on_shutdown(self) -> None:
        """Close the connections."""
        await self._client.close()

    @Service.task
    async def _rounds(self) -> None:
        while not self.should_stop:
            await self.round()
            jitter = self._rng.uniform(_LOWEST_JITTER, _HIGHEST_JITTER)
            await self._clock.sleep(self._cfg.period * jitter)

    @Service.task
    async def _send_pushes(self) -> None:
        while not self.should_stop:
            await self._push_wanted.wait()
            await self._clock.sleep(PUSH_BATCH_INTERVAL_S)
            self._push_wanted.clear()
            payloads, self._pushes = self._pushes, {}
            await self._push_to_some(payloads)

    @Service.task
    async def _follow_list(self) -> None:
        while not self.should_stop and self._instances is not None:
            if should_read(self._readers(), self._rng.random()):
                await self._read_nodes(self._instances)
            jitter = self._rng.uniform(_LOWEST_JITTER, _HIGHEST_JITTER)
            await self._clock.sleep(LIST_READ_INTERVAL_S * jitter)

    async def _read_nodes(self, instances: InstanceList) -> None:
        """Look for peers that nobody told of yet."""
        try:
            self._targets.set_listed(await instances.own_nodes())
        except EbonydealError as exc:
            logger.debug("Can't read the instance list.", reason=str(exc))

    # --- rounds --------------------------------------------------------------------
    async def round(self) -> None:
        """Hold one round with one peer, if there is any."""
        for member in self.membership.tick(self._clock.now()):
            logger.warning("A peer is gone.", peer=member.id)
        target = self._targets.choose(self.membership, self._rng)
        if target is None:
            return
        self._metrics.count(Event.PEER_ROUNDS)
        try:
            await self._round_with(target.address, target.member_id)
        except EbonydealError as exc:
            self._metrics.count(Event.PEER_UNREACHABLE)
            if exc.kind is ErrorKind.UNAUTHORIZED:
                logger.error("A peer refuses the credential.", address=target.address)
            self.membership.record_unreachable(target.member_id, self._clock.now())

    async def _round_with(self, address: str, member_id: str) -> None:
        """Exchange digests, take what is missing here, send what is there."""
        answer = await self._call(address, ROUND_PATH, self._exchange.build_request())
        closing = self._exchange.handle_response(answer, member_id, self._clock.now())
        if closing is not None:
            self._exchange.apply_payloads(await self._call(address, PUSH_PATH, closing))

    async def _handle_round(self, req: web.Request) -> web.Response:
        """Answer a peer's digests with what it lacks and the own digests."""
        message = await read_json(req)
        return self._respond(self._exchange.handle_request(message, self._clock.now()))

    async def _handle_push(self, req: web.Request) -> web.Response:
        """Take what a peer sends; answer with what it lacks, if it asks."""
        message = await read_json(req)
        return self._respond(self._exchange.handle_push(message, self._clock.now()))

    # --- pushes --------------------------------------------------------------------
    def _push_mark(self, mark: LeavingMark) -> None:
        self.push(MarksTopic.name, [mark_to_wire(mark)])

    def _push_records(self, facts: list[EndpointRecord]) -> None:
        self.push_if_small_group(
            EndpointsTopic.name, [fact.to_wire() for fact in facts]
        )

    async def _push_to_some(self, payloads: dict[str, Any]) -> None:
        """Push to random peers; where one can't be reached, try others."""
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
            raise EbonydealError(ErrorKind.INTERNAL, f"{address} answered garbage")
        return reply

    def _respond(self, message: Any) -> web.Response:
        self._count_bytes(message, RESPONSE_HEADER_BYTES)
        return web.json_response(message)

    def _count_bytes(self, message: Any, headers: int) -> None:
        """Count body and HTTP headers; what TCP and IP add isn't seen here."""
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
