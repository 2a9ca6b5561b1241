from math import pi, sqrt

from ebonydeal._internal.routing.placement.score import (
    DelayPrice,
    Estimate,
    delay_price,
    delay_s,
    price_per_second,
    score,
)
from tests.unit.routing.helpers import make_request, make_view

IDLE = Estimate(0.0, 8.0, 0.0, 0.0, 1000.0, 2.0)
HOUR = 3600.0


class TestDelay:
    def test_is_the_sum_of_its_parts(self):
        # 100 own and 200 queued tokens, and 3 requests that wait for one of 8 slots.
        busy = IDLE._replace(load=10.0, prefill_queue=200.0)
        assert delay_s(make_request(), busy) == 0.1 + 0.2 + 3 * 2.0 / 8

    def test_uncertain_load_costs_a_wait_before_all_slots_are_taken(self):
        # Just full, with a deviation of 2: the mean excess is 2 / sqrt(2 pi).
        full = IDLE._replace(load=7.0, load_stddev=2.0)
        waiting = 2.0 / sqrt(2.0 * pi)
        assert round(delay_s(make_request(), full), 9) == round(0.1 + waiting / 4, 9)

    def test_uncertainty_hardly_counts_far_from_the_limit(self):
        light = IDLE._replace(load=1.0, load_stddev=1.0)
        assert round(delay_s(make_request(), light), 6) == 0.1
        heavy = IDLE._replace(load=27.0, load_stddev=2.0)
        assert round(delay_s(make_request(), heavy), 6) == 0.1 + 20 * 2.0 / 8


class TestPrice:
    def test_free_endpoints_still_have_a_price(self):
        views = (make_view("a", price_per_hour=0.0),)
        assert price_per_second(views) == 1.0 / HOUR

    def test_lateness_counts_only_where_the_target_can_be_met(self):
        views = (make_view("a", price_per_hour=HOUR),)
        assert delay_price(views, 0.5, 0.4, 4.0) == DelayPrice(1.0, 4.0, 4.0)
        assert delay_price(views, 0.5, 0.6, 4.0) == DelayPrice(1.0, 1.0, 4.0)


class TestScore:
    def test_delay_within_and_beyond_the_target(self):
        ask = make_request(prompt_tokens=1000, first_token_s=0.4)
        view = make_view("a", price_per_hour=0.0)
        terms = score(ask, view, IDLE, DelayPrice(1.0, 4.0, 4.0)).terms
        assert round(terms.wait, 9) == 1.0 + 3.0 * 0.6
        assert terms.prefill == 1.0

    def test_prefill_costs_more_where_others_wait_for_slots(self):
        ask = make_request(prompt_tokens=1000)
        busy = IDLE._replace(load=15.0)
        terms = score(ask, make_view("a"), busy, DelayPrice(1.0, 1.0, 4.0)).terms
        assert terms.prefill == 1.0 + 4.0

    def test_weights_multiply_their_terms(self):
        view = make_view("a", price_per_hour=HOUR, evict_per_hour=1.0)
        price = DelayPrice(1.0, 4.0, 4.0)
        plain = score(make_request(), view, IDLE, price).terms
        weights = make_request().weights._replace(cost=2.0, recompute=3.0)
        weighted = score(make_request(weights=weights), view, IDLE, price).terms
        assert weighted.price == 2.0 * plain.price
        assert round(weighted.prefill / plain.prefill, 9) == 3.0
        assert round(weighted.eviction / plain.eviction, 9) == 3.0
