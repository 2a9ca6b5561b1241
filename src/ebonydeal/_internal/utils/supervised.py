"""Services whose background tasks are restarted after an unexpected error."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from functools import wraps
from typing import Any

from mode import Service
from mode.types.services import ServiceT

from ebonydeal._internal.observe.logs import get_logger

logger = get_logger("supervised")

_RESTART_PAUSE_S = 0.2
# A task that fails more often is at fault itself. The program then stops in order, and
# what it believes isn't used any longer.
_MAX_RESTARTS = 5
_RESTART_WINDOW_S = 60.0


class SupervisedService(Service):
    """A service with tasks of `supervised_task`.

    Attributes
    ----------
    on_task_failed : callable
        Called when a task has raised an error that it doesn't expect.
    """

    on_task_failed: Callable[[], None] = staticmethod(lambda: None)

    def run_once(self, call: Awaitable[None]) -> None:
        """Run a call in the background; an error ends it, but not the program."""
        self.add_future(self._run_once(call))

    async def _run_once(self, call: Awaitable[None]) -> None:
        try:
            await call
        except Exception as exc:
            self.record_failure("call", exc)

    def record_failure(self, name: str, exc: Exception) -> None:
        """Log and count an error that a task doesn't expect."""
        logger.error("Task failed.", service=self.label, task=name, exc_info=exc)
        self.on_task_failed()


def supervised_task(
    fun: Callable[[Any], Awaitable[None]],
) -> Callable[[ServiceT], Awaitable[None]]:
    """Make a method a task of its service that is restarted after an error.

    The program stops if the task fails more than five times in a minute.
    """

    @wraps(fun)
    async def run(self: SupervisedService) -> None:
        failed_at: deque[float] = deque(maxlen=_MAX_RESTARTS)
        while not self.should_stop:
            try:
                return await fun(self)
            except Exception as exc:
                self.record_failure(fun.__name__, exc)
                now = asyncio.get_running_loop().time()
                is_frequent = len(failed_at) == _MAX_RESTARTS
                if is_frequent and now - failed_at[0] < _RESTART_WINDOW_S:
                    raise
                failed_at.append(now)
            await asyncio.sleep(_RESTART_PAUSE_S)

    return Service.task(run)
