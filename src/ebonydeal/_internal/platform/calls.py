"""JSON calls to one of the platform's services, on a session of their own."""

import json
from typing import Any, NamedTuple

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from ebonydeal._internal.errors import EbonydealError, ErrorKind


class Reply(NamedTuple):
    """A whole answer; ``body`` is as it came."""

    status: int
    body: bytes

    def read(self) -> Any:
        """Return the body's JSON, None without one; raises ValueError."""
        return json.loads(self.body) if self.body else None


class JsonCalls:
    """Makes calls; owns one session, which is opened with the first of them.

    Parameters
    ----------
    timeout : float
        Longest wait for one call, and for a connection, seconds.
    """

    def __init__(self, timeout: float) -> None:
        self._timeout = timeout
        self._session: ClientSession | None = None

    async def call(
        self,
        method: str,
        url: str,
        lost: ErrorKind,
        *,
        wait: float = 0.0,
        headers: dict[str, str] | None = None,
        params: dict[str, str] | None = None,
        message: Any = None,
    ) -> Reply:
        """Make one call; raises ``lost`` where no whole answer came.

        ``wait`` is how long the other side may keep the call waiting, seconds.
        """
        if self._session is None:
            self._session = ClientSession(connector=TCPConnector(limit=0))
            # The library would repeat a GET whose connection broke by itself.
            self._session._retry_connection = False
        timeout = ClientTimeout(total=self._timeout + wait, sock_connect=self._timeout)
        data = None
        if message is not None:
            data = json.dumps(message).encode()
            headers = {**(headers or {}), "Content-Type": "application/json"}
        try:
            async with self._session.request(
                method, url, params=params, data=data, headers=headers, timeout=timeout
            ) as resp:
                return Reply(resp.status, await resp.read())
        except (TimeoutError, ClientError, OSError) as exc:
            detail = f"{method} {url}: no answer ({type(exc).__name__})"
            raise EbonydealError(lost, detail) from exc

    async def close(self) -> None:
        """Close the session."""
        if self._session is not None:
            await self._session.close()
            self._session = None
