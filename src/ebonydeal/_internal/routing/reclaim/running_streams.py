"""Running streams, the actions planned for them, and estimates; pure functions."""

import math
from dataclasses import dataclass
from statistics import NormalDist
from typing import NamedTuple

from ebonydeal._internal.models.endpoints import EndpointView

_MIN_TRANSFER_S = 0.001


class RunningStream(NamedTuple):
    """A stream on a leaving endpoint.

    Attributes
    ----------
    request_id : str
        The request.
    endpoint_id : str
        The endpoint at which it runs.
    context_tokens : int
        Tokens of the prompt and those generated so far.
    remaining_tokens_estimate : float
        Expected tokens still to generate.
    tokens_per_s : float
        Generation rate.
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

    It is expected to end there, or its export can safely wait: a stream that ends
    before the review needs no migration.
    """

    request_id: str
    review_at: float


@dataclass(frozen=True)
class ExportTo:
    """Export the KV cache at ``start_at`` and continue at ``target``.

    ``seconds`` is the expected time of export and import.
    """

    request_id: str
    target: EndpointView
    start_at: float
    seconds: float


@dataclass(frozen=True)
class Recompute:
    """Continue at ``target`` by prefill, at ``start_at``.

    ``target`` is None if none has a free slot: then the router finds one, or the stream
    waits in a queue.
    """

    request_id: str
    target: EndpointView | None
    start_at: float


StreamAction = KeepRunning | ExportTo | Recompute


class PlannerAssumptions(NamedTuple):
    """Assumptions of the planner.

    Attributes
    ----------
    margin_s : float
        Seconds reserved before the deadline, for clock skew and slow calls.
    estimate_sigma : float
        Deviation of the estimates of remaining tokens: the ratio of true to estimated
        length is assumed to be log-normal.
    export_failure_probability : float
        Probability that an export fails. A stream that outlasts the notice with a lower
        probability isn't exported.
    immediate_export_factor : float
        A stream that is expected to need more than this many times the notice is
        exported at once; any other export waits as long as is safe.
    export_time_factor : float
        Exports that wait start early enough to take this many times their expected
        time.
    overhead_s : float
        Seconds of an export and import in addition to the transfer.
    export_share, import_share : float
        Time of the export and of the import, as shares of the cache's size divided by
        the source's rate.
    prefill_tokens_per_s : float
        Prefill rate of a target; determines how long a stream waits for a shared prefix
        that another stream is about to compute there.
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
    """A failed export.

    ``handle_usable`` says that the source is alive and still holds the exported cache
    (only the import failed), so that another target may fetch it.
    """

    request_id: str
    handle_usable: bool


def transfer_seconds(
    stream: RunningStream, source_rate: float, assumptions: PlannerAssumptions
) -> float:
    """Return the time to export and import a stream's cache, in seconds."""
    full_transfer_s = stream.kv_gb / source_rate if source_rate > 0 else float("inf")
    seconds = (
        full_transfer_s * (assumptions.export_share + assumptions.import_share)
        + assumptions.overhead_s
    )
    return max(_MIN_TRANSFER_S, seconds)


def seconds_to_finish(stream: RunningStream) -> float:
    """Return the seconds that a stream is still expected to run."""
    if stream.tokens_per_s <= 0:
        return float("inf")
    return stream.remaining_tokens_estimate / stream.tokens_per_s


def outlast_probability(
    stream: RunningStream, seconds: float, assumptions: PlannerAssumptions
) -> float:
    """Return the probability that a stream runs for longer than ``seconds``."""
    expected = seconds_to_finish(stream)
    if expected <= 0.0 or seconds <= 0.0:
        return 1.0 if expected > seconds else 0.0
    if math.isinf(expected):
        return 1.0
    deviations = math.log(seconds / expected) / assumptions.estimate_sigma
    return 1.0 - NormalDist().cdf(deviations)
