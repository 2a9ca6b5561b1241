"""Slots of an endpoint, given out by priority and then by arrival."""

import asyncio
from heapq import heappop, heappush


class Slots:
    """A counting lock whose waiters are served by priority.

    Parameters
    ----------
    count : int
        How many may run at once.
    """

    def __init__(self, count: int) -> None:
        self.count = count
        self.running = 0
        self._order = 0
        self._waiters: list[tuple[int, int, asyncio.Future[None]]] = []

    @property
    def waiting(self) -> int:
        """How many wait."""
        return sum(1 for _, _, fut in self._waiters if not fut.done())

    async def acquire(self, priority: int) -> None:
        """Wait for a slot; a lower number is served first."""
        if self.running < self.count:
            self.running += 1
            return
        fut = asyncio.get_running_loop().create_future()
        self._order += 1
        heappush(self._waiters, (priority, self._order, fut))
        try:
            await fut
        except asyncio.CancelledError:
            if fut.done() and not fut.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Free a slot, or pass it on to the first waiter."""
        while self._waiters:
            fut = heappop(self._waiters)[2]
            if not fut.done():
                fut.set_result(None)
                return
        self.running -= 1
