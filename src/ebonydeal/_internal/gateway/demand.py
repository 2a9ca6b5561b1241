"""Demand of client accounts as a topic of the peer rounds."""

from typing import Any

from ebonydeal._internal.routing.demand import DemandReport
from ebonydeal._internal.routing.limits import AccountLimits
from ebonydeal._internal.utils.clock import Clock

_FRESH_S = 0.5
_MAX_GATEWAYS = 256


class DemandTopic:
    """Carries each gateway's latest report to all others.

    Parameters
    ----------
    limits : AccountLimits
        Makes the own report and takes the others'.
    clock : Clock
        Time.
    """

    name = "demand"

    def __init__(self, limits: AccountLimits, clock: Clock) -> None:
        self._limits = limits
        self._clock = clock
        self._reports: dict[str, DemandReport] = {}
        self._made_at = float("-inf")

    def digest(self) -> dict[str, int]:
        """Return the number of the latest report of each gateway."""
        self._refresh()
        return {name: report.seq for name, report in self._reports.items()}

    def answer(self, theirs: Any) -> list[Any] | None:
        """Return the reports that are newer here."""
        self._refresh()
        known = theirs if isinstance(theirs, dict) else {}
        news = [
            report.to_message()
            for name, report in self._reports.items()
            if not _holds(known.get(name), report.seq)
        ]
        return news or None

    def receive(self, payload: Any) -> None:
        """Take reports; garbage and older ones are ignored."""
        for item in payload if isinstance(payload, list) else ():
            try:
                report = DemandReport.from_message(item)
            except (KeyError, TypeError, ValueError, AttributeError):
                continue
            self._take(report)

    def _take(self, report: DemandReport) -> None:
        """Keep a report that is newer than the one known."""
        known = self._reports.get(report.gateway)
        if known is not None and known.seq >= report.seq:
            return
        if known is None and len(self._reports) >= _MAX_GATEWAYS:
            return
        self._reports[report.gateway] = report
        self._limits.heard(report, self._clock.wall())

    def _refresh(self) -> None:
        """Make a new own report, unless the last one is fresh."""
        now = self._clock.now()
        if now - self._made_at < _FRESH_S:
            return
        self._made_at = now
        own = self._limits.report(self._clock.wall())
        self._reports[own.gateway] = own


def _holds(theirs: Any, seq: int) -> bool:
    """Return whether a peer has this report or a newer one."""
    return isinstance(theirs, int) and theirs >= seq
