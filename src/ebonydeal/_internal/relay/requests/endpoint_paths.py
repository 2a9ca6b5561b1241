"""The way by which a request gets to its endpoint."""

import asyncio
from typing import NamedTuple

from ebonydeal._internal.errors import ErrorKind
from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.relay.links.forwarder import RequestForwarder
from ebonydeal._internal.relay.links.monitor import LinkMonitor
from ebonydeal._internal.relay.requests.connections import EndpointPools, HttpExchange
from ebonydeal._internal.relay.requests.exchange import Exchange, OutgoingRequest
from ebonydeal._internal.relay.requests.outcomes import MayHaveRun, NotSent
from ebonydeal._internal.routing.placement.link_health import LinkState
from ebonydeal._internal.utils.clock import Clock

# An endpoint that sends nothing for its latency objective is worth a test of the links,
# within these bounds: sound ones answer most requests in a tenth of a second, and a
# long prompt takes a second.
_MIN_SILENCE_S = 0.4
_MAX_SILENCE_S = 1.0
# A request that was given up sooner says nothing about its endpoint.
_MIN_WAIT_S = 0.1


class SendResult(NamedTuple):
    """The result of one send; ``forwarded`` if it went through another relay."""

    sent: Exchange | NotSent | MayHaveRun
    forwarded: bool


class EndpointPaths:
    """Sends requests to endpoints: directly, or through a relay that reaches them.

    Parameters
    ----------
    pools : EndpointPools
        Connections to endpoints.
    links : LinkMonitor
        Learns from each send whether this relay's links work.
    forwarder : RequestForwarder
        Sends through other relays while they don't.
    clock : Clock
        Time.
    """

    def __init__(
        self,
        pools: EndpointPools,
        links: LinkMonitor,
        forwarder: RequestForwarder,
        clock: Clock,
    ) -> None:
        self._pools = pools
        self._links = links
        self._forwarder = forwarder
        self._clock = clock

    async def send(self, member: Member, req: OutgoingRequest) -> SendResult:
        """Send a request and wait for the head of its answer."""
        await self._links.wait_until_tested(member.service)
        if self._must_forward(member, req):
            sent = await self._forwarder.send(member, req)
            if sent is not None:
                return SendResult(sent, forwarded=True)
            # The endpoints may be what fails, at all relays: one may work again.
        if not req.may_send():
            detail = "this instance is stopping"
            refused = NotSent(ErrorKind.DRAINING, detail, endpoint_fault=False)
            return SendResult(refused, forwarded=False)
        return SendResult(await self.send_directly(member, req), forwarded=False)

    def _must_forward(self, member: Member, req: OutgoingRequest) -> bool:
        """Return whether this relay has no way of its own to an endpoint."""
        if self._links.state(member.service) is not LinkState.DOWN:
            return False
        if not self._links.open_connections_work(member.service):
            return True
        return not self._pools.get(member).has_idle_for(req)

    async def send_directly(
        self, member: Member, req: OutgoingRequest
    ) -> Exchange | NotSent | MayHaveRun:
        """Send over this relay's own links, as `send`."""
        sent_at = self._clock.now()
        silence_s = min(_MAX_SILENCE_S, max(_MIN_SILENCE_S, req.objective))
        timer = asyncio.get_running_loop().call_later(
            silence_s, self._links.record_missing_reply, member, sent_at
        )
        try:
            sent = await self._pools.get(member).send(req)
        except asyncio.CancelledError:
            # The endpoint may still send something on another connection in time.
            if self._clock.now() - sent_at < _MIN_WAIT_S:
                timer.cancel()
            raise
        timer.cancel()
        match sent:
            case NotSent():
                self._links.record_failed_connect(member)
            case MayHaveRun():
                self._links.record_missing_reply(member, sent_at)
            case HttpExchange():
                self._links.record_reply(member, sent.new_connection)
        return sent
