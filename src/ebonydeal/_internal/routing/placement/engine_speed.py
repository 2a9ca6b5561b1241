"""How fast a service's engines prefill prompts and generate, learned from answers."""

# Prefill rate and base latency assumed before the first answer. A few requests
# replace both with measured values.
_INITIAL_PREFILL_RATE = 50_000.0
_INITIAL_BASE_LATENCY_S = 0.08
# Weights of samples above and below the current rate. The ratio of four to one makes
# the rate settle near the upper fifth of the samples.
_FASTER_SAMPLE_WEIGHT = 0.12
_SLOWER_SAMPLE_WEIGHT = 0.03
_MAX_RATE_STEP_FACTOR = 3.0
# Shorter prompts show the base latency, longer ones the rate.
_BASE_LATENCY_MAX_TOKENS = 600
_BASE_LATENCY_DRIFT = 0.02
_RATE_MIN_TOKENS = 3000
# From this length on the quadratic part of the prefill time is measurable: each token
# is compared with all before it. Long prompts are rare, so the initial value is a
# guess that adds a fifth at 25,000 tokens, and each sample has a large weight.
_QUADRATIC_MIN_TOKENS = 12_000
_INITIAL_QUADRATIC_S = 1.2e-10
_SLOWER_QUADRATIC_WEIGHT = 0.1
_FASTER_QUADRATIC_WEIGHT = 0.3
# Seconds per output token assumed before the first stream ends, and the weight of one
# stream in the average.
_INITIAL_TOKEN_S = 0.02
_STREAM_WEIGHT = 0.05


class EngineSpeed:
    """The speed of a service's engines as one relay has measured it.

    Parameters
    ----------
    long_prompts : bool
        Whether to learn the quadratic part of the prefill time of long prompts.

    Attributes
    ----------
    prefill_rate : float
        Prompt tokens prefilled per second.
    base_latency_s : float
        Seconds to the first event besides prefill.
    quadratic_s : float
        Seconds of prefill per squared prompt token, in addition to the linear part.
    is_learned : bool
        Whether a prompt has shown the prefill rate.
    token_s : float
        Seconds per output token.
    """

    def __init__(self, long_prompts: bool = True) -> None:
        self._long_prompts = long_prompts
        self.prefill_rate = _INITIAL_PREFILL_RATE
        self.base_latency_s = _INITIAL_BASE_LATENCY_S
        self.quadratic_s = _INITIAL_QUADRATIC_S if long_prompts else 0.0
        self.token_s = _INITIAL_TOKEN_S
        self.is_learned = False

    def prefill_seconds(self, tokens: float) -> float:
        """Return the seconds that an engine needs to prefill so many tokens."""
        return tokens / self.prefill_rate + self.quadratic_s * tokens * tokens

    def answer_seconds(self, tokens: int) -> float:
        """Return the seconds that an answer of so many tokens is expected to take."""
        return self.base_latency_s + tokens * self.token_s

    def record_first_event(
        self, prefilled: float, seconds: float, relative_speed: float = 1.0
    ) -> None:
        """Learn from the time to a first event and the tokens prefilled for it.

        ``relative_speed`` is the engine's speed relative to its service: the rate is
        that of an engine of speed 1.0.
        """
        if prefilled < _BASE_LATENCY_MAX_TOKENS:
            # The base latency is the minimum seen, which decays slowly.
            self.base_latency_s = min(
                seconds,
                self.base_latency_s
                + _BASE_LATENCY_DRIFT * (seconds - self.base_latency_s),
            )
            return
        prefill_s = (seconds - self.base_latency_s) * relative_speed
        if prefilled < _RATE_MIN_TOKENS or prefill_s <= 0.0:
            return
        self.is_learned = True
        if prefilled >= _QUADRATIC_MIN_TOKENS and self._long_prompts:
            self._learn_quadratic(prefilled, prefill_s)
            return
        rate = min(prefilled / prefill_s, _MAX_RATE_STEP_FACTOR * self.prefill_rate)
        # Queueing only ever lowers a sample, so higher samples say more about the
        # engine's speed.
        weight = (
            _FASTER_SAMPLE_WEIGHT if rate > self.prefill_rate else _SLOWER_SAMPLE_WEIGHT
        )
        self.prefill_rate += weight * (rate - self.prefill_rate)

    def _learn_quadratic(self, tokens: float, prefill_s: float) -> None:
        """Learn the quadratic part from a long prompt.

        Queueing only ever raises a sample, so lower samples get the higher weight.
        """
        sample = max(0.0, prefill_s - tokens / self.prefill_rate) / (tokens * tokens)
        weight = (
            _FASTER_QUADRATIC_WEIGHT
            if sample < self.quadratic_s
            else _SLOWER_QUADRATIC_WEIGHT
        )
        self.quadratic_s += weight * (sample - self.quadratic_s)

    def record_stream(
        self, tokens: int, seconds: float, relative_speed: float = 1.0
    ) -> None:
        """Learn from the duration of a complete stream after its first event."""
        if tokens > 0 and seconds > 0.0:
            token_s = seconds * relative_speed / tokens
            self.token_s += _STREAM_WEIGHT * (token_s - self.token_s)
