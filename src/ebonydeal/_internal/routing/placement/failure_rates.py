"""Failure rates of endpoints, combined over all relays.

An endpoint that loses every third answer rarely fails several times in a row, and a
single relay sends it too few requests to notice. So relays report to each other how
many answers arrived and how many failed, and each avoids the endpoints that fail far
more often than others.
"""

from math import exp
from typing import NamedTuple

from ebonydeal._internal.errors import ErrorKind
from ebonydeal._internal.routing.placement.outliers import ENDPOINT_FAULTS

# Answers count for about this long: faults come and go within seconds.
_WINDOW_S = 2.0
# An endpoint is avoided only on the evidence of this many answers.
_MIN_ANSWERS = 3.0
# Successful answers assumed in addition, so that a few answers have little weight.
_PRIOR_ANSWERS = 0.5
# Counts below this are dropped.
_MIN_COUNT = 0.05


class AnswerCounts(NamedTuple):
    """How many answers of an endpoint were seen lately, and how many failed."""

    seen: float = 0.0
    failed: float = 0.0

    def plus(self, other: "AnswerCounts") -> "AnswerCounts":
        """Return the sum."""
        return AnswerCounts(self.seen + other.seen, self.failed + other.failed)

    def times(self, factor: float) -> "AnswerCounts":
        """Return the counts multiplied by ``factor``."""
        return AnswerCounts(self.seen * factor, self.failed * factor)


def _decay(seconds: float) -> float:
    """Return the factor by which counts decay in so many seconds."""
    return exp(-max(0.0, seconds) / _WINDOW_S)


class FailureRates:
    """Answers and failures of endpoints, seen by this relay and reported by others.

    Parameters
    ----------
    threshold : float
        Failure rate from which on an endpoint is avoided; 0 is off.
    """

    def __init__(self, threshold: float) -> None:
        self._threshold = threshold
        self._own: dict[str, AnswerCounts] = {}
        self._reported: dict[str, AnswerCounts] = {}
        self._decayed_at = 0.0
        self._reported_at = 0.0

    def record_success(self, endpoint_id: str, now: float) -> None:
        """Count a good answer."""
        self._add(endpoint_id, AnswerCounts(1.0, 0.0), now)

    def record_failure(self, endpoint_id: str, kind: ErrorKind, now: float) -> None:
        """Count a failure; refusals for load don't count."""
        if kind in ENDPOINT_FAULTS:
            self._add(endpoint_id, AnswerCounts(1.0, 1.0), now)

    def _add(self, endpoint_id: str, counts: AnswerCounts, now: float) -> None:
        if self._threshold:
            self._decay_own(now)
            self._own[endpoint_id] = self._own.get(endpoint_id, AnswerCounts()).plus(
                counts
            )

    def _decay_own(self, now: float) -> None:
        factor = _decay(now - self._decayed_at)
        decayed = {name: counts.times(factor) for name, counts in self._own.items()}
        self._own = {
            name: counts
            for name, counts in decayed.items()
            if counts.seen >= _MIN_COUNT
        }
        self._decayed_at = now

    def forget(self, endpoint_id: str) -> None:
        """Drop the counts of an endpoint that restarted."""
        self._own.pop(endpoint_id, None)
        self._reported.pop(endpoint_id, None)

    def own_counts(self, now: float) -> dict[str, list[float]]:
        """Return this relay's counts as they are reported to other relays."""
        self._decay_own(now)
        return {
            name: [round(value, 2) for value in counts]
            for name, counts in self._own.items()
        }

    def update_reported_counts(
        self, answers: dict[str, list[float]], now: float
    ) -> None:
        """Replace the counts of all other relays."""
        self._reported = {
            name: AnswerCounts(*values) for name, values in answers.items()
        }
        self._reported_at = now

    def failing_endpoints(self, now: float) -> dict[str, float]:
        """Return the failure rates of the endpoints to avoid."""
        if not self._threshold:
            return {}
        own_factor, reported_factor = (
            _decay(now - self._decayed_at),
            _decay(now - self._reported_at),
        )
        failing = {}
        for name in self._own.keys() | self._reported.keys():
            own = self._own.get(name, AnswerCounts()).times(own_factor)
            total = own.plus(
                self._reported.get(name, AnswerCounts()).times(reported_factor)
            )
            rate = total.failed / (total.seen + _PRIOR_ANSWERS)
            if total.seen >= _MIN_ANSWERS and rate >= self._threshold:
                failing[name] = rate
        return failing

    def failure_rate(self, endpoint_id: str, now: float) -> float:
        """Return an endpoint's failure rate, 0 unless it is to be avoided."""
        return self.failing_endpoints(now).get(endpoint_id, 0.0)
