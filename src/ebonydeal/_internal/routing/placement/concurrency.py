"""An adaptive limit of own requests in flight at one endpoint.

Additive increase while the limit is in use and answers start in time,
multiplicative decrease at most once per round trip when they queue too long or
the endpoint refuses.
"""

_LATE = 0.9
_REFUSED = 0.7
_LEAST = 1.0
_USED_SHARE = 0.5
_LEAST_PAUSE_S = 0.1


class ConcurrencyLimit:
    """The limit of one endpoint at one gateway.

    Parameters
    ----------
    start, most : float
        First and highest limit.
    """

    def __init__(self, start: float, most: float) -> None:
        self.limit = min(start, most)
        self._most = most
        self._cut_at = float("-inf")

    def started(
        self, queued_s: float, target_s: float, in_flight: int, now: float
    ) -> None:
        """Learn from an answer that started.

        Parameters
        ----------
        queued_s : float
            Time before the first token without the request's own prefill.
        target_s : float
            Latency target of the first token.
        in_flight : int
            Own requests in flight at the endpoint.
        now : float
            Seconds.
        """
        if queued_s > target_s:
            self._cut(_LATE, max(queued_s, _LEAST_PAUSE_S), now)
        elif in_flight >= self.limit * _USED_SHARE:
            self.limit = min(self._most, self.limit + 1.0 / self.limit)

    def refused(self, now: float) -> None:
        """Learn that the endpoint took no more."""
        self._cut(_REFUSED, _LEAST_PAUSE_S, now)

    def _cut(self, factor: float, pause: float, now: float) -> None:
        """Lower the limit, once per ``pause``: later news tells of the same."""
        if now - self._cut_at < pause:
            return
        self._cut_at = now
        self.limit = max(_LEAST, self.limit * factor)
