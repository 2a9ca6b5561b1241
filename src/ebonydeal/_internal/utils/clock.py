"""Time as an argument, so that decisions and tests need no real clock.

Every interval that a belief rests on is read here: a lease, the age of a view, the
window of a quota, a deadline, a back-off. The clock counts the time for which the
machine was suspended. The usual steady clock doesn't, and a process that wakes up would
go on with all that as if no time had passed: a lease that another holds by now,
deadlines that are over.
"""

import asyncio
import time
from collections.abc import Callable
from typing import Protocol

# Where the system has no such clock, suspended time can't be told from other time.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def boottime() -> float:
    """Return seconds that never go back and count suspended time."""
    return time.clock_gettime(_CLOCK)


class Clock(Protocol):
    """Source of time that tasks are given."""

    def now(self) -> float:
        """Return monotonic seconds; only differences mean anything."""

    def wall(self) -> float:
        """Return seconds since the epoch, for deadlines that cross processes."""

    async def sleep(self, seconds: float) -> None:
        """Wait for ``seconds``."""


class SystemClock:
    """The machine's own clock."""

    def now(self) -> float:
        """Return monotonic seconds, suspended time with them."""
        return boottime()

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Wait for ``seconds`` of real time."""
        await asyncio.sleep(seconds)


class BoottimeEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers count suspended time.

    What was due meanwhile runs with the first turn after it.

    Parameters
    ----------
    now : callable, optional
        Returns seconds.
    """

    def __init__(self, now: Callable[[], float] = boottime) -> None:
        self._now = now
        super().__init__()

    def time(self) -> float:
        """Return the time that timers are measured by."""
        return self._now()


class SuspensionDetector:
    """Finds out that the process was suspended.

    Parameters
    ----------
    counts, stands : callable
        Return seconds; only the first counts suspended time.
    """

    def __init__(
        self,
        counts: Callable[[], float] = boottime,
        stands: Callable[[], float] = time.monotonic,
    ) -> None:
        self._counts = counts
        self._stands = stands
        self._ahead = counts() - stands()

    def suspended_s(self) -> float:
        """Return the seconds of suspension since it was last asked."""
        ahead = self._counts() - self._stands()
        found, self._ahead = ahead - self._ahead, ahead
        return max(0.0, found)
