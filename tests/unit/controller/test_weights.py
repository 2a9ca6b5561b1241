from hypothesis import given
from hypothesis import strategies as st

from ebonydeal._internal.controller.weights import (
    LoadRequest,
    RunningLoad,
    WeightLoadConfig,
    admit_loads,
)
from ebonydeal._internal.outside.interfaces import WeightCopy

CONFIG = WeightLoadConfig(
    engine_rate_gb_per_s=2.0, max_readers_per_copy=2, reserved_share=0.25
)
COPIES = {"m": [WeightCopy("store", "m", 10.0, "")]}


def req(name, deployment="d", zone="a", shortfall=0.0, at=0.0, model="m"):
    return LoadRequest(name, deployment, model, zone, shortfall, at)


def admit(requests, rate=100.0, running=(), copies=COPIES, served=None):
    starts = admit_loads(requests, list(running), copies, served or {}, rate, CONFIG)
    return [(start.endpoint_id, start.source) for start in starts]


class TestAdmit:
    def test_each_zone_gets_one_read_before_any_gets_two(self):
        requests = [req("1"), req("2"), req("3", zone="b")]
        assert admit(requests, rate=4.0) == [("1", ""), ("3", "")]

    def test_rate_beyond_the_reserve_is_used_for_further_reads(self):
        assert admit([req(str(n)) for n in range(9)], rate=8.0) == [
            ("0", ""),
            ("1", ""),
            ("2", ""),
        ]

    def test_copies_in_the_zone_are_preferred_up_to_their_limit(self):
        copies = {"m": [*COPIES["m"], WeightCopy("e9", "m", 0.0, "a")]}
        running = [RunningLoad("0", "d", "m", "a", "e9")]
        found = admit([req("1"), req("2")], 2.0, running, copies)
        assert found == [("1", "e9"), ("2", "")]

    def test_deployment_with_a_shortfall_comes_first(self):
        requests = [req("1", "calm"), req("2", "short", "b", shortfall=0.5, at=9.0)]
        assert admit(requests, rate=2.0) == [("2", "")]

    def test_many_replacements_do_not_starve_other_deployments(self):
        burst = [req(f"w{n}", "wave", "a", 1.0, model=f"m{n}") for n in range(20)]
        calm = req("c", "calm", "a", 0.0, at=99.0)
        served = {"wave": 100.0, "calm": 0.0}
        assert admit([*burst, calm], rate=4.0, served=served)[0] == ("c", "")

    @given(
        st.lists(st.tuples(st.sampled_from("de"), st.sampled_from("abc")), max_size=30),
        st.floats(0.0, 40.0),
    )
    def test_reads_stay_within_the_rate(self, items, rate):
        requests = [req(str(n), d, z) for n, (d, z) in enumerate(items)]
        direct = [name for name, source in admit(requests, rate) if not source]
        assert (
            len(direct) * CONFIG.engine_rate_gb_per_s
            < rate + CONFIG.engine_rate_gb_per_s
        )
        assert len(direct) == len(set(direct))
