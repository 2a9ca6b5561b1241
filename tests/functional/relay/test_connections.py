"""Which connection to an endpoint a request uses."""

from contextlib import asynccontextmanager
from itertools import count

from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.platform.wire import PlatformWire
from ebonydeal._internal.relay.requests.connections import (
    ConnectionParts,
    EndpointPools,
    HttpExchange,
    IdleLimit,
)
from ebonydeal._internal.relay.requests.exchange import OutgoingRequest
from ebonydeal._internal.relay.requests.outcomes import MayHaveRun
from ebonydeal._internal.routing.crashes.request_traits import RequestTraits
from tests.lib.clock import ManualClock
from tests.lib.raw_endpoints import RawEndpoint, answer

TRAITS = RequestTraits("")
KEEP_ALIVE = answer(extra=b"Keep-Alive: timeout=10\r\n")


async def silent_close(_reader, writer, _headers):
    """Drop the connection, as an endpoint does after its keep-alive timeout."""
    writer.transport.abort()


class Case:
    """One endpoint, and a relay's connections to it, with a manual clock."""

    def __init__(self, endpoint):
        self.endpoint = endpoint
        self.clock = ManualClock(100.0)
        parts = ConnectionParts(PlatformWire(), Metrics(), self.clock)
        self.pools = EndpointPools(parts, 1.0)
        self._numbers = count(1)
        self.pool = self.pools.get(
            Member("i1", "s", endpoint.address, "z", 8, False, None, False, 0.0, 1)
        )

    async def ask(self, at_most_once):
        rid = f"r{next(self._numbers)}"
        headers = (("Host", "a"), ("Ebonydeal-Request-Id", rid))
        req = OutgoingRequest(rid, TRAITS, "GET", "/x", headers, b"", at_most_once, 1.0)
        got = await self.pool.send(req)
        if isinstance(got, HttpExchange):
            while await got.read_some():
                pass
            got.release(10.0)
        return got


@asynccontextmanager
async def endpoint_with(*script):
    endpoint = await RawEndpoint("i1", script).start()
    case = Case(endpoint)
    try:
        yield case
    finally:
        case.pools.close()
        await endpoint.stop()


class TestReuse:
    async def test_at_most_once_request_avoids_long_idle_connection(self):
        async with endpoint_with(KEEP_ALIVE, KEEP_ALIVE, KEEP_ALIVE) as case:
            await case.ask(at_most_once=True)
            await case.clock.advance(1.5)
            await case.ask(at_most_once=True)
            assert case.endpoint.connections == 1
            await case.clock.advance(2.5)
            await case.ask(at_most_once=True)
            assert case.endpoint.connections == 2

    async def test_repeatable_request_uses_long_idle_connection(self):
        async with endpoint_with(KEEP_ALIVE, KEEP_ALIVE, KEEP_ALIVE) as case:
            await case.ask(at_most_once=False)
            await case.clock.advance(4.0)
            await case.ask(at_most_once=True)
            assert case.endpoint.connections == 2
            await case.ask(at_most_once=False)
            await case.ask(at_most_once=False)
            assert case.endpoint.connections == 2

    async def test_connection_near_its_keepalive_timeout_is_not_reused(self):
        async with endpoint_with(KEEP_ALIVE, KEEP_ALIVE) as case:
            await case.ask(at_most_once=False)
            await case.clock.advance(6.5)
            await case.ask(at_most_once=False)
            assert case.endpoint.connections == 2

    async def test_silent_close_lowers_the_idle_limit(self):
        async with endpoint_with(
            KEEP_ALIVE, silent_close, KEEP_ALIVE, KEEP_ALIVE
        ) as case:
            await case.ask(at_most_once=True)
            await case.clock.advance(1.6)
            assert isinstance(await case.ask(at_most_once=True), MayHaveRun)
            await case.ask(at_most_once=True)
            await case.clock.advance(1.0)
            await case.ask(at_most_once=True)
            assert case.endpoint.connections == 3


class TestIdleLimit:
    def test_falls_below_the_idle_time_of_a_closed_connection(self):
        limit = IdleLimit()
        limit.record_closed(1.0)
        assert limit.seconds < 1.0
        for _ in range(20):
            limit.record_closed(0.2)
        assert limit.seconds > 0.0

    def test_rises_only_by_connections_idle_near_the_limit(self):
        limit = IdleLimit()
        initial = limit.seconds
        limit.record_closed(1.0)
        lowered = limit.seconds
        limit.record_reused(0.01)
        assert limit.seconds == lowered
        for _ in range(1000):
            limit.record_reused(limit.seconds)
        assert limit.seconds == initial
