"""An endpoint that requested a backoff must get no requests until its end."""

import asyncio

from tests.lib.announcing_endpoints import AnnouncingEndpoint, running_relays, send_load

BACKOFF_S = 3.0
BACKOFF_HEADERS = b"Ebonydeal-Not-Executed: 1\r\nRetry-After: 3\r\n"
SHED_STATUS = b"503 Busy"
# From half a second after the backoff was requested, a relay sends at most this many.
KNOWN_AFTER_S, MAX_REQUESTS = 0.5, 2


def max_during_backoff(endpoint):
    """Return the most requests of one relay between a 503 and the backoff's end."""
    return max(
        sum(
            other == relay and KNOWN_AFTER_S <= later - at < BACKOFF_S
            for later, other in endpoint.arrivals
        )
        for at, relay in endpoint.arrivals
    )


class TestRequestedBackoff:
    async def test_other_endpoints_get_the_requests(self):
        overloaded = [
            AnnouncingEndpoint(f"i{n}", BACKOFF_HEADERS, SHED_STATUS) for n in range(2)
        ]
        healthy = [AnnouncingEndpoint(f"i{n}") for n in range(2, 4)]
        async with running_relays(2, *overloaded, *healthy) as (programs, _store):
            statuses = await send_load(programs, 4.0)
        assert max(map(max_during_backoff, overloaded)) <= MAX_REQUESTS
        # A relay learns of a backoff by one 503 from each endpoint.
        assert statuses.count(503) <= len(programs) * len(overloaded)

    async def test_by_all_endpoints_refuses_requests_without_waiting(self):
        overloaded = AnnouncingEndpoint("i0", BACKOFF_HEADERS, SHED_STATUS)
        async with running_relays(1, overloaded) as (programs, _store):
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            statuses = await send_load(programs, 2.5)
            # No request waits for the end of the backoff.
            assert loop.time() - started_at < 4.5
            assert max_during_backoff(overloaded) <= MAX_REQUESTS
            assert set(statuses) == {503}
            overloaded.extra_headers, overloaded.status = b"", b"200 OK"
            await asyncio.sleep(BACKOFF_S)
            assert set(await send_load(programs, 0.5)) == {200}
