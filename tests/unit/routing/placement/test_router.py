from collections import Counter
from random import Random

from ebonydeal._internal.errors import ErrorKind
from ebonydeal._internal.models.endpoints import EndpointState
from ebonydeal._internal.models.places import Place
from ebonydeal._internal.routing.placement.router import Router
from ebonydeal._internal.settings.routing import RoutingSettings
from tests.unit.routing.helpers import NOW, make_load, make_request, make_view

BLOCKS = tuple(f"b{i}" for i in range(40))


def make_router(**changes) -> Router:
    return Router.from_config(RoutingSettings(**changes), Random(1))


class TestChoose:
    def test_no_endpoint_gives_none(self):
        assert make_router().choose(make_request(), (), NOW) is None

    def test_unusable_endpoints_are_left_out(self):
        views = (
            make_view("tried"),
            make_view("leaving", state=EndpointState.LEAVING),
            make_view("other", models=("x",)),
            make_view("good"),
        )
        ask = make_request(exclude=frozenset({"tried"}))
        choice = make_router().choose(ask, views, NOW)
        assert choice.endpoint.endpoint_id == "good"
        assert choice.alternatives == ()

    def test_endpoint_with_a_reported_queue_is_avoided(self):
        busy = make_view("busy", load=make_load(running=8, waiting=20))
        idle = make_view("idle", load=make_load())
        choice = make_router().choose(make_request(), (busy, idle), NOW)
        assert choice.endpoint.endpoint_id == "idle"

    def test_same_zone_is_preferred_among_equals(self):
        far = make_view("far", place=Place("palermo", "palermo-2"))
        choice = make_router(near_equal=0.0).choose(
            make_request(), (far, make_view("near")), NOW
        )
        assert choice.endpoint.endpoint_id == "near"

    def test_score_is_the_sum_of_its_terms(self):
        choice = make_router().choose(make_request(), (make_view("a"),), NOW)
        terms = choice.terms
        parts = terms.wait + terms.prefill + terms.distance
        assert choice.score == parts + terms.eviction + terms.price + terms.affinity

    def test_cheap_reclaimable_is_avoided_where_eviction_is_likely(self):
        cheap = make_view("cheap", price_per_hour=0.5, evict_per_hour=1800.0)
        stable = make_view("firm", price_per_hour=0.6)
        choice = make_router().choose(
            make_request(max_tokens=4000), (cheap, stable), NOW
        )
        assert choice.endpoint.endpoint_id == "firm"

    def test_cold_start_spreads_over_all(self):
        router = make_router()
        views = tuple(make_view(f"e{i}") for i in range(4))
        counts = Counter()
        for number in range(40):
            ask = make_request(f"r{number}")
            choice = router.choose(ask, views, NOW)
            router.record_sent(choice, ask, NOW)
            counts[choice.endpoint.endpoint_id] += 1
        assert sorted(counts.values()) == [10, 10, 10, 10]


class TestLearning:
    def test_prompt_goes_where_its_prefix_was_sent(self):
        router = make_router()
        views = tuple(make_view(f"e{i}") for i in range(4))
        ask = make_request("r1", BLOCKS)
        first = router.choose(ask, views, NOW)
        router.record_sent(first, ask, NOW)
        endpoint = first.endpoint.endpoint_id
        router.record_first_token("r1", endpoint, 0, 640, NOW + 0.2)
        router.record_finished("r1", endpoint, NOW + 1.0)
        again = router.choose(make_request("r2", BLOCKS), views, NOW + 2.0)
        assert again.endpoint.endpoint_id == endpoint
        assert again.terms.cached_tokens > 600.0

    def test_own_sends_since_a_report_count(self):
        router = make_router()
        views = (
            make_view("a", load=make_load(running=7)),
            make_view("b", load=make_load(running=8)),
        )
        for number in range(2):
            ask = make_request(f"r{number}")
            router.record_sent(router.choose(ask, views[:1], NOW + 1), ask, NOW + 1)
        choice = router.choose(make_request(), views, NOW + 1)
        assert choice.endpoint.endpoint_id == "b"

    def test_failed_attempt_no_longer_counts(self):
        router = make_router()
        view = make_view("a")
        ask = make_request()
        router.record_sent(router.choose(ask, (view,), NOW), ask, NOW)
        assert router.choose(make_request("s"), (view,), NOW).terms.load == 1.0
        router.record_failure("r", "a", ErrorKind.ENDPOINT_FAILED, NOW)
        assert router.choose(make_request("s"), (view,), NOW).terms.load == 0.0

    def test_evicted_block_is_no_longer_expected(self):
        router = make_router()
        view = make_view("a")
        for seq, block in enumerate(BLOCKS, 1):
            router.apply_cache_events("a", [(seq, True, block)], NOW)
        before = router.choose(make_request(blocks=BLOCKS), (view,), NOW)
        assert before.terms.cached_tokens == 640.0
        router.apply_cache_events("a", [(41, False, BLOCKS[10])], NOW)
        after = router.choose(make_request(blocks=BLOCKS), (view,), NOW)
        assert after.terms.cached_tokens == 160.0

    def test_queueing_behind_other_gateways_moves_requests_away(self):
        router = make_router(near_equal=0.0)
        views = (make_view("a", price_per_hour=0.9), make_view("b"))
        ask = make_request()
        first = router.choose(ask, views, NOW)
        assert first.endpoint.endpoint_id == "a"
        router.record_sent(first, ask, NOW)
        router.record_first_token("r", "a", 0, 100, NOW + 2.0)
        router.record_finished("r", "a", NOW + 3.0)
        later = router.choose(make_request("s"), views, NOW + 3.0)
        assert later.endpoint.endpoint_id == "b"
        # The weight of the observed wait decays.
        much_later = router.choose(make_request("s"), views, NOW + 120.0)
        assert much_later.endpoint.endpoint_id == "a"


class TestBackoff:
    def test_endpoint_gets_nothing_meanwhile(self):
        router, views = make_router(), (make_view("a"), make_view("b"))
        router.back_off("a", 3.0, NOW)
        for second in (0.0, 1.0, 2.9):
            choice = router.choose(make_request(), views, NOW + second)
            assert choice.endpoint.endpoint_id == "b"
        assert router.choose(make_request(), views[:1], NOW + 3.0) is not None

    def test_of_all_endpoints_leaves_none_to_choose(self):
        router = make_router()
        router.back_off("a", 3.0, NOW)
        assert router.choose(make_request(), (make_view("a"),), NOW + 1.0) is None

    def test_latest_end_of_several_applies(self):
        router = make_router()
        router.back_off("a", 3.0, NOW)
        router.back_off("a", 1.0, NOW + 1.0)
        assert router.choose(make_request(), (make_view("a"),), NOW + 2.5) is None

    def test_ends_with_the_incarnation(self):
        router = make_router()
        router.back_off("a", 3.0, NOW)
        router.forget("a")
        assert router.choose(make_request(), (make_view("a"),), NOW) is not None
