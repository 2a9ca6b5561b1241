"""When a relay requests permits to send to an endpoint with a limit."""

import pytest

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.relay.limits.permits import EndpointPermits
from ebonydeal._internal.routing.notices.endpoint_notices import EndpointNotices
from tests.lib.clock import ManualClock

MEMBER = Member("i1", "s", "h:1", "z", 8, False, None, True, 0.0, 1)
OTHER = MEMBER._replace(endpoint_id="i2")


class Port:
    """Replies with ``reply`` or raises ``error``, after ``duration`` seconds."""

    def __init__(self, clock):
        self.clock, self.requests = clock, 0
        self.reply = {"granted": True, "wait": 0.0, "report": None}
        self.duration, self.error = 0.0, None

    async def permit(self, _report):
        self.requests += 1
        self.clock._now += self.duration
        if self.error is not None:
            raise self.error
        return self.reply


@pytest.fixture
def clock():
    return ManualClock(100.0)


@pytest.fixture
def port(clock):
    return Port(clock)


@pytest.fixture
def notices():
    notices = EndpointNotices()
    notices.note_limit(MEMBER.process, 1.0, 99.0, 99.5)
    return notices


@pytest.fixture
def permits(notices, port, clock):
    return EndpointPermits(notices, port, clock, Metrics())


class TestTake:
    async def test_without_a_limit_no_permit_is_requested(self, permits, port):
        assert await permits.take(OTHER)
        assert port.requests == 0

    async def test_with_a_limit_each_request_needs_a_permit(self, permits, port):
        assert await permits.take(MEMBER) and await permits.take(MEMBER)
        assert port.requests == 2

    async def test_after_a_refusal_the_endpoint_waits(self, permits, port, clock):
        port.reply = {"granted": False, "wait": 2.0, "report": None}
        assert not await permits.take(MEMBER)
        assert permits.wait(MEMBER, 101.0) == 1.0
        assert permits.wait(MEMBER, 102.0) == 0.0

    async def test_after_a_refusal_without_a_time_it_waits(self, permits, port):
        port.reply = {"granted": False, "wait": 0.0, "report": None}
        assert not await permits.take(MEMBER)
        assert permits.wait(MEMBER, 100.0) > 0.0

    async def test_a_changed_limit_ends_the_wait(self, permits, port, notices):
        port.reply = {"granted": False, "wait": 9.0, "report": None}
        await permits.take(MEMBER)
        notices.note_limit(MEMBER.process, 0.5, 100.0, 100.1)
        assert permits.wait(MEMBER, 100.2) == 0.0

    async def test_without_a_granter_nothing_is_sent(self, permits, port):
        port.error = EbonydealError(ErrorKind.WRONG_OWNER)
        assert not await permits.take(MEMBER)
        assert permits.wait(MEMBER, 100.0) > 0.0

    async def test_a_permit_that_arrives_late_is_not_used(self, permits, port):
        port.duration = 3.0
        assert not await permits.take(MEMBER)

    async def test_granter_may_report_the_end_of_a_limit(self, permits, port, clock):
        clock._now = 110.0
        port.reply = {"granted": False, "wait": 0.0, "report": ["i1", 0, None, 0.2]}
        assert await permits.take(MEMBER)


class TestBackoff:
    async def test_prevents_requests_without_asking(self, permits, port, notices):
        notices.note_backoff(OTHER.process, 3.0, 100.0)
        assert permits.wait(OTHER, 101.0) == 2.0
        assert not await permits.take(OTHER)
        assert port.requests == 0
