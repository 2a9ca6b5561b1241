"""Check of streams amid planned work on relays and endpoints."""

from collections.abc import Iterable

from ebonydeal._internal.soak.guarantees import Guarantees, Violation
from ebonydeal._internal.soak.records import ClientResult, Log

# Planned work on a relay: it stops and starts, or reads its settings again.
_PLANNED = frozenset({"stop", "start", "hang up"})
# A fault may have effects for this long after its end.
_RECOVERY_S = 4.0


def streams_survive_planned_work(
    log: Log, guarantees: Guarantees
) -> Iterable[Violation]:
    """No stream that ran is lost unless something unplanned affected it.

    Endpoints that leave by the list, relays that stop as planned or read their settings
    again, and endpoints that refuse to have runs moved are no excuse.
    """
    reached = {run.request_id for run in log.runs}
    broken_at: dict[str, float] = {}
    for run in log.broken_runs:
        _note_first(broken_at, run.request_id, run.at)
    for closed in log.closed_runs:
        _note_first(broken_at, closed.request_id, closed.at)
    for result in log.results:
        if (
            not result.kind.is_stream
            or not _is_interrupted(result)
            or result.request_id not in reached
            or broken_at.get(result.request_id, result.ended) < result.ended
            or result.ended - result.sent >= guarantees.timeout_s
            or _was_affected(log, result)
        ):
            continue
        events = result.events_before + len(result.event_ids)
        detail = f"{result.request_id} of {result.relay} ends after event {events}"
        yield Violation("lost streams", detail)


def _note_first(times: dict[str, float], request_id: str, at: float) -> None:
    times[request_id] = min(at, times.get(request_id, at))


def _is_interrupted(result: ClientResult) -> bool:
    if result.left or result.complete:
        return False
    return result.status in (0, 200)


def _was_affected(log: Log, result: ClientResult) -> bool:
    """Return whether an unplanned fault of its relay or its links affected a stream."""
    since = result.sent - _RECOVERY_S
    return any(
        period.kind not in _PLANNED
        and period.relay in ("", result.relay)
        and period.begin <= result.ended
        and period.end >= since
        for period in log.fault_periods
    ) or any(
        result.relay in cut.relays and cut.begin <= result.ended and cut.end >= since
        for cut in log.link_cuts
    )
