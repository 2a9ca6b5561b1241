"""An adaptive limit of this gateway's requests in flight at one endpoint.

The limit increases additively while it is in use and answers start in time. It
decreases multiplicatively, at most once per round trip, when requests queue too
long or the endpoint refuses one.
"""

_LATE_DECREASE_FACTOR = 0.9
_REFUSAL_DECREASE_FACTOR = 0.7
_MIN_LIMIT = 1.0
_MIN_IN_USE_SHARE = 0.5
_MIN_DECREASE_INTERVAL_S = 0.1


class ConcurrencyLimit:
    """The limit of one endpoint at one gateway.

    Parameters
    ----------
    start, max_limit : float
        Initial and highest limit.
    """

    def __init__(self, start: float, max_limit: float) -> None:
        self.limit = min(start, max_limit)
        self._max_limit = max_limit
        self._decreased_at = float("-inf")

    def record_first_token(
        self, queued_s: float, target_s: float, in_flight: int, now: float
    ) -> None:
        """Adapt the limit to the delay of an answer's first token.

        Parameters
        ----------
        queued_s : float
            Time before the first token without the request's own prefill.
        target_s : float
            Latency target of the first token.
        in_flight : int
            This gateway's requests in flight at the endpoint.
        now : float
            Seconds.
        """
        if queued_s > target_s:
            self._decrease(
                _LATE_DECREASE_FACTOR, max(queued_s, _MIN_DECREASE_INTERVAL_S), now
            )
        elif in_flight >= self.limit * _MIN_IN_USE_SHARE:
            self.limit = min(self._max_limit, self.limit + 1.0 / self.limit)

    def record_refusal(self, now: float) -> None:
        """Decrease the limit after the endpoint refused a request."""
        self._decrease(_REFUSAL_DECREASE_FACTOR, _MIN_DECREASE_INTERVAL_S, now)

    def _decrease(self, factor: float, interval: float, now: float) -> None:
        """Decrease the limit, at most once per ``interval``.

        Further signals within the interval have the same cause.
        """
        if now - self._decreased_at < interval:
            return
        self._decreased_at = now
        self.limit = max(_MIN_LIMIT, self.limit * factor)
