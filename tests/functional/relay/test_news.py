"""One relay follows the list of endpoints for all others."""

import asyncio
from contextlib import asynccontextmanager

from tests.lib.raw_endpoints import RawEndpoint
from tests.lib.relay_fakes import MemoryStore, document, relay, until


class OwnWay:
    """One relay's way to the store, which can fall silent."""

    def __init__(self, store):
        self._store = store
        self.silent = False
        self._heard = asyncio.Event()

    def hear_again(self):
        """End the silence, also for calls that wait in it."""
        self.silent = False
        self._heard.set()

    def __getattr__(self, name):
        call = getattr(self._store, name)

        async def through(*args):
            if self.silent:
                await self._heard.wait()
            answer = await call(*args)
            if self.silent:
                await self._heard.wait()
            return answer

        return through


class CountingStore(MemoryStore):
    """Counts the polls of the endpoints' table."""

    def __init__(self):
        super().__init__()
        self.polls = 0

    async def changes(self, table, after, wait):
        self.polls += table == "servers"
        return await super().changes(table, after, wait)


@asynccontextmanager
async def three(one):
    """Three relays on one store, all in touch with the coordinator."""
    store = CountingStore()
    await one.start()
    await store.put("servers", one.name, one.row())
    await store.put("op", "config", document())
    first = relay(OwnWay(store), node="n1", seed=1)
    await first.start()
    await until(lambda: first.coordinator.holds)
    others = [relay(store, node=f"n{n}", seed=n) for n in (2, 3)]
    for program in others:
        await program.start()
    try:
        await until(lambda: all(p._exchange.fed for p in others))
        yield store, first, others
    finally:
        for program in (*others, first):
            await program.stop()
        await one.stop()


class TestFed:
    async def test_a_change_reaches_all_by_one_poll_of_the_store(self):
        one = RawEndpoint("i1")
        async with three(one) as (store, first, others):
            # Polls that were under way when they became fed end with a change.
            await store.put("servers", "i2", one.row())
            await until(lambda: all("i2" in p.view.members for p in others))
            await asyncio.sleep(0.3)
            polls = store.polls
            await store.put("servers", "i1", one.row(state="draining"))
            await until(lambda: all(p.view.members["i1"].leaving for p in others))
            await asyncio.sleep(0.3)
            assert store.polls - polls <= 2
            assert first.view.members["i1"].leaving

    async def test_without_the_coordinator_each_polls_for_itself(self):
        one = RawEndpoint("i1")
        async with three(one) as (store, first, others):
            first.peers.close_gently()
            await until(lambda: not any(p._exchange.fed for p in others))
            await store.put("servers", "i1", one.row(state="draining"))
            await until(lambda: all(p.view.members["i1"].leaving for p in others))

    async def test_a_store_that_falls_silent_shows_before_the_lease_runs_out(self):
        one = RawEndpoint("i1")
        async with three(one) as (store, first, others):
            # Polls that were under way when they became fed end with a change.
            await store.put("servers", "i2", one.row())
            await until(lambda: all("i2" in p.view.members for p in others))
            first.ports.store.silent = True
            try:
                await until(lambda: not any(p._exchange.fed for p in others))
                assert first.coordinator.holds
                await store.put("servers", "i1", one.row(state="draining"))
                await until(lambda: all(p.view.members["i1"].leaving for p in others))
                assert not first.view.members["i1"].leaving
            finally:
                first.ports.store.hear_again()

    async def test_a_coordinator_that_lost_the_store_feeds_nobody(self):
        one = RawEndpoint("i1")
        async with three(one) as (_store, first, others):
            first.coordinator.hears_store = lambda: False
            await until(lambda: not any(p._exchange.fed for p in others))


class TestLongReads:
    async def test_all_other_relays_avoid_an_endpoint_that_reads_a_long_prompt(self):
        async with three(RawEndpoint("i1")) as (_store, _first, others):
            sender, hearer = others
            await until(lambda: len(sender._exchange.relays) == 3)
            sender._long_reads.sent("i1", 0.8, 900.0)

            def until_read(program):
                return program._choice._load("i1").reads_until

            await until(lambda: until_read(hearer) > program_now(hearer))
            assert until_read(sender) == 0.0


def program_now(program):
    return program._clock.now()
