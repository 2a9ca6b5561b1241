"""Callers who come back with ``Last-Event-ID``, at any gateway.

See docs/design/streams.md for the ways that were weighed.
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
_LEAVE_POLL_S = 0.02
_LEAVE_WAIT_S = 2.0
_ENTRY_TOKENS = 16


class RetainedAnswer(NamedTuple):
    """What is kept of an answer whose caller may come back.

    ``until`` is in clock seconds.
    """

    account: str
    body_digest: str
    delivered: tuple[str, ...]
    finish: str
    cached_tokens: int
    until: float

    def to_message(self) -> dict[str, Any]:
        """Return the wire shape, without what the asker knows."""
        return {
            "body_digest": self.body_digest,
            "delivered": list(self.delivered),
            "finish": self.finish,
            "cached_tokens": self.cached_tokens,
        }


class RetainedAnswers:
    """Answers kept for a while, in bounded memory.

    Parameters
    ----------
    retention_s : float
        How long, seconds.
    tokens : int
        Most tokens held over all answers; the oldest answers are dropped.
    """

    def __init__(self, retention_s: float, tokens: int) -> None:
        self._retention = retention_s
        self._limit = tokens
        self._held = 0
        self._parked: OrderedDict[str, RetainedAnswer] = OrderedDict()

    def park(self, live: LiveStream, now: float) -> None:
        """Keep an answer as far as it went."""
        request = live.job.request
        entry = RetainedAnswer(
            account=request.account,
            body_digest=request.body_digest,
            delivered=tuple(live.delivered),
            finish=live.finish,
            cached_tokens=live.cached_tokens,
            until=now + self._retention,
        )
        self._drop(request.request_id)
        self._parked[request.request_id] = entry
        self._held += _weight(entry)
        self._trim(now)

    def get(self, request_id: str, account: str, now: float) -> RetainedAnswer | None:
        """Return an answer of ``account``, if it is still kept."""
        entry = self._parked.get(request_id)
        if entry is None or entry.account != account or entry.until <= now:
            return None
        return entry

    def _drop(self, request_id: str) -> None:
        entry = self._parked.pop(request_id, None)
        if entry is not None:
            self._held -= _weight(entry)

    def _trim(self, now: float) -> None:
        """Drop what is too old or too much."""
        while self._parked:
            oldest, entry = next(iter(self._parked.items()))
            if self._held <= self._limit and entry.until > now:
                return
            self._drop(oldest)


def _weight(entry: RetainedAnswer) -> int:
    """Return the tokens that an entry counts for."""
    return len(entry.delivered) + _ENTRY_TOKENS


class Reconnector:
    """Finds how far an answer went and lets it go on.

    Parameters
    ----------
    relay : Relay
        For answers whose old connection is still open here.
    left, finished : ParkedStreams
        Answers kept here: cut off, and sent whole.
    peers : PeerPort
        Other gateways.
    metrics, clock : Metrics, Clock
        Counters and time.
    """

    def __init__(
        self,
        runner: StreamRunner,
        left: RetainedAnswers,
        finished: RetainedAnswers,
        peers: PeerPort,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._runner = runner
        self._left = left
        self._finished = finished
        self._peers = peers
        self._metrics = metrics
        self._clock = clock

    async def claim(self, request_id: str, account: str) -> RetainedAnswer | None:
        """Return a kept answer; an old connection still open is broken first."""
        until = self._clock.now() + _LEAVE_WAIT_S
        while self._clock.now() < until:
            live = self._find_live(request_id, account)
            if live is None:
                break
            live.abort()
            await self._clock.sleep(_LEAVE_POLL_S)
        now = self._clock.now()
        kept = self._left.get(request_id, account, now)
        return kept or self._finished.get(request_id, account, now)

    def _find_live(self, request_id: str, account: str) -> LiveStream | None:
        """Return an answer that is still under way here."""
        for live in self._runner.live_streams:
            request = live.job.request
            if request.request_id == request_id and request.account == account:
                return live
        return None

    async def resume(self, hint: ResumePoint, job: Job) -> LiveStream:
        """Return the answer's state, from which the caller lacks the rest.

        Where no gateway has it any more, the state is empty and the answer is
        generated again: see `DeliveredTokenFilter`. Raises BAD_REQUEST where the body
        is another one.
        """
        kept = await self._find(hint, job)
        live = LiveStream(job)
        live.cause = ResumeCause.RECONNECT
        live.begun = True
        live.prefer = (hint.endpoint_id, hint.incarnation)
        self._metrics.count(Event.STREAMS_RECONNECTED)
        if kept is None or not _matches(kept, hint):
            return live
        if kept["body_digest"] != job.request.body_digest:
            detail = "the body is not the one that the answer was for"
            raise EbonydealError(ErrorKind.BAD_REQUEST, detail)
        live.delivered = list(kept["delivered"])
        live.finish = kept["finish"]
        live.cached_tokens = kept["cached_tokens"]
        return live

    async def _find(self, hint: ResumePoint, job: Job) -> dict[str, Any] | None:
        """Return what the gateway that served the answer kept of it."""
        account = job.request.account
        if hint.gateway == self._peers.address:
            entry = await self.claim(hint.request_id, account)
            return entry.to_message() if entry else None
        message = {"request_id": hint.request_id, "account": account}
        try:
            kept = await self._peers.call(hint.gateway, RESUME_PATH, message)
        except EbonydealError:
            return None
        return kept if _is_kept(kept) else None


def _is_kept(message: dict[str, Any]) -> bool:
    """Return whether a peer's answer has the wire shape of `RetainedAnswer`."""
    match message:
        case {
            "body_digest": str(),
            "delivered": list(delivered),
            "finish": str(),
            "cached_tokens": int(),
        }:
            return all(isinstance(item, str) for item in delivered)
    return False


def _matches(kept: dict[str, Any], hint: ResumePoint) -> bool:
    """Return whether the kept tokens begin with those the caller has."""
    count = caller_has(hint, kept["delivered"], kept["finish"])
    tokens = kept["delivered"][:count]
    return len(tokens) == count and text_digest(tokens) == hint.digest


def caller_has(hint: ResumePoint, delivered: list[str], finish: str) -> int:
    """Return how many tokens a caller with this hint has."""
    if finish and hint.position == len(delivered):
        return hint.position
    return hint.position + 1


class DeliveredTokenFilter:
    """Checks that an answer generated again begins as the first one did.

    Parameters
    ----------
    hint : EventHint
        How far the caller is.
    """

    def __init__(self, hint: ResumePoint) -> None:
        self._hint = hint
        self._digest = TextDigest()

    def keep(self, piece: Piece) -> bool:
        """Return whether the caller lacks this piece.

        Raises EXPIRED where the text differs or ends earlier: the rest would
        not fit to what the caller was given.
        """
        position = self._hint.position
        if piece.position > position:
            return True
        if piece.is_token:
            self._digest.add(piece.text)
        if piece.position == position or piece.finish:
            self._check(piece)
        return not piece.is_token

    def _check(self, piece: Piece) -> None:
        """Raise EXPIRED unless this is the text that the caller has."""
        same = self._digest.hexdigest() == self._hint.digest
        if not same or piece.position != self._hint.position:
            detail = "the answer is no longer kept and came out differently"
            raise EbonydealError(ErrorKind.EXPIRED, detail)
