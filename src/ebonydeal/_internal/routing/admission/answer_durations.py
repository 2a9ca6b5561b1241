"""How long complete requests took, by route; pure."""

# A duration is remembered for one to two of these.
_PERIOD_S = 30.0


class AnswerDurations:
    """The longest time that requests of each route took lately."""

    def __init__(self) -> None:
        self._current: dict[str, float] = {}
        self._previous: dict[str, float] = {}
        self._began_at = 0.0

    def record(self, route: str, seconds: float, now: float) -> None:
        """Record that a request took ``seconds`` until its answer was written."""
        self._rotate(now)
        self._current[route] = max(seconds, self._current.get(route, 0.0))

    def longest(self, route: str, now: float) -> float:
        """Return the longest time, seconds; 0 if none is known."""
        self._rotate(now)
        return max(self._current.get(route, 0.0), self._previous.get(route, 0.0))

    def _rotate(self, now: float) -> None:
        age = now - self._began_at
        if age < _PERIOD_S:
            return
        self._previous = self._current if age < 2 * _PERIOD_S else {}
        self._current = {}
        self._began_at = now
