"""Runs of a quarantined request are stopped; reports between relays are merged."""

import asyncio
from random import Random
from types import SimpleNamespace

import pytest

from ebonydeal._internal.errors import EbonydealError, ErrorKind, Outcome
from ebonydeal._internal.models.forwarding import Repeat
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.relay.crashes.crash_detector import CrashedEndpoint
from ebonydeal._internal.relay.crashes.suspects import SuspectParts, Suspects
from ebonydeal._internal.relay.peers.call_budget import CallBudget
from ebonydeal._internal.relay.requests.outcomes import MayHaveRun
from ebonydeal._internal.relay.requests.sends import JobSends
from ebonydeal._internal.routing.crashes.crash_evidence import CrashEvidence
from ebonydeal._internal.routing.crashes.request_traits import RequestTraits
from tests.lib.clock import ManualClock
from tests.unit.relay.requests.test_job_sends import MEMBERS, MIGRATED, job, parts


class Relay:
    """The suspects of one relay; its reports are in ``sent``."""

    def __init__(self, others=()):
        self.clock = ManualClock(100.0)
        self.sent = []
        self.metrics = Metrics()
        client = SimpleNamespace(call=self.call)
        budget = CallBudget(lambda: list(others), self.clock, Random(1))
        self.suspects = Suspects(
            SuspectParts(
                CrashEvidence(), client, budget, self.metrics, self.clock, "n0"
            )
        )

    async def call(self, address, _path, message, _timeout):
        self.sent.append((address, message))

    def crash(self, number, *digests):
        self.clock._now += 1.0
        requests = frozenset(RequestTraits(digest) for digest in digests)
        self.suspects.record_crash(CrashedEndpoint(MEMBERS[number], requests))


class TestRuns:
    async def test_runs_are_stopped_when_their_request_is_quarantined(self):
        relay = Relay()
        relay.crash(0, "fatal")
        relay.crash(1, "fatal")

        async def run():
            async with asyncio.timeout(60.0) as limit:
                with relay.suspects.track_run(RequestTraits("fatal"), "i3", limit):
                    await asyncio.sleep(60.0)

        running = asyncio.ensure_future(run())
        await asyncio.sleep(0)
        assert relay.suspects.suspects_at("i3") == 1
        relay.crash(2, "fatal")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(running, 5.0)
        assert (
            relay.suspects.stopped_outcome(RequestTraits("fatal")).kind
            is ErrorKind.REQUEST_QUARANTINED
        )
        assert relay.suspects.suspects_at("i3") == 0

    async def test_a_run_that_times_out_at_that_moment_ends_too(self):
        relay = Relay()
        relay.crash(0, "fatal")
        relay.crash(1, "fatal")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.0) as limit:
                with relay.suspects.track_run(RequestTraits("fatal"), "i3", limit):
                    while not limit.expired():
                        try:
                            await asyncio.sleep(0.01)
                        except asyncio.CancelledError:
                            relay.crash(2, "fatal")
                            raise

    async def test_runs_of_other_requests_continue(self):
        relay = Relay()
        for number in range(3):
            relay.crash(number, "fatal")
        assert relay.suspects.stopped_outcome(RequestTraits("other")) is None
        relay.suspects.check(RequestTraits("other"))
        with pytest.raises(EbonydealError):
            relay.suspects.check(RequestTraits("fatal"))


class TestReports:
    async def test_a_crash_is_reported_to_each_relay_once(self):
        relay = Relay(["n1:1", "n2:1"])
        async with relay.suspects:
            relay.crash(0, "fatal")
            relay.crash(0, "fatal")
            await asyncio.sleep(0.01)
        assert sorted(address for address, _message in relay.sent) == ["n1:1", "n2:1"]

    def test_an_unreadable_report_is_rejected_and_changes_nothing(self):
        relay = Relay()
        with pytest.raises((KeyError, TypeError, ValueError)):
            relay.suspects.receive({"node": "n1", "crashes": {"crashes": [{}]}})
        assert relay.suspects.fingerprint == ""

    def test_unreadable_evidence_of_the_coordinator_is_ignored(self):
        relay = Relay()
        for wrong in (
            {},
            [],
            {"crashes": 5, "served": {}},
            {"crashes": [5], "served": {}},
            {"crashes": [], "served": []},
        ):
            relay.suspects.merge(wrong, "n1")
        assert relay.suspects.fingerprint == ""

    def test_evidence_is_sent_until_the_coordinator_has_the_same(self):
        relay, other = Relay(), Relay()
        relay.crash(0, "fatal")
        message = relay.suspects.evidence_for_coordinator()
        assert message is not None
        other.suspects.merge(message, "n0")
        relay.suspects.apply_reply(other.suspects.fingerprint, None, "coordinator")
        assert relay.suspects.evidence_for_coordinator() is None

    async def test_each_quarantined_request_is_counted_once(self):
        relay = Relay()
        for number in range(4):
            relay.crash(number, "fatal")
        assert relay.metrics.value("events", "requests_quarantined") == 1
        assert relay.metrics.value("events", "endpoints_crashed") == 4


class TestSends:
    """Further sends of a suspected or quarantined request."""

    def sends(self, relay, repeat=Repeat.IDEMPOTENT):
        made = parts()
        made.suspects = relay.suspects
        made.refusal = SimpleNamespace(wait=lambda *_terms: None)
        found = job(repeat, False)._replace(traits=RequestTraits("fatal"))
        return JobSends(made, found)

    async def test_a_suspect_goes_to_the_endpoint_with_fewest_in_flight(self):
        relay = Relay()
        relay.crash(0, "fatal")
        sends = self.sends(relay)
        for member, count in zip(MEMBERS, (3, 2, 0, 1), strict=True):
            for _ in range(count):
                request = sends.chooser.selection_request()
                sends._parts.selector.record_sent(request, member, 0.0, 100.0)
        assert (await sends.choose()).endpoint_id == MEMBERS[2].endpoint_id

    async def test_a_suspect_avoids_endpoints_with_another_suspect(self):
        relay = Relay()
        relay.crash(0, "fatal", "other")
        async with asyncio.timeout(60.0) as limit:
            with relay.suspects.track_run(
                RequestTraits("other"), MEMBERS[0].endpoint_id, limit
            ):
                member = await self.sends(relay).choose()
        assert member.endpoint_id != MEMBERS[0].endpoint_id

    async def test_a_clear_request_goes_by_the_usual_choice(self):
        relay = Relay()
        relay.crash(0, "other")
        sends = self.sends(relay)
        sends.chooser._isolate = lambda _allowed: pytest.fail("it isn't suspected")
        assert await sends.choose()

    async def test_a_quarantined_request_isnt_sent_again(self):
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

    async def test_a_quarantined_stream_isnt_moved_with_its_state(self):
        relay = Relay()
        sends = self.sends(relay, Repeat.STREAM)
        await sends.choose()
        for number in range(3):
            relay.crash(number, "fatal")
        with pytest.raises(EbonydealError) as caught:
            await sends.resume(MIGRATED)
        assert caught.value.kind is ErrorKind.REQUEST_QUARANTINED

    async def test_a_stopped_run_isnt_sent_again(self):
        relay = Relay()
        sends = self.sends(relay)
        await sends.choose()
        for number in range(3):
            relay.crash(number, "fatal")
        with pytest.raises(EbonydealError) as caught:
            sends.check_resend(relay.suspects.stopped_outcome(RequestTraits("fatal")))
        assert caught.value.kind is ErrorKind.REQUEST_QUARANTINED
        assert caught.value.outcome is Outcome.UNKNOWN
