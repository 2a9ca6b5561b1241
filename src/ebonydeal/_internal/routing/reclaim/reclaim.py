"""What happens to running streams when their endpoints are taken back; pure.

Three ways exist for a stream. It may finish where it runs. Its KV cache may be
exported to another endpoint, which recomputes nothing but needs the source's
bandwidth within the notice. Or it is resumed elsewhere by prefill, which
recomputes what the target's prefix cache doesn't hold.
"""

from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import NamedTuple

from ebonydeal._internal.routing.reclaim.reclaim_streams import (
    ExportFault,
    ExportTo,
    Finish,
    Move,
    ReclaimLimits,
    Recompute,
    RunningStream,
    outlasts,
    seconds_to_finish,
    transfer_seconds,
)
from ebonydeal._internal.routing.reclaim.reclaim_targets import Target, TargetPool

__all__ = [
    "ExportFault",
    "ExportTo",
    "Finish",
    "Move",
    "Recompute",
    "ReclaimLimits",
    "RunningStream",
    "Target",
    "plan_moves",
    "replan",
]

_LEAST_REVIEW_S = 0.1


def plan_moves(
    streams: Iterable[RunningStream],
    notice_seconds: float,
    source_rate: float,
    targets: Iterable[Target],
    now: float,
    *,
    leaving_zones: Collection[str] = (),
    source_busy: Mapping[str, float] | None = None,
    limits: ReclaimLimits | None = None,
) -> list[Move]:
    """Decide for each stream how it goes on.

    Parameters
    ----------
    streams : iterable of RunningStream
        Streams on leaving endpoints, of one or several.
    notice_seconds : float
        Seconds until these endpoints are taken; 0 for none.
    source_rate : float
        Gigabytes a second that each leaving endpoint can export.
    targets : iterable of Target
        Where streams may go on, with room.
    now : float
        Seconds; moves' times are in the same time.
    leaving_zones : collection of str
        Availability zones being reclaimed: no target there is used.
    source_busy : mapping of str to float, optional
        Seconds that exports planned before still take at each endpoint.
    limits : ReclaimLimits, optional
        Assumptions.

    Returns
    -------
    list of Move
        One for each stream; exports in their order at each source. At a review,
        plan again for all streams of that source that have no export or
        recompute under way, since they share its time.
    """
    limits = limits or ReclaimLimits()
    usable = max(0.0, notice_seconds - limits.margin)
    pool = TargetPool(targets, leaving_zones)
    line = _ExportLine(usable, source_rate, now, dict(source_busy or {}))
    ordered = sorted(
        streams, key=lambda it: _worth(it, line, pool, limits), reverse=True
    )
    if usable <= 0.0:
        return _plan_recomputes(ordered, pool, now, limits)
    waits, ordered = _split_waiting(ordered, line, limits)
    likely = [
        it for it in ordered if outlasts(it, usable, limits) > limits.break_chance
    ]
    exports, left = _plan_exports(likely, line, pool, limits)
    planned = {move.request_id for move in (*waits, *exports)}
    others = [it for it in ordered if it.request_id not in planned]
    finishes = [_review(it, line, limits) for it in others if _gains(it, pool)]
    left = [it for it in others if not _gains(it, pool)]
    return [*waits, *exports, *finishes, *_plan_recomputes(left, pool, now, limits)]


def replan(
    streams: Sequence[RunningStream],
    faults: Iterable[ExportFault],
    notice_seconds: float,
    source_rate: float,
    targets: Iterable[Target],
    now: float,
    *,
    leaving_zones: Collection[str] = (),
    source_busy: Mapping[str, float] | None = None,
    limits: ReclaimLimits | None = None,
) -> list[Move]:
    """Decide anew for streams whose export failed; the export stopped them.

    A cache whose import alone failed is fetched by another target while time is
    left; every other stream is resumed by prefill at once. Parameters are those
    of `plan_moves`.
    """
    limits = limits or ReclaimLimits()
    usable = max(0.0, notice_seconds - limits.margin)
    pool = TargetPool(targets, leaving_zones)
    kept = {fault.request_id for fault in faults if fault.handle_left}
    held = [stream for stream in streams if stream.request_id in kept]
    lost = [stream for stream in streams if stream.request_id not in kept]
    imports_only = limits._replace(export_share=0.0)
    line = _ExportLine(usable, source_rate, now, dict(source_busy or {}))
    moves, left = _plan_exports(held, line, pool, imports_only)
    return moves + _plan_recomputes(lost + left, pool, now, limits)


