"""Requests of plain services: the whole answer is read, then passed on."""

from aiohttp import ClientError, ClientResponse, web
from multidict import CIMultiDict

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.forwarding import AnswerHead, Member, Repeat
from ebonydeal._internal.relay.requests.connections import HttpExchange
from ebonydeal._internal.relay.requests.job import Job, SendParts
from ebonydeal._internal.relay.requests.outcomes import (
    Answered,
    MayHaveRun,
    Outcome,
    ProvedNotRun,
)
from ebonydeal._internal.relay.requests.sends import JobSends


def raw_headers(resp: ClientResponse) -> list[tuple[str, str]]:
    """Return an answer's header block as text."""
    return [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in resp.raw_headers
    ]


def checked(head: AnswerHead, request_id: str) -> Outcome | None:
    """Return what is wrong with the head of an answer, or None."""
    if head.not_run:
        return ProvedNotRun(head.status)
    if head.request_id != request_id:
        detail = "the answer bears another request's id"
        return MayHaveRun(ErrorKind.ENDPOINT_GARBAGE, detail)
    if 200 <= head.status < 300 and (head.encoded or not head.signed):
        detail = "a success is not the endpoint's own"
        return MayHaveRun(ErrorKind.ENDPOINT_GARBAGE, detail)
    if not 200 <= head.status <= 599:
        detail = f"status {head.status} is no final answer"
        return MayHaveRun(ErrorKind.ENDPOINT_GARBAGE, detail)
    return None


async def read_whole(exchange: HttpExchange, head: AnswerHead) -> Outcome:
    """Read the body; anything but a whole one is no answer.

    After a whole one the connection is kept.
    """
    try:
        body = await exchange.resp.read()
    except (TimeoutError, ClientError, OSError) as exc:
        return MayHaveRun(ErrorKind.ENDPOINT_FAILED, f"body: {type(exc).__name__}")
    if await exchange.cut_off():
        return MayHaveRun(ErrorKind.ENDPOINT_FAILED, "body: connection reset")
    exchange.done(head.idle_time)
    return Answered(head, body)


def to_client(answer: Answered) -> web.Response:
    """Return an endpoint's answer as it was given."""
    return web.Response(
        status=answer.head.status,
        headers=CIMultiDict(answer.head.headers),
        body=answer.body,
    )


class PlainForwarder:
    """Forwards requests whose answers are small and whole."""

    def __init__(self, parts: SendParts) -> None:
        self._parts = parts

    async def answer(self, job: Job) -> web.Response:
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
                    if outcome.head.status < 500 or job.at_most_once:
                        sends.record_answer(outcome.head.status)
                        return to_client(outcome)
                    fallback = outcome
                sends.check_resend(outcome)
            except EbonydealError:
                if fallback is None:
                    raise
                return to_client(fallback)

    async def _send(self, sends: JobSends, member: Member) -> Outcome:
        """Make one send, with a limit on its time."""
        job = sends.job
        limit = sends.left
        tries_left = job.route.max_sends > 1 and not sends.proof.may_have_run
        share = self._parts.terms.plain
        if share and job.route.repeat is Repeat.IDEMPOTENT and tries_left:
            limit = min(limit, job.route.objective * share)
        try:
            async with sends.limited(limit):
                return await self._exchange(sends, member)
        except TimeoutError:
            if stopped := self._parts.suspects.stopped(job.digest):
                return stopped
            return MayHaveRun(ErrorKind.ENDPOINT_STALLED, f"no answer in {limit:.3f} s")
        finally:
            sends.record_end()

    async def _exchange(self, sends: JobSends, member: Member) -> Outcome:
        """Send and read the answer."""
        parts, job = self._parts, sends.job
        headers = parts.wire.request_headers(
            job.req, sends.send_metadata(job.req.last_event)
        )
        got = await parts.pools.get(member).send(
            job.req.method, job.req.target, headers, job.body, job.at_most_once
        )
        if not isinstance(got, HttpExchange):
            return got
        try:
            head = parts.wire.read_answer(got.resp.status, raw_headers(got.resp))
            sends.read_notice(head)
            wrong = checked(head, job.req.request_id)
            if isinstance(wrong, MayHaveRun):
                return wrong
            # Read in any case: the connection may be used again.
            whole = await read_whole(got, head)
            return wrong or whole
        finally:
            got.close()
