"""Answers of the simulated endpoints, as pure functions of the request.

A caller's answer can therefore be checked by its content alone, whichever
endpoints generated it.
"""

import json

from xxhash import xxh3_64_hexdigest, xxh3_64_intdigest

from ebonydeal._internal.utils.prefix import prompt_text

_VOCABULARY_SIZE = 9973
_MIN_TOKENS = 8
_TOKEN_RANGE = 248
_DEFAULT_MAX_TOKENS = 64


def expected_length(model: str, prompt: str) -> int:
    """Return how many tokens the model generates without a token limit."""
    return _MIN_TOKENS + xxh3_64_intdigest(f"{model}\0{prompt}".encode()) % _TOKEN_RANGE


def expected_token(model: str, prompt: str, position: int) -> str:
    """Return the text of the token at ``position``."""
    word = (
        xxh3_64_intdigest(f"{model}\0{prompt}\0{position}".encode()) % _VOCABULARY_SIZE
    )
    return f"w{word} "


def expected_tokens(model: str, prompt: str, max_tokens: int) -> tuple[str, ...]:
    """Return the whole answer to a prompt, token by token."""
    count = min(max_tokens, expected_length(model, prompt))
    return tuple(expected_token(model, prompt, position) for position in range(count))


def finish_reason(model: str, prompt: str, max_tokens: int) -> str:
    """Return the finish reason of the answer."""
    return "length" if expected_length(model, prompt) > max_tokens else "stop"


def max_tokens_of(body: dict) -> int:
    """Return the token limit of a chat or completion body."""
    for name in ("max_completion_tokens", "max_tokens"):
        if isinstance(body.get(name), int):
            return body[name]
    return _DEFAULT_MAX_TOKENS


def prompt_digest(body: dict) -> str:
    """Return the digest of model, prompt and limit that engines log."""
    text = f"{body.get('model')}\0{prompt_text(body)}\0{max_tokens_of(body)}"
    return xxh3_64_hexdigest(text.encode())


def call_digest(method: str, path: str, body: bytes) -> str:
    """Return the digest of a call that plain services log."""
    return xxh3_64_hexdigest(f"{method}\0{path}\0".encode() + body)


def expected_answer(method: str, path: str, body: bytes) -> str:
    """Return the body of a plain service's answer to a call."""
    return json.dumps({"path": path, "digest": call_digest(method, path, body)})
