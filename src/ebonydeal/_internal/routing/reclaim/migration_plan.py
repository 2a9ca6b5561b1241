"""Plans the migration of running streams off reclaimed endpoints; pure functions.

A stream has three options. It may finish where it runs. Its KV cache may be exported
to another endpoint, which recomputes nothing but needs the source's bandwidth within
the notice. Or it is resumed elsewhere by prefill, which recomputes what the target's
prefix cache doesn't hold.
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

_MIN_REVIEW_DELAY_S = 0.1


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
    """Decide for each stream how it continues.

    Parameters
    ----------
    streams : iterable of RunningStream
        Streams on one or several leaving endpoints.
    notice_seconds : float
        Seconds until these endpoints are reclaimed; 0 without notice.
    source_rate : float
        Gigabytes per second that each leaving endpoint can export.
    targets : iterable of MigrationTarget
        Endpoints at which streams may continue, with their free slots.
    now : float
        Seconds; the times of actions have the same origin.
    leaving_zones : collection of str
        Availability zones being reclaimed; targets there are not used.
    source_busy : mapping of str to float, optional
        Seconds that exports planned earlier still take at each endpoint.
    assumptions : PlannerAssumptions, optional
        Assumptions.

    Returns
    -------
    list of StreamAction
        One for each stream; exports are in their order at each source. At a review,
        plan again for all streams of that source that have no export or recompute in
        progress, since they share its export time.
    """
    assumptions = assumptions or PlannerAssumptions()
    usable = max(0.0, notice_seconds - assumptions.margin_s)
    pool = TargetPool(targets, leaving_zones)
    queue = _ExportQueue(usable, source_rate, now, dict(source_busy or {}))
    ordered = sorted(
        streams,
        key=lambda it: _export_value(it, queue, pool, assumptions),
        reverse=True,
    )
    if usable <= 0.0:
        return _plan_recomputes(ordered, pool, now, assumptions)
    waiting, ordered = _split_waiting(ordered, queue, assumptions)
    worth_export = [
        it
        for it in ordered
        if outlast_probability(it, usable, assumptions)
        > assumptions.export_failure_probability
    ]
    exports, left = _plan_exports(worth_export, queue, pool, assumptions)
    planned = {action.request_id for action in (*waiting, *exports)}
    others = [it for it in ordered if it.request_id not in planned]
    running = [
        _keep_running(it, queue, assumptions)
        for it in others
        if _should_keep_running(it, pool)
    ]
    left = [it for it in others if not _should_keep_running(it, pool)]
    return [
        *waiting,
        *exports,
        *running,
        *_plan_recomputes(left, pool, now, assumptions),
    ]


def replan_failed_exports(
    streams: Sequence[RunningStream],
    failures: Iterable[ExportFailure],
    notice_seconds: float,
    source_rate: float,
    targets: Iterable[MigrationTarget],
    now: float,
    *,
    leaving_zones: Collection[str] = (),
    source_busy: Mapping[str, float] | None = None,
    assumptions: PlannerAssumptions | None = None,
) -> list[StreamAction]:
    """Decide again for streams whose export failed; the export has stopped them.

    If only the import failed, another target fetches the cache while time is left.
    Every other stream is resumed by prefill at once. The parameters are those of
    `plan_migrations`.
    """
    assumptions = assumptions or PlannerAssumptions()
    usable = max(0.0, notice_seconds - assumptions.margin_s)
    pool = TargetPool(targets, leaving_zones)
    exported_ids = {failure.request_id for failure in failures if failure.handle_usable}
    exported = [stream for stream in streams if stream.request_id in exported_ids]
    lost = [stream for stream in streams if stream.request_id not in exported_ids]
    imports_only = assumptions._replace(export_share=0.0)
    queue = _ExportQueue(usable, source_rate, now, dict(source_busy or {}))
    actions, left = _plan_exports(exported, queue, pool, imports_only)
    return actions + _plan_recomputes(lost + left, pool, now, assumptions)


def _should_keep_running(stream: RunningStream, pool: TargetPool) -> bool:
    """Return whether it is better to let a stream run than to resume it at once.

    While it runs it may end, which saves recomputing its whole context; otherwise the
    context to recompute grows. So it pays to wait while the context is longer than the
    remaining tokens.
    """
    cost = stream.context_tokens - pool.best_hit(stream.prefix)
    return cost > stream.remaining_tokens_estimate and stream.tokens_per_s > 0


def _export_value(
    stream: RunningStream,
    queue: "_ExportQueue",
    pool: TargetPool,
    assumptions: PlannerAssumptions,
) -> tuple[float, str]:
    """Return the tokens that an export is expected to save per second of transfer.

    It saves nothing of a stream that ends in time, and no tokens that a target's prefix
    cache already holds. The id makes the order deterministic.
    """
    uncached_tokens = stream.context_tokens - pool.best_hit(stream.prefix)
    saved = uncached_tokens * outlast_probability(stream, queue.usable, assumptions)
    return saved / transfer_seconds(
        stream, queue.source_rate, assumptions
    ), stream.request_id


def _keep_running(
    stream: RunningStream, queue: "_ExportQueue", assumptions: PlannerAssumptions
) -> KeepRunning:
    """Let a stream run until its source has time to export it, or until the deadline.

    The review is always later than now, so that planning terminates.
    """
    at = queue.busy.get(stream.endpoint_id, 0.0)
    seconds = transfer_seconds(stream, queue.source_rate, assumptions)
    if at < _MIN_REVIEW_DELAY_S or at + seconds > queue.usable:
        at = max(_MIN_REVIEW_DELAY_S, queue.usable)
    return KeepRunning(stream.request_id, queue.now + at)


class _ExportQueue(NamedTuple):
    """Time and rate for exports; ``busy`` is the seconds already used by source."""

    usable: float
    source_rate: float
    now: float
    busy: dict[str, float]


def _split_waiting(
    ordered: Sequence[RunningStream],
    queue: _ExportQueue,
    assumptions: PlannerAssumptions,
) -> tuple[list[StreamAction], list[RunningStream]]:
    """Return the reviews of streams whose export can wait, and the other streams.

    All exports of a source wait until only ``export_time_factor`` times their
    expected time, plus the time of the longest one, is left before the deadline.
    """
    expected: dict[str, float] = dict(queue.busy)
    max_transfer_s: dict[str, float] = {}
    for stream in ordered:
        source = stream.endpoint_id
        seconds = transfer_seconds(stream, queue.source_rate, assumptions)
        max_transfer_s[source] = max(max_transfer_s.get(source, 0.0), seconds)
        chance = outlast_probability(stream, queue.usable, assumptions)
        if chance > 0.0:
            expected[source] = expected.get(source, 0.0) + chance * seconds
    waiting: list[StreamAction] = []
    others = []
    for stream in ordered:
        source = stream.endpoint_id
        needed = (
            assumptions.export_time_factor * expected.get(source, 0.0)
            + max_transfer_s[source]
        )
        slack = queue.usable - needed
        too_long = (
            seconds_to_finish(stream)
            > assumptions.immediate_export_factor * queue.usable
        )
        if too_long or slack < _MIN_REVIEW_DELAY_S:
            others.append(stream)
        else:
            waiting.append(KeepRunning(stream.request_id, queue.now + slack))
    return waiting, others


def _plan_exports(
    ordered: Iterable[RunningStream],
    queue: _ExportQueue,
    pool: TargetPool,
    assumptions: PlannerAssumptions,
) -> tuple[list[StreamAction], list[RunningStream]]:
    """Fill each source's time with exports; return them and the streams left over.

    Transfers of one source run one after the other, so that the first ones are complete
    if the notice turns out shorter than announced.
    """
    actions: list[StreamAction] = []
    left = []
    for stream in ordered:
        seconds = transfer_seconds(stream, queue.source_rate, assumptions)
        start = queue.busy.get(stream.endpoint_id, 0.0)
        fits = start + seconds <= queue.usable
        target = pool.reserve_emptiest() if fits else None
        if target is None:
            left.append(stream)
            continue
        queue.busy[stream.endpoint_id] = start + seconds
        actions.append(ExportTo(stream.request_id, target, queue.now + start, seconds))
    return actions, left


def _plan_recomputes(
    streams: Sequence[RunningStream],
    pool: TargetPool,
    now: float,
    assumptions: PlannerAssumptions,
) -> list[StreamAction]:
    """Place resumes by prefill so that shared prefixes are computed once.

    The streams with the longest prompts come first. A stream that shares blocks with a
    resume placed earlier goes to the same target, after the prefill of that resume.
    """
    actions: list[StreamAction] = []
    order = sorted(streams, key=lambda it: (-len(it.prefix), it.request_id))
    for stream in order:
        placement = pool.reserve_best_cached(stream.prefix)
        if placement is None:
            actions.append(Recompute(stream.request_id, None, now))
            continue
        wait = placement.pending_tokens / assumptions.prefill_tokens_per_s
        actions.append(Recompute(stream.request_id, placement.view, now + wait))
    return actions
