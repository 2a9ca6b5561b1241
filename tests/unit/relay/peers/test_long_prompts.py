"""Relays must not send short prompts to an endpoint that prefills a long one."""

import asyncio
from random import Random

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.relay.peers.long_prompts import (
    LONG_PROMPT,
    LongPromptNotifier,
    LongPromptReceiver,
)
from ebonydeal._internal.routing.placement.endpoint_load import ReportedLoad
from ebonydeal._internal.routing.placement.endpoint_selector import (
    EndpointSelector,
    SelectionRequest,
)
from tests.lib.clock import ManualClock

MEMBERS = [
    Member(name, "s", f"{name}:1", "z", 8, False, None, False, 0.0, 1)
    for name in ("i1", "i2")
]
# Seconds that each prompt waits before its prefill.
QUEUE_S = 0.5
ASK = SelectionRequest((), 1000, "z")


class Relays:
    """Records calls to other relays, of which one may be unreachable."""

    def __init__(self, unreachable=""):
        self.calls = []
        self._unreachable = unreachable

    async def call(self, address, path, message, timeout):
        if address == self._unreachable:
            raise EbonydealError(ErrorKind.CONNECT_FAILED, address)
        self.calls.append((address, path, message))
        return {}


async def notices_of(prompts, others, clock=None, min_prefill_s=0.25, unreachable=""):
    """Let prompts with prefill times be sent, and return the calls made."""
    relays = Relays(unreachable)
    clock = clock or ManualClock(10.0)
    service = LongPromptNotifier(
        relays, clock, Random(1), lambda: others, min_prefill_s
    )
    async with service:
        for endpoint_id, prefill in prompts:
            service.note_sent(endpoint_id, prefill, prefill + QUEUE_S)
        for _ in range(20):
            await asyncio.sleep(0)
    return relays.calls


class TestNotifying:
    async def test_all_others_are_notified_of_a_long_prompt(self):
        calls = await notices_of([("i1", 0.8)], ["r2", "r3"])
        assert sorted(address for address, _path, _message in calls) == ["r2", "r3"]
        assert {path for _address, path, _message in calls} == {LONG_PROMPT}
        assert calls[0][2] == {"endpoint": "i1", "seconds": 0.8 + QUEUE_S}

    async def test_no_relay_is_notified_of_short_prompts_that_wait_long(self):
        assert await notices_of([("i1", 0.2)], ["r2"]) == []

    async def test_zero_switches_notices_off(self):
        assert await notices_of([("i1", 3.0)], ["r2"], min_prefill_s=0.0) == []

    async def test_an_unreachable_relay_does_not_stop_the_other_notices(self):
        calls = await notices_of(
            [("i1", 0.8), ("i2", 0.9)], ["r2", "r3"], unreachable="r2"
        )
        assert [message["endpoint"] for _a, _p, message in calls] == ["i1", "i2"]

    async def test_calls_are_bounded_whatever_the_number_of_relays(self):
        others = [f"r{n}" for n in range(350)]
        calls = await notices_of([("i1", 0.8), ("i2", 0.8)], others)
        assert len(calls) == 100


class TestReceiving:
    def chosen(self, selector, now):
        return selector.select_engine(ASK, MEMBERS, now).endpoint_id

    def choice_after_notice(self, seconds):
        """Return a choice that preferred i1, after a notice for i1 at 10 s."""
        clock = ManualClock(10.0)
        selector = EndpointSelector(8.0)
        selector.update_reported_loads({"i2": ReportedLoad(running=1, at=10.0)})
        assert self.chosen(selector, 10.0) == "i1"
        message = {"endpoint": "i1", "seconds": seconds}
        assert LongPromptReceiver(selector, clock).receive(message) == {}
        return selector

    def test_the_endpoint_is_avoided_until_the_prefill_ends(self):
        selector = self.choice_after_notice(0.8)
        assert self.chosen(selector, 10.1) == "i2"
        assert self.chosen(selector, 10.9) == "i1"

    def test_the_next_reply_does_not_count_the_prompt_twice(self):
        selector = self.choice_after_notice(0.8)
        before = selector.select_engine(ASK, MEMBERS[:1], 10.0).wait
        pending_prefill_tokens = 0.5 * selector.speed.prefill_rate
        selector.update_reported_loads(
            {
                "i1": ReportedLoad(
                    running=1, pending_prefill_tokens=pending_prefill_tokens, at=10.0
                )
            }
        )
        assert selector.select_engine(ASK, MEMBERS[:1], 10.0).wait == before

    def test_an_impossible_prefill_time_is_limited(self):
        selector = self.choice_after_notice(1e9)
        assert self.chosen(selector, 16.0) == "i1"
