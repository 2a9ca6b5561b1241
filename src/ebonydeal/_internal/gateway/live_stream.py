"""State of one answer that is being generated for a caller."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NamedTuple

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.gateway.attempts import Attempt
from ebonydeal._internal.gateway.ports import EndpointQuery, Incarnation
from ebonydeal._internal.models.document import Deployment
from ebonydeal._internal.models.endpoints import EndpointView
from ebonydeal._internal.models.requests import Request
from ebonydeal._internal.observe.counters import Event, RetryReason


class ResumeCause(StrEnum):
    """Why an answer needs another attempt."""

    FAILED = "failed"
    STALLED = "stalled"
    RECLAIM = "reclaim"
    RECONNECT = "reconnect"


RECOMPUTED_EVENTS = {
    ResumeCause.FAILED: Event.TOKENS_RECOMPUTED_RESUME,
    ResumeCause.STALLED: Event.TOKENS_RECOMPUTED_STALL,
    ResumeCause.RECLAIM: Event.TOKENS_RECOMPUTED_RECLAIM,
    ResumeCause.RECONNECT: Event.TOKENS_RECOMPUTED_RECONNECT,
}

_RETRY_REASONS = {
    ErrorKind.CONNECT_FAILED: RetryReason.CONNECT_FAILED,
    ErrorKind.ENDPOINT_REFUSED: RetryReason.ENDPOINT_REFUSED,
    ErrorKind.ENDPOINT_STALLED: RetryReason.ENDPOINT_STALLED,
}


def retry_reason(kind: ErrorKind, delivered: int) -> RetryReason:
    """Return the reason to count a retry under."""
    if kind in _RETRY_REASONS:
        return _RETRY_REASONS[kind]
    return RetryReason.STREAM_RESUMED if delivered else RetryReason.ENDPOINT_FAILED


class Job(NamedTuple):
    """A generation to run.

    Attributes
    ----------
    request : Request
        The caller's request.
    deployment : Deployment
        Deployment that serves the request.
    model : str
        Model or adapter name.
    body : dict
        Request body for the engine.
    prefix : tuple of str
        Chained hashes of the prompt's blocks.
    """

    request: Request
    deployment: Deployment
    model: str
    body: dict[str, Any]
    prefix: tuple[str, ...]


class Piece(NamedTuple):
    """One token of the answer, or its end marker.

    ``position`` counts tokens from 0; ``finish`` is the finish reason of the last
    piece, whose ``text`` may be empty.
    """

    position: int
    text: str
    finish: str = ""

    @property
    def is_token(self) -> bool:
        """Whether this is a token, not only the end marker."""
        return bool(self.text) or not self.finish


@dataclass(eq=False)
class LiveStream:
    """One answer in progress.

    Attributes
    ----------
    job : Job
        The generation.
    delivered : list of str
        Tokens passed to the caller's connection, in order.
    attempt : Attempt or None
        The running attempt; None between attempts.
    successor : Attempt or None
        The attempt that is to replace it.
    attempt_count : int
        Number of attempts started.
    attempts_without_token : int
        Number of consecutive attempts, up to the last, without a token.
    migrating : bool
        Whether a Migrate message will follow, even if the attempt fails.
    planned_attempt : Attempt or None
        Attempt whose migration off its leaving endpoint is already planned.
    cause : ResumeCause or None
        Why another attempt is needed; None before the first one.
    target : EndpointView or None
        Endpoint of the next attempt, if already chosen.
    kv_handle : str
        Handle of the transferred KV cache for the next attempt.
    prefer : (endpoint id, incarnation) or None
        Endpoint that may still hold the KV cache.
    avoid : set of (endpoint id, incarnation)
        Endpoints that failed this answer.
    finish : str
        Finish reason once the answer is complete.
    has_started : bool
        Whether any attempt received a first chunk.
    cached_tokens : int
        Prompt tokens that the first such attempt found cached.
    writing_since : float or None
        Since when a write to the caller's connection is pending, clock seconds.
    abort : callable
        Aborts the caller's connection.
    """

    job: Job
    delivered: list[str] = field(default_factory=list)
    attempt: Attempt | None = None
    successor: Attempt | None = None
    attempt_count: int = 0
    attempts_without_token: int = 0
    migrating: bool = False
    planned_attempt: Attempt | None = None
    cause: ResumeCause | None = None
    target: EndpointView | None = None
    kv_handle: str = ""
    prefer: Incarnation | None = None
    avoid: set[Incarnation] = field(default_factory=set)
    finish: str = ""
    has_started: bool = False
    cached_tokens: int = 0
    last_token_at: float = 0.0
    writing_since: float | None = None
    abort: Callable[[], None] = lambda: None

    @property
    def request_id(self) -> str:
        """Id of the caller's request."""
        return self.job.request.request_id

    @property
    def source(self) -> Incarnation:
        """Endpoint of the running attempt; the id is empty between attempts."""
        if self.attempt is None:
            return ("", 0)
        view = self.attempt.route.endpoint
        return (view.endpoint_id, view.incarnation)

    def endpoint_query(self) -> EndpointQuery:
        """Return the query for the endpoint of the next attempt."""
        job = self.job
        return EndpointQuery(
            request=job.request,
            deployment=job.deployment,
            model=job.model,
            prefix=job.prefix,
            delivered=len(self.delivered),
            avoid=frozenset(self.avoid),
            prefer=self.prefer,
        )

    def check_deadline(self, now: float) -> None:
        """Raise DEADLINE_EXCEEDED once wall clock ``now`` is past the deadline."""
        deadline = self.job.request.deadline
        if deadline and now >= deadline:
            detail = "the deadline passed before the answer was complete"
            raise EbonydealError(ErrorKind.DEADLINE_EXCEEDED, detail)
