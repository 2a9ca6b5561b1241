"""What happens to running streams when their endpoints are taken back; pure.

Three ways exist for a stream. It may finish where it runs. Its KV cache may be
exported to another endpoint, which recomputes nothing but needs the source's
bandwidth within the notice. Or it is resumed elsewhere by prefill, which
recomputes what the target's prefix cache doesn't hold.
"""

from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import NamedTuple

from ebonydeal._internal.routing.reclaim.migration_targets import (
    MigrationTarget,
    TargetPool,
)
from ebonydeal._internal.routing.reclaim.running_streams import (
    ExportFailure,
    ExportTo,
    KeepRunning,
    PlannerAssumptions,
    Recompute,
    RunningStream,
    StreamAction,
    outlast_probability,
    seconds_to_finish,
    transfer_seconds,
)

__all__ = [
    "ExportFailure",
    "ExportTo",
    "KeepRunning",
    "StreamAction",
    "Recompute",
    "PlannerAssumptions",
    "RunningStream",
    "MigrationTarget",
    "plan_migrations",
    "replan_failed_exports",
]

_LEAST_REVIEW_S = 0.1


def plan_migrations(
    streams: Iterable[RunningStream],
    notice_seconds: float,
    source_rate: float,
    targets: Iterable[MigrationTarget],
    now: float,
    *,
    leaving_zones: Collection[str] = (),
    source_busy: Mapping[str, float] | None = None,
    assumptions: PlannerAssumptions | None = None,
) -> list[StreamAction]:
    """Decide for each stream how it goes on.

    Parameters
    ----------
    streams : iterable of RunningStream
        Streams on leaving endpoints, of one or several.
    notice_seconds : float
        Seconds until these endpoints are taken; 0 for none.
    source_rate : float
        Gigabytes a second that each leaving endpoint can export.
    targets : iterable of MigrationTarget
        Where streams may go on, with room.
    now : float
        Seconds; moves' times are in the same time.
    leaving_zones : collection of str
        Availability zones being reclaimed: no target there is used.
    source_busy : mapping of str to float, optional
        Seconds that exports planned before still take at each endpoint.
    assumptions : PlannerAssumptions, optional
        Assumptions.

    Returns
    -------
    list of StreamAction
        One for each stream; exports in their order at each source. At a review,
        plan again for all streams of that source that have no export or
        recompute under way, since they share its time.
    """
    assumptions = assumptions or PlannerAssumptions()
    usable = max(0.0, notice_seconds - assumptions.margin_s)
    pool = TargetPool(targets, leaving_zones)
    line = _ExportLine(usable, source_rate, now, dict(source_busy or {}))
    ordered = sorted(
        streams, key=lambda it: _worth(it, line, pool, assumptions), reverse=True
    )
    if usable <= 0.0:
        return _plan_recomputes(ordered, pool, now, assumptions)
    waits, ordered = _split_waiting(ordered, line, assumptions)
    likely = [
        it
        for it in ordered
        if outlast_probability(it, usable, assumptions)
        > assumptions.export_failure_probability
    ]
    exports, left = _plan_exports(likely, line, pool, assumptions)
    planned = {move.request_id for move in (*waits, *exports)}
    others = [it for it in ordered if it.request_id not in planned]
    finishes = [_review(it, line, assumptions) for it in others if _gains(it, pool)]
    left = [it for it in others if not _gains(it, pool)]
    return [
        *waits,
        *exports,
        *finishes,
        *_plan_recomputes(left, pool, now, assumptions),
    ]


def replan_failed_exports(
    streams: Sequence[RunningStream],
    faults: Iterable[ExportFailure],
    notice_seconds: float,
    source_rate: float,
    targets: Iterable[MigrationTarget],
    now: float,
    *,
    leaving_zones: Collection[str] = (),
    source_busy: Mapping[str, float] | None = None,
    assumptions: PlannerAssumptions | None = None,
) -> list[StreamAction]:
    """Decide anew for streams whose export failed; the export stopped them.

    A cache whose import alone failed is fetched by another target while time is
    left; every other stream is resumed by prefill at once. Parameters are those
    of `plan_migrations`.
    """
    assumptions = assumptions or PlannerAssumptions()
    usable = max(0.0, notice_seconds - assumptions.margin_s)
    pool = TargetPool(targets, leaving_zones)
    kept = {fault.request_id for fault in faults if fault.handle_usable}
    held = [stream for stream in streams if stream.request_id in kept]
    lost = [stream for stream in streams if stream.request_id not in kept]
    imports_only = assumptions._replace(export_share=0.0)
    line = _ExportLine(usable, source_rate, now, dict(source_busy or {}))
    moves, left = _plan_exports(held, line, pool, imports_only)
    return moves + _plan_recomputes(lost + left, pool, now, assumptions)


