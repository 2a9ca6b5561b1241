"""The waiting requests of one deployment: by class, fair between accounts.

Within a class, start-time fair queueing: an account's next request is tagged
where its last one ended in virtual time, so accounts that wait get equal
shares of tokens whatever they pile up. Higher classes go first, but every
``_LOWER_TURN``-th start goes to the lowest class that waits.
"""

from bisect import bisect_left, insort
from heapq import heappop, heappush
from typing import NamedTuple

from ebonydeal._internal.models.requests import Priority

_LOWER_TURN = 16
_MOST_STALE = 8


class Waiting(NamedTuple):
    """A request in the queue; ordered by ``tag``, then by arrival.

    ``latest_start`` is the wall clock second after which a start is too late.
    """

    tag: float
    seq: int
    request_id: str
    account: str
    priority: Priority
    latest_start: float


class _Class:
    """One priority class."""

    def __init__(self) -> None:
        self.items: list[Waiting] = []
        self.virtual = 0.0
        self.ends: dict[str, float] = {}

    def tag(self, account: str) -> float:
        """Return the tag of an account's next request."""
        return max(self.virtual, self.ends.get(account, 0.0))

    def passed(self, item: Waiting) -> None:
        """Move virtual time on as ``item`` starts."""
        self.virtual = max(self.virtual, item.tag)
        if not self.items:
            # Nobody waits: no account owes anything.
            self.ends.clear()


class FairQueue:
    """Waiting requests of one deployment."""

    def __init__(self) -> None:
        self._classes = {priority: _Class() for priority in Priority}
        self._by_id: dict[str, Waiting] = {}
        self._expiries: list[tuple[float, str]] = []
        self._seq = 0
        self._starts = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._by_id)

    def __contains__(self, request_id: object) -> bool:
        """Return whether a request waits here."""
        return request_id in self._by_id

    def ahead(self, account: str, priority: Priority) -> int:
        """Return how many would start before a new request."""
        count = sum(len(self._classes[p].items) for p in Priority if p < priority)
        group = self._classes[priority]
        probe = Waiting(group.tag(account), self._seq + 1, "", "", priority, 0.0)
        return count + bisect_left(group.items, probe)

    def push(
        self,
        request_id: str,
        account: str,
        priority: Priority,
        cost: float,
        latest_start: float,
    ) -> None:
        """Add a request; ``cost`` is its work in tokens, at least 1."""
        group = self._classes[priority]
        self._seq += 1
        tag = group.tag(account)
        group.ends[account] = tag + max(1.0, cost)
        item = Waiting(tag, self._seq, request_id, account, priority, latest_start)
        insort(group.items, item)
        self._by_id[request_id] = item
        heappush(self._expiries, (latest_start, request_id))
        if len(self._expiries) > _MOST_STALE * (len(self._by_id) + 1):
            # Requests that started long before their time leave entries behind.
            live = ((item.latest_start, name) for name, item in self._by_id.items())
            self._expiries = sorted(live)

    def pop(self) -> Waiting | None:
        """Remove and return the next to start."""
        waiting = [group for group in self._classes.values() if group.items]
        if not waiting:
            return None
        self._starts += 1
        lower_turn = self._starts % _LOWER_TURN == 0
        group = waiting[-1] if lower_turn else waiting[0]
        item = group.items.pop(0)
        del self._by_id[item.request_id]
        group.passed(item)
        return item

    def remove(self, request_id: str) -> Waiting | None:
        """Remove one request, wherever it stands."""
        item = self._by_id.pop(request_id, None)
        if item is None:
            return None
        items = self._classes[item.priority].items
        del items[bisect_left(items, item)]
        return item

    def victim(self, account: str, priority: Priority) -> Waiting | None:
        """Return who should leave a full queue so that a request can enter.

        The one that would start last, of the lowest class below ``priority``;
        else the last of the same class where that stands behind the new one.
        """
        for lower in reversed(Priority):
            items = self._classes[lower].items
            if lower < priority or not items:
                continue
            if lower > priority:
                return items[-1]
            tag = self._classes[priority].tag(account)
            return items[-1] if items[-1].tag > tag else None
        return None

    def in_order(self) -> list[Waiting]:
        """Return all in the order of their start (lower turns left aside)."""
        return [item for group in self._classes.values() for item in group.items]

    def next_expiry(self) -> float | None:
        """Return the earliest ``latest_start``."""
        while self._expiries and self._expiries[0][1] not in self._by_id:
            heappop(self._expiries)
        return self._expiries[0][0] if self._expiries else None
