"""Choice of the endpoints to poll next."""

from collections.abc import Iterable


class PollSchedule:
    """Spreads polls over endpoints, longest without contact first.

    Parameters
    ----------
    period : float
        Seconds after the last contact at which an endpoint is due.
    """

    def __init__(self, period: float) -> None:
        self._period = period
        self._last_contact: dict[str, float] = {}

    def record_contact(self, endpoint_id: str, now: float) -> None:
        """Record that an endpoint was polled, or reported its load."""
        self._last_contact[endpoint_id] = now

    def forget(self, endpoint_id: str) -> None:
        """Drop the state of an endpoint."""
        self._last_contact.pop(endpoint_id, None)

    def due(self, endpoint_ids: Iterable[str], now: float, limit: int) -> list[str]:
        """Return at most ``limit`` endpoints to poll now."""
        never = now - self._period
        due = [
            (self._last_contact.get(endpoint_id, never), endpoint_id)
            for endpoint_id in endpoint_ids
        ]
        due = [item for item in due if item[0] <= now - self._period]
        due.sort()
        return [endpoint_id for _, endpoint_id in due[:limit]]
