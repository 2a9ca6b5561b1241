"""Sends requests to endpoints for relays that have lost their own links to them.

The relay that took a request from its client stays responsible for it: admission,
limits, retries and usage are its own. This one makes one send over its own links, never
through a third relay, and passes the answer back as it arrives.
"""

from typing import NamedTuple

from aiohttp import ClientError, web

from ebonydeal._internal.errors import ErrorKind
from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.crashes.crash_detector import CrashDetector
from ebonydeal._internal.relay.links.forward_messages import (
    MAX_HEAD_BYTES,
    ForwardMessage,
    ForwardOutcome,
    ForwardReply,
    pack,
    unpack,
)
from ebonydeal._internal.relay.links.monitor import LinkMonitor
from ebonydeal._internal.relay.ports import Wire
from ebonydeal._internal.relay.requests.answer_end import (
    AnswerEndChecker,
    EndedAnswer,
)
from ebonydeal._internal.relay.requests.endpoint_paths import EndpointPaths
from ebonydeal._internal.relay.requests.exchange import Exchange, OutgoingRequest
from ebonydeal._internal.relay.requests.notices import NoticeReader
from ebonydeal._internal.relay.requests.outcomes import MayHaveRun, NotSent
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.routing.crashes.request_traits import RequestTraits
from ebonydeal._internal.routing.placement.link_health import LinkState
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.http_framing import is_close_delimited
from ebonydeal._internal.utils.written_answers import write_out

logger = get_logger("relay.forward")

# Requests of other relays that are in flight at once: a bound on the memory and time
# that they take from this relay's own clients.
_MAX_IN_FLIGHT = 256


class ForwardParts(NamedTuple):
    """The dependencies of `ForwardHandler`, and its share of the memory.

    ``max_bytes`` bounds the messages of requests in flight; one alone may be larger.
    """

    view: RelayView
    paths: EndpointPaths
    links: LinkMonitor
    notices: NoticeReader
    crashes: CrashDetector
    answer_ends: AnswerEndChecker
    wire: Wire
    metrics: Metrics
    clock: Clock
    max_bytes: int


