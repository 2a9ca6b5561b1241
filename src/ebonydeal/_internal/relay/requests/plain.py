"""Requests of plain services: the complete answer is read, then forwarded."""

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
from ebonydeal._internal.relay.requests.resend_check import Patience, ResendCheck
from ebonydeal._internal.relay.requests.sends import JobSends
from ebonydeal._internal.relay.requests.wait_timer import checked_limit
from ebonydeal._internal.utils.bounded_responses import EndlessAnswerError
from ebonydeal._internal.utils.close_delimited import ResetUntilWrittenResponse
from ebonydeal._internal.utils.http_framing import (
    EVENT_STREAM,
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
    if not 200 <= head.status <= 599:
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


class PlainForwarder:
    """Forwards requests whose answers are small and not streamed."""

    def __init__(self, parts: SendParts) -> None:
        self._parts = parts

    async def answer(self, job: Job) -> web.StreamResponse:
        """Send until there is an answer; raises the final error."""
        sends = JobSends(self._parts, job)
        fallback: Answered | None = None
        while True:
            try:
                member = await sends.choose()
                wall = self._parts.clock.wall()
                outcome = await self._send(sends, member)
                if isinstance(outcome, Answered | MayHaveRun):
                    sends.count_run(wall)
                if isinstance(outcome, Answered):
                    if sends.is_final(outcome):
                        sends.record_answer(outcome.head.status)
                        return client_response(outcome)
                    if not job.at_most_once:
                        fallback = outcome
                sends.check_resend(outcome)
            except EbonydealError:
                if fallback is None:
                    raise
                return client_response(fallback)

    async def _send(self, sends: JobSends, member: Member) -> Outcome:
        """Make one send, with a timeout."""
        if self._parts.config.by_expectation and self._parts.plain_capacity:
            return await self._send_checked(sends, member)
        job = sends.job
        timeout = sends.time_left
        may_resend = job.route.max_sends > 1 and not sends.proof.may_have_run
        share = self._parts.config.plain
        if share and job.route.repeat is Repeat.IDEMPOTENT and may_resend:
            timeout = min(timeout, job.route.objective * share)
        try:
            async with sends.limited(timeout):
                outcome = await self._exchange(sends, member)
                if isinstance(outcome, Answered) and outcome.head.status < 500:
                    sends.mark_answered()
                return outcome
        except TimeoutError:
            return sends.timeout_outcome(f"no answer in {timeout:.3f} s")
        finally:
            sends.record_end()

    async def _send_checked(self, sends: JobSends, member: Member) -> Outcome:
        """Make one send; it ends early if a resend is expected to be answered sooner.

        It lasts until the deadline if no other send may follow.
        """
        parts, job = self._parts, sends.job
        patience = sends.time_left
        if parts.config.plain and not job.at_most_once:
            patience = min(patience, job.route.objective * parts.config.plain)
        check = ResendCheck(parts, sends, Patience(patience, patience))
        sent_at = parts.clock.now()
        try:
            async with (
                sends.limited(sends.time_left),
                checked_limit(check.until, parts.clock),
            ):
                outcome = await self._exchange(sends, member)
                if isinstance(outcome, Answered) and outcome.head.status < 500:
                    sends.mark_answered()
                    self._record_activity(sends, member)
                return outcome
        except TimeoutError:
            waited = parts.clock.now() - sent_at
            return sends.timeout_outcome(
                f"no answer in {waited:.3f} s", check.endpoint_fault
            )
        finally:
            sends.record_end()

    def _record_activity(self, sends: JobSends, member: Member) -> None:
        """Record that an endpoint still runs requests; failures don't show that."""
        parts = self._parts
        endpoint_id, now = member.endpoint_id, parts.clock.now()
        parts.selector.record_activity(endpoint_id, now)
        if sends.sent is not None:
            latency_s = now - sends.sent.sent_at
            parts.plain_queues.record_answer(endpoint_id, latency_s, now)

    async def _exchange(self, sends: JobSends, member: Member) -> Outcome:
        """Send and read the answer."""
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
