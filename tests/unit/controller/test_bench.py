import pytest

from ebonydeal._internal.benchmarks.spend.compare import CEILING
from ebonydeal._internal.benchmarks.spend.policies import CheapestFirst, Ebonydeal
from ebonydeal._internal.benchmarks.spend.repair import lose_a_zone
from ebonydeal._internal.benchmarks.spend.simulate import simulate
from ebonydeal._internal.benchmarks.spend.traces import WEATHERS, make_trace
from ebonydeal._internal.controller.deadline import PriceRule


class TestBench:
    def test_trace_depends_only_on_the_seed(self):
        assert make_trace(3, days=1) == make_trace(3, days=1)
        assert make_trace(3, days=1) != make_trace(4, days=1)

    @pytest.mark.parametrize("weather", WEATHERS, ids=lambda item: item.name)
    def test_deadlines_and_ceiling_hold_at_near_optimal_cost(self, weather):
        hindsight = pytest.importorskip(
            "ebonydeal._internal.benchmarks.spend.hindsight", exc_type=ImportError
        )
        trace = make_trace(2, weather, days=1)
        found = simulate(trace, Ebonydeal(PriceRule.QUANTILE, CEILING), CEILING)
        assert (found.met, found.over_ceiling) == (found.jobs, 0)
        assert found.below_share < 0.005
        bound = hindsight.hindsight_cost(trace, CEILING)
        assert bound < found.cost < 1.25 * bound
        cheap = simulate(trace, CheapestFirst(), CEILING)
        assert cheap.below_share > 5 * found.below_share

    @pytest.mark.parametrize("notice", [30.0, 0.0])
    async def test_lost_zone_is_replaced_within_10_s_of_the_minimum(self, notice):
        repair = await lose_a_zone(4, 1, notice)
        assert repair.below_s == 0
        assert repair.floor_s <= repair.back_s <= repair.floor_s + 10
