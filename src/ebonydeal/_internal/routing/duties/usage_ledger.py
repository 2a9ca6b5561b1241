"""Usage windows at the coordinator: what relays told, and what is due."""

from typing import NamedTuple

# A window is closed when every relay has told it after its end, or this long
# after the end: a relay that is gone must not keep the report from going out.
_WAIT_S = 3.0
# Let counts of the last moments be told.
_SETTLE_S = 0.3
_WINDOWS_KEPT = 10


class DueWindow(NamedTuple):
    """A window to be reported, and its counts by account."""

    window: int
    counts: dict[str, int]


class UsageLedger:
    """Counts of all relays by window.

    A relay tells running totals of each of its incarnations, so a message that
    comes twice or late changes nothing.

    Parameters
    ----------
    length : float
        Length of a window, wall clock seconds.
    late : float
        Time after its end until which a report counts, seconds.
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
        """Take one relay's totals; ``wall`` is its clock when it sent them."""
        self._last_report_at[relay] = max(wall, self._last_report_at.get(relay, 0.0))
        self.add_totals(relay, windows)

    def add_totals(self, relay: str, windows: dict[int, dict[str, int]]) -> None:
        """Take totals of a relay that may be gone."""
        for window, counts in windows.items():
            told = self._totals.setdefault(window, {})
            known = told.get(relay, {})
            told[relay] = {
                account: max(count, known.get(account, 0))
                for account, count in {**known, **counts}.items()
            }
        while len(self._totals) > _WINDOWS_KEPT:
            del self._totals[min(self._totals)]

    def open_windows(self) -> dict[str, dict[int, dict[str, int]]]:
        """Return the totals of windows not reported yet, by relay."""
        totals: dict[str, dict[int, dict[str, int]]] = {}
        for window, told in self._totals.items():
            if window <= self.reported:
                continue
            for relay, counts in told.items():
                totals.setdefault(relay, {})[window] = counts
        return totals

    def totals_by_relay(self, window: int) -> dict[str, int]:
        """Return each relay's total of a window, for the log."""
        told = self._totals.get(window, {})
        return {relay: sum(counts.values()) for relay, counts in told.items()}

    def forget(self, relay: str) -> None:
        """Wait no longer for a relay; what it told stays."""
        self._last_report_at.pop(relay, None)

    def due(
        self, wall: float, accounts: list[str], wait: float = _WAIT_S
    ) -> DueWindow | None:
        """Return the oldest window that can be reported now.

        ``wait`` is how long after its end relays may take to tell, seconds: among
        hundreds each tells every few seconds only.
        """
        last = int(wall // self._length) - 1
        oldest = int((wall - self._late) // self._length)
        window = max(self.reported + 1, oldest)
        if window > last:
            return None
        end = (window + 1) * self._length
        if wall < end + _SETTLE_S:
            return None
        waiting = [
            r for r, at in self._last_report_at.items() if at < end + _SETTLE_S / 2
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
