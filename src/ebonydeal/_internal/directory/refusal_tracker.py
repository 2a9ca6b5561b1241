"""Detection of endpoints that repeatedly refuse connections."""


class RefusalTracker:
    """Counts consecutive refused connections, and suspects endpoints for some time.

    Parameters
    ----------
    threshold : int
        Consecutive refusals after which an endpoint is suspected.
    duration : float
        Seconds that a suspicion lasts; the next refusal restarts it.
    """

    def __init__(self, threshold: int, duration: float) -> None:
        self._threshold = threshold
        self._duration = duration
        self._refusals: dict[str, int] = {}
        self._until: dict[str, float] = {}

    def __bool__(self) -> bool:
        """Return whether any endpoint may be suspected."""
        return bool(self._until)

    def record_refusal(self, endpoint_id: str, now: float) -> bool:
        """Count a refused connection; return whether the endpoint is suspected now."""
        count = self._refusals.get(endpoint_id, 0) + 1
        self._refusals[endpoint_id] = count
        if count < self._threshold:
            return False
        self._until[endpoint_id] = now + self._duration
        return True

    def clear(self, endpoint_id: str) -> None:
        """Clear an endpoint that responded, or that is gone."""
        self._refusals.pop(endpoint_id, None)
        self._until.pop(endpoint_id, None)

    def is_suspected(self, endpoint_id: str, now: float) -> bool:
        """Return whether an endpoint is suspected now."""
        return now < self._until.get(endpoint_id, now)
