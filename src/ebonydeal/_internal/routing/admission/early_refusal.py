"""Whether a stream is better refused at once than served late.

While endpoints are short, a queue that grows makes every answer late. A request
whose first event is expected well after its objective is refused at once and
told when to come back; one that did come back is served whatever the wait. Less
urgent requests are refused first.
"""

# Each step of urgency lowers the limit by this much, down to `_LEAST_LIMIT`.
_STEP = 0.15
_LEAST_LIMIT = 1.0
# A request with less than this share of the longest time that clients of its
# route allow has most likely been refused before.
_REPEAT_SHARE = 0.97
# Part of the excess that a client waits: others leave meanwhile.
_WAIT_SHARE = 1.0
_LEAST_WAIT_S = 0.3
_MOST_WAIT_S = 3.0


class EarlyRefusal:
    """Decides for one relay; remembers what clients allow by route.

    Parameters
    ----------
    limit : float
        Expected first event, in objectives, beyond which a request of the most
        urgent kind is refused: the expectation is known to within about half of
        it. 0 refuses none.
    """

    def __init__(self, limit: float = 1.5) -> None:
        self._limit = limit
        self._longest: dict[str, float] = {}

    def wait(
        self,
        route: str,
        allowed: float,
        objective: float,
        urgency: int,
        expected: float,
    ) -> float | None:
        """Return None to serve, or seconds until the client should come back.

        Parameters
        ----------
        route : str
            Name of the route.
        allowed : float
            Time that the client allows, seconds.
        objective : float
            Time to the first event that earns full credit, seconds.
        urgency : int
            0 is the most urgent.
        expected : float
            Expected time to the first event, seconds.
        """
        longest = max(allowed, self._longest.get(route, 0.0))
        self._longest[route] = longest
        if objective <= 0.0 or not self._limit or allowed < longest * _REPEAT_SHARE:
            return None
        limit = max(_LEAST_LIMIT, self._limit - _STEP * urgency) * objective
        if expected <= limit:
            return None
        excess = expected - objective / 2.0
        return min(_MOST_WAIT_S, max(_LEAST_WAIT_S, excess * _WAIT_SHARE))
