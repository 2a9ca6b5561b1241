"""Checks that relays handle requests by the configuration that is in force.

Each configuration has a route of its own, on which every relay is asked all the time,
and drops that of the one before.
"""

from collections.abc import Iterable

from ebonydeal._internal.soak.guarantees import Guarantees, Violation
from ebonydeal._internal.soak.records import ClientResult, FaultPeriod, Kind, Log

# Machines are busy while a soak runs, so a relay may take this much longer.
_DELAY_TOLERANCE_S = 1.0


def _probes(log: Log) -> list[ClientResult]:
    """Return the requests on routes that only one configuration has, by time."""
    probes = [result for result in log.results if result.kind is Kind.PROBE]
    return sorted(probes, key=lambda it: it.sent)


def config_never_reverts(log: Log, _guarantees: Guarantees) -> Iterable[Violation]:
    """No process serves an older configuration after a newer one."""
    newest: dict[int, tuple[int, float]] = {}
    for result in _probes(log):
        if result.status != 200:
            continue
        version, ended = newest.get(result.pid, (0, 0.0))
        if result.version < version and result.sent > ended:
            detail = f"{result.relay} served {result.version} after {version}"
            yield Violation("configuration", detail)
        elif result.version > version:
            newest[result.pid] = (result.version, result.ended)


def config_in_force_in_time(log: Log, guarantees: Guarantees) -> Iterable[Violation]:
    """A relay without a recent fault soon handles requests by a new configuration.

    It serves the added route, and no longer the dropped one.
    """
    for result in _probes(log):
        applied_before = result.sent - guarantees.apply_s - _DELAY_TOLERANCE_S
        required = _newest_before(log, applied_before)
        newest = _newest_before(log, result.ended)
        dropped = result.status == 200 and result.version < required
        missing = result.status == 404 and result.version == required == newest
        if not dropped and not missing:
            continue
        if _in_touch(log, result, guarantees.contact_s):
            done = "served" if dropped else "refused"
            detail = (
                f"{result.relay} {done} {result.version} at {result.sent:.2f}, later"
                f" than allowed after {required} was published"
            )
            yield Violation("configuration", detail)


def _newest_before(log: Log, at: float) -> int:
    """Return the newest version that was published before a time, 0 for none."""
    return max((p.version for p in log.published_configs if p.at < at), default=0)


def _in_touch(log: Log, result: ClientResult, contact_s: float) -> bool:
    """Return whether the relay had no fault for ``contact_s`` before the request."""
    return not any(
        _concerns(period, result.relay)
        and period.begin <= result.ended
        and period.end + contact_s >= result.sent
        for period in log.fault_periods
    )


def _concerns(period: FaultPeriod, relay: str) -> bool:
    """Return whether a fault may delay a configuration at a relay."""
    is_endpoints_link = period.kind == "link" and not period.relay
    return period.relay in ("", relay) and not is_endpoints_link
