"""How long a stream waits for its first event, by what is expected and seen."""

import asyncio
from types import SimpleNamespace

import pytest

from ebonydeal._internal.models.forwarding import Repeat
from ebonydeal._internal.relay.requests.first_event_wait import FirstEventWait
from ebonydeal._internal.relay.requests.job import SendTerms
from ebonydeal._internal.routing.placement.member_choice import MemberChoice
from tests.lib.clock import ManualClock
from tests.unit.relay.requests.test_job_sends import MEMBERS, job


def wait_of(expected, terms=None, once=False, last=False):
    """Return the wait of a request with an objective of 1 s, and its parts."""
    parts = SimpleNamespace(
        clock=ManualClock(100.0),
        choice=MemberChoice(8.0),
        terms=terms or SendTerms(),
    )
    task = job(Repeat.ONCE if once else Repeat.STREAM, resumable=not once)
    sends = SimpleNamespace(
        job=task, member=MEMBERS[0], expected=expected, is_last=once or last
    )
    return FirstEventWait.of_send(parts, sends), parts


class TestPatience:
    def test_is_an_objective_for_a_short_prompt(self):
        wait, _parts = wait_of(0.1)
        assert wait.until(100.0) == 101.0

    def test_is_longer_where_more_is_expected(self):
        wait, _parts = wait_of(0.9)
        assert wait.until(100.0) == pytest.approx(101.8)

    def test_switched_off_it_is_one_objective(self):
        wait, _parts = wait_of(0.9, SendTerms(first_spread=0.0, first_longest=0.0))
        assert wait.until(100.0) == 101.0

    def test_what_may_run_once_waits_to_its_end(self):
        wait, _parts = wait_of(0.1, once=True)
        assert wait.until(100.0) == 109.0

    def test_the_last_send_is_waited_for_to_its_end(self):
        wait, _parts = wait_of(0.1, last=True)
        assert 101.0 < wait.until(101.0) <= 109.0
        assert 108.9 < wait.until(108.9) <= 109.0
        assert wait.until(109.0) == 109.0


class TestSignsOfLife:
    def test_a_silent_endpoint_is_left(self):
        wait, _parts = wait_of(0.1)
        assert wait.until(101.0) == 101.0

    def test_one_that_makes_events_for_others_is_waited_for(self):
        wait, parts = wait_of(0.1)
        parts.choice.heard("i0", 100.9)
        assert wait.until(101.0) == pytest.approx(101.2)
        assert wait.until(101.2) == 101.2

    def test_but_not_beyond_what_clients_bear(self):
        wait, parts = wait_of(0.1)
        parts.choice.heard("i0", 103.45)
        assert wait.until(103.49) == 103.5
        assert wait.until(103.5) == 103.5


class TestLimit:
    async def test_ends_the_body_when_the_time_is_up(self):
        wait, parts = wait_of(0.1)
        parts.clock = ManualClock(102.0)
        with pytest.raises(TimeoutError):
            async with wait.limit():
                await asyncio.sleep(30)

    async def test_leaves_a_body_alone_that_ends_in_time(self):
        wait, _parts = wait_of(0.1)
        async with wait.limit():
            await asyncio.sleep(0)
