"""What this gateway sent to each endpoint, and what it learned from answers."""

from collections.abc import Sequence
from dataclasses import dataclass, field

_LEARN = 0.05
_LEARN_QUEUE = 0.3
_RATE_DECAY = 0.999
_RATE_LEAST_TOKENS = 64


@dataclass
class Attempt:
    """A try that was sent and has not ended."""

    request_id: str
    deployment: str
    blocks: Sequence[str]
    sent_at: float
    missed_tokens: float
    cached_tokens: float
    target_s: float
    first_token_at: float | None = None


@dataclass
class EndpointAttempts:
    """Own attempts at one endpoint."""

    attempts: dict[str, Attempt] = field(default_factory=dict)

    queue_s: float = 0.0
    queue_at: float = 0.0

    def queued(self, seconds: float, now: float, half_life: float) -> None:
        """Learn how long a request waited for others before its own prefill."""
        known = self.queue_now(now, half_life)
        self.queue_s = known + _LEARN_QUEUE * (max(0.0, seconds) - known)
        self.queue_at = now

    def queue_now(self, now: float, half_life: float) -> float:
        """Return the wait to expect, less the older the last one is."""
        return self.queue_s * 0.5 ** (max(0.0, now - self.queue_at) / half_life)

    def since(self, at: float) -> int:
        """Return how many unfinished attempts were sent after ``at``."""
        return sum(1 for item in self.attempts.values() if item.sent_at > at)

    def prefilling(self) -> float:
        """Return the tokens that own attempts still have to prefill."""
        return sum(
            item.missed_tokens
            for item in self.attempts.values()
            if item.first_token_at is None
        )

    def end(self, request_id: str) -> Attempt | None:
        """Remove an attempt."""
        return self.attempts.pop(request_id, None)


@dataclass
class LearnedRates:
    """Learned speeds of one deployment.

    ``prefill`` in tokens per second of one endpoint; ``service_s`` from first
    token to the end of an answer, seconds; ``gateways`` how many like this one
    the endpoints seem to serve, from ``looks`` looks at their load.
    """

    prefill: float
    service_s: float
    gateways: float = 1.0
    looks: int = 0

    def prefilled(self, tokens: int, seconds: float) -> None:
        """Learn from a first token; waiting makes a single one look too slow."""
        if tokens < _RATE_LEAST_TOKENS or seconds <= 0.0:
            return
        self.prefill = max(self.prefill * _RATE_DECAY, tokens / seconds)

    def served(self, seconds: float) -> None:
        """Learn the time from first token to end."""
        self.service_s += _LEARN * (max(0.0, seconds) - self.service_s)
