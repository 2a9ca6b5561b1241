"""What happens to running streams when their endpoints are taken back; pure.

Three ways exist for a stream. It may finish where it runs. Its KV cache may be
exported to another endpoint, which recomputes nothing but needs the source's
bandwidth within the notice. Or it is resumed elsewhere by prefill, which
recomputes what the target's prefix cache doesn't hold.
"""

from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from ebonydeal._internal.models.endpoints import EndpointView
from ebonydeal._internal.routing.reclaim_targets import Target, TargetPool

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


class RunningStream(NamedTuple):
    """A stream on an endpoint that is leaving.

    Attributes
    ----------
    request_id : str
        Which request.
    endpoint_id : str
        Where it runs.
    context_tokens : int
        Prompt and generated tokens so far.
    remaining_tokens_estimate : float
        Tokens that are expected to follow.
    tokens_per_s : float
        Its generation rate.
    kv_gb : float
        Size of its KV cache, gigabytes.
    prefix : tuple of str
        Chained hashes of the prompt's blocks (`utils.prefix`); empty if unknown.
    """

    request_id: str
    endpoint_id: str
    context_tokens: int
    remaining_tokens_estimate: float
    tokens_per_s: float
    kv_gb: float
    prefix: tuple[str, ...] = ()


@dataclass(frozen=True)
class Finish:
    """Let the stream end where it runs; plan again at ``review_at``."""

    request_id: str
    review_at: float


@dataclass(frozen=True)
class ExportTo:
    """Export the KV cache at ``start_at`` and go on at ``target``.

    ``seconds`` is the time that export and import are expected to take.
    """

    request_id: str
    target: EndpointView
    start_at: float
    seconds: float


@dataclass(frozen=True)
class Recompute:
    """Go on at ``target`` by prefill, at ``start_at``.

    ``target`` is None where none has room: the router finds one, or the stream
    waits in a queue.
    """

    request_id: str
    target: EndpointView | None
    start_at: float


Move = Finish | ExportTo | Recompute


class ReclaimLimits(NamedTuple):
    """What the planner assumes.

    Attributes
    ----------
    margin : float
        Seconds kept free before the deadline, for late clocks and calls.
    finish_share : float
        A stream is left to finish if it is expected to need at most this share
        of the notice.
    overhead : float
        Seconds of an export and import beside the transfer.
    export_share, import_share : float
        Time of the export and of the import, as shares of the cache's size over
        the source's rate.
    prefill_per_s : float
        Tokens a second that a target prefills; decides how long a stream waits
        for the shared prefix that another one is about to compute there.
    """

    margin: float = 0.3
    finish_share: float = 0.8
    overhead: float = 0.05
    export_share: float = 1.0
    import_share: float = 0.5
    prefill_per_s: float = 8000.0


class ExportFault(NamedTuple):
    """An export that didn't succeed.

    ``handle_left`` says that the exported cache still stands at a live source
    (only the import failed), so that another target may fetch it.
    """

    request_id: str
    handle_left: bool


def transfer_seconds(
    stream: RunningStream, source_rate: float, limits: ReclaimLimits
) -> float:
    """Return the time to export and import a stream's cache, in seconds."""
    whole = stream.kv_gb / source_rate if source_rate > 0 else float("inf")
    return whole * (limits.export_share + limits.import_share) + limits.overhead


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
        One for each stream; exports in their order at each source.
    """
    limits = limits or ReclaimLimits()
    usable = max(0.0, notice_seconds - limits.margin)
    pool = TargetPool(targets, leaving_zones)
    finishing, moving = _split_finishing(streams, usable, limits)
    moves: list[Move] = [
        Finish(stream.request_id, _review_at(stream, now, usable, source_rate, limits))
        for stream in finishing
    ]
    ordered = sorted(
        moving, key=lambda it: _saved_per_s(it, source_rate, pool, limits), reverse=True
    )
    line = _ExportLine(usable, source_rate, now, dict(source_busy or {}))
    exports, left = _plan_exports(ordered, line, pool, limits)
    return moves + exports + _plan_recomputes(left, pool, now, limits)


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


def _split_finishing(
    streams: Iterable[RunningStream], usable: float, limits: ReclaimLimits
) -> tuple[list[RunningStream], list[RunningStream]]:
    """Return the streams that can finish in time, and the others."""
    finishing: list[RunningStream] = []
    moving: list[RunningStream] = []
    for stream in streams:
        seconds = _seconds_to_finish(stream)
        fits = usable > 0.0 and seconds <= usable * limits.finish_share
        (finishing if fits else moving).append(stream)
    return finishing, moving


def _seconds_to_finish(stream: RunningStream) -> float:
    if stream.tokens_per_s <= 0:
        return float("inf")
    return stream.remaining_tokens_estimate / stream.tokens_per_s


def _review_at(
    stream: RunningStream,
    now: float,
    usable: float,
    source_rate: float,
    limits: ReclaimLimits,
) -> float:
    """Return when to look again at a stream that should have finished by then.

    After its expected end, but early enough to export it still. The review is
    always later than now, so that planning comes to an end.
    """
    expected = _seconds_to_finish(stream) / limits.finish_share
    latest = usable - transfer_seconds(stream, source_rate, limits)
    if latest < _LEAST_REVIEW_S:
        latest = usable
    return now + max(_LEAST_REVIEW_S, min(latest, expected))


def _saved_per_s(
    stream: RunningStream, source_rate: float, pool: TargetPool, limits: ReclaimLimits
) -> tuple[float, str]:
    """Return the tokens that an export saves per second of transfer.

    What some target's prefix cache already holds needn't be saved. The id makes
    the order the same everywhere.
    """
    saved = stream.context_tokens - pool.best_hit(stream.prefix)
    return saved / transfer_seconds(stream, source_rate, limits), stream.request_id


class _ExportLine(NamedTuple):
    """Time and rate of exports; ``busy`` is the seconds taken at each source."""

    usable: float
    source_rate: float
    now: float
    busy: dict[str, float]


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
