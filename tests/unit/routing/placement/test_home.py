from collections import Counter
from random import Random

from ebonydeal._internal.routing.placement.home import SharedPrefixes, home_endpoint
from ebonydeal._internal.routing.placement.router import Router
from ebonydeal._internal.settings.routing import RoutingSettings
from tests.unit.routing.helpers import NOW, make_load, make_request, make_view

SHARED = ("s1", "s2", "s3")


class TestSharedPrefixes:
    def test_split_comes_after_the_part_that_many_prompts_share(self):
        prefixes = SharedPrefixes(1000)
        for number in range(8):
            prefixes.learn((*SHARED, f"own{number}", f"tail{number}"))
        assert prefixes.split((*SHARED, "own3", "x")) == 3
        assert prefixes.split((*SHARED, "new")) == 3

    def test_few_successors_do_not_split(self):
        prefixes = SharedPrefixes(1000)
        for number in range(7):
            prefixes.learn((*SHARED, f"own{number}"))
        assert prefixes.split((*SHARED, "own1")) == -1

    def test_memory_is_bounded(self):
        prefixes = SharedPrefixes(10)
        prefixes.learn(tuple(f"b{number}" for number in range(100)))
        assert len(prefixes._successors) == 10


class TestHome:
    def test_adding_an_endpoint_moves_few_keys(self):
        names = [f"e{number}" for number in range(9)]
        keys = [f"k{number}" for number in range(900)]
        before = {key: home_endpoint(key, names) for key in keys}
        after = {key: home_endpoint(key, [*names, "e9"]) for key in keys}
        moved = [key for key in keys if before[key] != after[key]]
        assert all(after[key] == "e9" for key in moved)
        assert 60 <= len(moved) <= 120
        assert min(Counter(before.values()).values()) >= 70

    def test_gateways_agree_without_communication(self):
        views = tuple(make_view(f"e{number}") for number in range(9))
        blocks = tuple(f"b{number}" for number in range(60))
        ask = make_request(blocks=blocks, session="van-7")
        chosen = set()
        for seed in range(9):
            router = Router.from_config(RoutingSettings(), Random(seed))
            chosen.add(router.choose(ask, views, NOW).endpoint.endpoint_id)
        assert len(chosen) == 1

    def test_busy_home_is_not_chosen(self):
        views = tuple(make_view(f"e{number}") for number in range(9))
        ask = make_request(blocks=tuple(f"b{n}" for n in range(60)), session="van-7")
        router = Router.from_config(RoutingSettings(), Random(1))
        home = router.choose(ask, views, NOW).endpoint
        busy = tuple(
            view._replace(load=make_load(running=8, waiting=8 if view == home else 0))
            for view in views
        )
        assert router.choose(ask, busy, NOW).endpoint.endpoint_id != home.endpoint_id
