"""Whether a stream is better refused at once than served late.

While endpoints are overloaded, a growing queue makes every answer late. A request
whose first event is expected well after its objective is refused at once, with a
time to retry. A retry is served whatever the wait. Requests of lower
priority are refused first.
"""

from math import inf

# Each step down in priority lowers the limit by this much, down to `_MIN_LIMIT`.
_LIMIT_STEP = 0.15
_MIN_LIMIT = 1.0
# A request that allows less than this fraction of the maximum time that clients of
# its route allow has probably been refused before.
_RETRY_FRACTION = 0.97
# Fraction of the excess that a client waits: other requests end meanwhile.
_WAIT_FRACTION = 1.0
_MIN_WAIT_S = 0.3
_MAX_WAIT_S = 3.0


class EarlyRefusal:
    """Decides for one relay; remembers the time that clients allow by route.

    Parameters
    ----------
    limit : float
        Expected time to the first event, as a multiple of the objective, beyond
        which a request of the highest priority is refused. The expectation is
        accurate to about half of its value. 0 refuses none.
    """

    def __init__(self, limit: float = 1.5) -> None:
        self._limit = limit
        self._max_allowed: dict[str, float] = {}

    def limit_s(self, objective: float, priority: int) -> float:
        """Return the longest expected time that is served, seconds; inf for any.

        ``objective`` is in seconds, and priority 0 the highest.
        """
        if objective <= 0.0 or not self._limit:
            return inf
        return max(_MIN_LIMIT, self._limit - _LIMIT_STEP * priority) * objective

    def wait(
        self,
        route: str,
        allowed: float,
        objective: float,
        priority: int,
        expected: float,
    ) -> float | None:
        """Return None to serve, or the seconds until the client should retry.

        Parameters
        ----------
        route : str
            Name of the route.
        allowed : float
            Time that the client allows, seconds.
        objective : float
            Time to the first event that earns full credit, seconds.
        urgency : int
            0 is the highest.
        expected : float
            Expected time to the first event, seconds.
        """
        max_allowed = max(allowed, self._max_allowed.get(route, 0.0))
        self._max_allowed[route] = max_allowed
        if (
            objective <= 0.0
            or not self._limit
            or allowed < max_allowed * _RETRY_FRACTION
        ):
            return None
        if expected <= self.limit_s(objective, priority):
            return None
        excess = expected - objective / 2.0
        return min(_MAX_WAIT_S, max(_MIN_WAIT_S, excess * _WAIT_FRACTION))
