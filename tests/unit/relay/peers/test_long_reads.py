"""Long prompts are told to all relays at once, and kept in mind by each."""

import asyncio
from random import Random

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.relay.peers.long_reads import (
    LONG_READ,
    LongReads,
    LongReadTaker,
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
# Seconds that each prompt waits before it is read.
WAIT = 0.5
ASK = SelectionRequest((), 1000, "z")


class Relays:
    """Takes calls to other relays; one of them may be away."""

    def __init__(self, away=""):
        self.calls = []
        self._away = away

    async def call(self, address, path, message, timeout):
        if address == self._away:
            raise EbonydealError(ErrorKind.CONNECT_FAILED, address)
        self.calls.append((address, path, message))
        return {}


async def told(reads, others, clock=None, least=0.25, away=""):
    """Let prompts with reading times be sent, and return the calls made."""
    relays = Relays(away)
    clock = clock or ManualClock(10.0)
    service = LongReads(relays, clock, Random(1), lambda: others, least)
    async with service:
        for endpoint_id, reading in reads:
            service.sent(endpoint_id, reading, reading + WAIT)
        for _ in range(20):
            await asyncio.sleep(0)
    return relays.calls


class TestTelling:
    async def test_all_others_hear_of_a_long_one(self):
        calls = await told([("i1", 0.8)], ["r2", "r3"])
        assert sorted(address for address, _path, _message in calls) == ["r2", "r3"]
        assert {path for _address, path, _message in calls} == {LONG_READ}
        assert calls[0][2] == {"endpoint": "i1", "seconds": 0.8 + WAIT}

    async def test_nobody_hears_of_short_ones_however_long_they_wait(self):
        assert await told([("i1", 0.2)], ["r2"]) == []

    async def test_zero_switches_it_off(self):
        assert await told([("i1", 3.0)], ["r2"], least=0.0) == []

    async def test_one_that_is_away_keeps_no_other_from_hearing(self):
        calls = await told([("i1", 0.8), ("i2", 0.9)], ["r2", "r3"], away="r2")
        assert [message["endpoint"] for _a, _p, message in calls] == ["i1", "i2"]

    async def test_calls_are_bounded_whatever_the_number_of_relays(self):
        others = [f"r{n}" for n in range(350)]
        calls = await told([("i1", 0.8), ("i2", 0.8)], others)
        assert len(calls) == 100


class TestTaking:
    def chosen(self, choice, now):
        return choice.select_engine(ASK, MEMBERS, now).endpoint_id

    def heard(self, seconds):
        """Return a choice that preferred i1, after a word on it at 10 s."""
        clock = ManualClock(10.0)
        choice = EndpointSelector(8.0)
        choice.update_reported_loads({"i2": ReportedLoad(running=1, at=10.0)})
        assert self.chosen(choice, 10.0) == "i1"
        message = {"endpoint": "i1", "seconds": seconds}
        assert LongReadTaker(choice, clock).take(message) == {}
        return choice

    def test_the_endpoint_is_avoided_until_it_was_read(self):
        choice = self.heard(0.8)
        assert self.chosen(choice, 10.1) == "i2"
        assert self.chosen(choice, 10.9) == "i1"

    def test_the_next_exchange_does_not_count_it_twice(self):
        choice = self.heard(0.8)
        before = choice.select_engine(ASK, MEMBERS[:1], 10.0).wait
        pending_prefill_tokens = 0.5 * choice.speed.prefill_rate
        choice.update_reported_loads(
            {
                "i1": ReportedLoad(
                    running=1, pending_prefill_tokens=pending_prefill_tokens, at=10.0
                )
            }
        )
        assert choice.select_engine(ASK, MEMBERS[:1], 10.0).wait == before

    def test_what_can_not_be_is_not_believed(self):
        choice = self.heard(1e9)
        assert self.chosen(choice, 16.0) == "i1"
