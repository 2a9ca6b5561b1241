"""Attempts of this gateway at each endpoint, and speeds learned from answers."""

from collections.abc import Sequence
from dataclasses import dataclass, field

_SERVICE_TIME_WEIGHT = 0.05
_QUEUE_WEIGHT = 0.3
_PREFILL_RATE_DECAY = 0.999
_PREFILL_RATE_MIN_TOKENS = 64


@dataclass
class Attempt:
    """An attempt that was sent and has not ended."""

    request_id: str
    deployment: str
    blocks: Sequence[str]
    sent_at: float
    uncached_tokens: float
    cached_tokens: float
    target_s: float
    first_token_at: float | None = None


@dataclass
class EndpointAttempts:
    """Attempts of this gateway at one endpoint, and the queueing time seen there."""

    attempts: dict[str, Attempt] = field(default_factory=dict)

    queue_s: float = 0.0
    queue_at: float = 0.0

    def record_queue_time(self, seconds: float, now: float, half_life: float) -> None:
        """Learn how long a request waited for others before its own prefill."""
        known = self.current_queue_time(now, half_life)
        self.queue_s = known + _QUEUE_WEIGHT * (max(0.0, seconds) - known)
        self.queue_at = now

    def current_queue_time(self, now: float, half_life: float) -> float:
        """Return the expected queueing time; it decays since the last sample."""
        return self.queue_s * 0.5 ** (max(0.0, now - self.queue_at) / half_life)

    def sent_since(self, at: float) -> int:
        """Return how many unfinished attempts were sent after ``at``."""
        return sum(1 for item in self.attempts.values() if item.sent_at > at)

    def pending_prefill_tokens(self) -> float:
        """Return the tokens of this gateway's attempts that are still to prefill."""
        return sum(
            item.uncached_tokens
            for item in self.attempts.values()
            if item.first_token_at is None
        )

    def end(self, request_id: str) -> Attempt | None:
        """Remove and return an attempt."""
        return self.attempts.pop(request_id, None)


@dataclass
class LearnedRates:
    """Speeds learned for one deployment.

    ``prefill`` is tokens per second of one endpoint, and ``service_s`` the seconds from
    the first token to the end of an answer. ``gateways`` estimates how many gateways
    with this one's load the endpoints serve, from ``samples`` comparisons with their
    reports.
    """

    prefill: float
    service_s: float
    gateways: float = 1.0
    samples: int = 0

    def record_prefill(self, tokens: int, seconds: float) -> None:
        """Learn the prefill rate from a first token.

        Queueing makes single samples too slow, so the highest one counts and decays.
        """
        if tokens < _PREFILL_RATE_MIN_TOKENS or seconds <= 0.0:
            return
        self.prefill = max(self.prefill * _PREFILL_RATE_DECAY, tokens / seconds)

    def record_service_time(self, seconds: float) -> None:
        """Learn the time from the first token to the end."""
        self.service_s += _SERVICE_TIME_WEIGHT * (max(0.0, seconds) - self.service_s)