def _gains(stream: RunningStream, pool: TargetPool) -> bool:
    """Return whether it is better to let a stream run than to resume it at once.

    Each second it may end, which saves its whole context, but makes the context
    longer if it doesn't: it gains while the context is longer than the rest.
    """
    cost = stream.context_tokens - pool.best_hit(stream.prefix)
    return cost > stream.remaining_tokens_estimate and stream.tokens_per_s > 0


def _worth(
    stream: RunningStream,
    line: "_ExportLine",
    pool: TargetPool,
    assumptions: PlannerAssumptions,
) -> tuple[float, str]:
    """Return the tokens that an export is expected to save per second of transfer.

    Nothing is saved of a stream that ends in time, nor what some target's prefix
    cache already holds. The id makes the order the same everywhere.
    """
    missed = stream.context_tokens - pool.best_hit(stream.prefix)
    saved = missed * outlast_probability(stream, line.usable, assumptions)
    return saved / transfer_seconds(
        stream, line.source_rate, assumptions
    ), stream.request_id


def _review(
    stream: RunningStream, line: "_ExportLine", assumptions: PlannerAssumptions
) -> KeepRunning:
    """Let a stream run until its source has time to export it, or to the end.

    The review is always later than now, so that planning comes to an end.
    """
    at = line.busy.get(stream.endpoint_id, 0.0)
    seconds = transfer_seconds(stream, line.source_rate, assumptions)
    if at < _LEAST_REVIEW_S or at + seconds > line.usable:
        at = max(_LEAST_REVIEW_S, line.usable)
    return KeepRunning(stream.request_id, line.now + at)


class _ExportLine(NamedTuple):
    """Time and rate of exports; ``busy`` is the seconds taken at each source."""

    usable: float
    source_rate: float
    now: float
    busy: dict[str, float]


def _split_waiting(
    ordered: Sequence[RunningStream], line: _ExportLine, assumptions: PlannerAssumptions
) -> tuple[list[StreamAction], list[RunningStream]]:
    """Return those whose export can wait, with their review, and the others.

    All exports of a source wait until only ``export_time_factor`` times their
    expected time, plus the time of the longest one, is left before the deadline.
    """
    expected: dict[str, float] = dict(line.busy)
    longest: dict[str, float] = {}
    for stream in ordered:
        source = stream.endpoint_id
        seconds = transfer_seconds(stream, line.source_rate, assumptions)
        longest[source] = max(longest.get(source, 0.0), seconds)
        chance = outlast_probability(stream, line.usable, assumptions)
        if chance > 0.0:
            expected[source] = expected.get(source, 0.0) + chance * seconds
    waits: list[StreamAction] = []
    others = []
    for stream in ordered:
        source = stream.endpoint_id
        needed = (
            assumptions.export_time_factor * expected.get(source, 0.0) + longest[source]
        )
        slack = line.usable - needed
        too_long = (
            seconds_to_finish(stream)
            > assumptions.immediate_export_factor * line.usable
        )
        if too_long or slack < _LEAST_REVIEW_S:
            others.append(stream)
        else:
            waits.append(KeepRunning(stream.request_id, line.now + slack))
    return waits, others


def _plan_exports(
    ordered: Iterable[RunningStream],
    line: _ExportLine,
    pool: TargetPool,
    assumptions: PlannerAssumptions,
) -> tuple[list[StreamAction], list[RunningStream]]:
    """Fill each source's time with exports; return them and who didn't fit.

    Transfers of one source go one after the other, so that the first ones are
    whole should the notice turn out shorter than it was said.
    """
    moves: list[StreamAction] = []
    left = []
    for stream in ordered:
        seconds = transfer_seconds(stream, line.source_rate, assumptions)
        start = line.busy.get(stream.endpoint_id, 0.0)
        fits = start + seconds <= line.usable
        target = pool.take_emptiest() if fits else None
        if target is None:
            left.append(stream)
            continue
        line.busy[stream.endpoint_id] = start + seconds
        moves.append(ExportTo(stream.request_id, target, line.now + start, seconds))
    return moves, left


def _plan_recomputes(
    streams: Sequence[RunningStream],
    pool: TargetPool,
    now: float,
    assumptions: PlannerAssumptions,
) -> list[StreamAction]:
    """Place resumes by prefill so that shared prefixes are computed once.

    The streams with the longest prompts go first. One that shares blocks with a
    resume placed before it goes to the same target, after that one's prefill.
    """
    moves: list[StreamAction] = []
    order = sorted(streams, key=lambda it: (-len(it.prefix), it.request_id))
    for stream in order:
        place = pool.take_warmest(stream.prefix)
        if place is None:
            moves.append(Recompute(stream.request_id, None, now))
            continue
        wait = place.pending_tokens / assumptions.prefill_tokens_per_s
        moves.append(Recompute(stream.request_id, place.view, now + wait))
    return moves
