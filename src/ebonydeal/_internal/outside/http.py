"""HTTP client of all adapters: no automatic retries, no reuse of unread responses."""

import json
from collections.abc import AsyncIterator, Mapping
from contextlib import AbstractAsyncContextManager, asynccontextmanager, nullcontext
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
)
from yarl import URL

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.utils.bounded_responses import (
    BoundedConnector,
    EndlessAnswerError,
    read_bounded,
)
from ebonydeal._internal.utils.http_framing import (
    is_close_delimited,
    media_type,
    missing_end,
)
from ebonydeal._internal.utils.http_sessions import HttpSessions

NOT_RUN_HEADER = "X-Not-Run"
ATTEMPT_HEADER = "X-Attempt-Id"
LOAD_HEADER = "X-Engine-Load"
_KEEPALIVE_S = 15.0
_MAX_RESPONSE_BYTES = 64 * 1024 * 1024
_MAX_LINE_BYTES = 1024 * 1024


class FailureKinds(NamedTuple):
    """Error kinds of failed calls.

    Attributes
    ----------
    not_sent : ErrorKind
        No connection was established: proof that nothing was sent.
    lost : ErrorKind
        Something may have been sent, and no complete response arrived.
    garbage : ErrorKind
        The response is malformed.
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
    """A complete response."""

    status: int
    headers: Mapping[str, str]
    content_type: str
    body: bytes


class HttpClient:
    """Owns one session; maps every failure to an error kind.

    Parameters
    ----------
    timeout : float
        Timeout of a whole call, seconds. Connecting may take half of it, so that
        "never connected" and "no response" can be distinguished.
    pooled : bool
        Keep idle connections. If False, each call opens its own connection: a pooled
        one that the server has just closed would make the outcome of a call
        unknown although the server never read it.
    one_address : bool
        All calls go to one address. After one without a reply its other open
        connections, which are probably dead as well, aren't used any more.
    """

    def __init__(
        self, timeout: float, *, pooled: bool = True, one_address: bool = False
    ) -> None:
        self._timeout = timeout
        self._pooled = pooled
        self._session: ClientSession | None = None
        self._sessions = HttpSessions(self._open_session) if one_address else None

    def _get_session(self) -> ClientSession:
        """Return the session, created on first use inside the running loop."""
        if self._session is None:
            self._session = self._open_session()
        return self._session

    def _open_session(self) -> ClientSession:
        if self._pooled:
            connector = BoundedConnector(limit=0, keepalive_timeout=_KEEPALIVE_S)
        else:
            connector = BoundedConnector(limit=0, force_close=True)
        session = ClientSession(
            connector=connector, read_bufsize=_MAX_LINE_BYTES, auto_decompress=True
        )
        # aiohttp retries PUT, DELETE and GET when a connection breaks, but only
        # the caller knows whether a retry is safe.
        session._retry_connection = False
        return session

    def _use_session(self) -> AbstractAsyncContextManager[ClientSession]:
        """Return a context with the session for one call."""
        if self._sessions is None:
            return nullcontext(self._get_session())
        return self._sessions.use("")

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
            Error kinds of failures, including those inside the ``async with`` block.
        timeout : float, optional
            Overrides the timeout of the client.
        timeout_covers_body : bool
            Whether the timeout includes reading the body; False for streams.
        """
        limit = self._timeout if timeout is None else timeout
        timeouts = ClientTimeout(
            total=limit if timeout_covers_body else None,
            sock_connect=max(0.001, limit / 2),
        )
        try:
            async with (
                self._use_session() as session,
                session.request(
                    method, url, timeout=timeouts, allow_redirects=False, **options
                ) as resp,
            ):
                try:
                    yield resp
                finally:
                    if not resp.content.at_eof():
                        resp.close()
        except (ClientError, TimeoutError, OSError) as exc:
            raise _to_error(exc, url, kinds) from exc

    async def fetch(
        self,
        method: str,
        url: str | URL,
        kinds: FailureKinds,
        *,
        timeout: float | None = None,
        **options: Any,
    ) -> Reply:
        """Send a request and return the complete response, whatever its status."""
        async with self.open(method, url, kinds, timeout=timeout, **options) as resp:
            body = await read_bounded(resp, _MAX_RESPONSE_BYTES)
            _check_end(resp, body, kinds)
            return Reply(resp.status, resp.headers, resp.content_type, body)

    async def close(self) -> None:
        """Close the session and its connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None
        if self._sessions is not None:
            await self._sessions.close()


def _check_end(resp: ClientResponse, body: bytes, kinds: FailureKinds) -> None:
    """Raise if a response that ends only with its connection is incomplete."""
    headers = resp.headers
    if not is_close_delimited(resp.method, resp.status, headers.items()):
        return
    media = media_type(headers.items())
    missing = missing_end(resp.status, media, len(body), body)
    if missing is not None:
        detail = f"response of {resp.url} ended without {missing}"
        raise EbonydealError(kinds.lost, detail)


def _to_error(exc: Exception, url: str | URL, kinds: FailureKinds) -> EbonydealError:
    """Return the error of a call that got no complete response."""
    if isinstance(exc, (ClientConnectorError, ConnectionTimeoutError, InvalidURL)):
        return EbonydealError(kinds.not_sent, f"can't connect to {url}")
    if isinstance(exc, EndlessAnswerError):
        return EbonydealError(kinds.garbage, f"response of {url}: {exc}")
    if isinstance(exc, ClientResponseError):
        return EbonydealError(kinds.garbage, f"response of {url} is not HTTP")
    reason = type(exc).__name__
    return EbonydealError(kinds.lost, f"no complete response from {url} ({reason})")


def read_object(reply: Reply, url: str, kinds: FailureKinds) -> dict[str, Any]:
    """Return the body as a JSON object, or raise the garbage kind."""
    try:
        body = json.loads(reply.body)
    except (ValueError, RecursionError) as exc:
        raise EbonydealError(kinds.garbage, f"response of {url} is not JSON") from exc
    if not isinstance(body, dict):
        raise EbonydealError(kinds.garbage, f"response of {url} is not an object")
    return body


def check_status(reply: Reply, url: str, kinds: FailureKinds) -> None:
    """Raise if the status of a platform response is not 200.

    429 and 503 mean that nothing took effect, other 4xx (except 408) that the
    request was invalid. Any other status counts as a lost response.
    """
    if reply.status == 200:
        return
    detail = f"{url} responded with {reply.status}"
    if reply.status in (429, 503):
        raise EbonydealError(ErrorKind.STORE_UNAVAILABLE, detail)
    if 400 <= reply.status < 500 and reply.status != 408:
        raise EbonydealError(ErrorKind.BAD_REQUEST, detail)
    raise EbonydealError(kinds.lost, detail)
