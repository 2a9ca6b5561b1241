import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonydeal._internal.benchmarks.routing.limits_run import LimitRun, LimitScenario
from ebonydeal._internal.routing.limits.account_limits import AccountLimits
from ebonydeal._internal.routing.limits.demand import (
    Demand,
    DemandReport,
    RateMeter,
    fair_share,
    whole_shares,
)
from ebonydeal._internal.settings.routing import AdmissionSettings
from tests.unit.routing.helpers import NOW, make_account

demand = st.floats(0.0, 1e6)


def make_limits(**limits) -> AccountLimits:
    made = AccountLimits.from_config(AdmissionSettings(), "gw-1")
    account = make_account(**limits)
    made.configure({account.name: account})
    return made


class TestShares:
    @given(st.lists(demand, min_size=1, max_size=12), st.floats(0.0, 1.0))
    def test_shares_add_up_to_one(self, demands, floor):
        shares = [
            fair_share(own, demands[:i] + demands[i + 1 :], floor)
            for i, own in enumerate(demands)
        ]
        assert sum(shares) == pytest.approx(1.0)
        assert min(shares) >= floor / len(demands) - 1e-9

    @given(
        st.integers(0, 500),
        st.dictionaries(st.sampled_from("abcdefghi"), demand, min_size=1),
    )
    def test_whole_shares_add_up_to_the_limit(self, total, demands):
        split = whole_shares(total, demands)
        assert sum(split.values()) == total
        assert min(split.values()) >= 0


class TestRateMeter:
    def test_steady_rate_is_measured(self):
        meter = RateMeter(2.0)
        for step in range(400):
            meter.add(1.0, NOW + step * 0.1)
        assert meter.rate(NOW + 40.0) == pytest.approx(10.0, rel=0.05)


class TestDemandReport:
    def test_round_trip(self):
        report = DemandReport("gw", 3, {"desk": Demand(1.0, 2.0, 3.0, 4.0)})
        assert DemandReport.from_message(report.to_message()) == report

    @pytest.mark.parametrize("value", [float("nan"), float("inf"), -1.0])
    def test_invalid_amounts_are_rejected(self, value):
        message = {"gateway": "g", "seq": 1, "demands": {"desk": [value, 0, 0, 0]}}
        with pytest.raises(ValueError, match="not a finite amount"):
            DemandReport.from_message(message)


class TestTake:
    def test_concurrency_is_limited_and_released(self):
        limits = make_limits(concurrency=2)
        taken = [limits.take("desk", 10.0, NOW) for _ in range(3)]
        assert taken[:2] == [None, None]
        assert taken[2].limit == "concurrency"
        limits.settle("desk", 10.0, 10.0, NOW)
        assert limits.take("desk", 10.0, NOW) is None

    def test_unused_tokens_are_refunded(self):
        limits = make_limits(tokens_per_s=100.0)
        assert limits.take("desk", 100.0, NOW) is None
        assert limits.take("desk", 50.0, NOW).limit == "tokens_per_s"
        limits.settle("desk", 100.0, 50.0, NOW)
        assert limits.take("desk", 50.0, NOW) is None

    def test_request_larger_than_the_bucket_is_admitted_when_full(self):
        limits = make_limits(tokens_per_s=100.0)
        assert limits.take("desk", 1000.0, NOW) is None
        over = limits.take("desk", 1.0, NOW)
        assert over.retry_after == pytest.approx(9.01)

    def test_older_report_is_ignored(self):
        limits = make_limits(concurrency=10)
        new = DemandReport("gw-2", 5, {"desk": Demand(0, 0, 90.0, 5.0)})
        old = DemandReport("gw-2", 4, {"desk": Demand(0, 0, 0.0, 0.0)})
        limits.merge_report(new, NOW)
        limits.merge_report(old, NOW)
        taken = [limits.take("desk", 1.0, NOW) for _ in range(6)]
        assert taken.count(None) < 5

    def test_silent_but_listed_gateway_keeps_its_share(self):
        for listed, most in ((frozenset({"gw-2"}), 5), (frozenset(), 10)):
            limits = make_limits(concurrency=10)
            limits.take("desk", 1.0, NOW)
            report = DemandReport("gw-2", 5, {"desk": Demand(0, 0, 1.0, 1.0)})
            limits.merge_report(report, NOW)
            limits.set_listed_gateways(listed)
            taken = [limits.take("desk", 1.0, NOW + 6.0) for _ in range(10)]
            assert taken.count(None) == most - 1


class TestTotal:
    @pytest.mark.parametrize("limit", ["requests_per_s", "tokens_per_s"])
    def test_within_a_tenth_when_the_largest_gateway_is_killed(self, limit):
        story = LimitScenario("killed", limit, seconds=60, kill_at=30.0)
        outcome = LimitRun(story, AdmissionSettings(), 1).run()
        assert 0.9 <= outcome.mean <= 1.1
        assert outcome.worst_high <= 1.1
        assert 0.9 <= outcome.last <= 1.1

    def test_partitioned_peers_do_not_double_the_limit(self):
        story = LimitScenario(
            "split", "requests_per_s", 60, split_at=20.0, heal_at=50.0
        )
        outcome = LimitRun(story, AdmissionSettings(), 1).run()
        assert outcome.worst_high <= 1.1


class TestMemory:
    def test_replaced_gateways_are_evicted(self):
        limits = make_limits(concurrency=10)
        for number in range(50):
            report = DemandReport(f"gw-{number + 2}", 1, {"desk": Demand(0, 0, 1, 1)})
            limits.merge_report(report, NOW + 60.0 * number)
        assert len(limits._peer_reports) == 3
