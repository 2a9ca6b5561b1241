"""Timeout of a stream's first event, by expected time and endpoint activity."""

import asyncio
from types import SimpleNamespace

import pytest

from ebonydeal._internal.models.forwarding import Repeat
from ebonydeal._internal.relay.requests.first_event_wait import FirstEventWait
from ebonydeal._internal.relay.requests.job import SendConfig
from ebonydeal._internal.routing.placement.endpoint_selector import EndpointSelector
from tests.lib.clock import ManualClock
from tests.unit.relay.requests.test_job_sends import MEMBERS, job


def wait_of(expected, config=None, at_most_once=False, last=False):
    """Return the wait of a request with an objective of 1 s, and its collaborators."""
    parts = SimpleNamespace(
        clock=ManualClock(100.0),
        selector=EndpointSelector(8.0),
        config=config or SendConfig(),
    )
    task = job(
        Repeat.ONCE if at_most_once else Repeat.STREAM, resumable=not at_most_once
    )
    sends = SimpleNamespace(
        job=task, member=MEMBERS[0], expected=expected, is_last=at_most_once or last
    )
    return FirstEventWait.of_send(parts, sends), parts


class TestTimeout:
    def test_is_the_objective_for_a_short_prompt(self):
        wait, _parts = wait_of(0.1)
        assert wait.until(100.0) == 101.0

    def test_is_longer_for_a_longer_expected_time(self):
        wait, _parts = wait_of(0.9)
        assert wait.until(100.0) == pytest.approx(101.8)

    def test_is_the_objective_if_switched_off(self):
        wait, _parts = wait_of(
            0.9, SendConfig(first_spread=0.0, first_max_objectives=0.0)
        )
        assert wait.until(100.0) == 101.0

    def test_at_most_once_request_waits_until_its_deadline(self):
        wait, _parts = wait_of(0.1, at_most_once=True)
        assert wait.until(100.0) == 109.0

    def test_last_send_waits_until_its_deadline(self):
        wait, _parts = wait_of(0.1, last=True)
        assert 101.0 < wait.until(101.0) <= 109.0
        assert 108.9 < wait.until(108.9) <= 109.0
        assert wait.until(109.0) == 109.0


class TestActivity:
    def test_inactive_endpoint_ends_the_wait(self):
        wait, _parts = wait_of(0.1)
        assert wait.until(101.0) == 101.0

    def test_events_on_other_streams_extend_the_wait(self):
        wait, parts = wait_of(0.1)
        parts.selector.record_activity("i0", 100.9)
        assert wait.until(101.0) == pytest.approx(101.2)
        assert wait.until(101.2) == 101.2

    def test_extension_is_bounded(self):
        wait, parts = wait_of(0.1)
        parts.selector.record_activity("i0", 103.45)
        assert wait.until(103.49) == 103.5
        assert wait.until(103.5) == 103.5


class TestLimit:
    async def test_raises_in_the_body_after_the_timeout(self):
        wait, parts = wait_of(0.1)
        parts.clock = ManualClock(102.0)
        with pytest.raises(TimeoutError):
            async with wait.limit():
                await asyncio.sleep(30)

    async def test_body_that_ends_in_time_is_undisturbed(self):
        wait, _parts = wait_of(0.1)
        async with wait.limit():
            await asyncio.sleep(0)
