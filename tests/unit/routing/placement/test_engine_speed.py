import random

from ebonydeal._internal.routing.placement.engine_speed import EngineSpeed


def taught(long_prompts=True, waits=0.0, seed=1):
    """Return a speed learned from engines that read 66 tokens a millisecond.

    Each token is compared with all before it, 0.138 ms for a million of pairs.
    """
    speed = EngineSpeed(long_prompts)
    rng = random.Random(seed)
    for _ in range(600):
        tokens = rng.choice([300, 4000, 8000, 20_000, 40_000])
        took = 0.02 + tokens / 66_000.0 + 0.138e-9 * tokens**2
        speed.record_first_event(tokens, took + rng.expovariate(1.0) * waits)
    return speed


class TestLongPrompts:
    def test_take_more_than_their_share(self):
        assert 1.0 < taught().prefill_seconds(50_000) < 1.2
        assert taught(long_prompts=False).prefill_seconds(50_000) < 1.0

    def test_short_ones_take_their_share(self):
        assert 0.06 < taught().prefill_seconds(4000) < 0.07

    def test_waiting_behind_others_is_mostly_not_taken_for_reading(self):
        assert taught(waits=0.1).prefill_seconds(50_000) < 1.4

    def test_switched_off_is_a_straight_line(self):
        speed = EngineSpeed(long_prompts=False)
        assert speed.prefill_seconds(20_000) == 2 * speed.prefill_seconds(10_000)
