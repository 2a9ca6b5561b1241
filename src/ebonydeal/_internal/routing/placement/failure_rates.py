"""Which endpoints fail a part of what they get, put together over all relays.

An endpoint that loses every third answer never fails several times in a row for
long, and one relay sends it too little to tell. So relays tell each other how many
answers came and failed, and each avoids what fails well above the others.
"""

from math import exp
from typing import NamedTuple

from ebonydeal._internal.errors import ErrorKind
from ebonydeal._internal.routing.placement.outliers import ENDPOINT_FAULTS

# Answers count for about this long: faults come and go within seconds.
_WINDOW_S = 2.0
# So many answers must speak of an endpoint before it is avoided.
_LEAST_ANSWERS = 3.0
# Failures assumed besides, so that few answers don't say much.
_PRIOR = 0.5
_FORGET = 0.05


class Answers(NamedTuple):
    """How many answers of an endpoint were seen lately, and how many failed."""

    seen: float = 0.0
    failed: float = 0.0

    def plus(self, other: "Answers") -> "Answers":
        """Return the sum."""
        return Answers(self.seen + other.seen, self.failed + other.failed)

    def times(self, part: float) -> "Answers":
        """Return a part of them."""
        return Answers(self.seen * part, self.failed * part)


def _left(seconds: float) -> float:
    """Return the part of answers that still counts after so long."""
    return exp(-max(0.0, seconds) / _WINDOW_S)


class FailureRates:
    """What one relay saw of endpoints, and what it heard from the others.

    Parameters
    ----------
    least : float
        Share of failures from which on an endpoint is avoided; 0 is off.
    """

    def __init__(self, least: float) -> None:
        self._least = least
        self._own: dict[str, Answers] = {}
        self._told: dict[str, Answers] = {}
        self._at = 0.0
        self._told_at = 0.0

    def record_success(self, endpoint_id: str, now: float) -> None:
        """Count a good answer."""
        self._add(endpoint_id, Answers(1.0, 0.0), now)

    def record_failure(self, endpoint_id: str, kind: ErrorKind, now: float) -> None:
        """Count a failure; refusals for load don't count."""
        if kind in ENDPOINT_FAULTS:
            self._add(endpoint_id, Answers(1.0, 1.0), now)

    def _add(self, endpoint_id: str, answers: Answers, now: float) -> None:
        if self._least:
            self._fade(now)
            self._own[endpoint_id] = self._own.get(endpoint_id, Answers()).plus(answers)

    def _fade(self, now: float) -> None:
        left = _left(now - self._at)
        faded = {name: a.times(left) for name, a in self._own.items()}
        self._own = {name: a for name, a in faded.items() if a.seen >= _FORGET}
        self._at = now

    def forget(self, endpoint_id: str) -> None:
        """Drop what is known of an endpoint that started again."""
        self._own.pop(endpoint_id, None)
        self._told.pop(endpoint_id, None)

    def own_counts(self, now: float) -> dict[str, list[float]]:
        """Return what this relay saw, as it is told to others."""
        self._fade(now)
        return {
            name: [round(value, 2) for value in answers]
            for name, answers in self._own.items()
        }

    def update_reported_counts(
        self, answers: dict[str, list[float]], now: float
    ) -> None:
        """Take what all other relays saw."""
        self._told = {name: Answers(*values) for name, values in answers.items()}
        self._told_at = now

    def failing_endpoints(self, now: float) -> dict[str, float]:
        """Return the shares of answers that endpoints fail, of those to avoid."""
        if not self._least:
            return {}
        own_left, told_left = _left(now - self._at), _left(now - self._told_at)
        found = {}
        for name in self._own.keys() | self._told.keys():
            own = self._own.get(name, Answers()).times(own_left)
            whole = own.plus(self._told.get(name, Answers()).times(told_left))
            share = whole.failed / (whole.seen + _PRIOR)
            if whole.seen >= _LEAST_ANSWERS and share >= self._least:
                found[name] = share
        return found

    def failure_rate(self, endpoint_id: str, now: float) -> float:
        """Return an endpoint's share, 0 where it isn't to be avoided."""
        return self.failing_endpoints(now).get(endpoint_id, 0.0)
