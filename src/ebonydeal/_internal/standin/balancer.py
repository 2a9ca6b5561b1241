"""A minimal load balancer: round robin over the ready gateways."""

import asyncio

from aiohttp import ClientError, ClientSession, ClientTimeout
from mode import Service

_POLL_INTERVAL_S = 0.1
_TIMEOUT_S = 2.0


class Balancer(Service):
    """Checks the readiness of gateways and picks ready ones in turn.

    Parameters
    ----------
    urls : sequence of str
        Base URLs of the gateways.
    """

    def __init__(self, urls: tuple[str, ...]) -> None:
        super().__init__()
        self._urls = list(urls)
        self._ready: set[str] = set()
        self._next_index = 0
        self._session: ClientSession | None = None

    async def on_start(self) -> None:
        """Check all gateways once."""
        self._session = ClientSession(timeout=ClientTimeout(total=_TIMEOUT_S))
        await self._check_all()

    async def on_stop(self) -> None:
        """Close the session."""
        if self._session is not None:
            await self._session.close()

    def add(self, url: str) -> None:
        """Add a gateway, which is picked once it is ready."""
        self._urls.append(url)

    def mark_not_ready(self, url: str) -> None:
        """Mark a gateway as not ready until its next readiness check."""
        self._ready.discard(url)

    def pick(self) -> str:
        """Return the next ready gateway, or the next of all if none is ready."""
        urls = [url for url in self._urls if url in self._ready] or self._urls
        self._next_index += 1
        return urls[self._next_index % len(urls)]

    @property
    def ready(self) -> int:
        """Number of ready gateways."""
        return len(self._ready)

    @Service.task
    async def _poll(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(_POLL_INTERVAL_S)
            await self._check_all()

    async def _check_all(self) -> None:
        await asyncio.gather(*(self._check(url) for url in self._urls))

    async def _check(self, url: str) -> None:
        assert self._session is not None
        try:
            async with self._session.get(f"{url}/health/ready") as resp:
                is_ready = resp.status == 200
        except (ClientError, TimeoutError, OSError):
            is_ready = False
        if is_ready:
            self._ready.add(url)
        else:
            self._ready.discard(url)
