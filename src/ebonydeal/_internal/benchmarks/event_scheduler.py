"""Timed events in order, for simulations without sockets."""

import heapq
import itertools
from collections.abc import Callable
from typing import Any


class EventScheduler:
    """A queue of timed calls; `now` is the simulated time in seconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._count = itertools.count()

    def at(self, time: float, call: Callable[..., None], *args: Any) -> None:
        """Schedule ``call(*args)`` for ``time``, or for now if that has passed."""
        entry = (max(self.now, time), next(self._count), call, args)
        heapq.heappush(self._heap, entry)

    def run(self, until: float = float("inf")) -> None:
        """Make the calls due up to ``until``, then set `now` to a finite ``until``."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self._heap)
            call(*args)
        if until < float("inf"):
            self.now = until
