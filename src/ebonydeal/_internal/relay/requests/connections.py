"""Connections to endpoints: one request at a time, and none that is in doubt."""

import asyncio
from collections.abc import Iterable
from typing import Any

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientOSError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
    ServerDisconnectedError,
    TCPConnector,
)
from aiohttp.client_proto import ResponseHandler
from multidict import CIMultiDict
from yarl import URL

from ebonydeal._internal.errors import ErrorKind
from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.relay.requests.outcomes import MayHaveRun, NotSent
from ebonydeal._internal.utils.clock import Clock

# An endpoint that states no idle time may close any moment.
_UNSTATED_IDLE_S = 0.5
# Share of the stated idle time within which a connection is used again: the
# endpoint's timer began before ours, and its close takes time to be seen.
_IDLE_SHARE = 0.6
# A request that may run once is lost where it meets a silent close, so it only
# goes on connections that were idle for less than this, or less than what closes
# that were met have shown. A new connection costs about a fiftieth of a request.
_ONCE_IDLE_S = 2.0
_LEAST_ONCE_IDLE_S = 0.3
# Share of the idle time at which a connection was found closed that is used from
# then on, and growth with each connection that was good at the limit.
_CLOSED_SHARE = 0.5
_GROWTH = 1.02
# How a connection shows that its other end was gone before the request came.
_CLOSED = (ServerDisconnectedError, ConnectionResetError, ClientOSError)
_SKIP = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")
_KEEP_FOREVER = 3600.0


class _OneConnector(TCPConnector):
    """Holds one connection, shows it, and tells whether it ended by a reset."""

    proto: ResponseHandler | None = None
    was_reset = False

    async def _create_connection(self, *args: Any, **kwargs: Any) -> ResponseHandler:
        proto = await super()._create_connection(*args, **kwargs)
        ended = proto.closed
        if ended is not None:
            ended.add_done_callback(self._note_end)
        self.proto = proto
        return proto

    def _note_end(self, ended: "asyncio.Future[None]") -> None:
        self.was_reset = not ended.cancelled() and ended.exception() is not None


class _Pooled:
    """One connection to an endpoint; its connector holds no other."""

    def __init__(self) -> None:
        self.connector = _OneConnector(limit=1, keepalive_timeout=_KEEP_FOREVER)
        self.session = ClientSession(connector=self.connector, auto_decompress=False)
        # The library would send a request with an idempotent method again by
        # itself when its connection closes: whether to is decided elsewhere.
        self.session._retry_connection = False
        self.idle_since = 0.0
        self.idle_time = _UNSTATED_IDLE_S

    def idle(self, now: float) -> float | None:
        """Return how long a connection that was used before has been idle."""
        return None if self.connector.proto is None else now - self.idle_since

    def usable(self, now: float, most_idle: float) -> bool:
        """Return whether nothing speaks against another request on it."""
        proto = self.connector.proto
        if proto is None or not proto.is_connected():
            return False
        # Bytes that came without a request belong to no request.
        if proto.should_close:
            return False
        return now - self.idle_since < min(most_idle, self.idle_time * _IDLE_SHARE)


class IdleLimit:
    """How long a connection may be idle for a request that may run once.

    It falls where endpoints are found to drop connections sooner than they say,
    and rises again while none does.
    """

    def __init__(self) -> None:
        self.seconds = _ONCE_IDLE_S

    def closed(self, idle: float) -> None:
        """Note a connection that ended when it was used again."""
        self.seconds = max(_LEAST_ONCE_IDLE_S, min(self.seconds, idle * _CLOSED_SHARE))

    def good(self, idle: float) -> None:
        """Note a connection that was used again and brought an answer."""
        if idle >= self.seconds * _CLOSED_SHARE:
            self.seconds = min(_ONCE_IDLE_S, self.seconds * _GROWTH)


class HttpExchange:
    """One request on one connection, and the beginning of its answer."""

    def __init__(
        self, pool: "EndpointPool", pooled: _Pooled, resp: ClientResponse
    ) -> None:
        self._pool = pool
        self._pooled = pooled
        self.resp = resp
        self._over = False

    async def cut_off(self) -> bool:
        """Return whether a body without length ended by a reset, not a close."""
        # The end of the body is told before the end of the connection.
        await asyncio.sleep(0)
        return self._pooled.connector.was_reset

    def done(self, idle_time: float | None) -> None:
        """Keep the connection: the answer was read whole and is sound."""
        if self._over:
            return
        self._over = True
        self._pool.give_back(self._pooled, idle_time)

    def close(self) -> None:
        """Close the connection; the endpoint stops working on the request."""
        if self._over:
            return
        self._over = True
        self.resp.close()
        self._pool.discard(self._pooled)


