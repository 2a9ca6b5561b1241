"""Callers' requests: what each asks for, what it must get, and what it got."""

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
    """What callers send."""

    STREAM = "stream"
    """A streamed chat completion."""
    LOOKUP = "lookup"
    """An idempotent call of a plain service."""
    DEFERRED = "deferred"
    """A chat completion that is accepted now and answered later."""
    COMMIT = "commit"
    """A call of a plain service under a key, that may run once at most."""


class Call(NamedTuple):
    """One request to be sent.

    Attributes
    ----------
    kind : CallKind
        What it is.
    call_id : str
        Unique in a run; also the idempotency key of those that have one.
    method, path : str
        At the gateway.
    body : bytes
        As sent.
    digest : str
        What endpoints' logs call it.
    expected : tuple of str
        Tokens, or the one body, that must come back.
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
    """A caller's own log of one request.

    Attributes
    ----------
    got : list of str
        Tokens, or the one body, as received.
    outcome : Outcome or None
        What the caller was told in the end; None if it was never told.
    accepted : bool
        Whether it was promised an answer: a 202, or the first piece of one.
    in_doubt : bool
        Whether a try ended without any answer.
    tries, breaks : int
        Times it was sent, and times a begun answer broke off.
    refusals : Counter of str
        Error codes received.
    started, first, finished : float
        Clock seconds; 0.0 where it never came to that.
    """

    call: Call
    received: list[str] = field(default_factory=list)
    outcome: Outcome | None = None
    accepted: bool = False
    in_doubt: bool = False
    attempts: int = 0
    broken_streams: int = 0
    refusals: Counter[str] = field(default_factory=Counter)
    started: float = 0.0
    first: float = 0.0
    finished: float = 0.0

    @property
    def is_complete(self) -> bool:
        """Whether the caller was told that it has its whole answer."""
        return self.outcome is Outcome.ANSWERED


def chat_call(
    kind: CallKind, call_id: str, model: str, prompt: str, max_tokens: int
) -> Call:
    """Return a chat completion, streamed or for later."""
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
    """Return a call of a plain service; ``path`` as the service sees it."""
    return Call(
        kind,
        call_id,
        method,
        f"/services/{service}{path}",
        body,
        call_digest(method, path, body),
        (expected_answer(method, path, body),),
    )
