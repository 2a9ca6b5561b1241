"""A tiny balancer: round robin over the gateways that say they are ready."""

import asyncio

from aiohttp import ClientError, ClientSession, ClientTimeout
from mode import Service

_PERIOD_S = 0.1
_TIMEOUT_S = 2.0


class Balancer(Service):
    """Asks each gateway whether it is ready, and hands them out in turn.

    Parameters
    ----------
    urls : sequence of str
        Base URLs.
    """

    def __init__(self, urls: tuple[str, ...]) -> None:
        super().__init__()
        self._urls = list(urls)
        self._ready: set[str] = set()
        self._turn = 0
        self._session: ClientSession | None = None

    async def on_start(self) -> None:
        """Ask all gateways once."""
        self._session = ClientSession(timeout=ClientTimeout(total=_TIMEOUT_S))
        await self._ask_all()

    async def on_stop(self) -> None:
        """Close the session."""
        if self._session is not None:
            await self._session.close()

    def add(self, url: str) -> None:
        """Hand out one more gateway, once it is ready."""
        self._urls.append(url)

    def remove(self, url: str) -> None:
        """Hand out a gateway no more."""
        self._ready.discard(url)

    def pick(self) -> str:
        """Return the next ready gateway; if there is none, the next of all."""
        urls = [url for url in self._urls if url in self._ready] or self._urls
        self._turn += 1
        return urls[self._turn % len(urls)]

    @property
    def ready(self) -> int:
        """How many gateways are ready."""
        return len(self._ready)

    @Service.task
    async def _poll(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(_PERIOD_S)
            await self._ask_all()

    async def _ask_all(self) -> None:
        await asyncio.gather(*(self._ask(url) for url in self._urls))

    async def _ask(self, url: str) -> None:
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