class EndpointPool:
    """Connections to one endpoint."""

    def __init__(
        self, address: str, clock: Clock, connect_s: float, limit: IdleLimit
    ) -> None:
        self.address = address
        self._clock = clock
        self._limit = limit
        self._timeout = ClientTimeout(total=None, sock_connect=connect_s)
        self._idle: list[_Pooled] = []
        self._closing: set[asyncio.Task] = set()
        self._closed = False

    def _take(self, once: bool) -> _Pooled:
        """Return the connection that was used last, or a new one."""
        now = self._clock.now()
        while self._idle:
            pooled = self._idle[-1]
            if not pooled.usable(now, _KEEP_FOREVER):
                self.discard(self._idle.pop())
                continue
            if once and not pooled.usable(now, self._limit.seconds):
                # Those below were idle for longer; they serve other requests.
                break
            return self._idle.pop()
        return _Pooled()

    async def send(
        self,
        method: str,
        target: str,
        headers: Iterable[tuple[str, str]],
        body: bytes,
        once: bool,
    ) -> HttpExchange | NotSent | MayHaveRun:
        """Send a request and wait for the head of its answer."""
        pooled = self._take(once)
        idle = pooled.idle(self._clock.now())
        try:
            resp = await pooled.session.request(
                method,
                URL(f"http://{self.address}{target}", encoded=True),
                headers=CIMultiDict(headers),
                data=body or None,
                skip_auto_headers=_SKIP,
                allow_redirects=False,
                timeout=self._timeout,
            )
        except (ClientConnectorError, ConnectionTimeoutError) as exc:
            self.discard(pooled)
            return NotSent(ErrorKind.CONNECT_FAILED, f"{type(exc).__name__}")
        except (TimeoutError, ClientError, OSError, ValueError) as exc:
            self.discard(pooled)
            if idle is not None and isinstance(exc, _CLOSED):
                self._limit.closed(idle)
            return MayHaveRun(ErrorKind.ENDPOINT_FAILED, f"{type(exc).__name__}")
        except BaseException:
            self.discard(pooled)
            raise
        if idle is not None:
            self._limit.good(idle)
        return HttpExchange(self, pooled, resp)

    def has_idle(self, now: float) -> bool:
        """Return whether a connection is open that any request may go on."""
        return bool(self._idle) and self._idle[-1].usable(now, self._limit.seconds)

    def give_back(self, pooled: _Pooled, idle_time: float | None) -> None:
        """Keep a connection for the next request."""
        pooled.idle_since = self._clock.now()
        if idle_time is not None:
            pooled.idle_time = idle_time
        if not self._closed and pooled.usable(pooled.idle_since, _KEEP_FOREVER):
            self._idle.append(pooled)
        else:
            self.discard(pooled)

    def discard(self, pooled: _Pooled) -> None:
        """Close a connection."""
        task = asyncio.ensure_future(pooled.session.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    def sweep(self) -> None:
        """Close connections that were idle for too long."""
        now = self._clock.now()
        kept = [p for p in self._idle if p.usable(now, _KEEP_FOREVER)]
        for pooled in set(self._idle) - set(kept):
            self.discard(pooled)
        self._idle = kept

    def close(self) -> None:
        """Close all idle connections, and those in use after their answer."""
        self._closed = True
        for pooled in self._idle:
            self.discard(pooled)
        self._idle = []


class EndpointPools:
    """Connections to all endpoints, by endpoint and address."""

    def __init__(self, clock: Clock, connect_s: float) -> None:
        self._clock = clock
        self._connect_s = connect_s
        self._limit = IdleLimit()
        self._pools: dict[tuple[str, str], EndpointPool] = {}

    def get(self, member: Member) -> EndpointPool:
        """Return the connections to ``member``."""
        key = (member.endpoint_id, member.address)
        pool = self._pools.get(key)
        if pool is None:
            pool = EndpointPool(
                member.address, self._clock, self._connect_s, self._limit
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
        """Drop idle connections to an endpoint that started again."""
        for key in [key for key in self._pools if key[0] == endpoint_id]:
            self._pools.pop(key).close()

    def retain_only(self, endpoint_ids: Iterable[str]) -> None:
        """Drop idle connections to endpoints that are gone, and old ones."""
        known = set(endpoint_ids)
        for key in [key for key in self._pools if key[0] not in known]:
            self._pools.pop(key).close()
        for pool in self._pools.values():
            pool.sweep()

    def close(self) -> None:
        """Close all idle connections."""
        self.retain_only(())
