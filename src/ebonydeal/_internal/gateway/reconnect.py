"""Resumes answers of callers that reconnect with ``Last-Event-ID``, at any gateway.

See docs/design/streams.md for the alternatives considered.
"""

from collections import OrderedDict
from typing import Any, NamedTuple

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.gateway.events import (
    ResumePoint,
    TextDigest,
    text_digest,
)
from ebonydeal._internal.gateway.live_stream import Job, LiveStream, Piece, ResumeCause
from ebonydeal._internal.gateway.ports import PeerPort
from ebonydeal._internal.gateway.stream_runner import StreamRunner
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.utils.clock import Clock

RESUME_PATH = "/gateway/v1/resume"
_DISCONNECT_POLL_INTERVAL_S = 0.02
_DISCONNECT_TIMEOUT_S = 2.0
_ENTRY_OVERHEAD_TOKENS = 16


class RetainedAnswer(NamedTuple):
    """Retained state of an answer whose caller may reconnect.

    ``expires_at`` is in clock seconds.
    """

    account: str
    body_digest: str
    delivered: tuple[str, ...]
    finish: str
    cached_tokens: int
    expires_at: float

    def to_message(self) -> dict[str, Any]:
        """Return the message for another gateway, without the fields that it knows."""
        return {
            "body_digest": self.body_digest,
            "delivered": list(self.delivered),
            "finish": self.finish,
            "cached_tokens": self.cached_tokens,
        }


class RetainedAnswers:
    """Answers retained for a limited time, in bounded memory.

    Parameters
    ----------
    retention_s : float
        Retention time, seconds.
    max_tokens : int
        Maximum number of tokens over all answers; the oldest are evicted.
    """

    def __init__(self, retention_s: float, max_tokens: int) -> None:
        self._retention = retention_s
        self._max_tokens = max_tokens
        self._total_tokens = 0
        self._answers: OrderedDict[str, RetainedAnswer] = OrderedDict()

    def retain(self, live: LiveStream, now: float) -> None:
        """Retain the delivered part of an answer."""
        request = live.job.request
        entry = RetainedAnswer(
            account=request.account,
            body_digest=request.body_digest,
            delivered=tuple(live.delivered),
            finish=live.finish,
            cached_tokens=live.cached_tokens,
            expires_at=now + self._retention,
        )
        self._drop(request.request_id)
        self._answers[request.request_id] = entry
        self._total_tokens += _token_cost(entry)
        self._trim(now)

    def get(self, request_id: str, account: str, now: float) -> RetainedAnswer | None:
        """Return an answer of ``account``, if it is still retained."""
        entry = self._answers.get(request_id)
        if entry is None or entry.account != account or entry.expires_at <= now:
            return None
        return entry

    def _drop(self, request_id: str) -> None:
        entry = self._answers.pop(request_id, None)
        if entry is not None:
            self._total_tokens -= _token_cost(entry)

    def _trim(self, now: float) -> None:
        """Evict expired answers, and the oldest while over the limit."""
        while self._answers:
            oldest, entry = next(iter(self._answers.items()))
            if self._total_tokens <= self._max_tokens and entry.expires_at > now:
                return
            self._drop(oldest)


def _token_cost(entry: RetainedAnswer) -> int:
    """Return the tokens that an entry counts toward the limit."""
    return len(entry.delivered) + _ENTRY_OVERHEAD_TOKENS


