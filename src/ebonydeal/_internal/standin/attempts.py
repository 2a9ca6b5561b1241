"""Capabilities of a simulated engine, and the attempts it runs."""

import asyncio
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NamedTuple

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.standin.expected_answers import (
    expected_tokens,
    finish_reason,
    max_tokens_of,
    prompt_digest,
)
from ebonydeal._internal.utils.prefix import prefix_blocks, prompt_text, split_tokens


class EngineSpec(NamedTuple):
    """Capabilities of a simulated engine.

    Attributes
    ----------
    slots : int
        Maximum number of streams in one batch.
    tokens_per_s : float
        Token rate of a stream that is alone in the batch.
    batch_slowdown : float
        Fraction of its rate that a stream loses in a full batch.
    prefill_per_s : float
        Prompt tokens prefilled per second.
    cache_blocks : int
        Capacity of the prefix cache, in blocks of `utils.prefix.BLOCK_TOKENS` tokens.
    event_lag, event_loss : float
        Seconds until a cache event is reported; fraction of events never reported.
    load_lag : float
        Seconds for which a load report is reused.
    kv_tokens_per_s : float
        Tokens of KV cache transferred per second, on export and on import.
    kv_gb_per_token : float
        Size of one token's KV cache.
    load_seconds : float
        Time to load one model.
    checks_fence : bool
        Whether an order with an outdated fencing token is refused.
    """

    slots: int = 8
    tokens_per_s: float = 50.0
    batch_slowdown: float = 0.5
    prefill_per_s: float = 4000.0
    cache_blocks: int = 2048
    event_lag: float = 1.0
    event_loss: float = 0.02
    load_lag: float = 0.5
    kv_tokens_per_s: float = 20000.0
    kv_gb_per_token: float = 0.0001
    load_seconds: float = 2.0
    checks_fence: bool = True

    def at_speed(self, factor: float) -> "EngineSpec":
        """Return the same engine, running ``factor`` times as fast."""
        return self._replace(
            tokens_per_s=self.tokens_per_s * factor,
            prefill_per_s=self.prefill_per_s * factor,
            event_lag=self.event_lag / factor,
            load_lag=self.load_lag / factor,
            kv_tokens_per_s=self.kv_tokens_per_s * factor,
            load_seconds=self.load_seconds / factor,
        )


class AttemptState(StrEnum):
    """State of an attempt at an engine."""

    QUEUED = "queued"
    NOT_STARTED = "not_started"
    RUNNING = "running"
    STOPPED = "stopped"
    FINISHED = "finished"
    DROPPED = "dropped"


@dataclass
class Attempt:
    """One attempt at a request, and its log entry."""

    attempt_id: str
    path: str
    model: str
    prompt: str
    digest: str
    tokens: tuple[str, ...]
    finish: str
    start: int
    matches: bool
    kv_handle: str
    priority: int
    position: int = 0
    cached: int = 0
    prefilled: int = 0
    state: AttemptState = AttemptState.QUEUED
    waiter: asyncio.Future[None] | None = None
    entry: dict[str, Any] = field(default_factory=dict)

    @classmethod
    def from_request(
        cls, path: str, body: dict[str, Any], attempt_id: str
    ) -> "Attempt":
        """Build from a request's body; raises BAD_REQUEST."""
        model, prompt = body.get("model"), prompt_text(body)
        resume = body.get("resume") or {}
        if not isinstance(model, str) or not prompt:
            raise EbonydealError(
                ErrorKind.BAD_REQUEST, "a model and a prompt are required"
            )
        if body.get("stream") is not True:
            raise EbonydealError(
                ErrorKind.BAD_REQUEST, "only streaming requests are supported"
            )
        delivered = tuple(resume.get("delivered", ()))
        limit = max_tokens_of(body)
        tokens = expected_tokens(model, prompt, limit)
        return cls(
            attempt_id=attempt_id,
            path=path,
            model=model,
            prompt=prompt,
            digest=prompt_digest(body),
            tokens=tokens,
            finish=finish_reason(model, prompt, limit),
            start=len(delivered),
            matches=delivered == tokens[: len(delivered)],
            kv_handle=str(resume.get("kv_handle", "")),
            priority=int(body.get("priority") or 1),
            position=len(delivered),
        )

    def text(self) -> str:
        """Return the prompt and the tokens generated so far."""
        return f"{self.prompt} {''.join(self.tokens[: self.position])}"

    def blocks(self) -> tuple[str, ...]:
        """Return the prefix blocks of `text`."""
        return prefix_blocks(self.model, self.text())

    def size(self) -> int:
        """Return the number of tokens of `text`."""
        return len(split_tokens(self.prompt)) + self.position

    def update_entry(self) -> None:
        """Update the log entry."""
        self.entry.update(
            attempt_id=self.attempt_id,
            model=self.model,
            digest=self.digest,
            start=self.start,
            position=self.position,
            cached=self.cached,
            prefilled=self.prefilled,
            state=str(self.state),
            matches=self.matches,
        )
