"""What stand-in endpoints answer: pure functions of what they were asked.

Any caller's answer can so be checked by its content alone, whichever endpoints
it came from.
"""

import json

from xxhash import xxh3_64_hexdigest, xxh3_64_intdigest

from ebonydeal._internal.utils.prefix import prompt_text

_WORDS = 9973
_SHORTEST = 8
_SPREAD = 248
_DEFAULT_MAX = 64


def expected_length(model: str, prompt: str) -> int:
    """Return how many tokens the model writes when nothing stops it."""
    return _SHORTEST + xxh3_64_intdigest(f"{model}\0{prompt}".encode()) % _SPREAD


def expected_token(model: str, prompt: str, position: int) -> str:
    """Return the text of the token at ``position``."""
    word = xxh3_64_intdigest(f"{model}\0{prompt}\0{position}".encode()) % _WORDS
    return f"w{word} "


def expected_tokens(model: str, prompt: str, max_tokens: int) -> tuple[str, ...]:
    """Return the whole answer to a prompt, token by token."""
    count = min(max_tokens, expected_length(model, prompt))
    return tuple(expected_token(model, prompt, position) for position in range(count))


def finish_reason(model: str, prompt: str, max_tokens: int) -> str:
    """Return why the answer ends where it does."""
    return "length" if expected_length(model, prompt) > max_tokens else "stop"


def max_tokens_of(body: dict) -> int:
    """Return the token limit of a chat or completion body."""
    for name in ("max_completion_tokens", "max_tokens"):
        if isinstance(body.get(name), int):
            return body[name]
    return _DEFAULT_MAX


def prompt_digest(body: dict) -> str:
    """Return what engines' logs call a prompt: model, text and limit."""
    text = f"{body.get('model')}\0{prompt_text(body)}\0{max_tokens_of(body)}"
    return xxh3_64_hexdigest(text.encode())


def call_digest(method: str, path: str, body: bytes) -> str:
    """Return what plain services' logs call a call's content."""
    return xxh3_64_hexdigest(f"{method}\0{path}\0".encode() + body)


def expected_answer(method: str, path: str, body: bytes) -> str:
    """Return the body that a plain service answers to a call."""
    return json.dumps({"path": path, "digest": call_digest(method, path, body)})
