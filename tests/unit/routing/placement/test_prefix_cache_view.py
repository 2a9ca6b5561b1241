from random import Random

from hypothesis import given
from hypothesis import strategies as st

from ebonydeal._internal.routing.placement.prefix_cache_view import PrefixCacheView
from ebonydeal._internal.routing.placement.router import Router
from ebonydeal._internal.settings.routing import RoutingSettings
from tests.unit.routing.helpers import NOW

BLOCKS = tuple(f"b{number}" for number in range(20))


def make_cache(max_blocks: int = 100, half_life: float = 100.0) -> PrefixCacheView:
    return PrefixCacheView(max_blocks, half_life)


def stored(blocks) -> list[tuple[int, bool, str]]:
    return [(seq, True, block) for seq, block in enumerate(blocks, 1)]


class TestPrefixCacheView:
    def test_lost_events_do_not_hide_later_blocks(self):
        cache = make_cache()
        cache.apply_events(
            [event for event in stored(BLOCKS) if event[0] % 3 == 0], NOW
        )
        # Block 18 is the last one whose event arrived, so all before it are cached.
        assert cache.cached_tokens(BLOCKS, NOW) == 18 * 16

    def test_old_events_count_less(self):
        cache = make_cache(half_life=100.0)
        cache.apply_events(stored(BLOCKS), NOW)
        assert cache.cached_tokens(BLOCKS, NOW + 100.0) == 160.0

    def test_answers_without_hits_lower_the_confidence(self):
        cache = make_cache()
        cache.apply_events(stored(BLOCKS), NOW)
        for _ in range(20):
            cache.record_answer(BLOCKS, 320.0, 0, NOW)
        lowered = cache.cached_tokens(BLOCKS, NOW)
        assert lowered == 64.0
        for _ in range(40):
            cache.record_answer(BLOCKS, lowered, 320, NOW)
        assert cache.cached_tokens(BLOCKS, NOW) > 300.0

    @given(st.lists(st.tuples(st.booleans(), st.integers(0, 500)), max_size=400))
    def test_memory_and_expected_tokens_are_bounded(self, events):
        cache = make_cache(max_blocks=50)
        cache.apply_events(
            [(seq, kind, f"b{block}") for seq, (kind, block) in enumerate(events)], NOW
        )
        cache.record_sent(BLOCKS, NOW)
        assert len(cache) <= 50
        assert 0.0 <= cache.cached_tokens(BLOCKS, NOW) <= 320.0


class TestTotalBlocks:
    def test_memory_of_all_endpoints_together_is_bounded(self):
        cfg = RoutingSettings(cache_total=1000, cache_blocks=600)
        router = Router.from_config(cfg, Random(1))
        for endpoint in range(3):
            for seq in range(1000):
                name = f"e{endpoint}"
                router.apply_cache_events(name, [(seq, True, f"b{seq}")], NOW)
        sizes = [len(cache) for cache in router._caches.values()]
        assert sizes == [333, 333, 333]
