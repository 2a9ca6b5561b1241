import random

from ebonydeal._internal.models.forwarding import ForwardAccount
from ebonydeal._internal.routing.limits.quota_broker import (
    LocalQuota,
    QuotaBounds,
    QuotaBroker,
    QuotaTerms,
)
from ebonydeal._internal.settings.policy import PolicySettings

BOUNDS = QuotaBounds(window=8.0, overshoot=0.1, slack=110_000.0)
ACCOUNT = ForwardAccount("acme", (), None, 40_000.0, 40_000.0, True, 200.0)

# Each request must be saved up whole.
SAVED = QuotaTerms(overdraft=0.0, small=0.0)


def allowed(account=ACCOUNT):
    """The most that may be admitted in any window, as the operator says."""
    limit = account.rate * BOUNDS.window + account.burst
    return limit * (1 + BOUNDS.overshoot) + BOUNDS.slack


def most_in_a_window(admitted):
    """Return the most of (time, amount) pairs in any window."""
    return max(
        sum(n for at, n in admitted if start <= at <= start + BOUNDS.window)
        for start, _n in admitted
    )


class TestBounds:
    def test_a_window_holds_the_rate_the_burst_and_a_part_of_what_is_tolerated(self):
        most = BOUNDS.rate(ACCOUNT) * BOUNDS.window + BOUNDS.burst(ACCOUNT)
        limit = ACCOUNT.rate * BOUNDS.window + ACCOUNT.burst
        assert limit < most < limit + (allowed() - limit) * 0.5

    def test_requests_have_no_slack_in_tokens(self):
        plain = ACCOUNT._replace(in_tokens=False)
        assert BOUNDS.rate(plain) < BOUNDS.rate(ACCOUNT)
        assert BOUNDS.burst(plain) < BOUNDS.burst(ACCOUNT)


class TestBroker:
    def test_grants_within_the_burst_then_says_when(self):
        broker = QuotaBroker(BOUNDS, SAVED)
        broker.begin(fresh=True)
        burst = BOUNDS.burst(ACCOUNT)
        assert broker.grant(ACCOUNT, burst, 1.0).amount == burst
        refused = broker.grant(ACCOUNT, 20_000.0, 1.0)
        assert refused.amount == 0.0
        assert refused.wait == 20_000.0 / BOUNDS.rate(ACCOUNT)
        assert broker.grant(ACCOUNT, 20_000.0, 1.001 + refused.wait).amount == 20_000.0
        assert 0.4 < refused.wait < 0.5

    def test_after_another_coordinator_starts_empty(self):
        broker = QuotaBroker(BOUNDS)
        broker.begin(fresh=False)
        assert broker.grant(ACCOUNT, 1000.0, 5.0).amount == 0.0
        assert broker.grant(ACCOUNT, 1000.0, 5.1).amount == 1000.0

    def test_a_request_larger_than_the_bucket_passes_when_it_is_full(self):
        broker = QuotaBroker(BOUNDS, SAVED)
        broker.begin(fresh=True)
        huge = 10 * BOUNDS.burst(ACCOUNT)
        assert broker.grant(ACCOUNT, huge, 1.0).amount == huge

    def test_nothing_in_advance_near_the_limit(self):
        broker = QuotaBroker(BOUNDS)
        broker.begin(fresh=True)
        assert broker.advance(ACCOUNT, 5000.0, 0.0, 1.0) == 2500.0
        assert broker.advance(ACCOUNT, 5000.0, 2500.0, 1.0) == 0.0
        broker.grant(ACCOUNT, BOUNDS.burst(ACCOUNT) - 10_000.0, 1.0)
        assert broker.advance(ACCOUNT, 5000.0, 0.0, 1.0) == 0.0

    def test_a_lower_limit_binds_at_once(self):
        broker = QuotaBroker(BOUNDS)
        broker.begin(fresh=True)
        lower = ACCOUNT._replace(rate=4000.0, burst=4000.0)
        broker.grant(ACCOUNT, 1.0, 1.0)
        assert broker.grant(lower, BOUNDS.burst(lower) + 1.0, 1.0).amount > 0.0
        assert broker.grant(lower, 1000.0, 1.0).amount == 0.0


class TestRelaysCutOff:
    def test_those_alone_and_those_heard_stay_within_the_limit_together(self):
        broker = QuotaBroker(BOUNDS)
        broker.begin(fresh=True)
        broker.part = 6 / 9
        alone = [LocalQuota() for _ in range(3)]
        rng = random.Random(4)
        admitted = []
        now = 100.0
        while now < 125.0:
            now += 0.02
            need = rng.uniform(500.0, 17_500.0)
            if rng.random() < 6 / 9:
                passes = broker.grant(ACCOUNT, need, now).amount >= need
            else:
                local = rng.choice(alone)
                passes = local.take_alone(ACCOUNT, need, 9, now) == 0.0
            if passes:
                admitted.append((now, need))
        assert most_in_a_window(admitted) <= allowed()

    def test_a_smaller_part_fills_slower(self):
        broker = QuotaBroker(BOUNDS, SAVED)
        broker.begin(fresh=False)
        broker.part = 0.5
        broker.grant(ACCOUNT, 1.0, 10.0)
        assert broker.grant(ACCOUNT, 30_000.0, 11.0).amount == 0.0
        assert broker.grant(ACCOUNT, 30_000.0, 11.6).amount == 30_000.0


