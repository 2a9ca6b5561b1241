"""Running streams, what may happen to them, and estimates about them; pure."""

import math
from dataclasses import dataclass
from statistics import NormalDist
from typing import NamedTuple

from ebonydeal._internal.models.endpoints import EndpointView

_LEAST_TRANSFER_S = 0.001


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
class KeepRunning:
    """Let the stream run where it is; if it still does, plan again at ``review_at``.

    It is expected to end there, or its export can wait safely: each stream that
    ends meanwhile needs no move.
    """

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


StreamAction = KeepRunning | ExportTo | Recompute


class PlannerAssumptions(NamedTuple):
    """What the planner assumes.

    Attributes
    ----------
    margin_s : float
        Seconds kept free before the deadline, for late clocks and calls.
    estimate_sigma : float
        Spread of the estimates of remaining tokens: true over estimated length
        is taken as log-normal.
    export_failure_probability : float
        Chance that an export fails. A stream that is less likely than this to
        outlast the notice isn't exported.
    immediate_export_factor : float
        A stream that is expected to need more than this many times the notice
        is exported at once; for any other the export waits as long as is safe.
    export_time_factor : float
        Exports that wait start early enough for this many times their
        expected time.
    overhead_s : float
        Seconds of an export and import beside the transfer.
    export_share, import_share : float
        Time of the export and of the import, as shares of the cache's size over
        the source's rate.
    prefill_tokens_per_s : float
        Tokens a second that a target prefills; decides how long a stream waits
        for the shared prefix that another one is about to compute there.
    """

    margin_s: float = 0.1
    estimate_sigma: float = 0.5
    export_failure_probability: float = 0.05
    immediate_export_factor: float = 3.0
    export_time_factor: float = 2.0
    overhead_s: float = 0.05
    export_share: float = 1.0
    import_share: float = 0.5
    prefill_tokens_per_s: float = 8000.0


class ExportFailure(NamedTuple):
    """An export that didn't succeed.

    ``handle_usable`` says that the exported cache still stands at a live source
    (only the import failed), so that another target may fetch it.
    """

    request_id: str
    handle_usable: bool


def transfer_seconds(
    stream: RunningStream, source_rate: float, assumptions: PlannerAssumptions
) -> float:
    """Return the time to export and import a stream's cache, in seconds."""
    whole = stream.kv_gb / source_rate if source_rate > 0 else float("inf")
    seconds = (
        whole * (assumptions.export_share + assumptions.import_share)
        + assumptions.overhead_s
    )
    return max(_LEAST_TRANSFER_S, seconds)


def seconds_to_finish(stream: RunningStream) -> float:
    """Return the seconds that a stream is expected to run still."""
    if stream.tokens_per_s <= 0:
        return float("inf")
    return stream.remaining_tokens_estimate / stream.tokens_per_s


def outlast_probability(
    stream: RunningStream, seconds: float, assumptions: PlannerAssumptions
) -> float:
    """Return the chance that a stream runs for longer than ``seconds``."""
    expected = seconds_to_finish(stream)
    if expected <= 0.0 or seconds <= 0.0:
        return 1.0 if expected > seconds else 0.0
    if math.isinf(expected):
        return 1.0
    deviations = math.log(seconds / expected) / assumptions.estimate_sigma
    return 1.0 - NormalDist().cdf(deviations)
