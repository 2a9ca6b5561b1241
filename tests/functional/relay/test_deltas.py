"""One relay polls the store for all, and others take over if it or the store fails."""

import asyncio
import time
from collections import Counter
from contextlib import asynccontextmanager

import pytest

from ebonydeal._internal.errors import ErrorKind, NoReplyError
from ebonydeal._internal.relay.duties import coordinator
from tests.lib.raw_endpoints import RawEndpoint
from tests.lib.relay_fakes import MemoryStore, document, relay, until

# The users' bound: the time after a fault after which relays count as in touch again.
CONTACT_S = 3.0


class BlockableStore:
    """One relay's access to the store, whose replies can be blocked."""

    def __init__(self, store, node="n1"):
        self._store = store
        self._node = node
        self.blocked = False
        self._unblocked = asyncio.Event()
        # Tables whose polls get no reply, and the polls in flight.
        self.silent_tables = set()
        self._polls = {}
        self._lost = set()

    def lose_polls(self, table):
        """Let the polls of a table in flight have no reply; later ones work."""
        self._lost |= {
            p for p, (polled, _wait) in self._polls.items() if polled == table
        }

    def poll_timeout(self, table):
        """Return for how long the poll of a table in flight waits, 0.0 without one."""
        return max(
            (w for polled, w in self._polls.values() if polled == table), default=0.0
        )

    def unblock(self):
        """Stop blocking, also for calls that are waiting."""
        self.blocked = False
        self._unblocked.set()

    def __getattr__(self, name):
        call = getattr(self._store, name)
        if not callable(call):
            # The offset of its clock.
            return call

        async def forward(*args):
            if name == "changes" and args[0] == "op":
                self._store.config_polls[self._node] += 1
            if self.blocked:
                await self._unblocked.wait()
            if name == "changes":
                return await self._poll(call, *args)
            answer = await call(*args)
            if self.blocked:
                await self._unblocked.wait()
            return answer

        return forward

    async def _poll(self, call, table, after, wait, reply_timeout):
        poll = object()
        self._polls[poll] = (table, wait)
        began_at = time.monotonic()
        try:
            answer = await call(table, after, wait, reply_timeout)
            if self.blocked:
                await self._unblocked.wait()
            if poll in self._lost or table in self.silent_tables:
                ends_at = began_at + wait + reply_timeout
                await asyncio.sleep(max(0.0, ends_at - time.monotonic()))
                raise NoReplyError(ErrorKind.STORE_UNAVAILABLE, "no reply", True)
            return answer
        finally:
            del self._polls[poll]


class CountingStore(MemoryStore):
    """Counts all polls of the endpoints, and each relay's of the configuration."""

    def __init__(self):
        super().__init__()
        self.polls = 0
        self.config_polls = Counter()

    async def changes(self, table, after, wait, reply_timeout):
        self.polls += table == "servers"
        return await super().changes(table, after, wait, reply_timeout)


@asynccontextmanager
async def three_relays(one):
    """Three relays on one store, two of which receive deltas from the first."""
    store = CountingStore()
    await one.start()
    await store.put("servers", one.name, one.row())
    await store.put("op", "config", document())
    first = relay(BlockableStore(store), node="n1", seed=1)
    await first.start()
    await until(lambda: first.coordinator.holds)
    others = [
        relay(BlockableStore(store, f"n{n}"), node=f"n{n}", seed=n) for n in (2, 3)
    ]
    for program in others:
        await program.start()
    try:
        await until(lambda: all(p._exchange.receives_deltas for p in others))
        yield store, first, others
    finally:
        for program in (*others, first):
            await program.stop()
        await one.stop()


class TestEndpoints:
    async def test_a_change_reaches_all_relays_by_one_poll_of_the_store(self):
        one = RawEndpoint("i1")
        async with three_relays(one) as (store, first, others):
            # Polls that began before deltas were pushed end with a change.
            await store.put("servers", "i2", one.row())
            await until(lambda: all("i2" in p.view.members for p in others))
            await asyncio.sleep(0.3)
            polls = store.polls
            await store.put("servers", "i1", one.row(state="draining"))
            await until(lambda: all(p.view.members["i1"].leaving for p in others))
            await asyncio.sleep(0.3)
            assert store.polls - polls <= 2
            assert first.view.members["i1"].leaving

    async def test_without_the_coordinator_each_relay_polls_the_store(self):
        one = RawEndpoint("i1")
        async with three_relays(one) as (store, first, others):
            first.peers.close_gracefully()
            await until(lambda: not any(p._exchange.receives_deltas for p in others))
            await store.put("servers", "i1", one.row(state="draining"))
            await until(lambda: all(p.view.members["i1"].leaving for p in others))

    async def test_an_unresponsive_store_is_noticed_before_the_lease_expires(self):
        one = RawEndpoint("i1")
        async with three_relays(one) as (store, first, others):
            # Polls that began before deltas were pushed end with a change.
            await store.put("servers", "i2", one.row())
            await until(lambda: all("i2" in p.view.members for p in others))
            first.ports.store.blocked = True
            try:
                await until(
                    lambda: not any(p._exchange.receives_deltas for p in others)
                )
                assert first.coordinator.holds
                await store.put("servers", "i1", one.row(state="draining"))
                await until(lambda: all(p.view.members["i1"].leaving for p in others))
                assert not first.view.members["i1"].leaving
            finally:
                first.ports.store.unblock()

    async def test_a_coordinator_without_the_store_pushes_no_deltas(self):
        one = RawEndpoint("i1")
        async with three_relays(one) as (_store, first, others):
            first.coordinator.store_is_fresh = lambda: False
            await until(lambda: not any(p._exchange.receives_deltas for p in others))


