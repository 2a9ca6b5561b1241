"""JSON calls to one service of the platform."""

import json
import time
from types import SimpleNamespace
from typing import Any, NamedTuple

from aiohttp import (
    ClientError,
    ClientSession,
    ClientTimeout,
    TCPConnector,
    TraceConfig,
)

from ebonydeal._internal.errors import EbonydealError, ErrorKind


class Reply(NamedTuple):
    """A complete reply; ``body`` is unparsed."""

    status: int
    body: bytes

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


class JsonCalls:
    """Makes calls; owns one session, which the first call opens.

    Parameters
    ----------
    timeout : float
        Timeout of one call, and of connecting, seconds.
    """

    def __init__(self, timeout: float) -> None:
        self._timeout = timeout
        self._session: ClientSession | None = None

    async def call(
        self,
        method: str,
        url: str,
        no_reply: ErrorKind,
        *,
        wait: float = 0.0,
        headers: dict[str, str] | None = None,
        params: dict[str, str] | None = None,
        message: Any = None,
    ) -> Reply:
        """Make one call; raises ``no_reply`` if no complete reply came.

        ``wait`` is the additional time that the service may take, seconds.
        """
        if self._session is None:
            self._session = ClientSession(
                connector=TCPConnector(limit=0), trace_configs=[_reuse_tracing()]
            )
            # aiohttp itself would repeat a GET whose connection broke.
            self._session._retry_connection = False
        timeout = ClientTimeout(total=self._timeout + wait, sock_connect=self._timeout)
        data = None
        if message is not None:
            data = json.dumps(message).encode()
            headers = {**(headers or {}), "Content-Type": "application/json"}
        connection = {"reused": False}
        began_at = time.monotonic()
        try:
            async with self._session.request(
                method,
                url,
                params=params,
                data=data,
                headers=headers,
                timeout=timeout,
                trace_request_ctx=connection,
            ) as resp:
                return Reply(resp.status, await resp.read())
        except (TimeoutError, ClientError, OSError) as exc:
            waited = time.monotonic() - began_at
            kind = "an open" if connection["reused"] else "a new"
            detail = (
                f"{method} {url}: no reply in {waited:.3f} s on {kind} connection"
                f" ({type(exc).__name__})"
            )
            raise EbonydealError(no_reply, detail) from exc

    async def close(self) -> None:
        """Close the session."""
        if self._session is not None:
            await self._session.close()
            self._session = None
