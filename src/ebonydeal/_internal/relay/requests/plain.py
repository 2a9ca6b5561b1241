"""Requests of plain services: the complete answer is read, then forwarded."""

import asyncio

from aiohttp import ClientError, web
from multidict import CIMultiDict

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.forwarding import AnswerHead, Member, Repeat
from ebonydeal._internal.relay.requests.event_splitter import EventSplitter
from ebonydeal._internal.relay.requests.exchange import Exchange
from ebonydeal._internal.relay.requests.job import Job, SendParts
from ebonydeal._internal.relay.requests.outcomes import (
    Answered,
    MayHaveRun,
    NotSent,
    Outcome,
    ProvedNotRun,
)
from ebonydeal._internal.relay.requests.overlapping import Awaited, OverlappingSends
from ebonydeal._internal.relay.requests.resend_check import Patience, ResendCheck
from ebonydeal._internal.relay.requests.sends import JobSends
from ebonydeal._internal.relay.requests.wait_timer import (
    arrival_limit,
    checked_limit,
)
from ebonydeal._internal.utils.bounded_responses import EndlessAnswerError
from ebonydeal._internal.utils.close_delimited import ResetUntilWrittenResponse
from ebonydeal._internal.utils.http_framing import (
    EVENT_STREAM,
    is_final_status,
    media_type,
    missing_end,
)


def head_failure(head: AnswerHead, request_id: str) -> Outcome | None:
    """Return the outcome of an answer whose head is invalid or a refusal, else None."""
    # First of all: a late copy of a refusal proves nothing for the next request on its
    # connection, which may have run.
    if head.request_id != request_id:
        detail = "the answer has another request's id"
        return MayHaveRun(ErrorKind.ENDPOINT_GARBAGE, detail)
    if head.not_run:
        return ProvedNotRun(head.status)
    if 200 <= head.status < 300 and (head.encoded or not head.signed):
        detail = "the answer is unsigned or encoded, so not the endpoint's own"
        return MayHaveRun(ErrorKind.ENDPOINT_GARBAGE, detail)
    if not is_final_status(head.status):
        detail = f"status {head.status} is not a final status"
        return MayHaveRun(ErrorKind.ENDPOINT_GARBAGE, detail)
    return None


async def read_body(
    sends: JobSends, exchange: Exchange, head: AnswerHead
) -> Answered | MayHaveRun:
    """Return the outcome of reading the body; an incomplete one is no answer.

    After a complete one the connection returns to the pool.
    """
    try:
        body = await sends.read_all(exchange)
    except (TimeoutError, ClientError, OSError) as exc:
        return read_failure("body", exc)
    close_delimited = sends.is_close_delimited(exchange)
    missing = _missing_end(head, body) if close_delimited else None
    truncation = await sends.truncation(exchange, close_delimited, len(body), missing)
    if truncation is not None:
        return MayHaveRun(ErrorKind.ENDPOINT_FAILED, f"body: {truncation}")
    exchange.release(head.keepalive_s)
    return Answered(head, body, close_delimited)


def read_failure(what: str, exc: Exception) -> MayHaveRun:
    """Return the outcome of reading what broke off, or had no end."""
    match exc:
        case EndlessAnswerError():
            return MayHaveRun(ErrorKind.ENDPOINT_GARBAGE, f"{what}: {exc}")
    return MayHaveRun(ErrorKind.ENDPOINT_FAILED, f"{what}: {type(exc).__name__}")


def _missing_end(head: AnswerHead, body: bytes) -> str | None:
    """Return what a close-delimited body lacks, or None if nothing shows."""
    media, tail = media_type(head.headers), body
    if media == EVENT_STREAM:
        splitter = EventSplitter()
        splitter.feed(body)
        tail = splitter.remainder()
    return missing_end(head.status, media, len(body), tail)


def client_response(answer: Answered) -> web.StreamResponse:
    """Return an endpoint's answer unchanged, for the client.

    A length that the endpoint didn't state would claim that the answer is complete.
    """
    response = ResetUntilWrittenResponse if answer.close_delimited else web.Response
    return response(
        status=answer.head.status,
        headers=CIMultiDict(answer.head.headers),
        body=answer.body,
    )


# Time for which a silent send is kept beside another one: endpoints refuse a request at
# once. Two endpoints that work on it for longer would double the load of those that are
# late because of their load.
_OVERLAP_S = 0.05


class PlainForwarder:
    """Forwards requests whose answers are small and not streamed."""

    def __init__(self, parts: SendParts) -> None:
        self._parts = parts

    async def answer(self, job: Job) -> web.StreamResponse:
        """Send until there is an answer; raises the final error."""
        sends = JobSends(self._parts, job)
        answers = PlainAnswers(self._parts)
        while True:
            try:
                outcome = await self._send(answers, sends, await sends.choose())
                if isinstance(outcome, Answered) and sends.is_final(outcome):
                    return client_response(outcome)
                sends.check_resend(outcome)
            except EbonydealError:
                if answers.fallback is None:
                    raise
                return client_response(answers.fallback)

    async def _send(
        self, answers: "PlainAnswers", sends: JobSends, member: Member
    ) -> Outcome:
        """Make one send, with others beside it if it is silent."""
        timeout = sends.time_left
        try:
            async with sends.limited(timeout):
                return await answers.send(sends, member)
        except TimeoutError:
            sends.count_run(answers.sent_at_wall)
            detail = f"no answer in {timeout:.3f} s"
            return sends.timeout_outcome(detail, answers.endpoint_fault)
        finally:
            sends.record_end()


