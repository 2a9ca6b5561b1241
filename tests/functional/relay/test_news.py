"""One relay follows the list of endpoints for all others."""

import asyncio
from collections import Counter
from contextlib import asynccontextmanager

import pytest

from ebonydeal._internal.relay.duties import coordinator
from tests.lib.raw_endpoints import RawEndpoint
from tests.lib.relay_fakes import MemoryStore, document, relay, until


class OwnWay:
    """One relay's way to the store, which can fall silent."""

    def __init__(self, store, node="n1"):
        self._store = store
        self._node = node
        self.silent = False
        self._heard = asyncio.Event()

    def hear_again(self):
        """End the silence, also for calls that wait in it."""
        self.silent = False
        self._heard.set()

    def __getattr__(self, name):
        call = getattr(self._store, name)
        if not callable(call):
            # Its clock.
            return call

        async def through(*args):
            if name == "changes" and args[0] == "op":
                self._store.asked[self._node] += 1
            if self.silent:
                await self._heard.wait()
            answer = await call(*args)
            if self.silent:
                await self._heard.wait()
            return answer

        return through


class CountingStore(MemoryStore):
    """Counts the polls of the endpoints' table, and each relay's of the other."""

    def __init__(self):
        super().__init__()
        self.polls = 0
        self.asked = Counter()

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
    others = [relay(OwnWay(store, f"n{n}"), node=f"n{n}", seed=n) for n in (2, 3)]
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
                return program._choice._load("i1").prefilling_until

            await until(lambda: until_read(hearer) > program_now(hearer))
            assert until_read(sender) == 0.0


def program_now(program):
    return program._clock.now()


class TestConfiguration:
    """Where there are many relays, one follows the configuration for all others."""

    @pytest.fixture(autouse=True)
    def three_are_many(self, monkeypatch):
        monkeypatch.setattr(coordinator, "_TELL_CONFIG_FROM", 3)

    async def test_a_change_reaches_all_by_the_coordinators_polls(self):
        async with three(RawEndpoint("i1")) as (store, _first, others):
            await until(lambda: all(p._exchange.fed_config for p in others))
            # Polls that were under way when they became fed end with a change.
            await store.put("op", "config", document(2))
            await until(lambda: all(p.view.version == 2 for p in others))
            await asyncio.sleep(0.3)
            polls = dict(store.asked)
            await store.put("op", "config", document(3))
            await until(lambda: all(p.view.version == 3 for p in others))
            assert {n: c for n, c in store.asked.items() if n != "n1"} == {
                n: c for n, c in polls.items() if n != "n1"
            }

    async def test_without_the_coordinator_each_follows_it_for_itself(self):
        async with three(RawEndpoint("i1")) as (store, first, others):
            await until(lambda: all(p._exchange.fed_config for p in others))
            await store.put("op", "config", document(2))
            await until(lambda: all(p.view.version == 2 for p in others))
            first.peers.close_gently()
            await until(lambda: not any(p._exchange.fed for p in others))
            await store.put("op", "config", document(3))
            await until(lambda: all(p.view.version == 3 for p in others))

    async def test_a_coordinator_whose_own_poll_is_silent_feeds_nobody(self):
        async with three(RawEndpoint("i1")) as (store, first, others):
            await until(lambda: all(p._exchange.fed_config for p in others))
            await store.put("op", "config", document(2))
            await until(lambda: all(p.view.version == 2 for p in others))
            first.ports.store.silent = True
            try:
                await until(lambda: not any(p._exchange.fed for p in others))
                await store.put("op", "config", document(3))
                await until(lambda: all(p.view.version == 3 for p in others))
            finally:
                first.ports.store.hear_again()


class TestHolder:
    async def test_a_new_one_tells_the_relays_that_it_knows(self):
        async with three(RawEndpoint("i1")) as (store, first, others):
            second, third = others
            await until(lambda: all(len(p._exchange.relays) == 3 for p in others))
            await first.coordinator.release()
            await until(lambda: any(p.coordinator.holds for p in others), 8.0)
            holder = second if second.coordinator.holds else third
            other = third if holder is second else second
            address = holder.coordinator.lease.row.address
            await until(lambda: other._exchange.coordinator_address == address)
            await until(lambda: other._exchange.fed)
