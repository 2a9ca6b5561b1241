"""Usage windows at the coordinator: relays' totals, and which window is due."""

from typing import NamedTuple

# A window is closed when every relay has reported after its end, or this long after the
# end: a lost relay must not delay the usage report.
_MAX_REPORT_WAIT_S = 3.0
# Time for counts of the window's last moments to be reported.
_SETTLE_TIME_S = 0.3
_MAX_WINDOWS = 10


class DueWindow(NamedTuple):
    """A usage window to be reported, and its counts by account."""

    window: int
    counts: dict[str, int]


class UsageLedger:
    """Counts of all relays by window.

    Each incarnation of a relay reports running totals, so a message that arrives
    twice or late changes nothing.

    Parameters
    ----------
    length : float
        Length of a window, wall clock seconds.
    late : float
        Time after a window's end until which its report is accepted, seconds.
    """

    def __init__(self, length: float, late: float) -> None:
        self._length = length
        self._late = late
        self._totals: dict[int, dict[str, dict[str, int]]] = {}
        self._last_report_at: dict[str, float] = {}
        self.reported = -1

    def add_report(
        self, relay: str, windows: dict[int, dict[str, int]], wall: float
    ) -> None:
        """Add one relay's totals; ``wall`` is its wall clock when it sent them."""
        self._last_report_at[relay] = max(wall, self._last_report_at.get(relay, 0.0))
        self.add_totals(relay, windows)

    def add_totals(self, relay: str, windows: dict[int, dict[str, int]]) -> None:
        """Add totals of a relay that may be lost."""
        for window, counts in windows.items():
            totals = self._totals.setdefault(window, {})
            known = totals.get(relay, {})
            totals[relay] = {
                account: max(count, known.get(account, 0))
                for account, count in {**known, **counts}.items()
            }
        while len(self._totals) > _MAX_WINDOWS:
            del self._totals[min(self._totals)]

    def open_windows(self) -> dict[str, dict[int, dict[str, int]]]:
        """Return the totals of windows that aren't reported yet, by relay."""
        by_relay: dict[str, dict[int, dict[str, int]]] = {}
        for window, totals in self._totals.items():
            if window <= self.reported:
                continue
            for relay, counts in totals.items():
                by_relay.setdefault(relay, {})[window] = counts
        return by_relay

    def skip_to(self, window: int) -> None:
        """Report no window up to this one."""
        self.reported = max(self.reported, window)

    def skip_ended(self, wall: float) -> int:
        """Report no window that has ended by ``wall``; return the last one of them."""
        self.skip_to(int(wall // self._length) - 1)
        return self.reported

    def totals_by_relay(self, window: int) -> dict[str, int]:
        """Return each relay's total of a window, for the log."""
        totals = self._totals.get(window, {})
        return {relay: sum(counts.values()) for relay, counts in totals.items()}

    def forget(self, relay: str) -> None:
        """Stop waiting for a relay; its totals stay."""
        self._last_report_at.pop(relay, None)

    def due(
        self, wall: float, accounts: list[str], wait: float = _MAX_REPORT_WAIT_S
    ) -> DueWindow | None:
        """Return the oldest window that can be reported now.

        ``wait`` is how long after its end relays may take to report, seconds: among
        hundreds each reports only every few seconds.
        """
        last = int(wall // self._length) - 1
        oldest = int((wall - self._late) // self._length)
        window = max(self.reported + 1, oldest)
        if window > last:
            return None
        end = (window + 1) * self._length
        if wall < end + _SETTLE_TIME_S:
            return None
        waiting = [
            r for r, at in self._last_report_at.items() if at < end + _SETTLE_TIME_S / 2
        ]
        if waiting and wall < end + wait:
            return None
        return DueWindow(window, self.counts(window, accounts))

    def counts(self, window: int, accounts: list[str]) -> dict[str, int]:
        """Return a window's counts, with a zero for each idle account."""
        total = dict.fromkeys(accounts, 0)
        for counts in self._totals.get(window, {}).values():
            for account, count in counts.items():
                total[account] = total.get(account, 0) + count
        return total
