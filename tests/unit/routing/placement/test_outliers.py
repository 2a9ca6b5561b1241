from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ebonydeal._internal.errors import ErrorKind
from ebonydeal._internal.routing.placement.outliers import OutlierDetector
from ebonydeal._internal.routing.placement.router import Router
from ebonydeal._internal.settings.routing import RoutingSettings
from tests.unit.routing.helpers import NOW, make_request, make_view

VIEWS = tuple(make_view(f"e{number}") for number in range(4))


def make_outliers(**changes) -> OutlierDetector:
    return OutlierDetector(RoutingSettings(**changes), Random(1))


def fail(outliers: OutlierDetector, name: str, times: int, now: float = NOW) -> None:
    for _ in range(times):
        outliers.record_failure(name, ErrorKind.ENDPOINT_FAILED, now)


class TestEjection:
    def test_consecutive_failures_eject(self):
        outliers = make_outliers()
        fail(outliers, "e0", 4)
        assert outliers.allowed(VIEWS, NOW) == VIEWS
        fail(outliers, "e0", 1)
        assert outliers.allowed(VIEWS, NOW) == VIEWS[1:]

    def test_answer_in_between_resets_the_count(self):
        outliers = make_outliers()
        fail(outliers, "e0", 4)
        outliers.record_success("e0", NOW)
        fail(outliers, "e0", 4)
        assert outliers.traffic_share("e0", NOW) == 1.0

    def test_refusals_for_load_do_not_count(self):
        outliers = make_outliers()
        for _ in range(50):
            outliers.record_failure("e0", ErrorKind.ENDPOINT_REFUSED, NOW)
            outliers.record_failure("e0", ErrorKind.CALLER_LEFT, NOW)
        assert outliers.traffic_share("e0", NOW) == 1.0

    def test_share_grows_during_the_return(self):
        outliers = make_outliers(eject_time=5.0, return_time=20.0)
        fail(outliers, "e0", 5)
        assert outliers.traffic_share("e0", NOW + 4.9) == 0.0
        assert outliers.traffic_share("e0", NOW + 5.0) == 0.1
        assert outliers.traffic_share("e0", NOW + 15.0) == 0.55
        assert outliers.traffic_share("e0", NOW + 25.0) == 1.0

    def test_failure_during_the_return_doubles_the_ejection_time(self):
        outliers = make_outliers(eject_time=5.0, return_time=20.0)
        fail(outliers, "e0", 5)
        fail(outliers, "e0", 1, NOW + 6.0)
        assert outliers.traffic_share("e0", NOW + 15.9) == 0.0
        assert outliers.traffic_share("e0", NOW + 16.0) == 0.1

    def test_router_uses_another_endpoint(self):
        router = Router.from_config(RoutingSettings(near_equal=0.0), Random(1))
        for number in range(5):
            ask = make_request(f"r{number}")
            router.record_sent(router.choose(ask, VIEWS[:1], NOW), ask, NOW)
            router.record_failure(f"r{number}", "e0", ErrorKind.CONNECT_FAILED, NOW)
        used = {
            router.choose(make_request(), VIEWS, NOW).endpoint.endpoint_id
            for _ in range(50)
        }
        assert "e0" not in used


class MinAllowedMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.outliers = make_outliers(eject_floor=0.5)
        self.now = NOW

    @rule(name=st.sampled_from([view.endpoint_id for view in VIEWS]))
    def fails(self, name: str) -> None:
        fail(self.outliers, name, 3, self.now)

    @rule(name=st.sampled_from([view.endpoint_id for view in VIEWS]))
    def answers(self, name: str) -> None:
        self.outliers.record_success(name, self.now)

    @rule(seconds=st.floats(0.0, 60.0))
    def time_passes(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def never_below_the_minimum(self) -> None:
        for count in range(1, 5):
            allowed = self.outliers.allowed(VIEWS[:count], self.now)
            assert len(allowed) >= (count + 1) // 2
            assert set(allowed) <= set(VIEWS[:count])

    @invariant()
    def healthy_endpoints_are_always_allowed(self) -> None:
        for view in self.outliers.allowed(VIEWS, self.now):
            assert 0.0 <= self.outliers.traffic_share(view.endpoint_id, self.now) <= 1.0
        allowed = self.outliers.allowed(VIEWS, self.now)
        for view in VIEWS:
            if self.outliers.traffic_share(view.endpoint_id, self.now) == 1.0:
                assert view in allowed


MinAllowedMachine.TestCase.settings = settings(max_examples=50, stateful_step_count=40)
TestMinAllowed = MinAllowedMachine.TestCase
