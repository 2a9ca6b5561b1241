"""The waiting requests of one deployment: by class, fair between accounts.

Within a class, start-time fair queueing: an account's next request is tagged
with the virtual time at which its last one ended, so waiting accounts get equal
shares of tokens however many requests they queue. Higher classes go first, but every
``_LOWEST_CLASS_INTERVAL``-th start goes to the lowest class that waits.
"""

from bisect import bisect_left, insort
from heapq import heappop, heappush
from typing import NamedTuple

from ebonydeal._internal.models.requests import Priority

_LOWEST_CLASS_INTERVAL = 16
# Entries of ended requests in the expiry heap, per waiting request.
_MAX_STALE_RATIO = 8


class QueuedRequest(NamedTuple):
    """A request in the queue; ordered by ``tag``, then by arrival.

    ``latest_start`` is the wall clock time after which a start is too late, seconds.
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
        self.items: list[QueuedRequest] = []
        self.virtual_time = 0.0
        self.end_tags: dict[str, float] = {}

    def tag(self, account: str) -> float:
        """Return the tag of an account's next request."""
        return max(self.virtual_time, self.end_tags.get(account, 0.0))

    def on_start(self, item: QueuedRequest) -> None:
        """Advance virtual time as ``item`` starts."""
        self.virtual_time = max(self.virtual_time, item.tag)
        if not self.items:
            # No request waits, so no account is ahead of its share.
            self.end_tags.clear()


class FairQueue:
    """Waiting requests of one deployment."""

    def __init__(self) -> None:
        self._classes = {priority: _Class() for priority in Priority}
        self._by_id: dict[str, QueuedRequest] = {}
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
        """Return how many requests would start before a new one."""
        count = sum(len(self._classes[p].items) for p in Priority if p < priority)
        group = self._classes[priority]
        probe = QueuedRequest(group.tag(account), self._seq + 1, "", "", priority, 0.0)
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
        group.end_tags[account] = tag + max(1.0, cost)
        item = QueuedRequest(
            tag, self._seq, request_id, account, priority, latest_start
        )
        insort(group.items, item)
        self._by_id[request_id] = item
        heappush(self._expiries, (latest_start, request_id))
        if len(self._expiries) > _MAX_STALE_RATIO * (len(self._by_id) + 1):
            # Requests that started before their latest start leave entries behind.
            live = ((item.latest_start, name) for name, item in self._by_id.items())
            self._expiries = sorted(live)

    def pop(self) -> QueuedRequest | None:
        """Remove and return the next request to start."""
        waiting = [group for group in self._classes.values() if group.items]
        if not waiting:
            return None
        self._starts += 1
        lowest_first = self._starts % _LOWEST_CLASS_INTERVAL == 0
        group = waiting[-1] if lowest_first else waiting[0]
        item = group.items.pop(0)
        del self._by_id[item.request_id]
        group.on_start(item)
        return item

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Remove one request, whatever its position."""
        item = self._by_id.pop(request_id, None)
        if item is None:
            return None
        items = self._classes[item.priority].items
        del items[bisect_left(items, item)]
        return item

    def victim(self, account: str, priority: Priority) -> QueuedRequest | None:
        """Return the request to evict from a full queue for a new one, if any.

        It is the last one of the lowest class below ``priority``. If there is none, it
        is the last one of the same class, provided that it would start after the new
        one.
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

    def in_order(self) -> list[QueuedRequest]:
        """Return all in their order of start, ignoring turns of the lowest class."""
        return [item for group in self._classes.values() for item in group.items]

    def next_expiry(self) -> float | None:
        """Return the earliest ``latest_start``."""
        while self._expiries and self._expiries[0][1] not in self._by_id:
            heappop(self._expiries)
        return self._expiries[0][0] if self._expiries else None
