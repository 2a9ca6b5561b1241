"""Slots of an endpoint, assigned by priority, then in order of arrival."""

import asyncio
from heapq import heappop, heappush


class Slots:
    """A semaphore whose waiters are served by priority.

    Parameters
    ----------
    count : int
        Number of slots.
    """

    def __init__(self, count: int) -> None:
        self.count = count
        self.running = 0
        self._arrivals = 0
        self._waiters: list[tuple[int, int, asyncio.Future[None]]] = []

    @property
    def waiting(self) -> int:
        """Number of waiters."""
        return sum(1 for _, _, fut in self._waiters if not fut.done())

    async def acquire(self, priority: int) -> None:
        """Wait for a slot; lower priority numbers are served first."""
        if self.running < self.count:
            self.running += 1
            return
        fut = asyncio.get_running_loop().create_future()
        self._arrivals += 1
        heappush(self._waiters, (priority, self._arrivals, fut))
        try:
            await fut
        except asyncio.CancelledError:
            if fut.done() and not fut.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Free a slot, or pass it to the first waiter."""
        while self._waiters:
            fut = heappop(self._waiters)[2]
            if not fut.done():
                fut.set_result(None)
                return
        self.running -= 1
