from hypothesis import given
from hypothesis import strategies as st

from ebonydeal._internal.models.places import Place
from ebonydeal._internal.routing.placement.subset import PlacedProcess, choose_subset

ZONES = [Place("wales", f"wales-{n}") for n in (1, 2, 3)] + [Place("north", "north-1")]
place = st.sampled_from(ZONES)


def members(prefix: str, places) -> list[PlacedProcess]:
    return [PlacedProcess(f"{prefix}{n}", where) for n, where in enumerate(places)]


class TestChooseSubset:
    def test_few_endpoints_are_all_watched(self):
        endpoints = members("e", ZONES * 2)
        gateways = members("g", ZONES)
        chosen = choose_subset(gateways[0], gateways, endpoints, 64, 0.34)
        assert chosen == {item.id for item in endpoints}

    @given(
        st.lists(place, min_size=1, max_size=9),
        st.lists(place, min_size=1, max_size=80),
        st.integers(1, 40),
        st.floats(0.0, 1.0),
    )
    def test_every_endpoint_is_watched_and_sizes_are_reached(
        self, gateway_places, endpoint_places, size, spill
    ):
        gateways = members("g", gateway_places)
        endpoints = members("e", endpoint_places)
        covered: set[str] = set()
        for gateway in gateways:
            chosen = choose_subset(gateway, gateways, endpoints, size, spill)
            assert len(chosen) >= min(size, len(endpoints))
            covered |= chosen
        assert covered == {item.id for item in endpoints}

    @given(st.lists(place, min_size=30, max_size=80), st.integers(0, 29))
    def test_removing_an_endpoint_changes_at_most_one_other(self, places, gone):
        gateways = members("g", ZONES)
        endpoints = members("e", places)
        rest = [item for item in endpoints if item.id != f"e{gone}"]
        for gateway in gateways:
            before = choose_subset(gateway, gateways, endpoints, 12, 0.34)
            after = choose_subset(gateway, gateways, rest, 12, 0.34)
            assert len((after ^ before) - {f"e{gone}"}) <= 2

    def test_own_zone_first_with_a_share_elsewhere(self):
        endpoints = members("e", ZONES[:3] * 40)
        gateways = members("g", ZONES[:3] * 3)
        places = {item.id: item.place for item in endpoints}
        chosen = choose_subset(gateways[0], gateways, endpoints, 30, 0.34)
        near = [name for name in chosen if places[name] == ZONES[0]]
        assert len(near) >= 20
        assert len(chosen) - len(near) == 10


class TestChurn:
    def test_lost_gateway_moves_only_what_it_covered(self):
        endpoints = members("e", ZONES[:3] * 60)
        gateways = members("g", ZONES[:3] * 3)
        rest = gateways[:4] + gateways[5:]
        changed = 0
        for gateway in rest:
            before = choose_subset(gateway, gateways, endpoints, 24, 0.34)
            after = choose_subset(gateway, rest, endpoints, 24, 0.34)
            assert before <= after
            changed += len(after - before)
        assert changed <= 60
