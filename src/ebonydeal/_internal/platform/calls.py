"""JSON calls to one service of the platform."""

import json
from collections.abc import Mapping
from types import MappingProxyType, SimpleNamespace
from typing import Any, NamedTuple

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
    TraceConfig,
)
from yarl import URL

from ebonydeal._internal.errors import EbonydealError, ErrorKind, NoReplyError
from ebonydeal._internal.utils.bounded_responses import (
    BoundedConnector,
    read_bounded,
)
from ebonydeal._internal.utils.clock import SystemClock
from ebonydeal._internal.utils.http_sessions import HttpSessions

# A connection that was idle for longer may have fallen silent, and isn't used again.
_MAX_IDLE_S = 2.0
# A reply of the store has at most a megabyte of rows.
_MAX_REPLY_BYTES = 32_000_000


class Reply(NamedTuple):
    """A complete reply; ``body`` is unparsed."""

    status: int
    body: bytes
    headers: Mapping[str, str] = MappingProxyType({})

    def parse(self) -> Any:
        """Return the body's JSON, None for an empty body; raises ValueError."""
        return json.loads(self.body) if self.body else None


async def _note_reused(_session: Any, ctx: SimpleNamespace, _params: Any) -> None:
    ctx.trace_request_ctx["reused"] = True


def _reuse_tracing() -> TraceConfig:
    """Return tracing that tells a call whether its connection was open before."""
    tracing = TraceConfig()
    tracing.on_connection_reuseconn.append(_note_reused)
    return tracing


def _open_session() -> ClientSession:
    return _session(BoundedConnector(limit=0, keepalive_timeout=_MAX_IDLE_S))


def _open_single_use_session() -> ClientSession:
    return _session(BoundedConnector(limit=0, force_close=True))


def _session(connector: BoundedConnector) -> ClientSession:
    session = ClientSession(connector=connector, trace_configs=[_reuse_tracing()])
    # aiohttp itself would repeat a GET whose connection broke.
    session._retry_connection = False
    return session


class JsonCalls:
    """Makes calls; owns the sessions, which calls open.

    Parameters
    ----------
    timeout : float
        Timeout of one call, and of connecting, seconds.
    reuses_connections : bool
        False for services that may send more than one reply to a call: the next call
        on that connection would take it for its own.
    """

    def __init__(self, timeout: float, reuses_connections: bool = True) -> None:
        self._timeout = timeout
        self._sessions = HttpSessions(
            _open_session if reuses_connections else _open_single_use_session
        )

    async def call(
        self,
        method: str,
        url: str,
        no_reply: ErrorKind,
        *,
        timeout: float | None = None,
        headers: dict[str, str] | None = None,
        params: dict[str, str] | None = None,
        message: Any = None,
    ) -> Reply:
        """Make one call; raises ``no_reply`` if no complete reply came.

        The error is a `NoReplyError` if a connection was established.

        ``timeout`` replaces that of all calls, seconds.
        """
        total = self._timeout if timeout is None else timeout
        limits = ClientTimeout(total=total, sock_connect=self._timeout)
        data = None
        if message is not None:
            data = json.dumps(message).encode()
            headers = {**(headers or {}), "Content-Type": "application/json"}
        connection = {"reused": False}
        clock = SystemClock()
        began_at = clock.now()
        try:
            async with (
                self._sessions.use(URL(url).authority) as session,
                session.request(
                    method,
                    url,
                    params=params,
                    data=data,
                    headers=headers,
                    timeout=limits,
                    trace_request_ctx=connection,
                ) as resp,
            ):
                body = await read_bounded(resp, _MAX_REPLY_BYTES)
                return Reply(resp.status, body, resp.headers)
        except (TimeoutError, ClientError, OSError) as exc:
            waited = clock.now() - began_at
            kind = "an open" if connection["reused"] else "a new"
            detail = (
                f"{method} {url}: no reply in {waited:.3f} s on {kind} connection"
                f" ({type(exc).__name__})"
            )
            if isinstance(exc, ClientConnectorError | ConnectionTimeoutError):
                raise EbonydealError(no_reply, detail) from exc
            raise NoReplyError(no_reply, detail, connection["reused"]) from exc

    async def close(self) -> None:
        """Close the sessions."""
        await self._sessions.close()
