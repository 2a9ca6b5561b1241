"""When the next journal row may be written, within the table write budget.

Two token buckets: one for all records and one that only batches with a waiting
caller may draw on. At light load the buckets are full and a batch goes at once;
near the budget batches grow instead of writes. Pure: time is an argument.
"""

from typing import NamedTuple


class Budget(NamedTuple):
    """Table writes a second that all owners together may make."""

    patient: float
    urgent: float


class _Bucket:
    """A token bucket of at most ``burst`` tokens."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self._burst = burst
        self._tokens = burst
        self._at = now

    def _refill(self, now: float) -> None:
        gained = max(0.0, now - self._at) * self.rate
        self._tokens = min(self._burst, self._tokens + gained)
        self._at = max(self._at, now)

    def wait(self, now: float) -> float:
        """Return seconds until a whole token is there."""
        self._refill(now)
        if self._tokens >= 1.0:
            return 0.0
        if self.rate <= 0.0:
            return float("inf")
        return (1.0 - self._tokens) / self.rate

    def take(self, now: float) -> None:
        """Use one token; may go below zero, which the refill pays back."""
        self._refill(now)
        self._tokens -= 1.0


_BURST = 2.0
_EPSILON = 1e-9


class Pacer:
    """Spends one node's share of the write budget over all its shards."""

    def __init__(self, budget: Budget, now: float, owners: int = 1) -> None:
        self._budget = budget
        self._patient = _Bucket(budget.patient / owners, _BURST, now)
        self._urgent = _Bucket(budget.urgent / owners, _BURST, now)

    def set_owners(self, owners: int) -> None:
        """Divide the budget by the number of live owners."""
        self._patient.rate = self._budget.patient / max(1, owners)
        self._urgent.rate = self._budget.urgent / max(1, owners)

    def wait(self, now: float, urgent: bool) -> float:
        """Return seconds until a batch may be written; 0.0 for at once."""
        wait = self._patient.wait(now)
        if urgent:
            wait = min(wait, self._urgent.wait(now))
        return 0.0 if wait < _EPSILON else wait

    def take(self, now: float, urgent: bool) -> None:
        """Count one write, from the bucket that has a token."""
        if urgent and self._patient.wait(now) > _EPSILON:
            self._urgent.take(now)
        else:
            self._patient.take(now)
