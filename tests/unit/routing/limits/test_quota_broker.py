"""Grants of one granter, from all shares or some of them."""

import random

import pytest

from ebonydeal._internal.models.forwarding import ForwardAccount
from ebonydeal._internal.routing.limits.quota_bounds import QuotaBounds
from ebonydeal._internal.routing.limits.quota_broker import (
    ADVANCE_TTL_S,
    Balances,
    QuotaBroker,
    QuotaConfig,
)
from ebonydeal._internal.settings.policy import PolicySettings

BOUNDS = QuotaBounds(window=8.0, overshoot=0.1, slack=110_000.0)
ACCOUNT = ForwardAccount("acme", (), None, 40_000.0, 40_000.0, True, 200.0)
DEBT = BOUNDS.debt(ACCOUNT)

# Each request must be fully earned before it is granted.
NO_DEBT = QuotaConfig(overdraft=0.0, small=0.0)


def allowed(account=ACCOUNT):
    """Return the most that may be admitted in any window."""
    return BOUNDS.limit(account) + BOUNDS.tolerance(account)


def max_in_window(admitted):
    """Return the largest sum of (time, amount) pairs in any window."""
    return max(
        sum(n for at, n in admitted if start <= at <= start + BOUNDS.window)
        for start, _n in admitted
    )


class FakeShare:
    """A share that a test changes."""

    def __init__(self, now=1.0):
        self.now = now

    def __call__(self, _now):
        return self.now


def first_broker(config=None, share=None):
    """Return the broker of the very first lease holder, whose buckets are full."""
    broker = QuotaBroker(BOUNDS, config, share or FakeShare())
    broker.starts_full = True
    return broker


class TestBroker:
    def test_grants_the_burst_then_says_when_to_ask_again(self):
        broker = first_broker(NO_DEBT)
        assert broker.grant(ACCOUNT, 40_000.0, 1.0).amount == 40_000.0
        refused = broker.grant(ACCOUNT, 20_000.0, 1.0)
        assert refused.amount == 0.0
        assert refused.wait == pytest.approx(0.5)
        assert refused.shortfall == pytest.approx(20_000.0)
        assert broker.grant(ACCOUNT, 20_000.0, 1.001 + refused.wait).amount == 20_000.0

    def test_starts_with_the_debt_that_another_granter_may_have_left(self):
        broker = QuotaBroker(BOUNDS, NO_DEBT)
        broker.refresh((ACCOUNT,), 5.0)
        earned_at = 5.0 + DEBT / ACCOUNT.rate
        assert broker.grant(ACCOUNT, 1000.0, earned_at).amount == 0.0
        assert broker.grant(ACCOUNT, 1000.0, earned_at + 0.026).amount == 1000.0

    def test_request_larger_than_the_capacity_gets_no_wait(self):
        assert first_broker(NO_DEBT).grant(ACCOUNT, 40_001.0, 1.0).wait is None
        assert first_broker().grant(ACCOUNT, 40_000.0 + DEBT, 1.0).wait is None
        assert first_broker().grant(ACCOUNT, 40_000.0 + DEBT * 0.79, 1.0).amount > 0.0

    def test_nothing_in_advance_near_the_limit(self):
        broker = first_broker()
        assert broker.advance(ACCOUNT, 5000.0, 0.0, 1.0) == 2500.0
        assert broker.advance(ACCOUNT, 5000.0, 2500.0, 1.0) == 0.0
        broker.grant(ACCOUNT, 30_000.0, 1.0)
        assert broker.advance(ACCOUNT, 5000.0, 0.0, 1.0) == 0.0

    def test_advances_are_bounded_and_part_of_the_burst(self):
        broker = first_broker(NO_DEBT)
        given = sum(broker.advance(ACCOUNT, 40_000.0, 0.0, 1.0) for _ in range(50))
        assert given == pytest.approx(BOUNDS.in_advance(ACCOUNT))
        later = 1.0 + ADVANCE_TTL_S * 0.99
        assert broker.grant(ACCOUNT, 40_000.0 - given + 1.0, later).amount == 0.0
        assert broker.grant(ACCOUNT, 40_000.0 - given - 1.0, later).amount > 0.0

    def test_lowered_limit_applies_at_once(self):
        broker = first_broker(NO_DEBT)
        lower = ACCOUNT._replace(rate=4000.0, burst=4000.0)
        broker.grant(ACCOUNT, 1.0, 1.0)
        assert broker.grant(lower, 4001.0, 1.0).amount == 0.0
        assert broker.grant(lower, 4000.0, 1.0).amount == 4000.0
        assert broker.grant(lower, 1000.0, 1.0).amount == 0.0

    def test_overloaded_account_gets_its_limit(self):
        broker, rng = first_broker(), random.Random(3)
        admitted, now = [], 100.0
        while now < 140.0:
            now += rng.expovariate(40.0)
            need = min(55_000.0, rng.lognormvariate(8.7, 1.0))
            if broker.grant(ACCOUNT, need, now).amount:
                admitted.append((now, need))
        steady = [n for at, n in admitted if at > 110.0]
        assert sum(steady) == pytest.approx(ACCOUNT.rate * 30.0, rel=0.05)
        assert max_in_window(admitted) <= BOUNDS.limit(ACCOUNT) + DEBT


