"""A held request's runs are ended; words between relays are taken or refused."""

import asyncio
from random import Random
from types import SimpleNamespace

import pytest

from ebonydeal._internal.errors import EbonydealError, ErrorKind, Outcome
from ebonydeal._internal.models.forwarding import Repeat
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.relay.crashes.crash_check import Crashed
from ebonydeal._internal.relay.crashes.suspects import SuspectParts, Suspects
from ebonydeal._internal.relay.peers.call_budget import CallBudget
from ebonydeal._internal.relay.requests.outcomes import MayHaveRun
from ebonydeal._internal.relay.requests.sends import JobSends
from ebonydeal._internal.routing.crashes.crash_evidence import CrashEvidence
from tests.lib.clock import ManualClock
from tests.unit.relay.requests.test_job_sends import MEMBERS, MIGRATED, job, parts


class Relay:
    """The suspects of one relay; what it tells is in ``told``."""

    def __init__(self, others=()):
        self.clock = ManualClock(100.0)
        self.told = []
        self.metrics = Metrics()
        client = SimpleNamespace(call=self.call)
        budget = CallBudget(lambda: list(others), self.clock, Random(1))
        self.suspects = Suspects(
            SuspectParts(
                CrashEvidence(), client, budget, self.metrics, self.clock, "n0"
            )
        )

    async def call(self, address, _path, message, _timeout):
        self.told.append((address, message))

    def crash(self, number, *digests):
        self.clock._now += 1.0
        self.suspects.crashed(Crashed(MEMBERS[number], frozenset(digests)))


class TestRuns:
    async def test_end_when_their_request_is_held(self):
        relay = Relay()
        relay.crash(0, "fatal")
        relay.crash(1, "fatal")

        async def run():
            async with asyncio.timeout(60.0) as limit:
                with relay.suspects.at_work("fatal", "i3", limit):
                    await asyncio.sleep(60.0)

        running = asyncio.ensure_future(run())
        await asyncio.sleep(0)
        assert relay.suspects.runs_at("i3") == 1
        relay.crash(2, "fatal")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(running, 5.0)
        assert relay.suspects.stopped("fatal").kind is ErrorKind.REQUEST_QUARANTINED
        assert relay.suspects.runs_at("i3") == 0

    async def test_one_whose_time_is_up_at_that_moment_ends_too(self):
        relay = Relay()
        relay.crash(0, "fatal")
        relay.crash(1, "fatal")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.0) as limit:
                with relay.suspects.at_work("fatal", "i3", limit):
                    while not limit.expired():
                        try:
                            await asyncio.sleep(0.01)
                        except asyncio.CancelledError:
                            relay.crash(2, "fatal")
                            raise

    async def test_others_go_on(self):
        relay = Relay()
        for number in range(3):
            relay.crash(number, "fatal")
        assert relay.suspects.stopped("other") is None
        relay.suspects.check("other")
        with pytest.raises(EbonydealError):
            relay.suspects.check("fatal")


class TestWords:
    async def test_a_crash_is_told_to_all_others_once(self):
        relay = Relay(["n1:1", "n2:1"])
        async with relay.suspects:
            relay.crash(0, "fatal")
            relay.crash(0, "fatal")
            await asyncio.sleep(0.01)
        assert sorted(address for address, _message in relay.told) == ["n1:1", "n2:1"]

    def test_a_word_that_cant_be_read_is_refused_and_changes_nothing(self):
        relay = Relay()
        with pytest.raises((KeyError, TypeError, ValueError)):
            relay.suspects.take({"node": "n1", "crashes": {"crashes": [{}]}})
        assert relay.suspects.mark == ""

    def test_a_memory_that_cant_be_read_is_left_out(self):
        relay = Relay()
        for wrong in (
            {},
            [],
            {"crashes": 5, "served": {}},
            {"crashes": [5], "served": {}},
            {"crashes": [], "served": []},
        ):
            relay.suspects.learn(wrong, "n1")
        assert relay.suspects.mark == ""

    def test_the_coordinator_is_told_until_it_remembers_the_same(self):
        relay, other = Relay(), Relay()
        relay.crash(0, "fatal")
        word = relay.suspects.word()
        assert word is not None
        other.suspects.learn(word, "n0")
        relay.suspects.heard_from(other.suspects.mark, None, "coordinator")
        assert relay.suspects.word() is None

    async def test_each_request_is_counted_once(self):
        relay = Relay()
        for number in range(4):
            relay.crash(number, "fatal")
        assert relay.metrics.value("events", "requests_quarantined") == 1
        assert relay.metrics.value("events", "endpoints_crashed") == 4


class TestSends:
    """What a request's further sends do once something is held against it."""

    def sends(self, relay, repeat=Repeat.IDEMPOTENT):
        made = parts()
        made.suspects = relay.suspects
        made.refusal = SimpleNamespace(wait=lambda *_terms: None)
        found = job(repeat, False)._replace(digest="fatal")
        return JobSends(made, found)

    async def test_a_suspect_goes_where_fewest_are_at_work(self):
        relay = Relay()
        relay.crash(0, "fatal")
        sends = self.sends(relay)
        for member, count in zip(MEMBERS, (3, 2, 0, 1), strict=True):
            for _ in range(count):
                ask = sends.chooser.ask()
                sends._parts.choice.sent(ask, member, 0.0, 100.0)
        assert (await sends.choose()).endpoint_id == MEMBERS[2].endpoint_id

    async def test_and_where_no_other_suspect_is(self):
        relay = Relay()
        relay.crash(0, "fatal", "other")
        async with asyncio.timeout(60.0) as limit:
            with relay.suspects.at_work("other", MEMBERS[0].endpoint_id, limit):
                member = await self.sends(relay).choose()
        assert member.endpoint_id != MEMBERS[0].endpoint_id

    async def test_a_request_that_isnt_suspected_goes_by_the_usual_choice(self):
        relay = Relay()
        relay.crash(0, "other")
        sends = self.sends(relay)
        sends.chooser._isolate = lambda _allowed: pytest.fail("it isn't suspected")
        assert await sends.choose()

    async def test_no_further_send_is_made_once_it_is_held(self):
        relay = Relay()
        sends = self.sends(relay)
        await sends.choose()
        for number in range(3):
            relay.crash(number, "fatal")
        sends.check_resend(MayHaveRun(ErrorKind.ENDPOINT_FAILED, "reset"))
        with pytest.raises(EbonydealError) as caught:
            await sends.choose()
        assert caught.value.kind is ErrorKind.REQUEST_QUARANTINED
        # An earlier send of this very request may have run.
        assert caught.value.outcome is Outcome.UNKNOWN

    async def test_nor_does_a_stream_go_on_with_its_memory(self):
        relay = Relay()
        sends = self.sends(relay, Repeat.STREAM)
        await sends.choose()
        for number in range(3):
            relay.crash(number, "fatal")
        with pytest.raises(EbonydealError) as caught:
            await sends.resume(MIGRATED)
        assert caught.value.kind is ErrorKind.REQUEST_QUARANTINED

    async def test_a_run_that_was_stopped_isnt_sent_again(self):
        relay = Relay()
        sends = self.sends(relay)
        await sends.choose()
        for number in range(3):
            relay.crash(number, "fatal")
        with pytest.raises(EbonydealError) as caught:
            sends.check_resend(relay.suspects.stopped("fatal"))
        assert caught.value.kind is ErrorKind.REQUEST_QUARANTINED
        assert caught.value.outcome is Outcome.UNKNOWN
