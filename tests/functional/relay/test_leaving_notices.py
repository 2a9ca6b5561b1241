"""An endpoint that says in an answer that it leaves gets nothing new, listed or not."""

import asyncio

from tests.lib.noticing import NoticingEndpoint, press, relays

# What a client sends later than this after its relay was told doesn't go there.
DRAIN_S = 2.0
LEAVING = b"Server-Leaving: 1\r\n"


def late(endpoint):
    """Return how often a relay sent later than allowed after it was told."""
    return sum(
        at > endpoint.told[asked] + DRAIN_S
        for at, asked in endpoint.arrivals
        if asked in endpoint.told
    )


class TestSaidInAnswers:
    async def test_the_others_get_it(self):
        leaves = NoticingEndpoint("i1", LEAVING)
        stays = NoticingEndpoint("i2")
        async with relays(2, leaves, stays) as (programs, _store):
            statuses = await press(programs, 4.0)
        assert late(leaves) == 0
        assert set(statuses) == {200}

    async def test_where_no_other_is_left_it_is_refused(self):
        leaves = NoticingEndpoint("i1", LEAVING)
        async with relays(1, leaves) as (programs, _store):
            await press(programs, 0.5)
            await asyncio.sleep(DRAIN_S)
            statuses = await press(programs, 1.0)
        assert late(leaves) == 0
        assert set(statuses) == {503}

    async def test_an_older_word_of_the_list_doesnt_bring_it_back(self):
        leaves = NoticingEndpoint("i1", LEAVING)
        stays = NoticingEndpoint("i2")
        async with relays(1, leaves, stays) as (programs, store):
            await press(programs, 0.5)
            await store.put("servers", "i1", leaves.row(cold_left_ms=5))
            await asyncio.sleep(DRAIN_S)
            await press(programs, 1.0)
        assert late(leaves) == 0

    async def test_a_process_that_starts_anew_is_used(self):
        leaves = NoticingEndpoint("i1", LEAVING)
        async with relays(1, leaves) as (programs, store):
            await press(programs, 0.3)
            leaves.says = b""
            await store.put("servers", "i1", leaves.row(born=99))
            await asyncio.sleep(0.2)
            statuses = await press(programs, 0.5)
        assert set(statuses) == {200}
