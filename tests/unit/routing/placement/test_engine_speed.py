import random

from ebonydeal._internal.routing.placement.engine_speed import EngineSpeed


def learned_speed(long_prompts=True, waits=0.0, seed=1):
    """Return the speed learned from engines that prefill 66 tokens per millisecond.

    Each token is also compared with all before it, at 0.138 ms per million pairs.
    """
    speed = EngineSpeed(long_prompts)
    rng = random.Random(seed)
    for _ in range(600):
        tokens = rng.choice([300, 4000, 8000, 20_000, 40_000])
        took = 0.02 + tokens / 66_000.0 + 0.138e-9 * tokens**2
        speed.record_first_event(tokens, took + rng.expovariate(1.0) * waits)
    return speed


class TestLongPrompts:
    def test_take_more_than_linear_time(self):
        assert 1.0 < learned_speed().prefill_seconds(50_000) < 1.2
        assert learned_speed(long_prompts=False).prefill_seconds(50_000) < 1.0

    def test_short_ones_take_linear_time(self):
        assert 0.06 < learned_speed().prefill_seconds(4000) < 0.07

    def test_queueing_is_mostly_not_mistaken_for_prefill(self):
        assert learned_speed(waits=0.1).prefill_seconds(50_000) < 1.4

    def test_prefill_time_is_linear_when_switched_off(self):
        speed = EngineSpeed(long_prompts=False)
        assert speed.prefill_seconds(20_000) == 2 * speed.prefill_seconds(10_000)
