"""Demand of client accounts among gateways, within a bound of bytes a round."""

import json
from collections.abc import Callable
from typing import Any

from ebonydeal._internal.routing.limits.demand import DemandReport

MAX_BYTES = 900
_MAX_GATEWAYS = 1000
_DIGITS = 4


class DemandTopic:
    """Newest report of each gateway; the least told ones ride on each digest.

    A message carries at most `MAX_BYTES` of reports, so with many gateways or
    client accounts the reports get older, not the messages longer.

    Parameters
    ----------
    own : callable
        Returns this gateway's present report.
    heard : callable
        Takes in another gateway's newer report.
    """

    name = "demand"

    def __init__(
        self,
        own: Callable[[], DemandReport],
        heard: Callable[[DemandReport], None],
    ) -> None:
        self._own = own
        self._heard = heard
        self._reports: dict[str, DemandReport] = {}
        self._told: dict[str, int] = {}

    def digest(self) -> Any:
        """Return the own report and, within the bound, the least told others."""
        reports = [_to_wire(self._own())]
        left = MAX_BYTES - len(json.dumps(reports[0]))
        for gateway in sorted(self._told, key=lambda it: (self._told[it], it)):
            report = _to_wire(self._reports[gateway])
            left -= len(json.dumps(report))
            if left < 0:
                break
            reports.append(report)
            self._told[gateway] += 1
        return reports

    def payload_for(self, peer_digest: Any) -> Any | None:
        """Take in a peer's reports; there is nothing more to send."""
        self.receive(peer_digest)
        return None

    def receive(self, payload: Any) -> None:
        """Take in a list of reports; older ones and garbage are ignored."""
        for item in payload if isinstance(payload, list) else ():
            try:
                report = DemandReport.from_message(item)
            except (KeyError, TypeError, ValueError, AttributeError):
                continue
            self._take(report)

    def forget(self, gateway: str) -> None:
        """Drop a gateway that is gone."""
        self._reports.pop(gateway, None)
        self._told.pop(gateway, None)

    def _take(self, report: DemandReport) -> None:
        known = self._reports.get(report.gateway)
        if known is not None and report.seq <= known.seq:
            return
        if report.gateway == self._own().gateway:
            return
        if known is None and len(self._reports) >= _MAX_GATEWAYS:
            return
        self._reports[report.gateway] = report
        self._told[report.gateway] = 0
        self._heard(report)


def _to_wire(report: DemandReport) -> dict[str, Any]:
    """Return the wire shape, with numbers of a few digits only."""
    message = dict(report.to_message())
    message["demands"] = {
        account: [float(f"{value:.{_DIGITS}g}") for value in values]
        for account, values in report.to_message()["demands"].items()
    }
    return message
