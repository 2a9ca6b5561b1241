"""Timeouts that don't end before what has arrived was read.

A process that is held up for longer than a timeout finds its timer due and the awaited
bytes unread in the same turn of the event loop, and the timer would win. So a wait ends
only a little after its time, once the event loop has read.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager

from ebonydeal._internal.utils.clock import Clock

# Time for reading what has arrived, and for the tasks that it wakes.
SETTLE_S = 0.02


@asynccontextmanager
async def checked_limit(
    until: Callable[[float], float], clock: Clock
) -> AsyncIterator[None]:
    """Raise TimeoutError in the body when the wait is over.

    Parameters
    ----------
    until : Callable
        Returns the time to wait until, by what is known at its argument; both are
        monotonic seconds. The wait is over once it returns its argument or less.
    clock : Clock
        Time.
    """
    async with asyncio.timeout(None) as limit:
        timer = _Timer(until, limit, clock)
        timer.check()
        try:
            yield
        finally:
            timer.cancel()


def arrival_limit(seconds: float, clock: Clock) -> AbstractAsyncContextManager[None]:
    """Raise TimeoutError in the body if what it awaits doesn't arrive in time."""
    end = clock.now() + seconds
    return checked_limit(lambda _now: end, clock)


class _Timer:
    """Checks a wait when its time is up, and extends or ends it."""

    def __init__(
        self, until: Callable[[float], float], limit: asyncio.Timeout, clock: Clock
    ) -> None:
        self._until = until
        self._limit = limit
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self._handle: asyncio.TimerHandle | None = None

    def check(self) -> None:
        """End the wait soon, or schedule the next check."""
        now = self._clock.now()
        wait_s = self._until(now) - now
        if wait_s > 0.0:
            self._handle = self._loop.call_later(wait_s, self.check)
        else:
            self._handle = self._loop.call_later(SETTLE_S, self._end)

    def _end(self) -> None:
        self._limit.reschedule(self._loop.time())

    def cancel(self) -> None:
        """Stop checking."""
        if self._handle is not None:
            self._handle.cancel()