class TestShares:
    def test_rate_and_burst_are_proportional_to_the_share(self):
        share = FakeShare(0.5)
        broker = QuotaBroker(BOUNDS, NO_DEBT, share)
        broker.refresh((ACCOUNT,), 1.0)
        broker.refresh((ACCOUNT,), 100.0)
        assert broker.grant(ACCOUNT, 20_001.0, 100.0).amount == 0.0
        assert broker.grant(ACCOUNT, 20_000.0, 100.0).amount == 20_000.0
        assert broker.grant(ACCOUNT, 10_001.0, 100.5).amount == 0.0
        assert broker.grant(ACCOUNT, 10_000.0, 100.5).amount == 10_000.0

    def test_lost_share_takes_its_part_of_the_level(self):
        share = FakeShare()
        broker = first_broker(NO_DEBT, share)
        broker.refresh((ACCOUNT,), 1.0)
        share.now = 0.25
        assert broker.grant(ACCOUNT, 10_001.0, 1.0).amount == 0.0
        share.now = 0.0
        assert broker.grant(ACCOUNT, 1.0, 1.0).amount == 0.0

    def test_gained_share_starts_with_debt(self):
        share = FakeShare(0.5)
        broker = first_broker(NO_DEBT, share)
        broker.refresh((ACCOUNT,), 1.0)
        share.now = 1.0
        broker.refresh((ACCOUNT,), 1.0)
        got = broker.grant(ACCOUNT, 20_000.0, 1.0)
        assert got.shortfall == pytest.approx(DEBT / 2)

    def test_part_that_an_unknown_standby_may_hold_is_not_granted(self):
        broker = first_broker(NO_DEBT)
        broker.has_unknown_standby = lambda now: now < 5.0
        most = ACCOUNT.burst - BOUNDS.standby_burst(ACCOUNT)
        assert broker.grant(ACCOUNT, most + 1.0, 1.0).amount == 0.0
        assert broker.grant(ACCOUNT, ACCOUNT.burst, 6.0).amount == ACCOUNT.burst


class TestStandby:
    def test_gets_its_maximum_and_no_more(self):
        broker = first_broker(NO_DEBT)
        balance, now = 0.0, 1.0
        for _ in range(40):
            balance += broker.grant_standby(ACCOUNT, balance, now)
            now += 0.5
        most = BOUNDS.standby(ACCOUNT) + BOUNDS.standby_burst(ACCOUNT)
        assert balance == pytest.approx(most)
        # The lease holder has the part of the burst that the standby doesn't hold.
        left = ACCOUNT.burst - BOUNDS.standby_burst(ACCOUNT)
        assert broker.grant(ACCOUNT, left + 1.0, now).amount == 0.0
        assert broker.grant(ACCOUNT, left - 1.0, now).amount > 0.0

    def test_gets_nothing_of_an_account_near_its_limit(self):
        broker = first_broker(NO_DEBT)
        broker.grant(ACCOUNT, 25_000.0, 1.0)
        assert broker.grant_standby(ACCOUNT, 0.0, 1.0) == 0.0


