"""Clocks that are passed as arguments, so that tests need no real time.

All intervals that decisions depend on are measured here: leases, ages of views, quota
windows, deadlines, backoff. The clock includes time for which the machine was
suspended. The usual monotonic clock doesn't: a process that wakes up would act as if
no time had passed, with a lease that another process now holds and deadlines that
have expired.
"""

import asyncio
import time
from collections.abc import Callable
from typing import Protocol

# Without CLOCK_BOOTTIME, suspended time can't be detected.
_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def boottime() -> float:
    """Return monotonic seconds that include suspended time."""
    return time.clock_gettime(_CLOCK_ID)


class Clock(Protocol):
    """Source of time for tasks."""

    def now(self) -> float:
        """Return monotonic seconds; only differences are meaningful."""

    def wall(self) -> float:
        """Return seconds since the epoch, for deadlines shared between processes."""

    async def sleep(self, seconds: float) -> None:
        """Wait for ``seconds``."""


class SystemClock:
    """The clock of the machine."""

    def now(self) -> float:
        """Return monotonic seconds that include suspended time."""
        return boottime()

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Wait for ``seconds`` of real time."""
        await asyncio.sleep(seconds)


class BoottimeEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers include suspended time.

    Timers that became due during a suspension run in the first iteration after it.

    Parameters
    ----------
    now : callable, optional
        Returns seconds.
    """

    def __init__(self, now: Callable[[], float] = boottime) -> None:
        self._now = now
        super().__init__()

    def time(self) -> float:
        """Return the time used for timers, seconds."""
        return self._now()


class SuspensionDetector:
    """Detects that the machine was suspended.

    Parameters
    ----------
    now, awake : callable
        Return monotonic seconds; only the first includes suspended time.
    """

    def __init__(
        self,
        now: Callable[[], float] = boottime,
        awake: Callable[[], float] = time.monotonic,
    ) -> None:
        self._now = now
        self._awake = awake
        self._suspended = now() - awake()

    def suspended_s(self) -> float:
        """Return the seconds of suspension since the last call."""
        total = self._now() - self._awake()
        added, self._suspended = total - self._suspended, total
        return max(0.0, added)
