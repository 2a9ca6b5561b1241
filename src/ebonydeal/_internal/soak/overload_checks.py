"""Checks of the plain service while more is sent to it than it can run, and after.

They hold for relays that limit an overload (`Guarantees.overload`). Requests count at
relays that had no fault for some time before, while no relay has one.
"""

from collections.abc import Iterable, Sequence

from ebonydeal._internal.soak.guarantees import (
    Guarantees,
    OverloadBounds,
    Violation,
    had_fault,
)
from ebonydeal._internal.soak.records import ClientResult, Log

# The users' bounds: accounts within their share are answered in time this much as often
# as before an overload, or all but some requests.
_MIN_IN_TIME_RATIO = 0.95
_ALLOWANCE = 10
# Fewer requests before an overload show nothing.
_MIN_REQUESTS_BEFORE = 10
# Requests that may be late once an overload is over.
_RECOVERED_ALLOWANCE = 3


def _counted(log: Log, guarantees: Guarantees) -> list[ClientResult]:
    """Return the plain requests at relays and times without a fault."""
    return [
        result
        for result in log.results
        if result.kind.is_plain
        and not had_fault(
            log, result.relay, result.sent - guarantees.contact_s, result.ended
        )
        and not any(
            period.relay and period.begin <= result.ended and period.end >= result.sent
            for period in log.fault_periods
        )
        and not any(
            result.relay in cut.relays
            and cut.begin <= result.ended
            and cut.end + guarantees.contact_s >= result.sent
            for cut in log.link_cuts
        )
    ]


def _in_time(results: Sequence[ClientResult], bounds: OverloadBounds) -> int:
    """Return how many requests were answered within the objective."""
    return sum(
        result.status == 200
        and result.complete
        and result.ended - result.sent <= bounds.objective_s
        for result in results
    )


def _share_before(
    log: Log, counted: Sequence[ClientResult], at: float, bounds: OverloadBounds
) -> float | None:
    """Return the share in time at ordinary load before ``at``; None if unknown."""
    last_end = max((o.end for o in log.overloads if o.end < at), default=0.0)
    results = [
        result
        for result in counted
        if last_end + bounds.recovery_s <= result.sent and result.ended < at
    ]
    if len(results) < _MIN_REQUESTS_BEFORE:
        return None
    return _in_time(results, bounds) / len(results)


def _too_few_in_time(
    results: Sequence[ClientResult],
    bounds: OverloadBounds,
    before: float,
    allowance: int,
) -> str | None:
    """Return how many requests were in time if they are too few, else None."""
    if not results:
        return None
    in_time = _in_time(results, bounds)
    share = in_time / len(results)
    if share >= _MIN_IN_TIME_RATIO * before or len(results) - in_time <= allowance:
        return None
    return f"{in_time} of {len(results)} requests in time, {before:.2f} before"


def small_accounts_served_in_overload(
    log: Log, guarantees: Guarantees
) -> Iterable[Violation]:
    """One account's excess doesn't cost those that stay within their share."""
    if (bounds := guarantees.overload) is None:
        return
    counted = _counted(log, guarantees)
    for overload in log.overloads:
        before = _share_before(log, counted, overload.begin, bounds)
        if before is None:
            continue
        results = [
            result
            for result in counted
            if result.account != overload.account
            and overload.begin <= result.sent <= overload.end
        ]
        found = _too_few_in_time(results, bounds, before, _ALLOWANCE)
        if found is not None:
            detail = f"beside the excess of {overload.account}: {found}"
            yield Violation("shares", detail)


def served_after_overload(log: Log, guarantees: Guarantees) -> Iterable[Violation]:
    """After an overload, requests are soon answered in time again."""
    if (bounds := guarantees.overload) is None:
        return
    counted = _counted(log, guarantees)
    for overload in log.overloads:
        before = _share_before(log, counted, overload.begin, bounds)
        if before is None:
            continue
        since = overload.end + bounds.recovery_s
        next_begin = min(
            (o.begin for o in log.overloads if o.begin > overload.begin),
            default=float("inf"),
        )
        results = [result for result in counted if since <= result.sent < next_begin]
        found = _too_few_in_time(results, bounds, before, _RECOVERED_ALLOWANCE)
        if found is not None:
            detail = f"from {bounds.recovery_s:g} s after an overload on: {found}"
            yield Violation("recovery", detail)


def served_at_unequal_endpoints(
    log: Log, guarantees: Guarantees
) -> Iterable[Violation]:
    """Endpoints of unequal speed don't make requests late, once that is known."""
    if (bounds := guarantees.overload) is None:
        return
    counted = [
        result
        for result in _counted(log, guarantees)
        if not any(
            overload.begin <= result.ended
            and overload.end + bounds.recovery_s >= result.sent
            for overload in log.overloads
        )
    ]
    for period in log.unequal_periods:
        before = _share_before(log, counted, period.begin, bounds)
        if before is None:
            continue
        results = [
            result
            for result in counted
            if period.begin + bounds.learning_s <= result.sent < period.changed
            or period.changed + bounds.learning_s <= result.sent < period.end
        ]
        found = _too_few_in_time(results, bounds, before, _ALLOWANCE)
        if found is not None:
            yield Violation("unequal endpoints", found)