class TestNearTheLimit:
    def broker(self, **config):
        broker = first_broker(QuotaConfig(**config))
        broker.grant(ACCOUNT, ACCOUNT.burst - 1000.0, 1.0)
        return broker

    def test_large_requests_are_granted_on_debt_like_small_ones(self):
        need = DEBT * 0.8
        assert self.broker().grant(ACCOUNT, need, 1.0).amount == need
        assert self.broker(overdraft=0.0).grant(ACCOUNT, need, 1.0).amount == 0.0

    def test_debt_is_earned_before_the_next_grant(self):
        broker = self.broker()
        broker.grant(ACCOUNT, 20_000.0, 1.0)
        refused = broker.grant(ACCOUNT, 8000.0, 1.0)
        assert refused.amount == 0.0
        assert refused.wait == pytest.approx(19_000.0 / ACCOUNT.rate)
        assert broker.grant(ACCOUNT, 8000.0, 1.01 + refused.wait).amount == 8000.0

    def test_small_requests_are_granted_during_debt_up_to_a_bound(self):
        broker = self.broker()
        broker.grant(ACCOUNT, 20_000.0, 1.0)
        assert broker.grant(ACCOUNT, 200.0, 1.2).amount == 200.0
        granted = sum(broker.grant(ACCOUNT, 200.0, 1.2).amount for _ in range(1000))
        assert granted <= 0.05 * ACCOUNT.burst

    def test_debt_is_bounded(self):
        broker = first_broker()
        admitted = sum(
            broker.grant(ACCOUNT, need, 1.0).amount
            for need in [200.0, 9000.0, 30_000.0] * 200
        )
        assert admitted <= ACCOUNT.burst + DEBT

    def test_config_comes_from_settings(self):
        cfg = PolicySettings(quota_overdraft=0.25, quota_small=0.0)
        assert QuotaConfig.from_config(cfg).overdraft == 0.25
        assert QuotaConfig.from_config(cfg).small == 0.0


class TestAllRelays:
    def run(self, seed, demand, takeovers=()):
        """Nine relays send at random; return the most admitted in a window."""
        rng = random.Random(seed)
        broker = first_broker()
        relays = [Balances() for _ in range(9)]
        admitted = []
        left = list(takeovers)
        now = 100.0
        while now < 130.0:
            now += rng.expovariate(demand / 9000.0)
            if left and now >= left[0]:
                left.pop(0)
                broker = QuotaBroker(BOUNDS)
            broker.refresh((ACCOUNT,), now)
            local = rng.choice(relays)
            need = rng.uniform(500.0, 17_500.0)
            local.add("acme", broker.advance(ACCOUNT, demand / 9, 0.0, now), now)
            if not local.take("acme", need, now):
                if broker.grant(ACCOUNT, need, now).amount < need:
                    continue
            admitted.append((now, need))
        return max_in_window(admitted)

    def test_sum_stays_within_the_limit_under_overload(self):
        for seed in range(5):
            assert self.run(seed, demand=400_000.0) <= allowed()

    def test_sum_stays_within_the_limit_when_coordinators_change_often(self):
        for seed in range(5):
            for gap in (0.5, 1.5, 4.0):
                takeovers = [105.0 + gap * number for number in range(8)]
                assert self.run(seed, 400_000.0, takeovers) <= allowed()


class TestBalances:
    def test_unused_amount_expires(self):
        local = Balances(ttl=4.0)
        local.add("acme", 1000.0, 10.0)
        assert local.take("acme", 400.0, 13.0)
        assert not local.take("acme", 400.0, 14.1)

    def test_each_amount_expires_separately(self):
        local = Balances(ttl=4.0)
        local.add("acme", 1000.0, 10.0)
        local.add("acme", 500.0, 12.0)
        assert local.take("acme", 1200.0, 13.0)
        assert local.left("acme", 14.1) == 300.0
        assert local.left("acme", 16.1) == 0.0

    def test_unused_amount_may_be_extended(self):
        local = Balances(ttl=4.0)
        local.add("acme", 1000.0, 10.0)
        local.extend(13.0)
        assert local.left("acme", 16.9) == 1000.0
        assert local.left("acme", 17.1) == 0.0
