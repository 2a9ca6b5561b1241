"""No sequence of sends and moves runs a request twice against its kind."""

import asyncio
from random import Random
from types import SimpleNamespace

from hypothesis import given, settings
from hypothesis import strategies as st

from ebonydeal._internal.errors import ANSWERS, EbonydealError
from ebonydeal._internal.models.forwarding import (
    ForwardedRequest,
    KvCacheRef,
    Member,
    Repeat,
    Route,
    Target,
)
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.relay.limits.permits import EndpointPermits
from ebonydeal._internal.relay.requests.connections import EndpointPools
from ebonydeal._internal.relay.requests.job import Job, SendTerms
from ebonydeal._internal.relay.requests.migrations import MigratedRun
from ebonydeal._internal.relay.requests.outcomes import Answered, MayHaveRun
from ebonydeal._internal.relay.requests.sends import JobSends
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.routing.crashes.crash_evidence import Standing
from ebonydeal._internal.routing.notices.notices import EndpointNotices
from ebonydeal._internal.routing.placement.failure_shares import FailureShares
from ebonydeal._internal.routing.placement.member_choice import MemberChoice
from ebonydeal._internal.routing.placement.outliers import Outliers
from ebonydeal._internal.routing.retries.retries import RetryPolicy
from ebonydeal._internal.routing.rollout.split import Split
from ebonydeal._internal.settings.routing import RetrySettings, RoutingSettings
from tests.lib.clock import ManualClock
from tests.unit.relay.requests.test_outcomes import PROMISES, outcomes

MEMBERS = [
    Member(f"i{n}", "s", f"i{n}:1", "z", 8, False, None, True, 0.0, 1) for n in range(4)
]
MOVED = MigratedRun(MEMBERS[3], KvCacheRef("i0:1", "h1"))
# What happens to one send; a moved run is stopped and has run.
events = st.one_of(outcomes, st.just(MOVED))


async def at_once(_member):
    pass


def parts(**terms):
    clock = ManualClock(100.0)
    view = RelayView(2.0)
    for member in MEMBERS:
        view.put(member)
    # Nothing but the proof may hold a further send back.
    generous = RetrySettings(budget=1.0, budget_cap=100.0, attempts=100, backoff=0.0)
    retries = RetryPolicy(generous, Random(1))
    for _ in range(20):
        retries.first_send("s", 100.0)
    return SimpleNamespace(
        view=view,
        choice=MemberChoice(8.0),
        outliers=Outliers(RoutingSettings(), Random(1)),
        failing=FailureShares(0.15),
        split=Split("n1", 2.0),
        permits=EndpointPermits(EndpointNotices(), None, clock, Metrics()),
        retries=retries,
        metrics=Metrics(),
        long_reads=SimpleNamespace(sent=lambda *_read: None),
        crashes=SimpleNamespace(broke=lambda *_broke: None, checked=at_once),
        suspects=SimpleNamespace(
            check=lambda _digest: None, standing=lambda _digest: Standing.CLEAR
        ),
        pools=EndpointPools(clock, 1.0),
        clock=clock,
        zone="z",
        terms=SendTerms(**terms),
    )


def job(repeat, resumable):
    route = Route(
        "r",
        "h",
        "/p/",
        repeat,
        9.0,
        1.0,
        0,
        (Target("s", 1.0),),
        9,
        False,
        True,
        resumable,
        0.4,
    )
    req = ForwardedRequest("r1", "POST", "/p/x", "h", "", 9.0, 10, 5, (), None, "", ())
    return Job(req, route, "s", None, b"", 100.0, 109.0)


class TestSequences:
    @settings(max_examples=400, derandomize=True, deadline=None)
    @given(
        sequence=st.lists(events, min_size=1, max_size=8),
        repeat=st.sampled_from([Repeat.ONCE, Repeat.STREAM]),
        delivered=st.booleans(),
    )
    def test_what_may_run_once_does(self, sequence, repeat, delivered):
        sends = JobSends(parts(), job(repeat, resumable=False))
        sends.member = MEMBERS[0]
        runs = 0
        for event in sequence:
            # Each event is of a send from the beginning, unless memory is carried.
            carried = sends.send_metadata().carried is not None
            if event is MOVED:
                runs += not carried
                asyncio.run(sends.resume(MOVED))
                continue
            runs += isinstance(event, MayHaveRun | Answered) and not carried
            try:
                sends.check_resend(event, delivered=delivered)
            except EbonydealError as exc:
                if runs:
                    assert ANSWERS[exc.kind].status not in PROMISES
                break
            sends._take(
                SimpleNamespace(member=MEMBERS[1], missed=0.0, expected=None, source="")
            )
            sends._carried = None
        assert runs <= 1

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(sequence=st.lists(outcomes, min_size=1, max_size=3))
    def test_a_resumable_stream_is_sent_again_after_any_of_them(self, sequence):
        sends = JobSends(parts(), job(Repeat.STREAM, resumable=True))
        sends.member = MEMBERS[0]
        for event in sequence:
            if not isinstance(event, MayHaveRun):
                sends.check_resend(event)


class TestRank:
    """The objective of the route is 1 s, its urgency 0."""

    def rank(self, expected, waited=0.0, **terms):
        started = job(Repeat.STREAM, resumable=True)._replace(started=100.0 - waited)
        sends = JobSends(parts(**terms), started)
        found = SimpleNamespace(
            member=MEMBERS[0], missed=9000.0, expected=expected, source=""
        )
        sends._take(found)
        return sends.send_metadata().priority

    def test_one_that_can_be_in_time_has_its_routes(self):
        assert self.rank(0.9) == 0

    def test_one_that_will_be_late_lets_all_others_go_first(self):
        assert self.rank(1.1) == 9

    def test_so_does_one_that_waited_too_long_before_this_send(self):
        assert self.rank(0.4, waited=0.5) == 0
        assert self.rank(0.4, waited=0.7) == 9

    def test_it_is_off_by_its_setting(self):
        assert self.rank(1.1, late_last=False) == 0

    def test_one_of_which_nothing_is_expected_has_its_routes(self):
        assert self.rank(None) == 0
