"""Endpoints that refuse connections again and again."""


class RefusalTracker:
    """Counts refused connections in a row; leaves suspects out for a while.

    Parameters
    ----------
    threshold : int
        Refusals in a row that make a suspect.
    hold : float
        Seconds that a suspect is left out; the next refusal starts it anew.
    """

    def __init__(self, threshold: int, hold: float) -> None:
        self._threshold = threshold
        self._hold = hold
        self._refusals: dict[str, int] = {}
        self._until: dict[str, float] = {}

    def __bool__(self) -> bool:
        """Return whether there may be any suspect."""
        return bool(self._until)

    def record_refusal(self, endpoint_id: str, now: float) -> bool:
        """Count a refused connection; return whether it is suspected now."""
        count = self._refusals.get(endpoint_id, 0) + 1
        self._refusals[endpoint_id] = count
        if count < self._threshold:
            return False
        self._until[endpoint_id] = now + self._hold
        return True

    def clear(self, endpoint_id: str) -> None:
        """Clear an endpoint that answered, or that is gone."""
        self._refusals.pop(endpoint_id, None)
        self._until.pop(endpoint_id, None)

    def is_suspected(self, endpoint_id: str, now: float) -> bool:
        """Return whether an endpoint should be left out."""
        return now < self._until.get(endpoint_id, now)
