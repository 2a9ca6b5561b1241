from math import exp, sqrt
from random import Random

from ebonydeal._internal.routing.placement.endpoint_attempts import (
    EndpointAttempts,
    LearnedRates,
)
from ebonydeal._internal.routing.placement.expected_load import (
    DeploymentLoad,
    expected_load,
    load_stddev,
    summarize_load,
)
from ebonydeal._internal.routing.placement.router import Router
from ebonydeal._internal.settings.routing import RoutingSettings
from tests.unit.routing.helpers import NOW, make_load, make_request, make_view


class TestExpectedLoad:
    def test_fresh_report_is_used_as_is(self):
        view = make_view("a", load=make_load(6, 3))
        assert (
            expected_load(
                view, EndpointAttempts(), DeploymentLoad(2.0, 0.0, 1.0), 2.0, NOW
            )
            == 9.0
        )

    def test_old_report_approaches_the_mean(self):
        view = make_view("a", load=make_load(8, 0))
        deployment_load = DeploymentLoad(4.0, 0.0, 1.0)
        assert (
            expected_load(view, EndpointAttempts(), deployment_load, 2.0, NOW + 2.0)
            == 6.0
        )
        assert (
            expected_load(view, EndpointAttempts(), deployment_load, 2.0, NOW + 40.0)
            < 4.01
        )

    def test_report_from_the_future_counts_as_fresh(self):
        view = make_view("a", load=make_load(8, 0, at=NOW + 100.0))
        assert (
            expected_load(view, EndpointAttempts(), DeploymentLoad(0, 0, 1.0), 2.0, NOW)
            == 8.0
        )

    def test_no_report_leaves_own_requests(self):
        deployment_load = summarize_load(
            [(make_view("a"), EndpointAttempts())], LearnedRates(1.0, 1.0)
        )
        assert deployment_load == DeploymentLoad(0.0, 0.0, 1.0)
        assert (
            expected_load(make_view("a"), EndpointAttempts(), deployment_load, 2.0, NOW)
            == 0.0
        )


class TestLoadDeviation:
    def test_fresh_reports_and_own_requests_have_no_deviation(self):
        view = make_view("a", load=make_load(6, 0))
        assert load_stddev(view, 6.0, DeploymentLoad(6.0, 0.0, 3.0), 2.0, NOW) == 0.0
        assert (
            load_stddev(view, 6.0, DeploymentLoad(6.0, 0.0, 1.0), 2.0, NOW + 9.0) == 0.0
        )

    def test_deviation_by_other_gateways_grows_as_the_report_ages(self):
        view = make_view("a", load=make_load(6, 0))
        stddev = load_stddev(view, 6.0, DeploymentLoad(2.0, 0.0, 3.0), 2.0, NOW + 1.0)
        assert stddev == sqrt(8.0 * (1.0 - 1.0 / 3.0) * (1.0 - exp(-1.0)))

    def test_no_report_leaves_own_requests(self):
        deployment_load = DeploymentLoad(6.0, 0.0, 3.0)
        assert load_stddev(make_view("a"), 6.0, deployment_load, 2.0, NOW) == 0.0


class TestNearlyFullEndpoint:
    def choose(self, age: float) -> str:
        cheap = make_view("cheap", load=make_load(7, 0, NOW - age))
        idle = make_view("idle", price_per_hour=1.1, load=make_load(0, 0, NOW - age))
        router = Router.from_config(RoutingSettings(near_equal=0.0), Random(1))
        choice = router.choose(make_request(), (cheap, idle), NOW)
        return choice.endpoint.endpoint_id

    def test_price_decides_while_a_slot_is_surely_free(self):
        assert self.choose(0.0) == "cheap"

    def test_idle_one_is_chosen_when_the_cheap_one_may_be_full(self):
        assert self.choose(1.0) == "idle"


class TestHerding:
    def test_gateways_do_not_all_send_to_the_one_idle_endpoint(self):
        # One endpoint of four looks idle to nine gateways; no newer report arrives.
        loads = (0, 12, 12, 12)
        views = tuple(
            make_view(f"e{n}", load=make_load(min(8, load), max(0, load - 8)))
            for n, load in enumerate(loads)
        )
        routers = [Router.from_config(RoutingSettings(), Random(n)) for n in range(9)]
        to_idle = 0
        for step in range(8):
            for number, router in enumerate(routers):
                ask = make_request(f"r{step}-{number}")
                now = NOW + 0.1 * step
                choice = router.choose(ask, views, now)
                router.record_sent(choice, ask, now)
                to_idle += choice.endpoint.endpoint_id == "e0"
        # All 72 there is full herding; an even share is 18, and twelve fill the gap.
        assert 18 <= to_idle <= 45
