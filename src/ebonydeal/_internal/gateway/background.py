"""Short work that must go on after the request that caused it."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from mode import Service

from ebonydeal._internal.observe.logs import get_logger

logger = get_logger("background")

Spawn = Callable[[Coroutine[Any, Any, None]], None]


class Background(Service):
    """Owns tasks that no request waits for; a failed one is logged."""

    def __init__(self) -> None:
        super().__init__()
        self._running: set[asyncio.Task] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run ``work`` to its end."""
        task = asyncio.create_task(work)
        self._running.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task) -> None:
        """Forget a task; log its failure."""
        self._running.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error("Background work failed.", exc_info=task.exception())

    async def on_stop(self) -> None:
        """End what still runs."""
        for task in list(self._running):
            task.cancel()
        await asyncio.gather(*self._running, return_exceptions=True)
