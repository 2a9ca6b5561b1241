"""Accepted requests in deadline order per deployment. Pure: time is an argument."""

import heapq
from itertools import count
from typing import Generic, NamedTuple, TypeVar

from ebonydeal._internal.models.requests import Request

NO_DEADLINE = float("inf")

Item = TypeVar("Item")


class Order(NamedTuple):
    """Sort key of a request among those of its deployment."""

    deadline: float
    priority: int
    accepted_at: float


def order_of(request: Request) -> Order:
    """Return a request's sort key: deadline, then priority, then acceptance time."""
    deadline = request.deadline or NO_DEADLINE
    return Order(deadline, int(request.priority), request.accepted_at)


class WorkQueue(Generic[Item]):
    """Queue of items, some of which may not be taken before a time.

    Items are removed lazily: the user skips those that it has dropped.
    """

    def __init__(self) -> None:
        self._ready: dict[str, list[tuple[Order, int, Item]]] = {}
        self._delayed: list[tuple[float, int, str, Order, Item]] = []
        self._blocked: dict[str, float] = {}
        self._numbers = count()

    def push(
        self, deployment: str, order: Order, item: Item, not_before: float = 0.0
    ) -> None:
        """Add an item that may be taken from ``not_before`` on."""
        entry = (not_before, next(self._numbers), deployment, order, item)
        heapq.heappush(self._delayed, entry)

    def block(self, deployment: str, until: float) -> None:
        """Take no item of a deployment until ``until``: it has no endpoint."""
        self._blocked[deployment] = until

    def unblock_all(self) -> None:
        """Unblock all deployments: the endpoints have changed."""
        self._blocked.clear()

    def take(self, now: float) -> Item | None:
        """Return the first item in deadline order that may be taken now, if any."""
        self._release_due(now)
        best: str | None = None
        for deployment, heap in self._ready.items():
            if not heap or self._blocked.get(deployment, now) > now:
                continue
            if best is None or heap[0][:2] < self._ready[best][0][:2]:
                best = deployment
        if best is None:
            return None
        return heapq.heappop(self._ready[best])[2]

    def _release_due(self, now: float) -> None:
        while self._delayed and self._delayed[0][0] <= now:
            _, number, deployment, order, item = heapq.heappop(self._delayed)
            heap = self._ready.setdefault(deployment, [])
            heapq.heappush(heap, (order, number, item))

    def next_at(self) -> float:
        """Return the time of the next possible `take`; inf for never."""
        times = [self._delayed[0][0]] if self._delayed else []
        for deployment, heap in self._ready.items():
            if heap:
                times.append(self._blocked.get(deployment, 0.0))
        return min(times, default=NO_DEADLINE)
