from hypothesis import given
from hypothesis import strategies as st

from ebonydeal._internal.controller.weights import (
    LoadRequest,
    RunningLoad,
    WeightLoadConfig,
    admit_loads,
)
from ebonydeal._internal.outside.interfaces import WeightCopy

POLICY = WeightLoadConfig(
    engine_rate_gb_per_s=2.0, max_readers_per_copy=2, reserved_share=0.25
)
COPIES = {"m": [WeightCopy("store", "m", 10.0, "")]}


def req(name, deployment="d", zone="a", shortfall=0.0, at=0.0, model="m"):
    return LoadRequest(name, deployment, model, zone, shortfall, at)


def admit(requests, rate=100.0, running=(), copies=COPIES, served=None):
    starts = admit_loads(requests, list(running), copies, served or {}, rate, POLICY)
    return [(start.endpoint_id, start.source) for start in starts]


class TestAdmit:
    def test_one_read_for_a_zone_before_a_second(self):
        requests = [req("1"), req("2"), req("3", zone="b")]
        assert admit(requests, rate=4.0) == [("1", ""), ("3", "")]

    def test_free_rate_beyond_the_reserve_reads_too(self):
        assert admit([req(str(n)) for n in range(9)], rate=8.0) == [
            ("0", ""),
            ("1", ""),
            ("2", ""),
        ]

    def test_near_copies_come_first_and_are_not_crowded(self):
        copies = {"m": [*COPIES["m"], WeightCopy("e9", "m", 0.0, "a")]}
        running = [RunningLoad("0", "d", "m", "a", "e9")]
        found = admit([req("1"), req("2")], 2.0, running, copies)
        assert found == [("1", "e9"), ("2", "")]

    def test_below_strength_first(self):
        requests = [req("1", "calm"), req("2", "short", "b", shortfall=0.5, at=9.0)]
        assert admit(requests, rate=2.0) == [("2", "")]

    def test_a_wave_does_not_starve_the_rest(self):
        wave = [req(f"w{n}", "wave", "a", 1.0, model=f"m{n}") for n in range(20)]
        calm = req("c", "calm", "a", 0.0, at=99.0)
        served = {"wave": 100.0, "calm": 0.0}
        assert admit([*wave, calm], rate=4.0, served=served)[0] == ("c", "")

    @given(
        st.lists(st.tuples(st.sampled_from("de"), st.sampled_from("abc")), max_size=30),
        st.floats(0.0, 40.0),
    )
    def test_the_rate_is_never_passed(self, items, rate):
        requests = [req(str(n), d, z) for n, (d, z) in enumerate(items)]
        direct = [name for name, source in admit(requests, rate) if not source]
        assert (
            len(direct) * POLICY.engine_rate_gb_per_s
            < rate + POLICY.engine_rate_gb_per_s
        )
        assert len(direct) == len(set(direct))