class PlainAnswers(OverlappingSends[Answered]):
    """The sends of one plain request, and their answers.

    Attributes
    ----------
    fallback : Answered or None
        An endpoint's failure, for a client that can get nothing better.
    sent_at_wall : float
        When the last send began, wall clock seconds.
    """

    def __init__(self, parts: SendParts) -> None:
        self._parts = parts
        self.fallback: Answered | None = None
        self.sent_at_wall = 0.0
        self._check: ResendCheck | None = None

    @property
    def endpoint_fault(self) -> bool:
        """Whether silence until the deadline is evidence of a fault of the endpoint."""
        return self._check is None or self._check.endpoint_fault

    async def send(self, sends: JobSends, member: Member) -> Answered | Outcome:
        """Make one send, with others beside it if it is silent."""
        parts = self._parts
        self.sent_at_wall = wall = parts.clock.wall()
        sent_at = parts.clock.now()
        if parts.config.by_expectation and parts.plain_capacity:
            return await self._send_checked(sends, member, wall)
        patience = self._patience(sends)

        def silence() -> MayHaveRun:
            sends.count_run(wall)
            waited = parts.clock.now() - sent_at
            kind = ErrorKind.ENDPOINT_STALLED
            return MayHaveRun(kind, f"no answer in {waited:.3f} s")

        awaited = Awaited(
            sends,
            member,
            lambda: arrival_limit(patience, parts.clock),
            silence,
            # It isn't expected to be answered, so it counts as no load any more.
            on_resend=sends.record_end,
            overlap_s=_OVERLAP_S,
        )
        answering = asyncio.ensure_future(self._exchange(sends, member, wall))
        return await self.first_result(awaited, answering)

    def _patience(self, sends: JobSends) -> float:
        """Return the seconds after which a send is silent."""
        job, share = sends.job, self._parts.config.plain
        may_resend = job.route.max_sends > 1 and not sends.proof.may_have_run
        if share and job.route.repeat is Repeat.IDEMPOTENT and may_resend:
            return min(sends.time_left, job.route.objective * share)
        return max(0.0, sends.time_left)

    async def _send_checked(
        self, sends: JobSends, member: Member, wall: float
    ) -> Outcome:
        """Make one send; it ends early if a resend is expected to be answered sooner.

        It isn't kept then: the other endpoint is one that has room.
        """
        parts, job = self._parts, sends.job
        sent_at, patience = parts.clock.now(), sends.time_left
        if parts.config.plain and not job.at_most_once:
            patience = min(patience, job.route.objective * parts.config.plain)
        check = self._check = ResendCheck(parts, sends, Patience(patience, patience))
        try:
            async with checked_limit(check.until, parts.clock):
                return await self._exchange(sends, member, wall)
        except TimeoutError:
            sends.count_run(wall)
            waited = parts.clock.now() - sent_at
            kind, detail = ErrorKind.ENDPOINT_STALLED, f"no answer in {waited:.3f} s"
            return MayHaveRun(kind, detail, check.endpoint_fault)

    def is_failure(self, sends: JobSends, result: object, delivered: bool) -> bool:
        """Return whether a result is nothing that the client should get."""
        return not (isinstance(result, Answered) and sends.is_final(result))

    async def _exchange(self, sends: JobSends, member: Member, wall: float) -> Outcome:
        """Send to one endpoint and read its answer."""
        outcome = await self._read_answer(sends, member)
        match outcome:
            case Answered(head=head):
                sends.count_run(wall)
                if head.status < 500:
                    sends.mark_answered()
                    self._record_activity(sends, member)
                if sends.is_final(outcome):
                    sends.record_answer(head.status)
                elif not sends.job.at_most_once:
                    self.fallback = outcome
            case MayHaveRun():
                sends.count_run(wall)
        return outcome

    async def _read_answer(self, sends: JobSends, member: Member) -> Outcome:
        parts, job = self._parts, sends.job
        headers = parts.wire.request_headers(
            job.req, sends.send_metadata(job.req.last_event)
        )
        sent = await sends.send(member, headers)
        if isinstance(sent, NotSent | MayHaveRun):
            return sent
        try:
            head = parts.wire.read_answer(sent.status, sent.headers)
            sends.read_notice(head)
            failure = head_failure(head, job.req.request_id)
            if isinstance(failure, MayHaveRun):
                return failure
            # A refusal's body is read too, so that the connection can be reused.
            outcome = await read_body(sends, sent, head)
            return failure or outcome
        finally:
            sent.close()

    def _record_activity(self, sends: JobSends, member: Member) -> None:
        """Record that an endpoint still runs requests; failures don't show that."""
        parts = self._parts
        if not (parts.config.by_expectation and parts.plain_capacity):
            return
        endpoint_id, now = member.endpoint_id, parts.clock.now()
        parts.selector.record_activity(endpoint_id, now)
        if sends.sent is not None:
            latency_s = now - sends.sent.sent_at
            parts.plain_queues.record_answer(endpoint_id, latency_s, now)
