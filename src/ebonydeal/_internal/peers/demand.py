"""Gossip of the client accounts' demand at each gateway, in bounded messages."""

import json
from collections.abc import Callable
from typing import Any

from ebonydeal._internal.routing.limits.demand import DemandReport

MAX_DIGEST_BYTES = 900
_MAX_GATEWAYS = 1000
_SIGNIFICANT_DIGITS = 4


class DemandTopic:
    """Newest report of each gateway; each digest carries the least often sent ones.

    A message carries at most `MAX_DIGEST_BYTES` of reports, so many gateways or
    client accounts make the reports older, not the messages longer.

    Parameters
    ----------
    own_report : callable
        Returns this gateway's current report.
    on_report : callable
        Called with each newer report of another gateway.
    """

    name = "demand"

    def __init__(
        self,
        own_report: Callable[[], DemandReport],
        on_report: Callable[[DemandReport], None],
    ) -> None:
        self._own_report = own_report
        self._on_report = on_report
        self._reports: dict[str, DemandReport] = {}
        self._times_sent: dict[str, int] = {}

    def digest(self) -> Any:
        """Return this gateway's report and, within the limit, the least sent others."""
        reports = [_to_wire(self._own_report())]
        left = MAX_DIGEST_BYTES - len(json.dumps(reports[0]))
        for gateway in sorted(
            self._times_sent, key=lambda it: (self._times_sent[it], it)
        ):
            report = _to_wire(self._reports[gateway])
            left -= len(json.dumps(report))
            if left < 0:
                break
            reports.append(report)
            self._times_sent[gateway] += 1
        return reports

    def payload_for(self, peer_digest: Any) -> Any | None:
        """Merge a peer's reports; return None, since digests carry the reports."""
        self.receive(peer_digest)
        return None

    def receive(self, payload: Any) -> None:
        """Merge a list of reports; ignore older and malformed ones."""
        for item in payload if isinstance(payload, list) else ():
            try:
                report = DemandReport.from_message(item)
            except (KeyError, TypeError, ValueError, AttributeError):
                continue
            self._merge(report)

    def forget(self, gateway: str) -> None:
        """Drop a gateway that has left."""
        self._reports.pop(gateway, None)
        self._times_sent.pop(gateway, None)

    def _merge(self, report: DemandReport) -> None:
        known = self._reports.get(report.gateway)
        if known is not None and report.seq <= known.seq:
            return
        if report.gateway == self._own_report().gateway:
            return
        if known is None and len(self._reports) >= _MAX_GATEWAYS:
            return
        self._reports[report.gateway] = report
        self._times_sent[report.gateway] = 0
        self._on_report(report)


def _to_wire(report: DemandReport) -> dict[str, Any]:
    """Return the wire shape, with numbers rounded to a few significant digits."""
    message = dict(report.to_message())
    message["demands"] = {
        account: [float(f"{value:.{_SIGNIFICANT_DIGITS}g}") for value in values]
        for account, values in report.to_message()["demands"].items()
    }
    return message
