"""Connections to endpoints: one request at a time, and reused only if known clean."""

import asyncio
from collections.abc import Iterable
from functools import cached_property, partial
from itertools import count
from typing import Any, NamedTuple

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientOSError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
    ServerDisconnectedError,
)
from multidict import CIMultiDict
from yarl import URL

from ebonydeal._internal.errors import ErrorKind
from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.relay.ports import Wire
from ebonydeal._internal.relay.requests.answer_attribution import (
    AnswerReader,
    JoinedHeadError,
    RequestHistory,
)
from ebonydeal._internal.relay.requests.exchange import OutgoingRequest
from ebonydeal._internal.relay.requests.outcomes import MayHaveRun, NotSent
from ebonydeal._internal.utils.bounded_responses import (
    BoundedConnector,
    EndlessAnswerError,
)
from ebonydeal._internal.utils.clock import Clock

# Keep-alive timeout of an endpoint that states none: it may close at any moment.
_DEFAULT_KEEPALIVE_S = 0.5
# Share of the stated keep-alive timeout within which a connection is reused: the
# endpoint's timer began before ours, and its close takes time to be seen.
_KEEPALIVE_SHARE = 0.6
# An at-most-once request is lost if the endpoint has silently closed its connection,
# so it is sent only on connections that were idle for less than this, or less than
# observed closes suggest. A new connection costs about a fiftieth of a request.
_MAX_AT_MOST_ONCE_IDLE_S = 2.0
_MIN_AT_MOST_ONCE_IDLE_S = 0.3
# After a connection was found closed, the limit falls to this share of its idle time;
# it grows by the factor with each connection that was good near the limit.
_IDLE_SHARE_AFTER_CLOSE = 0.5
_IDLE_GROWTH_FACTOR = 1.02
# Errors that show that the endpoint closed the connection before the request arrived.
_CLOSED_ERRORS = (ServerDisconnectedError, ConnectionResetError, ClientOSError)
_SKIPPED_AUTO_HEADERS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")
_UNLIMITED_IDLE_S = 3600.0


class ConnectionParts(NamedTuple):
    """The dependencies of connections to endpoints."""

    wire: Wire
    metrics: Metrics
    clock: Clock


class _SingleConnector(BoundedConnector):
    """Holds one connection, exposes it, and records whether it ended by a reset."""

    proto: AnswerReader | None = None
    was_reset = False

    def __init__(self, history: RequestHistory, wire: Wire, metrics: Metrics) -> None:
        super().__init__(limit=1, keepalive_timeout=_UNLIMITED_IDLE_S)
        self._history = history
        self._wire = wire
        self._metrics = metrics
        factory: Any = partial(AnswerReader, loop=self._loop)
        self._factory = factory

    async def _create_connection(self, *args: Any, **kwargs: Any) -> AnswerReader:
        proto: Any = await super()._create_connection(*args, **kwargs)
        proto.history = self._history
        proto.read_id = self._wire.answered_request
        proto.metrics = self._metrics
        closed = proto.closed
        if closed is not None:
            closed.add_done_callback(self._record_close)
        self.proto = proto
        return self.proto

    def _record_close(self, closed: "asyncio.Future[None]") -> None:
        self.was_reset = not closed.cancelled() and closed.exception() is not None


class _PooledConnection:
    """One connection to an endpoint; its connector holds no other."""

    _numbers = count(1)

    def __init__(self, wire: Wire, metrics: Metrics) -> None:
        self.number = next(self._numbers)
        self.requests = 0
        self.history = RequestHistory()
        self.connector = _SingleConnector(self.history, wire, metrics)
        self.session = ClientSession(connector=self.connector, auto_decompress=False)
        # aiohttp itself would resend a request with an idempotent method when its
        # connection closes; resends are decided by `JobSends`.
        self.session._retry_connection = False
        self.idle_since = 0.0
        self.keepalive_s = _DEFAULT_KEEPALIVE_S

    def idle(self, now: float) -> float | None:
        """Return how long the connection has been idle; None if it was never used."""
        return None if self.connector.proto is None else now - self.idle_since

    def usable(self, now: float, max_idle_s: float) -> bool:
        """Return whether another request may be sent on it."""
        proto = self.connector.proto
        if proto is None or not proto.is_connected():
            return False
        # It received bytes that belong to no request.
        if proto.should_close:
            return False
        return now - self.idle_since < min(
            max_idle_s, self.keepalive_s * _KEEPALIVE_SHARE
        )


