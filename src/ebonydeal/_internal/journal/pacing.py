"""Decides when the next journal row may be written within the write budget.

There are two token buckets: one for all records and one that only batches with a
waiting caller may use. At light load the buckets are full and a batch is written at
once; near the budget, batches grow instead of the number of writes. Pure: time is
an argument.
"""

from typing import NamedTuple


class Budget(NamedTuple):
    """Table writes per second that all owners together may make."""

    normal: float
    urgent: float


class _Bucket:
    """A token bucket that holds at most ``burst`` tokens."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self._burst = burst
        self._tokens = burst
        self._at = now

    def _refill(self, now: float) -> None:
        gained = max(0.0, now - self._at) * self.rate
        self._tokens = min(self._burst, self._tokens + gained)
        self._at = max(self._at, now)

    def wait(self, now: float, ahead: int) -> float:
        """Return seconds until a token is available behind ``ahead`` other writers."""
        self._refill(now)
        missing = 1.0 + ahead - self._tokens
        if missing <= 0.0:
            return 0.0
        if self.rate <= 0.0:
            return float("inf")
        return missing / self.rate

    def take(self, now: float) -> None:
        """Use one token; the count may become negative until the next refill."""
        self._refill(now)
        self._tokens -= 1.0


_MAX_BURST = 2.0
_EPSILON = 1e-9


class Pacer:
    """Shares one node's part of the write budget among its shards.

    Shards queue for writes, so that a shard waits for at most one write of each
    other shard.
    """

    def __init__(self, budget: Budget, now: float, owners: int = 1) -> None:
        self._budget = budget
        self._normal = _Bucket(budget.normal / owners, _MAX_BURST, now)
        self._urgent = _Bucket(budget.urgent / owners, _MAX_BURST, now)
        self._waiting: dict[object, bool] = {}

    def set_owners(self, owners: int) -> None:
        """Divide the budget by the number of live nodes."""
        self._normal.rate = self._budget.normal / max(1, owners)
        self._urgent.rate = self._budget.urgent / max(1, owners)

    def wait(self, writer: object, now: float, urgent: bool) -> float:
        """Return seconds until ``writer`` may write a batch; 0.0 for now.

        The first call adds it to the queue.
        """
        self._waiting[writer] = urgent
        wait = self._normal.wait(now, self._ahead(writer, False))
        if urgent:
            wait = min(wait, self._urgent.wait(now, self._ahead(writer, True)))
        return 0.0 if wait < _EPSILON else wait

    def _ahead(self, writer: object, urgent_only: bool) -> int:
        """Return how many writers are queued before ``writer``."""
        count = 0
        for other, urgent in self._waiting.items():
            if other is writer:
                break
            count += urgent or not urgent_only
        return count

    def take(self, writer: object, now: float, urgent: bool) -> None:
        """Count one write against the bucket that has a token."""
        ahead = self._ahead(writer, False)
        if urgent and self._normal.wait(now, ahead) > _EPSILON:
            self._urgent.take(now)
        else:
            self._normal.take(now)
        self.remove(writer)

    def remove(self, writer: object) -> None:
        """Take ``writer`` from the queue: it has nothing to write."""
        self._waiting.pop(writer, None)
