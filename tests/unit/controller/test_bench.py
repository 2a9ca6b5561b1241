import pytest

from ebonydeal._internal.benchmarks.spend.compare import CEILING
from ebonydeal._internal.benchmarks.spend.policies import (
    CheapestFirst,
    ControllerPolicy,
)
from ebonydeal._internal.benchmarks.spend.repair import measure_zone_loss
from ebonydeal._internal.benchmarks.spend.simulate import simulate
from ebonydeal._internal.benchmarks.spend.traces import TRACE_KINDS, make_trace
from ebonydeal._internal.controller.deadline import PriceRule


class TestBench:
    def test_trace_depends_only_on_the_seed(self):
        assert make_trace(3, days=1) == make_trace(3, days=1)
        assert make_trace(3, days=1) != make_trace(4, days=1)

    @pytest.mark.parametrize("kind", TRACE_KINDS, ids=lambda item: item.name)
    def test_deadlines_and_ceiling_hold_at_near_optimal_cost(self, kind):
        hindsight = pytest.importorskip(
            "ebonydeal._internal.benchmarks.spend.hindsight", exc_type=ImportError
        )
        trace = make_trace(2, kind, days=1)
        found = simulate(trace, ControllerPolicy(PriceRule.QUANTILE, CEILING), CEILING)
        assert (found.met, found.over_ceiling) == (found.jobs, 0)
        assert found.shortfall_share < 0.005
        bound = hindsight.hindsight_cost(trace, CEILING)
        assert bound < found.cost < 1.25 * bound
        cheap = simulate(trace, CheapestFirst(), CEILING)
        assert cheap.shortfall_share > 5 * found.shortfall_share

    @pytest.mark.parametrize("notice", [30.0, 0.0])
    async def test_lost_zone_is_replaced_within_10_s_of_the_minimum(self, notice):
        repair = await measure_zone_loss(4, 1, notice)
        assert repair.shortfall_s == 0
        assert repair.min_recovery_s <= repair.recovery_s <= repair.min_recovery_s + 10
