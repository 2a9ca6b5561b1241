"""Events in the order of their time, for models without sockets."""

import heapq
import itertools
from collections.abc import Callable
from typing import Any


class EventScheduler:
    """A queue of things to do; `now` is the time of the present one, seconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._count = itertools.count()

    def at(self, time: float, call: Callable[..., None], *args: Any) -> None:
        """Do ``call(*args)`` at ``time``, or now if that has passed."""
        entry = (max(self.now, time), next(self._count), call, args)
        heapq.heappush(self._heap, entry)

    def run(self, until: float = float("inf")) -> None:
        """Do everything that is to come up to ``until``, which is now then."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self._heap)
            call(*args)
        if until < float("inf"):
            self.now = until
