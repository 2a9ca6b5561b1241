"""Time as an argument, so that decisions and tests need no real clock."""

import asyncio
import time
from typing import Protocol


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
        """Return monotonic seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Wait for ``seconds`` of real time."""
        await asyncio.sleep(seconds)
