import math
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonydeal._internal.controller.capacity import CapacityConfig, decide_placement
from ebonydeal._internal.controller.deadline import (
    Backlog,
    DeadlineChoice,
    DeadlineConfig,
    Market,
    PriceRule,
    choose_deadline_replicas,
    price_limit,
)
from ebonydeal._internal.controller.placement import PlacementConfig
from ebonydeal._internal.controller.values import OfferKey, offers_by_key
from ebonydeal._internal.outside.interfaces import Offer

MARKET = Market(2.0, 10.0, (1.0, 2.0, 3.0, 4.0))
HOUR = 3600.0


def deadline_config(rule: PriceRule) -> DeadlineConfig:
    return DeadlineConfig(rule=rule, fixed_share=0.3, margin_s=0.0, margin_share=0.0)


class TestPriceLimit:
    def test_each_rule_at_no_half_and_full_commitment(self):
        found = {
            rule: [
                price_limit(MARKET, part, deadline_config(rule))
                for part in (0.0, 0.5, 1.0)
            ]
            for rule in PriceRule
        }
        assert found[PriceRule.AT_ONCE] == [math.inf] * 3
        assert found[PriceRule.FIXED] == pytest.approx([3.0] * 3)
        assert found[PriceRule.EXPONENTIAL] == pytest.approx(
            [1.0, math.sqrt(10.0), 10.0]
        )
        assert found[PriceRule.QUANTILE] == [1.0, 2.0, 4.0]


class TestChoose:
    def test_no_replicas_without_backlog(self):
        rule = deadline_config(PriceRule.AT_ONCE)
        assert choose_deadline_replicas([], MARKET, 5, rule, 0.0) == DeadlineChoice(
            0, False, 0.0
        )

    def test_work_waits_until_the_price_is_low_enough(self):
        backlog = [Backlog(20 * HOUR, 2 * HOUR)]
        expensive = Market(3.0, 10.0, (1.0, 2.0))
        assert (
            choose_deadline_replicas(
                backlog, expensive, 4, deadline_config(PriceRule.QUANTILE), 0.0
            ).replicas
            == 0
        )
        cheap = Market(1.0, 10.0, (1.0, 2.0))
        assert (
            choose_deadline_replicas(
                backlog, cheap, 4, deadline_config(PriceRule.QUANTILE), 0.0
            ).replicas
            == 2
        )

    def test_replicas_get_a_minimum_of_work_unless_a_deadline_needs_more(self):
        rule = deadline_config(PriceRule.AT_ONCE)._replace(run_s=HOUR)
        found = [
            choose_deadline_replicas(
                [Backlog(end * HOUR, work * HOUR)], MARKET, 9, rule, 0.0
            ).replicas
            for end, work in ((20, 0.1), (20, 3.5), (20, 99), (0.5, 3.5))
        ]
        assert found == [1, 4, 9, 7]

    @given(
        st.sampled_from(list(PriceRule)),
        st.lists(st.tuples(st.floats(1.0, 9.0), st.floats(0.1, 9.0)), min_size=1),
        st.integers(1, 6),
        st.floats(0.5, 30.0),
    )
    def test_deadline_at_risk_gets_all_replicas_at_any_price(
        self, rule, items, max_replicas, price
    ):
        backlog = [Backlog(end * HOUR, work * HOUR) for end, work in items]
        found = choose_deadline_replicas(
            backlog,
            Market(price, 10.0, (0.4,)),
            max_replicas,
            deadline_config(rule),
            0.0,
        )
        total, at_risk = 0.0, False
        for end, work in sorted(items):
            total += work
            at_risk = at_risk or total >= max_replicas * end
        if at_risk:
            assert found.on_demand_allowed and found.replicas == max_replicas

    def test_work_past_its_deadline_still_gets_replicas(self):
        found = choose_deadline_replicas(
            [Backlog(1.0, 500.0)], MARKET, 3, DeadlineConfig(), HOUR
        )
        assert found == DeadlineChoice(3, True, math.inf)


MARKETS = ((True, 2.0), (False, 9.0))


class TestDecidePlacement:
    OFFERS = offers_by_key(
        [Offer(zone, "l", r, p, 0.0, 8) for zone in "ab" for r, p in MARKETS]
    )

    def decide(self, work: float, blocked=(), ceiling=100.0) -> dict:
        return decide_placement(
            2,
            CapacityConfig(frozenset("ab"), ceiling, 12, True, 1.0),
            self.OFFERS,
            Counter(),
            set(blocked),
            [Backlog(2 * HOUR, work * HOUR)],
            (2.0,),
            PlacementConfig(),
            DeadlineConfig(),
            0.0,
        ).counts

    def test_spare_replicas_do_deadline_work_first(self):
        assert self.decide(0.1) == {
            OfferKey("a", "l", True): 2,
            OfferKey("b", "l", True): 2,
        }

    def test_on_demand_is_bought_when_a_deadline_is_at_risk(self):
        reclaimable = {key for key in self.OFFERS if key.reclaimable}
        found = self.decide(20.0, reclaimable, ceiling=200.0)
        assert sum(found.values()) == 12
        assert not any(key.reclaimable for key in found)

    def test_ceiling_holds_when_a_deadline_is_at_risk(self):
        found = self.decide(20.0, ceiling=13.0)
        assert sum(n * self.OFFERS[k].price_per_hour for k, n in found.items()) <= 13.0
