"""Grants of one granter, of all shares or of a part of them."""

import random

import pytest

from ebonydeal._internal.models.forwarding import ForwardAccount
from ebonydeal._internal.routing.limits.quota_bounds import QuotaBounds
from ebonydeal._internal.routing.limits.quota_broker import (
    ADVANCE_TTL_S,
    Balances,
    QuotaBroker,
    QuotaPolicy,
)
from ebonydeal._internal.settings.policy import PolicySettings

BOUNDS = QuotaBounds(window=8.0, overshoot=0.1, slack=110_000.0)
ACCOUNT = ForwardAccount("acme", (), None, 40_000.0, 40_000.0, True, 200.0)
DEBT = BOUNDS.debt(ACCOUNT)

# Each request must be saved up whole.
SAVED = QuotaPolicy(overdraft=0.0, small=0.0)


def allowed(account=ACCOUNT):
    """The most that may be admitted in any window, as the operator says."""
    return BOUNDS.limit(account) + BOUNDS.tolerance(account)


def most_in_a_window(admitted):
    """Return the most of (time, amount) pairs in any window."""
    return max(
        sum(n for at, n in admitted if start <= at <= start + BOUNDS.window)
        for start, _n in admitted
    )


class Share:
    """A share that changes."""

    def __init__(self, now=1.0):
        self.now = now

    def __call__(self, _now):
        return self.now


def full(terms=None, share=None):
    """Return the broker of the very first holder."""
    broker = QuotaBroker(BOUNDS, terms, share or Share())
    broker.starts_full = True
    return broker


class TestBroker:
    def test_grants_within_the_burst_then_says_when(self):
        broker = full(SAVED)
        assert broker.grant(ACCOUNT, 40_000.0, 1.0).amount == 40_000.0
        refused = broker.grant(ACCOUNT, 20_000.0, 1.0)
        assert refused.amount == 0.0
        assert refused.wait == pytest.approx(0.5)
        assert refused.shortfall == pytest.approx(20_000.0)
        assert broker.grant(ACCOUNT, 20_000.0, 1.001 + refused.wait).amount == 20_000.0

    def test_begins_with_the_debt_that_another_may_have_left(self):
        broker = QuotaBroker(BOUNDS, SAVED)
        broker.refresh((ACCOUNT,), 5.0)
        earned_at = 5.0 + DEBT / ACCOUNT.rate
        assert broker.grant(ACCOUNT, 1000.0, earned_at).amount == 0.0
        assert broker.grant(ACCOUNT, 1000.0, earned_at + 0.026).amount == 1000.0

    def test_what_no_wait_helps_is_told_so(self):
        assert full(SAVED).grant(ACCOUNT, 40_001.0, 1.0).wait is None
        assert full().grant(ACCOUNT, 40_000.0 + DEBT, 1.0).wait is None
        assert full().grant(ACCOUNT, 40_000.0 + DEBT * 0.79, 1.0).amount > 0.0

    def test_nothing_in_advance_near_the_limit(self):
        broker = full()
        assert broker.advance(ACCOUNT, 5000.0, 0.0, 1.0) == 2500.0
        assert broker.advance(ACCOUNT, 5000.0, 2500.0, 1.0) == 0.0
        broker.grant(ACCOUNT, 30_000.0, 1.0)
        assert broker.advance(ACCOUNT, 5000.0, 0.0, 1.0) == 0.0

    def test_what_lies_in_advance_is_bounded_and_is_a_part_of_the_burst(self):
        broker = full(SAVED)
        given = sum(broker.advance(ACCOUNT, 40_000.0, 0.0, 1.0) for _ in range(50))
        assert given == pytest.approx(BOUNDS.in_advance(ACCOUNT))
        later = 1.0 + ADVANCE_TTL_S * 0.99
        assert broker.grant(ACCOUNT, 40_000.0 - given + 1.0, later).amount == 0.0
        assert broker.grant(ACCOUNT, 40_000.0 - given - 1.0, later).amount > 0.0

    def test_a_lower_limit_binds_at_once(self):
        broker = full(SAVED)
        lower = ACCOUNT._replace(rate=4000.0, burst=4000.0)
        broker.grant(ACCOUNT, 1.0, 1.0)
        assert broker.grant(lower, 4001.0, 1.0).amount == 0.0
        assert broker.grant(lower, 4000.0, 1.0).amount == 4000.0
        assert broker.grant(lower, 1000.0, 1.0).amount == 0.0

    def test_an_account_that_asks_for_more_gets_its_limit(self):
        broker, rng = full(), random.Random(3)
        admitted, now = [], 100.0
        while now < 140.0:
            now += rng.expovariate(40.0)
            need = min(55_000.0, rng.lognormvariate(8.7, 1.0))
            if broker.grant(ACCOUNT, need, now).amount:
                admitted.append((now, need))
        calm = [n for at, n in admitted if at > 110.0]
        assert sum(calm) == pytest.approx(ACCOUNT.rate * 30.0, rel=0.05)
        assert most_in_a_window(admitted) <= BOUNDS.limit(ACCOUNT) + DEBT


