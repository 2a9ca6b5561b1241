"""Requests that began to run, counted by client account and usage window."""

# Windows are reported again until the coordinator has reported them to the platform.
_MAX_WINDOWS = 8


class UsageMeter:
    """Counts started requests at one relay.

    Parameters
    ----------
    window : float
        Length of a usage window, wall clock seconds.
    """

    def __init__(self, window: float) -> None:
        self._window = window
        self._counts: dict[int, dict[str, int]] = {}

    def record_start(self, account: str, wall: float) -> None:
        """Count a request of ``account`` that began to run at ``wall``."""
        window_number = int(wall // self._window)
        counts = self._counts.setdefault(window_number, {})
        counts[account] = counts.get(account, 0) + 1
        while len(self._counts) > _MAX_WINDOWS:
            del self._counts[min(self._counts)]

    def to_message(self, since: int) -> dict[str, dict[str, int]]:
        """Return counts by window number (as text), from window ``since`` on."""
        return {str(n): dict(c) for n, c in self._counts.items() if n >= since}