class Reconnector:
    """Finds the delivered part of an answer, so that it can be resumed.

    Parameters
    ----------
    runner : StreamRunner
        Runs the answers whose old connection is still open here.
    interrupted, finished : RetainedAnswers
        Answers retained here: interrupted, and completely sent.
    peers : PeerPort
        Other gateways.
    metrics, clock : Metrics, Clock
        Counters and time.
    """

    def __init__(
        self,
        runner: StreamRunner,
        interrupted: RetainedAnswers,
        finished: RetainedAnswers,
        peers: PeerPort,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._runner = runner
        self._interrupted = interrupted
        self._finished = finished
        self._peers = peers
        self._metrics = metrics
        self._clock = clock

    async def take_over(self, request_id: str, account: str) -> RetainedAnswer | None:
        """Return a retained answer; aborts its old connection first if still open."""
        until = self._clock.now() + _DISCONNECT_TIMEOUT_S
        while self._clock.now() < until:
            live = self._find_live(request_id, account)
            if live is None:
                break
            live.abort()
            await self._clock.sleep(_DISCONNECT_POLL_INTERVAL_S)
        now = self._clock.now()
        retained = self._interrupted.get(request_id, account, now)
        return retained or self._finished.get(request_id, account, now)

    def _find_live(self, request_id: str, account: str) -> LiveStream | None:
        """Return an answer that is still in progress here."""
        for live in self._runner.live_streams:
            request = live.job.request
            if request.request_id == request_id and request.account == account:
                return live
        return None

    async def resume(self, resume_point: ResumePoint, job: Job) -> LiveStream:
        """Return the state from which the answer is resumed.

        If no gateway retains the answer, the state is empty and the answer is
        generated again: see `DeliveredTokenFilter`. Raises BAD_REQUEST if the
        body differs.
        """
        retained = await self._find(resume_point, job)
        live = LiveStream(job)
        live.cause = ResumeCause.RECONNECT
        live.has_started = True
        live.prefer = (resume_point.endpoint_id, resume_point.incarnation)
        self._metrics.count(Event.STREAMS_RECONNECTED)
        if retained is None or not _matches(retained, resume_point):
            return live
        if retained["body_digest"] != job.request.body_digest:
            detail = "the body differs from that of the original request"
            raise EbonydealError(ErrorKind.BAD_REQUEST, detail)
        live.delivered = list(retained["delivered"])
        live.finish = retained["finish"]
        live.cached_tokens = retained["cached_tokens"]
        return live

    async def _find(self, resume_point: ResumePoint, job: Job) -> dict[str, Any] | None:
        """Return the answer's retained state from the gateway that served it."""
        account = job.request.account
        if resume_point.gateway == self._peers.address:
            entry = await self.take_over(resume_point.request_id, account)
            return entry.to_message() if entry else None
        message = {"request_id": resume_point.request_id, "account": account}
        try:
            retained = await self._peers.call(
                resume_point.gateway, RESUME_PATH, message
            )
        except EbonydealError:
            return None
        return retained if _is_retained_answer(retained) else None


def _is_retained_answer(message: dict[str, Any]) -> bool:
    """Return whether a peer's reply is a valid `RetainedAnswer` message."""
    match message:
        case {
            "body_digest": str(),
            "delivered": list(delivered),
            "finish": str(),
            "cached_tokens": int(),
        }:
            return all(isinstance(item, str) for item in delivered)
    return False


def _matches(retained: dict[str, Any], resume_point: ResumePoint) -> bool:
    """Return whether the retained tokens start with those the caller has."""
    count = delivered_count(resume_point, retained["delivered"], retained["finish"])
    tokens = retained["delivered"][:count]
    return len(tokens) == count and text_digest(tokens) == resume_point.digest


def delivered_count(
    resume_point: ResumePoint, delivered: list[str], finish: str
) -> int:
    """Return how many tokens a caller at this resume point has."""
    if finish and resume_point.position == len(delivered):
        return resume_point.position
    return resume_point.position + 1


class DeliveredTokenFilter:
    """Drops the tokens the caller has from a regenerated answer, after a check.

    Parameters
    ----------
    resume_point : ResumePoint
        Position and digest of the tokens that the caller has.
    """

    def __init__(self, resume_point: ResumePoint) -> None:
        self._resume_point = resume_point
        self._digest = TextDigest()

    def is_missing(self, piece: Piece) -> bool:
        """Return whether the caller lacks this piece.

        Raises EXPIRED if the text differs or ends earlier, because the rest would
        not match the tokens that the caller has.
        """
        position = self._resume_point.position
        if piece.position > position:
            return True
        if piece.is_token:
            self._digest.add(piece.text)
        if piece.position == position or piece.finish:
            self._check(piece)
        return not piece.is_token

    def _check(self, piece: Piece) -> None:
        """Raise EXPIRED unless the text so far equals the caller's."""
        same = self._digest.hexdigest() == self._resume_point.digest
        if not same or piece.position != self._resume_point.position:
            detail = "the answer is no longer retained and the regenerated one differs"
            raise EbonydealError(ErrorKind.EXPIRED, detail)
