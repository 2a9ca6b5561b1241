"""Requests of callers, their expected answers and their records."""

import json
from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NamedTuple

from ebonydeal._internal.errors import Outcome
from ebonydeal._internal.standin.expected_answers import (
    call_digest,
    expected_answer,
    expected_tokens,
    prompt_digest,
)
from ebonydeal._internal.utils.prefix import prompt_text


class CallKind(StrEnum):
    """Kind of request that callers send."""

    STREAM = "stream"
    """A streamed chat completion."""
    LOOKUP = "lookup"
    """An idempotent call of a plain service."""
    DEFERRED = "deferred"
    """A chat completion that is accepted first and answered later."""
    COMMIT = "commit"
    """A call of a plain service with an idempotency key, which may run at most once."""


class Call(NamedTuple):
    """One request to send.

    Attributes
    ----------
    kind : CallKind
        Kind of the request.
    call_id : str
        Unique in a run; also the idempotency key, if the request has one.
    method, path : str
        Method and path at the gateway.
    body : bytes
        Request body.
    digest : str
        Identifies the request in the logs of endpoints.
    expected : tuple of str
        Expected answer: its tokens, or the whole body as one item.
    """

    kind: CallKind
    call_id: str
    method: str
    path: str
    body: bytes
    digest: str
    expected: tuple[str, ...]


@dataclass
class CallRecord:
    """A caller's record of one request.

    Attributes
    ----------
    received : list of str
        Received answer: its tokens, or the whole body as one item.
    outcome : Outcome or None
        Final outcome as the caller knows it; None if it has none.
    accepted : bool
        Whether an answer was promised, by a 202 or by its first piece.
    in_doubt : bool
        Whether an attempt may have run without being answered.
    attempts, broken_streams : int
        Number of sends, and of streams that broke off after they had begun.
    refusals : Counter of str
        Error codes received.
    started_at, first_at, finished_at : float
        Clock seconds; 0.0 if that did not happen.
    """

    call: Call
    received: list[str] = field(default_factory=list)
    outcome: Outcome | None = None
    accepted: bool = False
    in_doubt: bool = False
    attempts: int = 0
    broken_streams: int = 0
    refusals: Counter[str] = field(default_factory=Counter)
    started_at: float = 0.0
    first_at: float = 0.0
    finished_at: float = 0.0

    @property
    def is_complete(self) -> bool:
        """Whether the caller received the end of its answer."""
        return self.outcome is Outcome.ANSWERED


def chat_call(
    kind: CallKind, call_id: str, model: str, prompt: str, max_tokens: int
) -> Call:
    """Return a chat completion, streamed or deferred."""
    body: dict[str, Any] = {
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": max_tokens,
    }
    path = "/v1/deferred"
    if kind is CallKind.STREAM:
        body["stream"] = True
        path = "/v1/chat/completions"
    expected = expected_tokens(model, prompt_text(body), max_tokens)
    return Call(
        kind,
        call_id,
        "POST",
        path,
        json.dumps(body).encode(),
        prompt_digest(body),
        expected,
    )


def service_call(
    kind: CallKind, call_id: str, service: str, method: str, path: str, body: bytes
) -> Call:
    """Return a call of a plain service; ``path`` is the path at the service."""
    return Call(
        kind,
        call_id,
        method,
        f"/services/{service}{path}",
        body,
        call_digest(method, path, body),
        (expected_answer(method, path, body),),
    )
