"""An event loop in its own thread, whose processor time can be read."""

import asyncio
import threading
import time
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class LoopThread:
    """Runs coroutines on an event loop in its own thread.

    Measures the processor time of one component by its thread, though all components
    run in one process.

    Parameters
    ----------
    name : str
        Name of the thread.
    new_loop : callable
        Creates the event loop.
    """

    def __init__(
        self,
        name: str,
        new_loop: Callable[[], asyncio.AbstractEventLoop] = asyncio.SelectorEventLoop,
    ) -> None:
        self._loop = new_loop()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()

    def call(self, coroutine: Coroutine[Any, Any, T]) -> T:
        """Run ``coroutine`` in the thread and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()

    def cpu_seconds(self) -> float:
        """Return the processor time that the thread has used."""

        async def read_thread_time() -> float:
            return time.thread_time()

        return self.call(read_thread_time())

    def close(self) -> None:
        """Stop the loop and end the thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()