class TestLongPrompts:
    async def test_other_relays_avoid_an_endpoint_that_prefills_a_long_prompt(self):
        async with three_relays(RawEndpoint("i1")) as (_store, _first, others):
            sender, receiver = others
            await until(lambda: len(sender._exchange.relays) == 3)
            sender._long_prompts.note_sent("i1", 0.8, 900.0)

            def until_read(program):
                return program._selector._load("i1").prefilling_until

            await until(lambda: until_read(receiver) > now(receiver))
            assert until_read(sender) == 0.0


def now(program):
    return program._clock.now()


class TestConfigurationOfFewRelays:
    """Each relay polls it, but relies on a coordinator that shows its version."""

    async def test_is_read_in_time_if_the_coordinators_own_poll_gets_no_reply(self):
        """Its list of endpoints is up to date all the while."""
        async with three_relays(RawEndpoint("i1")) as (store, first, others):
            second, third = others
            await until(lambda: second.ports.store.poll_timeout("op") > CONTACT_S)
            first.ports.store.silent_tables.add("op")
            first.ports.store.lose_polls("op")
            second.ports.store.lose_polls("op")
            third.ports.store.silent_tables.add("op")
            await store.put("op", "config", document(2))
            await until(lambda: second.view.version == 2, CONTACT_S)


class TestConfiguration:
    """With many relays, only the coordinator polls the configuration."""

    @pytest.fixture(autouse=True)
    def push_config_to_three_relays(self, monkeypatch):
        monkeypatch.setattr(coordinator, "_MIN_RELAYS_TO_PUSH_CONFIG", 3)

    async def test_a_change_reaches_all_relays_by_the_coordinators_polls(self):
        async with three_relays(RawEndpoint("i1")) as (store, _first, others):
            await until(lambda: all(p._exchange.receives_config for p in others))
            # Polls that began before deltas were pushed end with a change.
            await store.put("op", "config", document(2))
            await until(lambda: all(p.view.version == 2 for p in others))
            await asyncio.sleep(0.3)
            polls = dict(store.config_polls)
            await store.put("op", "config", document(3))
            await until(lambda: all(p.view.version == 3 for p in others))
            assert {n: c for n, c in store.config_polls.items() if n != "n1"} == {
                n: c for n, c in polls.items() if n != "n1"
            }

    async def test_without_the_coordinator_each_relay_polls_it(self):
        async with three_relays(RawEndpoint("i1")) as (store, first, others):
            await until(lambda: all(p._exchange.receives_config for p in others))
            await store.put("op", "config", document(2))
            await until(lambda: all(p.view.version == 2 for p in others))
            first.peers.close_gracefully()
            await until(lambda: not any(p._exchange.receives_deltas for p in others))
            await store.put("op", "config", document(3))
            await until(lambda: all(p.view.version == 3 for p in others))

    async def test_a_coordinator_whose_poll_gets_no_reply_pushes_nothing(self):
        async with three_relays(RawEndpoint("i1")) as (store, first, others):
            await until(lambda: all(p._exchange.receives_config for p in others))
            await store.put("op", "config", document(2))
            await until(lambda: all(p.view.version == 2 for p in others))
            first.ports.store.blocked = True
            try:
                await until(
                    lambda: not any(p._exchange.receives_deltas for p in others)
                )
                await store.put("op", "config", document(3))
                await until(lambda: all(p.view.version == 3 for p in others))
            finally:
                first.ports.store.unblock()


class TestLeaseHolder:
    async def test_a_new_holder_announces_itself_to_the_known_relays(self):
        async with three_relays(RawEndpoint("i1")) as (store, first, others):
            second, third = others
            await until(lambda: all(len(p._exchange.relays) == 3 for p in others))
            await first.coordinator.release()
            await until(lambda: any(p.coordinator.holds for p in others), 8.0)
            holder = second if second.coordinator.holds else third
            other = third if holder is second else second
            address = holder.coordinator.lease.row.address
            await until(lambda: other._exchange.coordinator_address == address)
            await until(lambda: other._exchange.receives_deltas)
