"""Requests that began to run, counted by client account and usage window."""

from typing import TypedDict

# Windows are told again until the coordinator has reported them.
_WINDOWS_KEPT = 8


class UsageMessage(TypedDict):
    """Wire shape: counts by window number (as text) and account."""

    windows: dict[str, dict[str, int]]


class UsageMeter:
    """Counts of one relay.

    Parameters
    ----------
    window : float
        Length of a window, wall clock seconds.
    """

    def __init__(self, window: float) -> None:
        self._window = window
        self._counts: dict[int, dict[str, int]] = {}

    def window_of(self, wall: float) -> int:
        """Return the number of the window that ``wall`` falls into."""
        return int(wall // self._window)

    def began(self, account: str, wall: float) -> None:
        """Count a request of ``account`` that began to run at ``wall``."""
        number = self.window_of(wall)
        counts = self._counts.setdefault(number, {})
        counts[account] = counts.get(account, 0) + 1
        while len(self._counts) > _WINDOWS_KEPT:
            del self._counts[min(self._counts)]

    def counts(self) -> dict[int, dict[str, int]]:
        """Return the counts of the latest windows."""
        return self._counts

    def to_message(self, since: int) -> UsageMessage:
        """Return the windows from ``since`` on."""
        return UsageMessage(
            windows={str(n): dict(c) for n, c in self._counts.items() if n >= since}
        )
