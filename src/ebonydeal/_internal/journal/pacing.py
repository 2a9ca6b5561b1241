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

    def wait(self, now: float, ahead: int) -> float:
        """Return seconds until there is a token for one behind ``ahead`` others."""
        self._refill(now)
        missing = 1.0 + ahead - self._tokens
        if missing <= 0.0:
            return 0.0
        if self.rate <= 0.0:
            return float("inf")
        return missing / self.rate

    def take(self, now: float) -> None:
        """Use one token; may go below zero, which the refill pays back."""
        self._refill(now)
        self._tokens -= 1.0


_BURST = 2.0
_EPSILON = 1e-9


class Pacer:
    """Spends one node's share of the write budget over all its shards.

    Shards stand in line, so that none of them waits for more than a turn of each
    other one.
    """

    def __init__(self, budget: Budget, now: float, owners: int = 1) -> None:
        self._budget = budget
        self._patient = _Bucket(budget.patient / owners, _BURST, now)
        self._urgent = _Bucket(budget.urgent / owners, _BURST, now)
        self._line: dict[object, bool] = {}

    def set_owners(self, owners: int) -> None:
        """Divide the budget by the number of live owners."""
        self._patient.rate = self._budget.patient / max(1, owners)
        self._urgent.rate = self._budget.urgent / max(1, owners)

    def wait(self, who: object, now: float, urgent: bool) -> float:
        """Return seconds until ``who`` may write a batch; 0.0 for at once.

        The first asking puts it into the line.
        """
        self._line[who] = urgent
        wait = self._patient.wait(now, self._ahead(who, False))
        if urgent:
            wait = min(wait, self._urgent.wait(now, self._ahead(who, True)))
        return 0.0 if wait < _EPSILON else wait

    def _ahead(self, who: object, urgent_only: bool) -> int:
        """Return how many stand in line before ``who``."""
        count = 0
        for other, urgent in self._line.items():
            if other is who:
                break
            count += urgent or not urgent_only
        return count

    def take(self, who: object, now: float, urgent: bool) -> None:
        """Count one write, from the bucket that has a token."""
        ahead = self._ahead(who, False)
        if urgent and self._patient.wait(now, ahead) > _EPSILON:
            self._urgent.take(now)
        else:
            self._patient.take(now)
        self.remove(who)

    def remove(self, who: object) -> None:
        """Take ``who`` out of the line: it has nothing to write."""
        self._line.pop(who, None)
