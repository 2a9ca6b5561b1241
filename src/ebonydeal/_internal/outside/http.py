"""One HTTP client for all adapters: no silent repeat, no doubtful connection kept."""

import json
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientResponseError,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
    InvalidURL,
    TCPConnector,
)
from yarl import URL

from ebonydeal._internal.errors import EbonydealError, ErrorKind

NOT_RUN_HEADER = "X-Not-Run"
ATTEMPT_HEADER = "X-Attempt-Id"
LOAD_HEADER = "X-Engine-Load"
_KEEPALIVE_S = 15.0
_MAX_ANSWER = 64 * 1024 * 1024
_MAX_LINE = 1024 * 1024


class FailureKinds(NamedTuple):
    """Which error kind a failed call gets.

    Attributes
    ----------
    not_sent : ErrorKind
        The connection was never made: proof that nothing was sent.
    lost : ErrorKind
        Something may have been sent, and no whole answer came.
    garbage : ErrorKind
        An answer came that can't be read.
    """

    not_sent: ErrorKind
    lost: ErrorKind
    garbage: ErrorKind


READ = FailureKinds(
    ErrorKind.STORE_UNAVAILABLE,
    ErrorKind.STORE_UNAVAILABLE,
    ErrorKind.STORE_UNAVAILABLE,
)
WRITE = FailureKinds(
    ErrorKind.STORE_UNAVAILABLE, ErrorKind.STORE_IN_DOUBT, ErrorKind.STORE_IN_DOUBT
)
ENDPOINT = FailureKinds(
    ErrorKind.CONNECT_FAILED, ErrorKind.ENDPOINT_FAILED, ErrorKind.ENDPOINT_GARBAGE
)


class Reply(NamedTuple):
    """A whole answer."""

    status: int
    headers: Mapping[str, str]
    content_type: str
    body: bytes


class HttpClient:
    """Owns one session; maps every failure to an error kind.

    Parameters
    ----------
    timeout : float
        Longest wait for a whole call, seconds; half of it for the connection,
        so that "never connected" and "no answer" can be told apart.
    pooled : bool
        Keep idle connections. Without, each call has a connection of its own,
        and an idle connection that the server closes meanwhile can't turn a
        call that was never read into one in doubt.
    """

    def __init__(self, timeout: float, *, pooled: bool = True) -> None:
        self._timeout = timeout
        self._pooled = pooled
        self._session: ClientSession | None = None

    def _open(self) -> ClientSession:
        """Return the session, made inside the running loop."""
        if self._session is None:
            if self._pooled:
                connector = TCPConnector(limit=0, keepalive_timeout=_KEEPALIVE_S)
            else:
                connector = TCPConnector(limit=0, force_close=True)
            self._session = ClientSession(
                connector=connector, read_bufsize=_MAX_LINE, auto_decompress=True
            )
            # aiohttp repeats PUT, DELETE and GET on a connection that broke;
            # whether a repeat is safe is not the library's to decide.
            self._session._retry_connection = False
        return self._session

    @asynccontextmanager
    async def open(
        self,
        method: str,
        url: str | URL,
        kinds: FailureKinds,
        *,
        timeout: float | None = None,
        timeout_covers_body: bool = True,
        **options: Any,
    ) -> AsyncIterator[ClientResponse]:
        """Send a request and yield the response; close it on any failure.

        Parameters
        ----------
        kinds : Kinds
            Error kinds of the failures, also of those inside the block.
        timeout : float, optional
            In place of the client's own.
        timeout_covers_body : bool
            Whether the timeout covers the body too (not for streams).
        """
        limit = self._timeout if timeout is None else timeout
        waits = ClientTimeout(
            total=limit if timeout_covers_body else None,
            sock_connect=max(0.001, limit / 2),
        )
        try:
            async with self._open().request(
                method, url, timeout=waits, allow_redirects=False, **options
            ) as resp:
                try:
                    yield resp
                finally:
                    if not resp.content.at_eof():
                        resp.close()
        except (ClientError, TimeoutError, OSError) as exc:
            raise _failure(exc, url, kinds) from exc

    async def fetch(
        self,
        method: str,
        url: str | URL,
        kinds: FailureKinds,
        *,
        timeout: float | None = None,
        **options: Any,
    ) -> Reply:
        """Send a request and return the whole answer, whatever its status."""
        async with self.open(method, url, kinds, timeout=timeout, **options) as resp:
            body = await _read_whole(resp, url, kinds)
            return Reply(resp.status, resp.headers, resp.content_type, body)

    async def close(self) -> None:
        """Close the session and its connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None


async def _read_whole(
    resp: ClientResponse, url: str | URL, kinds: FailureKinds
) -> bytes:
    """Return the body, refusing one that would fill the memory."""
    parts = []
    size = 0
    async for part in resp.content.iter_any():
        size += len(part)
        if size > _MAX_ANSWER:
            raise EbonydealError(kinds.garbage, f"answer of {url} is too large")
        parts.append(part)
    return b"".join(parts)


def _failure(exc: Exception, url: str | URL, kinds: FailureKinds) -> EbonydealError:
    """Return the error kind of a call that got no whole answer."""
    if isinstance(exc, (ClientConnectorError, ConnectionTimeoutError, InvalidURL)):
        return EbonydealError(kinds.not_sent, f"can't connect to {url}")
    if isinstance(exc, ClientResponseError):
        return EbonydealError(kinds.garbage, f"answer of {url} is not HTTP")
    word = type(exc).__name__
    return EbonydealError(kinds.lost, f"no whole answer from {url} ({word})")


def read_object(reply: Reply, url: str, kinds: FailureKinds) -> dict[str, Any]:
    """Return the body as a JSON object, or raise the garbage kind."""
    try:
        body = json.loads(reply.body)
    except (ValueError, RecursionError) as exc:
        raise EbonydealError(kinds.garbage, f"answer of {url} is not JSON") from exc
    if not isinstance(body, dict):
        raise EbonydealError(kinds.garbage, f"answer of {url} is not an object")
    return body


def check_status(reply: Reply, url: str, kinds: FailureKinds) -> None:
    """Raise for a status of the platform that is not 200.

    503 and 429 mean that nothing took effect; other 4xx that the request was
    wrong; all else is as good as a lost answer.
    """
    if reply.status == 200:
        return
    detail = f"{url} answered {reply.status}"
    if reply.status in (429, 503):
        raise EbonydealError(ErrorKind.STORE_UNAVAILABLE, detail)
    if 400 <= reply.status < 500 and reply.status != 408:
        raise EbonydealError(ErrorKind.BAD_REQUEST, detail)
    raise EbonydealError(kinds.lost, detail)