class IdleLimit:
    """Maximum idle time of a connection that an at-most-once request may use.

    It falls when endpoints close connections sooner than they state, and rises again
    while none does.
    """

    def __init__(self) -> None:
        self.seconds = _MAX_AT_MOST_ONCE_IDLE_S

    def record_closed(self, idle: float) -> None:
        """Record a connection that was found closed when it was reused."""
        self.seconds = max(
            _MIN_AT_MOST_ONCE_IDLE_S, min(self.seconds, idle * _IDLE_SHARE_AFTER_CLOSE)
        )

    def record_reused(self, idle: float) -> None:
        """Record a connection that was reused and brought an answer."""
        if idle >= self.seconds * _IDLE_SHARE_AFTER_CLOSE:
            self.seconds = min(
                _MAX_AT_MOST_ONCE_IDLE_S, self.seconds * _IDLE_GROWTH_FACTOR
            )


class HttpExchange:
    """One request on one connection, and the head of its answer.

    ``new_connection`` says that the connection was made for this request.
    """

    def __init__(
        self,
        pool: "EndpointPool",
        pooled: _PooledConnection,
        resp: ClientResponse,
        new_connection: bool,
    ) -> None:
        self._pool = pool
        self._pooled = pooled
        self.resp = resp
        self.new_connection = new_connection
        self._finished = False

    @property
    def status(self) -> int:
        """Status of the answer."""
        return self.resp.status

    @property
    def connection(self) -> str:
        """The connection, and how many requests it has carried, for the log."""
        return f"{self._pooled.number}:{self._pooled.requests}"

    @cached_property
    def headers(self) -> list[tuple[str, str]]:
        """Headers of the answer, as text."""
        return [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in self.resp.raw_headers
        ]

    async def read_some(self) -> bytes:
        """Return the next bytes of the body; none at its end."""
        return await self.resp.content.readany()

    async def was_reset(self) -> bool:
        """Return whether a body without length ended by a reset, not a close."""
        # aiohttp reports the end of the body before that of the connection.
        await asyncio.sleep(0)
        return self._pooled.connector.was_reset

    def release(self, keepalive_s: float | None) -> None:
        """Return the connection to the pool: the answer was read and is valid."""
        if self._finished:
            return
        self._finished = True
        self._pool.give_back(self._pooled, keepalive_s)

    def close(self) -> None:
        """Close the connection; the endpoint then stops working on the request."""
        if self._finished:
            return
        self._finished = True
        self.resp.close()
        self._pool.discard(self._pooled)