class TestShares:
    def test_a_share_has_its_part_of_rate_and_burst(self):
        share = Share(0.5)
        broker = QuotaBroker(BOUNDS, SAVED, share)
        broker.refresh((ACCOUNT,), 1.0)
        broker.refresh((ACCOUNT,), 100.0)
        assert broker.grant(ACCOUNT, 20_001.0, 100.0).amount == 0.0
        assert broker.grant(ACCOUNT, 20_000.0, 100.0).amount == 20_000.0
        assert broker.grant(ACCOUNT, 10_001.0, 100.5).amount == 0.0
        assert broker.grant(ACCOUNT, 10_000.0, 100.5).amount == 10_000.0

    def test_a_share_that_goes_takes_its_part_along(self):
        share = Share()
        broker = full(SAVED, share)
        broker.refresh((ACCOUNT,), 1.0)
        share.now = 0.25
        assert broker.grant(ACCOUNT, 10_001.0, 1.0).amount == 0.0
        share.now = 0.0
        assert broker.grant(ACCOUNT, 1.0, 1.0).amount == 0.0

    def test_one_that_comes_brings_nothing_but_debt(self):
        share = Share(0.5)
        broker = full(SAVED, share)
        broker.refresh((ACCOUNT,), 1.0)
        share.now = 1.0
        broker.refresh((ACCOUNT,), 1.0)
        got = broker.grant(ACCOUNT, 20_000.0, 1.0)
        assert got.shortfall == pytest.approx(DEBT / 2)

    def test_a_part_that_may_lie_with_a_stand_in_is_left_out(self):
        broker = full(SAVED)
        broker.has_unknown_standby = lambda now: now < 5.0
        most = ACCOUNT.burst - BOUNDS.standby_burst(ACCOUNT)
        assert broker.grant(ACCOUNT, most + 1.0, 1.0).amount == 0.0
        assert broker.grant(ACCOUNT, ACCOUNT.burst, 6.0).amount == ACCOUNT.burst


class TestStandIn:
    def test_gets_its_most_and_no_more(self):
        broker = full(SAVED)
        has, now = 0.0, 1.0
        for _ in range(40):
            has += broker.grant_standby(ACCOUNT, has, now)
            now += 0.5
        most = BOUNDS.standby(ACCOUNT) + BOUNDS.standby_burst(ACCOUNT)
        assert has == pytest.approx(most)
        # Of a burst the holder has what the stand-in hasn't.
        left = ACCOUNT.burst - BOUNDS.standby_burst(ACCOUNT)
        assert broker.grant(ACCOUNT, left + 1.0, now).amount == 0.0
        assert broker.grant(ACCOUNT, left - 1.0, now).amount > 0.0

    def test_gets_nothing_of_an_account_near_its_limit(self):
        broker = full(SAVED)
        broker.grant(ACCOUNT, 25_000.0, 1.0)
        assert broker.grant_standby(ACCOUNT, 0.0, 1.0) == 0.0


class TestNearTheLimit:
    def broker(self, **terms):
        broker = full(QuotaPolicy(**terms))
        broker.grant(ACCOUNT, ACCOUNT.burst - 1000.0, 1.0)
        return broker

    def test_large_requests_pass_like_small_ones(self):
        need = DEBT * 0.8
        assert self.broker().grant(ACCOUNT, need, 1.0).amount == need
        assert self.broker(overdraft=0.0).grant(ACCOUNT, need, 1.0).amount == 0.0

    def test_what_was_overdrawn_is_earned_first(self):
        broker = self.broker()
        broker.grant(ACCOUNT, 20_000.0, 1.0)
        refused = broker.grant(ACCOUNT, 8000.0, 1.0)
        assert refused.amount == 0.0
        assert refused.wait == pytest.approx(19_000.0 / ACCOUNT.rate)
        assert broker.grant(ACCOUNT, 8000.0, 1.01 + refused.wait).amount == 8000.0

    def test_small_ones_pass_meanwhile_but_not_without_end(self):
        broker = self.broker()
        broker.grant(ACCOUNT, 20_000.0, 1.0)
        assert broker.grant(ACCOUNT, 200.0, 1.2).amount == 200.0
        passed = sum(broker.grant(ACCOUNT, 200.0, 1.2).amount for _ in range(1000))
        assert passed <= 0.05 * ACCOUNT.burst

    def test_debts_are_bounded(self):
        broker = full()
        admitted = sum(
            broker.grant(ACCOUNT, need, 1.0).amount
            for need in [200.0, 9000.0, 30_000.0] * 200
        )
        assert admitted <= ACCOUNT.burst + DEBT

    def test_terms_come_from_settings(self):
        cfg = PolicySettings(quota_overdraft=0.25, quota_small=0.0)
        assert QuotaPolicy.from_config(cfg).overdraft == 0.25
        assert QuotaPolicy.from_config(cfg).small == 0.0


class TestAllRelays:
    def play(self, seed, demand, takeovers=()):
        """Nine relays ask at random; return the most admitted in a window."""
        rng = random.Random(seed)
        broker = full()
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
        return most_in_a_window(admitted)

    def test_the_sum_stays_within_the_limit_under_any_demand(self):
        for seed in range(5):
            assert self.play(seed, demand=400_000.0) <= allowed()

    def test_also_when_the_coordinator_changes_again_and_again(self):
        for seed in range(5):
            for gap in (0.5, 1.5, 4.0):
                takeovers = [105.0 + gap * number for number in range(8)]
                assert self.play(seed, 400_000.0, takeovers) <= allowed()


class TestBalances:
    def test_an_unused_amount_lapses(self):
        local = Balances(ttl=4.0)
        local.add("acme", 1000.0, 10.0)
        assert local.take("acme", 400.0, 13.0)
        assert not local.take("acme", 400.0, 14.1)

    def test_each_lapses_by_itself(self):
        local = Balances(ttl=4.0)
        local.add("acme", 1000.0, 10.0)
        local.add("acme", 500.0, 12.0)
        assert local.take("acme", 1200.0, 13.0)
        assert local.left("acme", 14.1) == 300.0
        assert local.left("acme", 16.1) == 0.0

    def test_one_may_be_kept_longer(self):
        local = Balances(ttl=4.0)
        local.add("acme", 1000.0, 10.0)
        local.extend(13.0)
        assert local.left("acme", 16.9) == 1000.0
        assert local.left("acme", 17.1) == 0.0
