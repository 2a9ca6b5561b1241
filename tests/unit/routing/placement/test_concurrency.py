from random import Random

from hypothesis import given
from hypothesis import strategies as st

from ebonydeal._internal.errors import ErrorKind
from ebonydeal._internal.routing.placement.concurrency import ConcurrencyLimit
from ebonydeal._internal.routing.placement.router import Router
from ebonydeal._internal.settings.routing import RoutingSettings
from tests.unit.routing.helpers import NOW, make_request, make_view


class TestConcurrencyLimit:
    def test_grows_by_one_per_round_while_in_use(self):
        limit = ConcurrencyLimit(10.0, 100.0)
        for _ in range(10):
            limit.record_first_token(0.0, 0.5, 10, NOW)
        assert 10.9 < limit.limit < 11.0

    def test_does_not_grow_while_unused(self):
        limit = ConcurrencyLimit(10.0, 100.0)
        limit.record_first_token(0.0, 0.5, 4, NOW)
        assert limit.limit == 10.0

    def test_late_first_tokens_decrease_it_once_per_round_trip(self):
        limit = ConcurrencyLimit(10.0, 100.0)
        for moment in (0.0, 0.3, 0.9):
            limit.record_first_token(1.0, 0.5, 10, NOW + moment)
        assert limit.limit == 9.0
        limit.record_first_token(1.0, 0.5, 10, NOW + 1.0)
        assert limit.limit == 8.1

    @given(st.lists(st.tuples(st.floats(0, 9), st.integers(0, 99), st.booleans())))
    def test_stays_within_bounds(self, steps):
        limit = ConcurrencyLimit(8.0, 16.0)
        for number, (queued, in_flight, refused) in enumerate(steps):
            limit.record_first_token(queued, 0.5, in_flight, NOW + number)
            if refused:
                limit.record_refusal(NOW + number)
            assert 1.0 <= limit.limit <= 16.0


class TestRouterLimits:
    def test_refusals_lower_capacity_and_requests_go_elsewhere(self):
        router = Router.from_config(
            RoutingSettings(limit_start=2.0, near_equal=0.0), Random(1)
        )
        views = (make_view("a", price_per_hour=0.1), make_view("b"))
        assert router.capacity(views) == 4
        for number in range(2):
            ask = make_request(f"r{number}", max_tokens=0)
            router.record_sent(router.choose(ask, views[:1], NOW), ask, NOW)
        assert router.choose(make_request(), views, NOW).endpoint.endpoint_id == "b"
        # An endpoint is chosen even if none is below its limit: admission enforces it.
        assert router.choose(make_request(), views[:1], NOW) is not None
        router.record_failure("r0", "a", ErrorKind.ENDPOINT_REFUSED, NOW)
        assert router.capacity(views) == 3

    def test_new_incarnation_starts_without_old_state(self):
        router = Router.from_config(RoutingSettings(), Random(1))
        blocks = tuple(f"b{n}" for n in range(10))
        ask = make_request(blocks=blocks)
        first = router.choose(ask, (make_view("a"),), NOW)
        router.record_sent(first, ask, NOW)
        again = router.choose(ask, (make_view("a"),), NOW)
        assert again.terms.cached_tokens == 160.0
        fresh = router.choose(ask, (make_view("a", incarnation=2),), NOW)
        assert (fresh.terms.cached_tokens, fresh.terms.load) == (0.0, 0.0)