class EndpointPool:
    """Connections to one endpoint."""

    def __init__(
        self, address: str, parts: ConnectionParts, connect_s: float, limit: IdleLimit
    ) -> None:
        self.address = address
        self._parts = parts
        self._clock = parts.clock
        self._limit = limit
        self._timeout = ClientTimeout(total=None, sock_connect=connect_s)
        self._idle: list[_PooledConnection] = []
        self._closing: set[asyncio.Task] = set()
        self._closed = False

    def _find(self, req: OutgoingRequest, now: float) -> _PooledConnection | None:
        """Return the most recently used connection that a request may use."""
        max_idle_s = self._limit.seconds if req.at_most_once else _UNLIMITED_IDLE_S
        for pooled in reversed(self._idle):
            if pooled.usable(now, max_idle_s) and pooled.history.can_carry(
                req.request_id
            ):
                return pooled
        return None

    def _take(self, req: OutgoingRequest) -> _PooledConnection:
        """Return a connection that the request may use, or a new one."""
        now = self._clock.now()
        self._discard_unusable(now)
        pooled = self._find(req, now)
        if pooled is None:
            return _PooledConnection(self._parts.wire, self._parts.metrics)
        self._idle.remove(pooled)
        return pooled

    async def send(self, req: OutgoingRequest) -> HttpExchange | NotSent | MayHaveRun:
        """Send a request and wait for the head of its answer."""
        pooled = self._take(req)
        idle = pooled.idle(self._clock.now())
        pooled.requests += 1
        pooled.history.begin(req.request_id)
        try:
            resp = await pooled.session.request(
                req.method,
                URL(f"http://{self.address}{req.target}", encoded=True),
                headers=CIMultiDict(req.headers),
                data=req.body or None,
                skip_auto_headers=_SKIPPED_AUTO_HEADERS,
                allow_redirects=False,
                timeout=self._timeout,
            )
        except (ClientConnectorError, ConnectionTimeoutError) as exc:
            self.discard(pooled)
            return NotSent(ErrorKind.CONNECT_FAILED, f"{type(exc).__name__}")
        except (EndlessAnswerError, JoinedHeadError) as exc:
            self.discard(pooled)
            return MayHaveRun(ErrorKind.ENDPOINT_GARBAGE, f"head: {exc}")
        except (TimeoutError, ClientError, OSError, ValueError) as exc:
            self.discard(pooled)
            if idle is not None and isinstance(exc, _CLOSED_ERRORS):
                self._limit.record_closed(idle)
            return MayHaveRun(ErrorKind.ENDPOINT_FAILED, f"{type(exc).__name__}")
        except BaseException:
            self.discard(pooled)
            raise
        if idle is not None:
            self._limit.record_reused(idle)
        return HttpExchange(self, pooled, resp, idle is None)

    def has_idle(self, now: float) -> bool:
        """Return whether an idle connection is open that any request may use."""
        return bool(self._idle) and self._idle[-1].usable(now, self._limit.seconds)

    def has_idle_for(self, req: OutgoingRequest) -> bool:
        """Return whether an idle connection is open that a request may use."""
        return self._find(req, self._clock.now()) is not None

    def give_back(self, pooled: _PooledConnection, keepalive_s: float | None) -> None:
        """Return a connection to the pool for the next request."""
        pooled.idle_since = self._clock.now()
        if keepalive_s is not None:
            pooled.keepalive_s = keepalive_s
        if not self._closed and pooled.usable(pooled.idle_since, _UNLIMITED_IDLE_S):
            self._idle.append(pooled)
        else:
            self.discard(pooled)

    def discard(self, pooled: _PooledConnection) -> None:
        """Close a connection."""
        task = asyncio.ensure_future(pooled.session.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    def sweep(self) -> None:
        """Close connections that were idle for too long."""
        self._discard_unusable(self._clock.now())

    def _discard_unusable(self, now: float) -> None:
        usable = [p for p in self._idle if p.usable(now, _UNLIMITED_IDLE_S)]
        for pooled in set(self._idle) - set(usable):
            self.discard(pooled)
        self._idle = usable

    def close(self) -> None:
        """Close all idle connections, and those in use after their answer."""
        self._closed = True
        for pooled in self._idle:
            self.discard(pooled)
        self._idle = []


class EndpointPools:
    """Connections to all endpoints, by endpoint and address."""

    def __init__(self, parts: ConnectionParts, connect_s: float) -> None:
        self._parts = parts
        self._clock = parts.clock
        self._connect_s = connect_s
        self._limit = IdleLimit()
        self._pools: dict[tuple[str, str], EndpointPool] = {}

    def get(self, member: Member) -> EndpointPool:
        """Return the connections to ``member``."""
        key = (member.endpoint_id, member.address)
        pool = self._pools.get(key)
        if pool is None:
            pool = EndpointPool(
                member.address, self._parts, self._connect_s, self._limit
            )
            self._pools[key] = pool
        return pool

    def connected_endpoints(self) -> frozenset[str]:
        """Return the endpoints to which an idle connection is open."""
        now = self._clock.now()
        return frozenset(
            endpoint_id
            for (endpoint_id, _address), pool in self._pools.items()
            if pool.has_idle(now)
        )

    def drop(self, endpoint_id: str) -> None:
        """Drop idle connections to an endpoint that restarted."""
        for key in [key for key in self._pools if key[0] == endpoint_id]:
            self._pools.pop(key).close()

    def retain_only(self, endpoint_ids: Iterable[str]) -> None:
        """Drop idle connections to other endpoints, and those idle for too long."""
        retained = set(endpoint_ids)
        for key in [key for key in self._pools if key[0] not in retained]:
            self._pools.pop(key).close()
        for pool in self._pools.values():
            pool.sweep()

    def close(self) -> None:
        """Close all idle connections."""
        self.retain_only(())
