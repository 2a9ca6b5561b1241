"""How fast a service's engines read prompts and make tokens, learned from answers."""

# Reading rate and fixed time assumed before any answer was seen; both are
# replaced by what answers show within a few requests.
_FIRST_RATE = 50_000.0
_FIRST_BASE_S = 0.08
# Weights of samples above and below what is held; four to one makes the rate
# settle near the upper fifth of them.
_RATE_UP = 0.12
_RATE_DOWN = 0.03
_RATE_MOST_STEP = 3.0
# Shorter prompts show the fixed time, longer ones the rate.
_BASE_MOST_TOKENS = 600
_BASE_DRIFT = 0.02
_RATE_LEAST_TOKENS = 3000
# From here on a prompt shows what it takes beyond its share: each token is compared
# with all before it. Long prompts are few, so the beginning is a guess, a fifth at
# 25,000 tokens, and each says much.
_CURVE_LEAST_TOKENS = 12_000
_FIRST_CURVE = 1.2e-10
_CURVE_UP = 0.1
_CURVE_DOWN = 0.3
# Seconds for one output token assumed before any stream ended, and the weight of
# a stream in the average.
_FIRST_PACE_S = 0.02
_PACE_WEIGHT = 0.05


class EngineSpeed:
    """What a relay learned of the engines.

    Parameters
    ----------
    long_prompts : bool
        Whether to learn what long prompts take beyond their share.

    Attributes
    ----------
    rate : float
        Prompt tokens that are read a second.
    base : float
        Seconds to the first event besides reading.
    curve : float
        Seconds that a prompt takes beyond its share, by its tokens squared.
    """

    def __init__(self, long_prompts: bool = True) -> None:
        self._long_prompts = long_prompts
        self.prefill_rate = _FIRST_RATE
        self.base_latency_s = _FIRST_BASE_S
        self.curve = _FIRST_CURVE if long_prompts else 0.0
        self._pace = _FIRST_PACE_S

    def prefill_seconds(self, tokens: float) -> float:
        """Return the seconds that an engine needs to read so many tokens."""
        return tokens / self.prefill_rate + self.curve * tokens * tokens

    def answer_seconds(self, tokens: int) -> float:
        """Return the seconds that an answer of so many tokens is expected to take."""
        return self.base_latency_s + tokens * self._pace

    def record_first_event(self, uncached_tokens: float, took: float) -> None:
        """Learn from one first event: tokens that were read, and seconds."""
        if uncached_tokens < _BASE_MOST_TOKENS:
            # The fixed time is the least that is seen, and forgets slowly.
            self.base_latency_s = min(
                took, self.base_latency_s + _BASE_DRIFT * (took - self.base_latency_s)
            )
            return
        spare = took - self.base_latency_s
        if uncached_tokens < _RATE_LEAST_TOKENS or spare <= 0.0:
            return
        if uncached_tokens >= _CURVE_LEAST_TOKENS and self._long_prompts:
            self._learn_curve(uncached_tokens, spare)
            return
        prefill_rate = min(uncached_tokens / spare, _RATE_MOST_STEP * self.prefill_rate)
        # Waiting behind others only ever lowers a sample, so those that are
        # higher say more of what the engine can do.
        weight = _RATE_UP if prefill_rate > self.prefill_rate else _RATE_DOWN
        self.prefill_rate += weight * (prefill_rate - self.prefill_rate)

    def _learn_curve(self, tokens: float, spare: float) -> None:
        """Take from a long prompt what it took beyond its share.

        Waiting behind others only ever adds to it, so low samples say more.
        """
        beyond = max(0.0, spare - tokens / self.prefill_rate) / (tokens * tokens)
        weight = _CURVE_DOWN if beyond < self.curve else _CURVE_UP
        self.curve += weight * (beyond - self.curve)

    def record_stream(self, tokens: int, seconds: float) -> None:
        """Note how long a whole stream took after its first event."""
        if tokens > 0 and seconds > 0.0:
            self._pace += _PACE_WEIGHT * (seconds / tokens - self._pace)
