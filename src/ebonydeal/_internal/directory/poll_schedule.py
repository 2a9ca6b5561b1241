"""Which endpoints to ask next, within a bound on polls a second."""

from collections.abc import Iterable


class PollSchedule:
    """Spreads polls over endpoints, the longest unheard first.

    Parameters
    ----------
    period : float
        Seconds since an endpoint was last heard of, after which it is due.
    """

    def __init__(self, period: float) -> None:
        self._period = period
        self._last_contact: dict[str, float] = {}

    def record_contact(self, endpoint_id: str, now: float) -> None:
        """Note that an endpoint was asked, or spoke by itself."""
        self._last_contact[endpoint_id] = now

    def forget(self, endpoint_id: str) -> None:
        """Drop what is known of an endpoint."""
        self._last_contact.pop(endpoint_id, None)

    def due(self, endpoint_ids: Iterable[str], now: float, limit: int) -> list[str]:
        """Return at most ``limit`` endpoints to ask now."""
        never = now - self._period
        late = [
            (self._last_contact.get(endpoint_id, never), endpoint_id)
            for endpoint_id in endpoint_ids
        ]
        late = [item for item in late if item[0] <= now - self._period]
        late.sort()
        return [endpoint_id for _, endpoint_id in late[:limit]]
