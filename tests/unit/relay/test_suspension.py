"""A relay whose machine was suspended goes on with nothing that lapsed meanwhile.

The injected clock counts the suspension, as the program's own does.
"""

from random import Random
from types import SimpleNamespace

import pytest

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.forwarding import Repeat
from ebonydeal._internal.relay.duties.lease_keeper import LeaseKeeper
from ebonydeal._internal.relay.peers.exchange import Exchange, ExchangeParts
from ebonydeal._internal.relay.requests.sends import JobSends
from ebonydeal._internal.routing.duties.duty_lease import DutyLease, LeaseRow, Write
from ebonydeal._internal.routing.limits.quota_broker import Balances
from tests.lib.clock import ManualClock
from tests.lib.relay_fakes import MemoryStore
from tests.unit.relay.requests.test_job_sends import job, parts

SUSPENDED_S = 5.0


def holder(clock):
    """Return the keeper of a lease that was renewed just now."""
    lease = DutyLease("n0", "i", "n0:1", 3.0)
    lease.wanted = True
    lease.saw(None, 0, clock.now())
    assert isinstance(lease.next_step(clock.now()), Write)
    keeper = LeaseKeeper(
        MemoryStore(), SimpleNamespace(), lease, clock, Random(1), lambda: None
    )
    lease.wrote(LeaseRow("n0", "i", "n0:1", 1), 1)
    return keeper


class TestLease:
    async def test_is_held_no_more(self):
        clock = ManualClock(100.0)
        keeper = holder(clock)
        assert keeper.holds
        clock._now += SUSPENDED_S
        # Nothing has run since: who asks before acting is told.
        assert not keeper.holds


class TestView:
    async def test_is_taken_for_old_until_the_coordinator_is_heard(self):
        clock = ManualClock(100.0)
        coordinator = SimpleNamespace(
            lease=SimpleNamespace(mine=False, wanted=False, row=None)
        )
        exchange = Exchange(
            ExchangeParts(coordinator, None, clock, Random(1), dict, print), ()
        )
        exchange._fed, exchange._tells_config = True, True
        assert exchange.fed and exchange.fed_config
        clock._now += SUSPENDED_S
        assert not exchange.fed
        assert not exchange.fed_config


class TestQuota:
    def test_what_was_granted_before_is_used_no_more(self):
        clock, quota = ManualClock(100.0), Balances()
        quota.add("acme", 50.0, clock.now())
        assert quota.left("acme", clock.now()) == 50.0
        clock._now += SUSPENDED_S
        assert not quota.take("acme", 1.0, clock.now())


class TestDeadline:
    async def test_a_request_whose_time_is_over_is_sent_nowhere(self):
        made = parts()
        found = job(Repeat.IDEMPOTENT, False)
        sends = JobSends(made, found)
        made.clock._now = found.deadline + 1.0
        with pytest.raises(EbonydealError) as caught:
            await sends.choose()
        assert caught.value.kind is ErrorKind.DEADLINE_EXCEEDED
