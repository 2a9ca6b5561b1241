"""Whom a relay asks before it sends to an endpoint with a limit, and when again."""

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
    """Grants or refuses, as it is told; ``lasts`` is how long an answer takes."""

    def __init__(self, clock):
        self.clock, self.asked = clock, 0
        self.reply = {"granted": True, "wait": 0.0, "report": None}
        self.lasts, self.error = 0.0, None

    async def permit(self, _report):
        self.asked += 1
        self.clock._now += self.lasts
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
    async def test_without_a_limit_nobody_is_asked(self, permits, port):
        assert await permits.take(OTHER)
        assert port.asked == 0

    async def test_with_one_each_request_is_asked_for(self, permits, port):
        assert await permits.take(MEMBER) and await permits.take(MEMBER)
        assert port.asked == 2

    async def test_a_refusal_closes_it_until_its_turn(self, permits, port, clock):
        port.reply = {"granted": False, "wait": 2.0, "report": None}
        assert not await permits.take(MEMBER)
        assert permits.wait(MEMBER, 101.0) == 1.0
        assert permits.wait(MEMBER, 102.0) == 0.0

    async def test_a_refusal_without_a_time_closes_it_for_a_moment(self, permits, port):
        port.reply = {"granted": False, "wait": 0.0, "report": None}
        assert not await permits.take(MEMBER)
        assert permits.wait(MEMBER, 100.0) > 0.0

    async def test_another_limit_opens_it_at_once(self, permits, port, notices):
        port.reply = {"granted": False, "wait": 9.0, "report": None}
        await permits.take(MEMBER)
        notices.note_limit(MEMBER.process, 0.5, 100.0, 100.1)
        assert permits.wait(MEMBER, 100.2) == 0.0

    async def test_where_nobody_grants_nothing_is_sent(self, permits, port):
        port.error = EbonydealError(ErrorKind.WRONG_OWNER)
        assert not await permits.take(MEMBER)
        assert permits.wait(MEMBER, 100.0) > 0.0

    async def test_what_was_granted_long_ago_is_used_no_more(self, permits, port):
        port.lasts = 3.0
        assert not await permits.take(MEMBER)

    async def test_the_granters_word_that_it_has_ended_holds(
        self, permits, port, clock
    ):
        clock._now = 110.0
        port.reply = {"granted": False, "wait": 0.0, "report": ["i1", 0, None, 0.2]}
        assert await permits.take(MEMBER)


class TestRest:
    async def test_closes_it_without_asking(self, permits, port, notices):
        notices.note_backoff(OTHER.process, 3.0, 100.0)
        assert permits.wait(OTHER, 101.0) == 2.0
        assert not await permits.take(OTHER)
        assert port.asked == 0