class ForwardHandler:
    """Sends other relays' requests to endpoints.

    Attributes
    ----------
    in_flight : int
        Requests of other relays that aren't answered yet.
    draining : bool
        Whether this relay is stopping and takes no more of them.
    """

    def __init__(self, parts: ForwardParts) -> None:
        self._parts = parts
        self.in_flight = 0
        self.draining = False
        self._held_bytes = 0

    async def handle(self, http_req: web.BaseRequest) -> web.StreamResponse:
        """Answer one request; raises ValueError, KeyError or TypeError if malformed."""
        length = http_req.content_length or 0
        self.in_flight += 1
        self._held_bytes += length
        try:
            if self._held_bytes > max(length, self._parts.max_bytes):
                resp = await self._decline_unread(http_req)
            else:
                resp = await self._answer(http_req)
            await write_out(http_req, resp)
            return resp
        finally:
            self.in_flight -= 1
            self._held_bytes -= length

    async def _decline_unread(self, http_req: web.BaseRequest) -> web.StreamResponse:
        """Decline a request without reading it, as there is no room for it."""
        resp = web.StreamResponse()
        resp.enable_chunked_encoding()
        await resp.prepare(http_req)
        detail = f"{self._held_bytes} bytes in flight; at most {self._parts.max_bytes}"
        return await _reply(
            resp, ForwardReply(outcome=ForwardOutcome.BUSY, detail=detail)
        )

    async def _answer(self, http_req: web.BaseRequest) -> web.StreamResponse:
        message: ForwardMessage
        message, body = unpack(await self._read(http_req))
        parts = self._parts
        member = parts.view.members.get(message["endpoint"])
        resp = web.StreamResponse()
        resp.enable_chunked_encoding()
        # At once, so that the other relay knows that this one has the request.
        await resp.prepare(http_req)
        refusal = await self._refusal(message, member)
        if refusal is not None:
            return await _reply(resp, refusal)
        assert member is not None
        req = OutgoingRequest(
            message["request_id"],
            _traits(message),
            message["method"],
            message["target"],
            [(name, value) for name, value in message["headers"]],
            body,
            message["at_most_once"],
            message["objective"],
        )
        sent_at = parts.clock.now()
        sent = await parts.paths.send_directly(member, req)
        match sent:
            case NotSent():
                await parts.links.wait_until_tested(member.service)
                if parts.links.state(member.service) is LinkState.DOWN:
                    return await _reply(resp, _links_down(member.service))
                return await _reply(resp, _failure(ForwardOutcome.NOT_SENT, sent))
            case MayHaveRun():
                if sent.kind is ErrorKind.ENDPOINT_FAILED:
                    await self._check_for_crash(member, req.traits)
                return await _reply(resp, _failure(ForwardOutcome.MAY_HAVE_RUN, sent))
        parts.metrics.count(Event.FORWARDED_FOR_RELAY)
        try:
            if not await self._pass_on(resp, member, req, sent, sent_at):
                # The answer must not look complete.
                http_req.protocol.force_close()
            return resp
        finally:
            sent.close()

    async def _read(self, http_req: web.BaseRequest) -> bytes:
        """Return the message; raises ValueError if it is too long."""
        index = self._parts.view.index
        max_body = 0 if index is None else index.table.limits.body_bytes
        length = http_req.content_length or 0
        if length > MAX_HEAD_BYTES + max_body:
            raise ValueError(f"message of {length} bytes for a body of {max_body}")
        return await http_req.content.readexactly(length)

    async def _refusal(
        self, message: ForwardMessage, member: Member | None
    ) -> ForwardReply | None:
        """Return why the request isn't sent from here; None if it is."""
        parts, now = self._parts, self._parts.clock.now()
        endpoint_id = message["endpoint"]
        if self.draining or self.in_flight > _MAX_IN_FLIGHT:
            detail = f"{self.in_flight} requests in flight, stopping: {self.draining}"
            return ForwardReply(outcome=ForwardOutcome.BUSY, detail=detail)
        if member is None or member.incarnation != message["incarnation"]:
            detail = f"{endpoint_id} is not listed with start {message['incarnation']}"
            return ForwardReply(outcome=ForwardOutcome.DECLINED, detail=detail)
        if not parts.view.may_get_requests(member, now):
            return ForwardReply(
                outcome=ForwardOutcome.DECLINED, detail=f"{endpoint_id} is leaving"
            )
        if parts.notices.notices.backoff_remaining(member.process, now):
            return ForwardReply(
                outcome=ForwardOutcome.DECLINED, detail=f"{endpoint_id} is in backoff"
            )
        await parts.links.wait_until_tested(member.service)
        if parts.links.state(member.service) is LinkState.DOWN:
            return _links_down(member.service)
        return None

    async def _pass_on(
        self,
        resp: web.StreamResponse,
        member: Member,
        req: OutgoingRequest,
        sent: Exchange,
        sent_at: float,
    ) -> bool:
        """Pass the endpoint's answer on as it arrives; return whether it is whole."""
        parts = self._parts
        head = parts.wire.read_answer(sent.status, sent.headers)
        parts.notices.read(member, head, req.request_id, sent_at)
        reply = ForwardReply(
            outcome=ForwardOutcome.ANSWERED,
            status=sent.status,
            headers=[list(pair) for pair in sent.headers],
        )
        await resp.write(pack(reply))
        received = 0
        received_at = sent_at
        while True:
            try:
                data = await sent.read_some()
            except (ClientError, OSError) as exc:
                logger.info(
                    "Answer for a relay broke off.",
                    request=req.request_id,
                    endpoint=member.endpoint_id,
                    reason=type(exc).__name__,
                )
                parts.links.record_missing_reply(member, received_at)
                await self._check_for_crash(member, req.traits)
                return False
            if not data:
                break
            received += len(data)
            received_at = parts.clock.now()
            parts.links.record_reply(member, new_connection=False)
            await resp.write(data)
        answer = EndedAnswer(
            req.request_id,
            member,
            is_close_delimited(req.method, sent.status, sent.headers),
            received,
        )
        if await parts.answer_ends.truncation(sent, answer) is not None:
            await self._check_for_crash(member, req.traits)
            return False
        sent.release(head.keepalive_s)
        await resp.write_eof()
        return True

    async def _check_for_crash(self, member: Member, traits: RequestTraits) -> None:
        """Check an endpoint that broke an answer off, before it is sent again."""
        self._parts.crashes.connection_broken(member, traits)
        await self._parts.crashes.wait_until_checked(member)


def _traits(message: ForwardMessage) -> RequestTraits:
    return RequestTraits(
        message["digest"], message.get("account", ""), tuple(message.get("parts", ()))
    )


async def _reply(resp: web.StreamResponse, reply: ForwardReply) -> web.StreamResponse:
    await resp.write(pack(reply))
    await resp.write_eof()
    return resp


def _failure(outcome: ForwardOutcome, failed: NotSent | MayHaveRun) -> ForwardReply:
    return ForwardReply(outcome=outcome, kind=str(failed.kind), detail=failed.detail)


def _links_down(service: str) -> ForwardReply:
    detail = f"no endpoint of {service} can be reached"
    return ForwardReply(outcome=ForwardOutcome.LINKS_DOWN, detail=detail)