def _gains(stream: RunningStream, pool: TargetPool) -> bool:
    """Return whether it is better to let a stream run than to resume it at once.

    Each second it may end, which saves its whole context, but makes the context
    longer if it doesn't: it gains while the context is longer than the rest.
    """
    cost = stream.context_tokens - pool.best_hit(stream.prefix)
    return cost > stream.remaining_tokens_estimate and stream.tokens_per_s > 0


def _worth(
    stream: RunningStream, line: "_ExportLine", pool: TargetPool, limits: ReclaimLimits
) -> tuple[float, str]:
    """Return the tokens that an export is expected to save per second of transfer.

    Nothing is saved of a stream that ends in time, nor what some target's prefix
    cache already holds. The id makes the order the same everywhere.
    """
    missed = stream.context_tokens - pool.best_hit(stream.prefix)
    saved = missed * outlasts(stream, line.usable, limits)
    return saved / transfer_seconds(stream, line.source_rate, limits), stream.request_id


def _review(
    stream: RunningStream, line: "_ExportLine", limits: ReclaimLimits
) -> Finish:
    """Let a stream run until its source has time to export it, or to the end.

    The review is always later than now, so that planning comes to an end.
    """
    at = line.busy.get(stream.endpoint_id, 0.0)
    seconds = transfer_seconds(stream, line.source_rate, limits)
    if at < _LEAST_REVIEW_S or at + seconds > line.usable:
        at = max(_LEAST_REVIEW_S, line.usable)
    return Finish(stream.request_id, line.now + at)


class _ExportLine(NamedTuple):
    """Time and rate of exports; ``busy`` is the seconds taken at each source."""

    usable: float
    source_rate: float
    now: float
    busy: dict[str, float]


def _split_waiting(
    ordered: Sequence[RunningStream], line: _ExportLine, limits: ReclaimLimits
) -> tuple[list[Move], list[RunningStream]]:
    """Return those whose export can wait, with their review, and the others.

    A source's exports wait together, until only ``reserve`` times their expected
    time and that of the longest one is left before the deadline.
    """
    expected: dict[str, float] = dict(line.busy)
    longest: dict[str, float] = {}
    for stream in ordered:
        source = stream.endpoint_id
        seconds = transfer_seconds(stream, line.source_rate, limits)
        longest[source] = max(longest.get(source, 0.0), seconds)
        chance = outlasts(stream, line.usable, limits)
        if chance > 0.0:
            expected[source] = expected.get(source, 0.0) + chance * seconds
    waits: list[Move] = []
    others = []
    for stream in ordered:
        source = stream.endpoint_id
        needed = limits.reserve * expected.get(source, 0.0) + longest[source]
        slack = line.usable - needed
        hopeless = seconds_to_finish(stream) > limits.hopeless * line.usable
        if hopeless or slack < _LEAST_REVIEW_S:
            others.append(stream)
        else:
            waits.append(Finish(stream.request_id, line.now + slack))
    return waits, others


def _plan_exports(
    ordered: Iterable[RunningStream],
    line: _ExportLine,
    pool: TargetPool,
    limits: ReclaimLimits,
) -> tuple[list[Move], list[RunningStream]]:
    """Fill each source's time with exports; return them and who didn't fit.

    Transfers of one source go one after the other, so that the first ones are
    whole should the notice turn out shorter than it was said.
    """
    moves: list[Move] = []
    left = []
    for stream in ordered:
        seconds = transfer_seconds(stream, line.source_rate, limits)
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
    limits: ReclaimLimits,
) -> list[Move]:
    """Place resumes by prefill so that shared prefixes are computed once.

    The streams with the longest prompts go first. One that shares blocks with a
    resume placed before it goes to the same target, after that one's prefill.
    """
    moves: list[Move] = []
    order = sorted(streams, key=lambda it: (-len(it.prefix), it.request_id))
    for stream in order:
        place = pool.take_warmest(stream.prefix)
        if place is None:
            moves.append(Recompute(stream.request_id, None, now))
            continue
        wait = place.pending_tokens / limits.prefill_per_s
        moves.append(Recompute(stream.request_id, place.view, now + wait))
    return moves
