import asyncio
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.endpoints import (
    EndpointKind,
    EndpointState,
    EndpointView,
)
from ebonydeal._internal.models.places import Place
from ebonydeal._internal.standin.cache import PrefixCache
from ebonydeal._internal.standin.expected_answers import (
    expected_length,
    expected_tokens,
    finish_reason,
    max_tokens_of,
)
from ebonydeal._internal.standin.listing import InstanceListServer
from ebonydeal._internal.standin.orders import Orders
from ebonydeal._internal.standin.slots import Slots
from tests.lib.clock import ManualClock, settle

VIEW = EndpointView(
    "i-1",
    1,
    EndpointKind.ENGINE,
    "127.0.0.1:1",
    Place("wales", "wales-1"),
    "covers",
    (),
    EndpointState.READY,
    True,
    0.5,
    1.0,
)


class TestExpectedTokens:
    @given(st.text(max_size=20), st.integers(1, 400))
    def test_token_limit_truncates_the_same_answer(self, prompt, limit):
        full_answer = expected_tokens("m", prompt, 10_000)
        assert len(full_answer) == expected_length("m", prompt)
        assert expected_tokens("m", prompt, limit) == full_answer[:limit]
        is_truncated = limit < len(full_answer)
        assert finish_reason("m", prompt, limit) == (
            "length" if is_truncated else "stop"
        )

    def test_answer_depends_on_model_and_prompt(self):
        answers = {expected_tokens(m, p, 50) for m in "ab" for p in "xy"}
        assert len(answers) == 4

    def test_token_limit_is_read_from_the_body(self):
        assert max_tokens_of({"max_tokens": 3}) == 3
        assert max_tokens_of({"max_tokens": 3, "max_completion_tokens": 4}) == 4
        assert max_tokens_of({}) == 64


class TestPrefixCache:
    def test_least_recently_used_block_is_evicted_and_reported(self):
        cache = PrefixCache(2, 1.0, 0.0, random.Random(1))
        cache.store(("a", "b"), now=0.0)
        assert cache.cached_tokens(("a",)) == 16
        cache.store(("c",), now=5.0)
        assert cache.cached_tokens(("b",)) == 0
        assert cache.cached_tokens(("a", "b", "c")) == 16
        assert [(e.seq, e.stored, e.block) for e in cache.events(0, now=1.0)] == [
            (1, True, "a"),
            (2, True, "b"),
        ]
        assert [(e.seq, e.stored, e.block) for e in cache.events(2, now=6.0)] == [
            (3, True, "c"),
            (4, False, "b"),
        ]

    def test_lost_events_leave_gaps(self):
        cache = PrefixCache(1000, 0.0, 0.5, random.Random(1))
        cache.store(tuple(str(n) for n in range(100)), now=0.0)
        seqs = [event.seq for event in cache.events(0, now=0.0)]
        assert 20 < len(seqs) < 80
        assert seqs == sorted(set(seqs))


class TestSlots:
    async def test_slots_are_assigned_by_priority_then_arrival(self):
        slots, order = Slots(1), []

        async def work(name, priority):
            await slots.acquire(priority)
            order.append(name)

        await slots.acquire(1)
        names = [("batch", 2), ("first", 1), ("second", 1), ("urgent", 0)]
        tasks = [asyncio.ensure_future(work(*item)) for item in names]
        await settle()
        assert (slots.running, slots.waiting) == (1, 4)
        for _ in names:
            slots.release()
            await settle()
        assert order == ["urgent", "first", "second", "batch"]
        slots.release()
        assert slots.running == 0
        await asyncio.gather(*tasks)

    async def test_waiter_cancelled_after_it_has_the_slot_releases_it(self):
        slots = Slots(1)
        await slots.acquire(1)
        task = asyncio.ensure_future(slots.acquire(1))
        await settle()
        slots.release()
        task.cancel()
        await settle()
        assert (slots.running, slots.waiting) == (0, 0)


class TestOrders:
    def test_models_no_longer_ordered_are_unloaded_and_new_ones_missing(self):
        orders = Orders(("a", "b"), True)
        orders.apply({"fence": 1, "models": ["b", "c"], "role": "serve"})
        assert orders.loaded == {"b"}
        assert orders.next_missing() == "c"
        orders.set_loaded("c")
        assert orders.next_missing() is None
        orders.set_loaded("a")
        assert orders.loaded == {"b", "c"}

    @pytest.mark.parametrize("message", [{}, {"fence": "x", "models": [], "role": ""}])
    def test_malformed_order_changes_nothing(self, message):
        orders = Orders(("a",), True)
        with pytest.raises(EbonydealError) as caught:
            orders.apply(message)
        assert caught.value.kind is ErrorKind.BAD_REQUEST
        assert orders.to_message() == {"fence": 0, "models": ["a"], "role": "serve"}


class TestInstanceList:
    async def test_list_lags_behind(self):
        clock = ManualClock()
        server = InstanceListServer(2.0, clock=clock)
        server.set_endpoint(VIEW)
        assert server.lagged_list()["endpoints"] == []
        await clock.advance(2.0)
        assert [e["endpoint_id"] for e in server.lagged_list()["endpoints"]] == ["i-1"]
        server.remove_endpoint("i-1")
        await clock.advance(1.9)
        assert len(server.lagged_list()["endpoints"]) == 1
        await clock.advance(0.2)
        assert server.lagged_list()["endpoints"] == []
