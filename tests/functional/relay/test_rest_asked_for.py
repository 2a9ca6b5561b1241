"""An endpoint that asked a relay for rest gets nothing from it meanwhile."""

import asyncio

from tests.lib.announcing_endpoints import AnnouncingEndpoint, running_relays, send_load

REST_S = 3.0
RESTS = b"Ebonydeal-Not-Executed: 1\r\nRetry-After: 3\r\n"
SHED = b"503 Busy"
# Half a second after a relay was told it sends no more than so many.
KNOWN_AFTER_S, ALLOWED = 0.5, 2


def most_in_a_rest(endpoint):
    """Return the most requests of one relay between its 503 and the rest's end."""
    return max(
        sum(
            other == relay and KNOWN_AFTER_S <= later - at < REST_S
            for later, other in endpoint.arrivals
        )
        for at, relay in endpoint.arrivals
    )


class TestAskedForRest:
    async def test_the_others_serve(self):
        ill = [AnnouncingEndpoint(f"i{n}", RESTS, SHED) for n in range(2)]
        well = [AnnouncingEndpoint(f"i{n}") for n in range(2, 4)]
        async with running_relays(2, *ill, *well) as (programs, _store):
            statuses = await send_load(programs, 4.0)
        assert max(map(most_in_a_rest, ill)) <= ALLOWED
        # By which a relay hears it, once from each of them.
        assert statuses.count(503) <= len(programs) * len(ill)

    async def test_by_all_endpoints_refuses_at_once_until_its_end(self):
        ill = AnnouncingEndpoint("i0", RESTS, SHED)
        async with running_relays(1, ill) as (programs, _store):
            loop = asyncio.get_running_loop()
            begun = loop.time()
            statuses = await send_load(programs, 2.5)
            # Nothing waits for the rest's end.
            assert loop.time() - begun < 4.5
            assert most_in_a_rest(ill) <= ALLOWED
            assert set(statuses) == {503}
            ill.extra_headers, ill.status = b"", b"200 OK"
            await asyncio.sleep(REST_S)
            assert set(await send_load(programs, 0.5)) == {200}
