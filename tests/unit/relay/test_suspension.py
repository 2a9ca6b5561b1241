"""A relay whose machine was suspended must not use what expired meanwhile.

The injected clock includes the suspension, as the program's own does.
"""

from random import Random
from types import SimpleNamespace

import pytest

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.forwarding import Repeat
from ebonydeal._internal.relay.duties.lease_keeper import LeaseKeeper
from ebonydeal._internal.relay.peers.exchange import Exchange, ExchangeParts
from ebonydeal._internal.relay.requests.sends import JobSends
from ebonydeal._internal.routing.duties.coordinator_lease import (
    CoordinatorLease,
    LeaseRow,
    Write,
)
from ebonydeal._internal.routing.limits.quota_broker import Balances
from tests.lib.clock import ManualClock
from tests.lib.relay_fakes import MemoryStore
from tests.unit.relay.requests.test_job_sends import job, parts

SUSPENDED_S = 5.0


def holder(clock):
    """Return the keeper of a lease that was just renewed."""
    lease = CoordinatorLease("n0", "i", "n0:1", 3.0)
    lease.wanted = True
    lease.on_read(None, 0, clock.now())
    assert isinstance(lease.next_step(clock.now()), Write)
    keeper = LeaseKeeper(
        MemoryStore(), SimpleNamespace(), lease, clock, Random(1), lambda: None
    )
    lease.on_written(LeaseRow("n0", "i", "n0:1", 1), 1)
    return keeper


class TestLease:
    async def test_it_is_no_longer_held(self):
        clock = ManualClock(100.0)
        keeper = holder(clock)
        assert keeper.holds
        clock._now += SUSPENDED_S
        # No task has run since then, but a check before acting shows it.
        assert not keeper.holds


class TestView:
    async def test_it_is_stale_until_the_coordinator_replies(self):
        clock = ManualClock(100.0)
        coordinator = SimpleNamespace(
            lease=SimpleNamespace(is_mine=False, wanted=False, row=None)
        )
        exchange = Exchange(
            ExchangeParts(coordinator, None, clock, Random(1), dict, print), ()
        )
        exchange._deltas_pushed, exchange._config_pushed = True, True
        assert exchange.receives_deltas and exchange.receives_config
        clock._now += SUSPENDED_S
        assert not exchange.receives_deltas
        assert not exchange.receives_config


class TestQuota:
    def test_earlier_grants_are_no_longer_used(self):
        clock, quota = ManualClock(100.0), Balances()
        quota.add("acme", 50.0, clock.now())
        assert quota.left("acme", clock.now()) == 50.0
        clock._now += SUSPENDED_S
        assert not quota.take("acme", 1.0, clock.now())


class TestDeadline:
    async def test_a_request_past_its_deadline_is_not_sent(self):
        made = parts()
        found = job(Repeat.IDEMPOTENT, False)
        sends = JobSends(made, found)
        made.clock._now = found.deadline + 1.0
        with pytest.raises(EbonydealError) as caught:
            await sends.choose()
        assert caught.value.kind is ErrorKind.DEADLINE_EXCEEDED
