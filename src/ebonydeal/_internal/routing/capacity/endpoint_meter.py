"""One relay's own requests at one endpoint process, as decayed averages."""

from math import exp, inf

from ebonydeal._internal.routing.capacity.capacity_estimator import (
    SAMPLE_WINDOW_S,
    CapacitySample,
)

# The least latency is that of this time to twice this time. Shorter, a burst at a
# loaded endpoint looks like a standing queue; longer, a slower endpoint shows late.
_LEAST_WINDOW_S = 2.0
# Averages over less time than this are chance: one answer after a millisecond is no
# rate of a thousand per second.
_MIN_WINDOW_S = 0.25


class EndpointMeter:
    """Counts the requests that one relay sent to one endpoint process.

    Attributes
    ----------
    running : int
        Requests in flight.
    last_used_at : float
        When a request was last sent or ended.
    """

    def __init__(self, now: float) -> None:
        self.running = 0
        self.last_used_at = now
        self._since = now
        self._at = now
        # Decayed sums: answers, seconds in flight, latencies.
        self._completions = 0.0
        self._in_flight_s = 0.0
        self._latencies = 0.0
        # The same of light requests, and when those in flight were sent.
        self._light_completions = 0.0
        self._light_latencies = 0.0
        self._light_sent_at: list[float] = []
        # Least latency of the current window and the one before.
        self._least = inf
        self._least_before = inf
        self._least_since = now

    def _advance(self, now: float) -> None:
        step = max(0.0, now - self._at)
        if step == 0.0:
            return
        decay = exp(-step / SAMPLE_WINDOW_S)
        self._completions *= decay
        self._latencies *= decay
        self._light_completions *= decay
        self._light_latencies *= decay
        self._in_flight_s *= decay
        self._in_flight_s += self.running * SAMPLE_WINDOW_S * (1.0 - decay)
        self._at = now
        windows = (now - self._least_since) / _LEAST_WINDOW_S
        if windows >= 1.0:
            self._least_before = self._least if windows < 2.0 else inf
            self._least = inf
            self._least_since = now

    def start(self, now: float, light: bool) -> None:
        """Count a request that is sent now."""
        self._advance(now)
        self.running += 1
        if light:
            self._light_sent_at.append(now)
        self.last_used_at = now

    def finish(self, sent_at: float, now: float, answered: bool) -> None:
        """Count the end of a request; its latency only if it was answered."""
        self._advance(now)
        self.running = max(0, self.running - 1)
        light = sent_at in self._light_sent_at
        if light:
            self._light_sent_at.remove(sent_at)
        self.last_used_at = now
        if not answered:
            return
        latency = max(0.0, now - sent_at)
        self._completions += 1.0
        self._latencies += latency
        self._least = min(self._least, latency)
        if light:
            self._light_completions += 1.0
            self._light_latencies += latency

    def sample(self, now: float) -> CapacitySample:
        """Return the averages at ``now``, unbiased from the first request on."""
        self._advance(now)
        window = SAMPLE_WINDOW_S * (1.0 - exp(-(now - self._since) / SAMPLE_WINDOW_S))
        window = max(window, _MIN_WINDOW_S)
        return CapacitySample(
            self._completions / window,
            self._in_flight_s / window,
            self._latencies / window,
            float(self.running),
            self._light_completions / window,
            self._light_latencies / window,
            float(len(self._light_sent_at)),
            sum(now - at for at in self._light_sent_at),
            min(self._least, self._least_before),
        )
