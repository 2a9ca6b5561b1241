from random import Random

from hypothesis import given
from hypothesis import strategies as st

from ebonydeal._internal.routing.placement.prefix_cache_view import PrefixCacheView
from ebonydeal._internal.routing.placement.router import Router
from ebonydeal._internal.settings.routing import RoutingSettings
from tests.unit.routing.helpers import NOW

BLOCKS = tuple(f"b{number}" for number in range(20))


def make_cache(most: int = 100, half_life: float = 100.0) -> PrefixCacheView:
    return PrefixCacheView(most, half_life)


def stored(blocks) -> list[tuple[int, bool, str]]:
    return [(seq, True, block) for seq, block in enumerate(blocks, 1)]


class TestCacheView:
    def test_lost_events_do_not_hide_what_came_later(self):
        cache = make_cache()
        cache.events([event for event in stored(BLOCKS) if event[0] % 3 == 0], NOW)
        # Block 18 is the last whose event came: all before it must be there.
        assert cache.cached_tokens(BLOCKS, NOW) == 18 * 16

    def test_old_news_counts_less(self):
        cache = make_cache(half_life=100.0)
        cache.events(stored(BLOCKS), NOW)
        assert cache.cached_tokens(BLOCKS, NOW + 100.0) == 160.0

    def test_answers_without_hits_lower_the_trust(self):
        cache = make_cache()
        cache.events(stored(BLOCKS), NOW)
        for _ in range(20):
            cache.answered(BLOCKS, 320.0, 0, NOW)
        doubted = cache.cached_tokens(BLOCKS, NOW)
        assert doubted == 64.0
        for _ in range(40):
            cache.answered(BLOCKS, doubted, 320, NOW)
        assert cache.cached_tokens(BLOCKS, NOW) > 300.0

    @given(st.lists(st.tuples(st.booleans(), st.integers(0, 500)), max_size=400))
    def test_memory_is_bounded_and_no_more_is_expected_than_asked(self, events):
        cache = make_cache(most=50)
        cache.events(
            [(seq, kind, f"b{block}") for seq, (kind, block) in enumerate(events)], NOW
        )
        cache.sent(BLOCKS, NOW)
        assert len(cache) <= 50
        assert 0.0 <= cache.cached_tokens(BLOCKS, NOW) <= 320.0


class TestTotal:
    def test_memory_of_all_endpoints_together_is_bounded(self):
        cfg = RoutingSettings(cache_total=1000, cache_blocks=600)
        router = Router.from_config(cfg, Random(1))
        for endpoint in range(3):
            for seq in range(1000):
                name = f"e{endpoint}"
                router.apply_cache_events(name, [(seq, True, f"b{seq}")], NOW)
        sizes = [len(cache) for cache in router._caches.values()]
        assert sizes == [333, 333, 333]
