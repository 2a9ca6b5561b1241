"""The platform's ingress: which relays get new connections."""

import asyncio
from contextlib import suppress

import aiohttp

from standins.relays import Relay

_POLL_S = 1.0
_MISSES = 2


class Ingress:
    """Asks each relay once a second whether it is ready, as PROTOCOL.md says."""

    def __init__(self, relays: list[Relay]) -> None:
        self._relays = relays
        self._misses = dict.fromkeys((r.name for r in relays), 0)
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Begin to ask."""
        self._tasks = [asyncio.create_task(self._poll(r)) for r in self._relays]

    def stop(self) -> None:
        """End the questions."""
        for task in self._tasks:
            task.cancel()

    def in_rotation(self) -> list[Relay]:
        """Return the relays that get new connections; all if too few are ready."""
        ready = [r for r in self._relays if self._misses[r.name] < _MISSES]
        return ready if 2 * len(ready) >= len(self._relays) else self._relays

    async def _poll(self, relay: Relay) -> None:
        timeout = aiohttp.ClientTimeout(total=_POLL_S)
        async with aiohttp.ClientSession(timeout=timeout) as http:
            while True:
                ok = False
                with suppress(aiohttp.ClientError, OSError, TimeoutError):
                    async with http.get(f"http://{relay.ready}/-/readyz") as resp:
                        ok = resp.status == 200
                self._misses[relay.name] = 0 if ok else self._misses[relay.name] + 1
                await asyncio.sleep(_POLL_S)
