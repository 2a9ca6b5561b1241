"""JSON over HTTP between the processes of this system."""

import json
from ssl import SSLContext
from typing import Any

from aiohttp import ClientConnectorError, ClientError, ClientSession, ClientTimeout

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.utils.bounded_responses import (
    BoundedConnector,
    read_bounded,
)
from ebonydeal._internal.utils.http_sessions import HttpSessions

PEER_HEADER = "X-Ebonydeal-Peer"
# Larger bodies are compressed to a third of their size: with many peers they would
# saturate the links of small instances. Smaller ones aren't, to save processor time.
MIN_COMPRESS_BYTES = 1024
# The whole list of endpoints takes a few megabytes at the largest size.
_MAX_RESPONSE_BYTES = 64_000_000


class PeerClient:
    """Calls other processes of this system; owns the sessions.

    Parameters
    ----------
    credential : str
        Sent with every call.
    ssl_context : SSLContext, optional
        Use TLS with this context.
    """

    def __init__(self, credential: str, ssl_context: SSLContext | None = None) -> None:
        self._credential = credential
        self._ssl = ssl_context
        self._sessions = HttpSessions(_open_session)

    async def call(
        self, address: str, path: str, message: Any, timeout: float
    ) -> dict[str, Any]:
        """Post ``message`` and return the response.

        Raises the `EbonydealError` in the peer's response, ``CONNECT_FAILED`` if no
        connection was made, ``STORE_IN_DOUBT`` if the response is lost.
        """
        scheme = "https" if self._ssl else "http"
        body = json.dumps(message).encode()
        try:
            async with (
                self._sessions.use(address) as session,
                session.post(
                    f"{scheme}://{address}{path}",
                    data=body,
                    compress="deflate" if len(body) >= MIN_COMPRESS_BYTES else None,
                    headers={
                        PEER_HEADER: self._credential,
                        "Content-Type": "application/json",
                    },
                    timeout=ClientTimeout(total=timeout),
                    ssl=self._ssl if self._ssl else True,
                ) as resp,
            ):
                body = json.loads(await read_bounded(resp, _MAX_RESPONSE_BYTES))
        except (ClientError, TimeoutError, OSError, ValueError) as exc:
            raise _to_error(exc, address) from exc
        if resp.status >= 400:
            raise EbonydealError.from_body(body)
        return body

    async def close(self) -> None:
        """Close the sessions."""
        await self._sessions.close()


def _open_session() -> ClientSession:
    return ClientSession(connector=BoundedConnector())


def _to_error(exc: Exception, address: str) -> EbonydealError:
    """Return the error of a call that got no response."""
    if isinstance(exc, ClientConnectorError):
        return EbonydealError(ErrorKind.CONNECT_FAILED, f"{address} can't be reached")
    return EbonydealError(ErrorKind.STORE_IN_DOUBT, f"no response from {address}")
