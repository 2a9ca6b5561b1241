"""Which connection to an endpoint a request goes on."""

from contextlib import asynccontextmanager

from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.relay.requests.connections import (
    EndpointPools,
    HttpExchange,
    IdleLimit,
)
from ebonydeal._internal.relay.requests.outcomes import MayHaveRun
from tests.lib.clock import ManualClock
from tests.lib.raw_endpoints import RawEndpoint, answer

HEADERS = (("Host", "a"), ("Ebonydeal-Request-Id", "r1"))
KEEPS = answer(extra=b"Keep-Alive: timeout=10\r\n")


async def closes(_reader, writer, _headers):
    """Drop the connection as an endpoint does whose idle time was over."""
    writer.transport.abort()


class Case:
    """One endpoint, and a relay's connections to it, on a clock of ours."""

    def __init__(self, endpoint):
        self.endpoint = endpoint
        self.clock = ManualClock(100.0)
        self.pools = EndpointPools(self.clock, 1.0)
        self.pool = self.pools.get(
            Member("i1", "s", endpoint.address, "z", 8, False, None, False, 0.0, 1)
        )

    async def ask(self, once):
        got = await self.pool.send("GET", "/x", HEADERS, b"", once)
        if isinstance(got, HttpExchange):
            await got.resp.read()
            got.done(10.0)
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
    async def test_a_request_that_may_run_once_takes_a_fresh_one(self):
        async with endpoint_with(KEEPS, KEEPS, KEEPS) as case:
            await case.ask(once=True)
            await case.clock.advance(1.5)
            await case.ask(once=True)
            assert case.endpoint.connections == 1
            await case.clock.advance(2.5)
            await case.ask(once=True)
            assert case.endpoint.connections == 2

    async def test_others_take_one_that_was_idle_for_longer(self):
        async with endpoint_with(KEEPS, KEEPS, KEEPS) as case:
            await case.ask(once=False)
            await case.clock.advance(4.0)
            await case.ask(once=True)
            assert case.endpoint.connections == 2
            await case.ask(once=False)
            await case.ask(once=False)
            assert case.endpoint.connections == 2

    async def test_none_is_used_after_most_of_its_stated_time(self):
        async with endpoint_with(KEEPS, KEEPS) as case:
            await case.ask(once=False)
            await case.clock.advance(6.5)
            await case.ask(once=False)
            assert case.endpoint.connections == 2

    async def test_a_silent_close_lowers_the_limit(self):
        async with endpoint_with(KEEPS, closes, KEEPS, KEEPS) as case:
            await case.ask(once=True)
            await case.clock.advance(1.6)
            assert isinstance(await case.ask(once=True), MayHaveRun)
            await case.ask(once=True)
            await case.clock.advance(1.0)
            await case.ask(once=True)
            assert case.endpoint.connections == 3


class TestIdleLimit:
    def test_falls_below_the_time_at_which_one_was_closed(self):
        limit = IdleLimit()
        limit.closed(1.0)
        assert limit.seconds < 1.0
        for _ in range(20):
            limit.closed(0.2)
        assert limit.seconds > 0.0

    def test_rises_only_by_connections_that_tried_it(self):
        limit = IdleLimit()
        first = limit.seconds
        limit.closed(1.0)
        low = limit.seconds
        limit.good(0.01)
        assert limit.seconds == low
        for _ in range(1000):
            limit.good(limit.seconds)
        assert limit.seconds == first
