"""Values of a stand-in engine: what it can do, and what it was asked."""

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
    """What a stand-in engine can do.

    Attributes
    ----------
    slots : int
        Streams in one batch.
    tokens_per_s : float
        Of one stream alone in the batch.
    batch_slowdown : float
        Share of its rate that a stream loses in a full batch.
    prefill_per_s : float
        Prompt tokens computed a second.
    cache_blocks : int
        Blocks of `utils.prefix.BLOCK_TOKENS` tokens that the prefix cache holds.
    event_lag, event_loss : float
        Seconds until a cache event is told; share of events never told.
    load_lag : float
        Seconds for which a load report is told again.
    kv_tokens_per_s : float
        KV cache moved a second, on export and on import.
    kv_gb_per_token : float
        Size of the KV cache of one token.
    load_seconds : float
        Time to load one model.
    checks_fence : bool
        Whether an order with an old fencing number is refused.
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
        """Return the same engine at ``factor`` times the speed."""
        return self._replace(
            tokens_per_s=self.tokens_per_s * factor,
            prefill_per_s=self.prefill_per_s * factor,
            event_lag=self.event_lag / factor,
            load_lag=self.load_lag / factor,
            kv_tokens_per_s=self.kv_tokens_per_s * factor,
            load_seconds=self.load_seconds / factor,
        )


class AttemptState(StrEnum):
    """Life of an attempt at an engine."""

    QUEUED = "queued"
    NOT_STARTED = "not_started"
    RUNNING = "running"
    STOPPED = "stopped"
    FINISHED = "finished"
    DROPPED = "dropped"


@dataclass
class Attempt:
    """One attempt, from arrival to its end."""

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
            raise EbonydealError(ErrorKind.BAD_REQUEST, "a model and a prompt, please")
        if body.get("stream") is not True:
            raise EbonydealError(ErrorKind.BAD_REQUEST, "only streams are served")
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
        """Return the prompt and what is written so far."""
        return f"{self.prompt} {''.join(self.tokens[: self.position])}"

    def blocks(self) -> tuple[str, ...]:
        """Return the blocks of `text`."""
        return prefix_blocks(self.model, self.text())

    def size(self) -> int:
        """Return the tokens of `text`."""
        return len(split_tokens(self.prompt)) + self.position

    def note(self) -> None:
        """Bring the log entry up to date."""
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
