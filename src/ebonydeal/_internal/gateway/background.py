"""Short tasks that outlive the request that started them."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from mode import Service

from ebonydeal._internal.observe.logs import get_logger

logger = get_logger("background")

Spawn = Callable[[Coroutine[Any, Any, None]], None]


class Background(Service):
    """Runs tasks that no request waits for; logs their failures."""

    def __init__(self) -> None:
        super().__init__()
        self._running: set[asyncio.Task] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run ``work`` as a task."""
        task = asyncio.create_task(work)
        self._running.add(task)
        task.add_done_callback(self._on_done)

    def _on_done(self, task: asyncio.Task) -> None:
        """Remove a finished task; log its failure."""
        self._running.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error("Background task failed.", exc_info=task.exception())

    async def on_stop(self) -> None:
        """Cancel the tasks that still run."""
        for task in list(self._running):
            task.cancel()
        await asyncio.gather(*self._running, return_exceptions=True)