class TestNearTheLimit:
    def broker(self, **terms):
        broker = QuotaBroker(BOUNDS, QuotaTerms(**terms))
        broker.begin(fresh=True)
        broker.grant(ACCOUNT, BOUNDS.burst(ACCOUNT) - 1000.0, 1.0)
        return broker

    def test_large_requests_pass_like_small_ones(self):
        assert self.broker().grant(ACCOUNT, 50_000.0, 1.0).amount == 50_000.0
        assert self.broker(overdraft=0.0).grant(ACCOUNT, 50_000.0, 1.0).amount == 0.0

    def test_what_was_overdrawn_is_earned_first(self):
        broker = self.broker()
        broker.grant(ACCOUNT, 50_000.0, 1.0)
        refused = broker.grant(ACCOUNT, 8000.0, 1.0)
        assert refused.amount == 0.0
        assert refused.wait == 49_000.0 / BOUNDS.rate(ACCOUNT)
        assert broker.grant(ACCOUNT, 8000.0, 1.01 + refused.wait).amount == 8000.0

    def test_small_ones_pass_meanwhile_but_not_without_end(self):
        broker = self.broker()
        broker.grant(ACCOUNT, 50_000.0, 1.0)
        assert broker.grant(ACCOUNT, 200.0, 1.2).amount == 200.0
        passed = sum(broker.grant(ACCOUNT, 200.0, 1.2).amount for _ in range(1000))
        assert passed <= 0.05 * BOUNDS.burst(ACCOUNT)

    def test_terms_come_from_settings(self):
        cfg = PolicySettings(quota_overdraft=0.25, quota_small=0.0)
        assert QuotaTerms.from_config(cfg).overdraft == 0.25
        assert QuotaTerms.from_config(cfg).small == 0.0


class TestAllRelays:
    def play(self, seed, demand, takeover=False):
        """Nine relays ask at random; return the most admitted in a window."""
        rng = random.Random(seed)
        broker = QuotaBroker(BOUNDS)
        broker.begin(fresh=True)
        relays = [LocalQuota() for _ in range(9)]
        admitted = []
        now = 100.0
        while now < 130.0:
            now += rng.expovariate(demand / 9000.0)
            if takeover and now >= 110.0:
                takeover = False
                broker = QuotaBroker(BOUNDS)
                broker.begin(fresh=False)
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

    def test_also_when_the_coordinator_changes(self):
        for seed in range(5):
            assert self.play(seed, demand=400_000.0, takeover=True) <= allowed()


class TestRestart:
    def play(self, seed, down, alone):
        """All relays are killed at 110 s; return the most admitted in a window.

        They are back after ``down`` seconds, and go on without a coordinator
        for ``alone`` seconds more.
        """
        rng = random.Random(seed)
        broker = QuotaBroker(BOUNDS)
        broker.begin(fresh=True)
        relays = None
        admitted = []
        now = 100.0
        while now < 125.0:
            now += rng.expovariate(60.0)
            need = min(55_000.0, rng.lognormvariate(8.7, 1.0))
            if now < 110.0:
                passes = broker.grant(ACCOUNT, need, now).amount >= need
            elif now < 110.0 + down:
                continue
            elif now < 110.0 + down + alone:
                relays = relays or [LocalQuota() for _ in range(9)]
                passes = rng.choice(relays).take_alone(ACCOUNT, need, 9, now) == 0.0
            else:
                if relays is not None:
                    relays = None
                    broker = QuotaBroker(BOUNDS)
                    broker.begin(fresh=False)
                passes = broker.grant(ACCOUNT, need, now).amount >= need
            if passes:
                admitted.append((now, need))
        return most_in_a_window(admitted)

    def test_relays_that_know_nothing_of_before_stay_within_the_limit(self):
        for seed in range(40):
            assert self.play(seed, down=1.0, alone=3.0) <= allowed()


class TestCoordinatorCutOff:
    """A coordinator that keeps its lease, and that no other relay reaches."""

    RICH = ForwardAccount("acme", (), None, 123_000.0, 123_000.0, True, 200.0)

    def play(self, seed):
        """Return the most admitted in a window, from relays that all go on alone."""
        rng = random.Random(seed)
        broker = QuotaBroker(BOUNDS)
        broker.begin(fresh=True)
        broker.part = 1.0 / 9.0
        relays = [LocalQuota() for _ in range(9)]
        admitted = []
        now = 100.0
        while now < 110.0:
            now += rng.expovariate(500.0)
            kinds, weights = [9000.0, 2300.0, 700.0, 200.0], [43, 30, 15, 31]
            need = rng.choices(kinds, weights)[0]
            if need > 200.0:
                need *= rng.uniform(0.5, 1.5)
            relay = rng.randrange(9)
            if relay == 0:
                passes = broker.grant(self.RICH, need, now).amount >= need
            else:
                passes = relays[relay].take_alone(self.RICH, need, 9, now) == 0.0
            if passes:
                admitted.append((now, need))
        return most_in_a_window(admitted)

    def test_the_sum_stays_within_the_limit(self):
        for seed in range(3):
            assert self.play(seed) <= allowed(self.RICH)


class TestAlone:
    def test_relays_that_hear_nobody_share_the_rate_evenly(self):
        relays = [LocalQuota() for _ in range(9)]
        rng = random.Random(1)
        admitted = []
        now = 100.0
        while now < 120.0:
            now += 0.01
            need = rng.uniform(500.0, 17_500.0)
            if rng.choice(relays).take_alone(ACCOUNT, need, 9, now) == 0.0:
                admitted.append((now, need))
        assert most_in_a_window(admitted) <= allowed()

    def test_tells_when_to_come_back(self):
        local = LocalQuota()
        assert local.take_alone(ACCOUNT, 50_000.0, 1, 10.0) == 0.0
        assert local.take_alone(ACCOUNT, 1000.0, 1, 10.0) > 0.0

    def test_an_unused_balance_lapses(self):
        local = LocalQuota(keep=4.0)
        local.add("acme", 1000.0, 10.0)
        assert local.take("acme", 400.0, 13.0)
        assert not local.take("acme", 400.0, 14.1)
