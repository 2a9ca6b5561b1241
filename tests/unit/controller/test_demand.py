import math

from hypothesis import given
from hypothesis import strategies as st

from ebonydeal._internal.controller.demand import (
    DemandConfig,
    DemandState,
    Load,
    desired_replicas,
    slots_needed,
)
from ebonydeal._internal.models.endpoints import LoadReport

CONFIG = DemandConfig(smoothing_s=1.0, hold_down=600.0, forecast_s=0.0)


def waiting_share(load: float, slots: int, wait_s: float) -> float:
    """Return the share that waits longer, from the defining sum of Erlang C."""
    terms = [load**n / math.factorial(n) for n in range(slots)]
    last = load**slots / math.factorial(slots) * slots / (slots - load)
    return last / (sum(terms) + last) * math.exp(-(slots - load) * wait_s / 4.0)


def run(loads: list[float], gap: float = 60.0) -> list[int]:
    state, found = DemandState(), []
    for number, load in enumerate(loads):
        desired, state = desired_replicas(
            state, Load(load, 8), 0.8, 2, 50, CONFIG, number * gap
        )
        found.append(desired)
    return found


class TestSlots:
    @given(st.floats(0.1, 60.0), st.floats(0.0, 4.0))
    def test_fewest_slots_with_95_in_100_within_the_wait(self, load, wait):
        slots = slots_needed(load, 4.0, wait)
        assert waiting_share(load, slots, wait) <= 0.05 + 1e-9
        if slots - 1 > load:
            assert waiting_share(load, slots - 1, wait) > 0.05 - 1e-9

    def test_no_load_needs_no_slots(self):
        assert slots_needed(0.0, 4.0, 0.4) == 0


class TestDesired:
    def test_result_stays_within_bounds(self):
        assert run([0.0, 10_000.0]) == [2, 50]

    def test_rises_at_once_and_falls_only_after_hold_down(self):
        found = run([8.0] + [80.0] + [8.0] * 12)
        low, high = found[0], found[1]
        assert low < high
        assert found[2:11] == [high] * 9
        assert found[-1] == low

    def test_reports_add_up(self):
        reports = [LoadReport(3, 1, 8, 0.1, 40.0, 0.0), LoadReport(2, 0, 6, 0, 40, 0)]
        assert Load.from_reports(reports) == Load(6.0, 6)
        assert Load.from_reports([]) == Load(0.0, 1)
