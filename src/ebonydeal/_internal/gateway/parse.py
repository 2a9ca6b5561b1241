"""Validates the body and headers of calls; pure functions."""

import math
from collections.abc import Mapping
from typing import Any, NamedTuple

import msgspec
from returns.result import Failure, Result, Success
from xxhash import xxh3_128_hexdigest

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.requests import Priority, RequestKind
from ebonydeal._internal.utils.prefix import prompt_text, split_tokens

PRIORITY_HEADER = "X-Priority"
DEADLINE_HEADER = "X-Deadline-Seconds"
KEY_HEADER = "Idempotency-Key"
_MAX_KEY_CHARS = 255
_MAX_DEADLINE_S = 7 * 86_400.0
_MAX_OUTPUT_TOKENS = 1 << 20
_MAX_MODEL_CHARS = 256
# The engine's field for resumed streams; a caller must not refer to KV caches.
_RESERVED_FIELDS = ("resume",)

Body = dict[str, Any]


class CallOptions(NamedTuple):
    """Options from the headers of a call.

    ``priority`` is None and ``deadline_s`` is 0.0 if the header is absent.
    """

    priority: Priority | None
    deadline_s: float
    key: str


class GenerationCall(NamedTuple):
    """A validated chat or completion call.

    Attributes
    ----------
    kind : RequestKind
        Chat or completion.
    model : str
        Model or adapter name.
    body : dict
        The whole body, unknown fields included.
    stream : bool
        Whether the caller requests server-sent events.
    usage : bool
        Whether a stream ends with a usage chunk.
    prompt_tokens : int
        Estimated number of prompt tokens.
    max_tokens : int
        Maximum number of output tokens; 0 if the caller gave none.
    options : CallOptions
        From the headers.
    """

    kind: RequestKind
    model: str
    body: Body
    stream: bool
    usage: bool
    prompt_tokens: int
    max_tokens: int
    options: CallOptions


def _bad_request(detail: str) -> EbonydealError:
    """Return a BAD_REQUEST error."""
    return EbonydealError(ErrorKind.BAD_REQUEST, detail)


def _read_object(raw: bytes) -> Body:
    """Return the body as an object; raises BAD_REQUEST."""
    try:
        body = msgspec.json.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise _bad_request(f"body is not JSON: {exc}") from exc
    except RecursionError as exc:
        raise _bad_request("body is nested too deeply") from exc
    if not isinstance(body, dict):
        raise _bad_request("body must be a JSON object")
    for name in _RESERVED_FIELDS:
        if name in body:
            raise _bad_request(f"field '{name}' is reserved")
    return body


def _read_flag(body: Body, name: str) -> bool:
    """Return an optional boolean field."""
    value = body.get(name)
    if value is not None and not isinstance(value, bool):
        raise _bad_request(f"'{name}' must be true or false")
    return bool(value)


def _read_model(body: Body) -> str:
    """Return the model's name."""
    model = body.get("model")
    if not isinstance(model, str) or not 0 < len(model) <= _MAX_MODEL_CHARS:
        raise _bad_request("'model' must be a model name")
    return model


def _read_max_tokens(body: Body) -> int:
    """Return the maximum number of output tokens; 0 if none is given."""
    for name in ("max_completion_tokens", "max_tokens"):
        value = body.get(name)
        if value is None:
            continue
        if type(value) is not int or not 1 <= value <= _MAX_OUTPUT_TOKENS:
            raise _bad_request(f"'{name}' must be an integer from 1 to 1048576")
        return value
    return 0


def _check_messages(body: Body) -> None:
    """Check a chat's messages."""
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise _bad_request("'messages' must be a list with at least one message")
    for item in messages:
        if not isinstance(item, dict) or not isinstance(item.get("role"), str):
            raise _bad_request("each message must be an object with a 'role'")


def _check_prompt(body: Body) -> None:
    """Check a completion's prompt."""
    if not isinstance(body.get("prompt"), str):
        raise _bad_request("'prompt' must be a string")


def _check_choices(body: Body) -> None:
    """Refuse several choices: their tokens could not be resumed in order."""
    for name in ("n", "best_of"):
        value = body.get(name)
        if value is not None and (type(value) is not int or value != 1):
            raise _bad_request(f"'{name}' must be 1")


def _read_usage(body: Body) -> bool:
    """Return ``stream_options.include_usage``."""
    options = body.get("stream_options")
    if options is None:
        return False
    if not isinstance(options, dict):
        raise _bad_request("'stream_options' must be an object")
    return _read_flag(options, "include_usage")


def _read_priority(headers: Mapping[str, str]) -> Priority | None:
    """Return the requested priority, if any."""
    value = headers.get(PRIORITY_HEADER)
    if value is None:
        return None
    try:
        return Priority[value.strip().upper()]
    except KeyError:
        names = ", ".join(item.name.lower() for item in Priority)
        raise _bad_request(f"{PRIORITY_HEADER} must be one of {names}") from None


def _read_deadline(headers: Mapping[str, str]) -> float:
    """Return the time limit, seconds; 0.0 if the header is absent."""
    value = headers.get(DEADLINE_HEADER)
    if value is None:
        return 0.0
    try:
        seconds = float(value)
    except ValueError:
        seconds = math.nan
    if not 0 < seconds <= _MAX_DEADLINE_S:
        raise _bad_request(
            f"{DEADLINE_HEADER} must be seconds, above 0, at most 7 days"
        )
    return seconds


def _read_key(headers: Mapping[str, str]) -> str:
    """Return the idempotency key, or an empty string."""
    key = headers.get(KEY_HEADER)
    if key is None:
        return ""
    if not 0 < len(key) <= _MAX_KEY_CHARS or not key.isprintable():
        raise _bad_request(
            f"{KEY_HEADER} must be 1 to {_MAX_KEY_CHARS} printable characters"
        )
    return key


def _read_options(headers: Mapping[str, str]) -> CallOptions:
    """Return the options of the headers; raises BAD_REQUEST."""
    return CallOptions(
        _read_priority(headers), _read_deadline(headers), _read_key(headers)
    )


def parse_options(headers: Mapping[str, str]) -> Result[CallOptions, EbonydealError]:
    """Return the options from the headers of a call."""
    try:
        return Success(_read_options(headers))
    except EbonydealError as exc:
        return Failure(exc)


def _read_generation(
    kind: RequestKind | None, raw: bytes, headers: Mapping[str, str]
) -> GenerationCall:
    """Check a generation call; raises BAD_REQUEST."""
    body = _read_object(raw)
    if kind is None:
        is_chat = "messages" in body or "prompt" not in body
        kind = RequestKind.CHAT if is_chat else RequestKind.COMPLETION
    if kind is RequestKind.CHAT:
        _check_messages(body)
    else:
        _check_prompt(body)
    _check_choices(body)
    return GenerationCall(
        kind=kind,
        model=_read_model(body),
        body=body,
        stream=_read_flag(body, "stream"),
        usage=_read_usage(body),
        prompt_tokens=len(split_tokens(prompt_text(body))),
        max_tokens=_read_max_tokens(body),
        options=_read_options(headers),
    )


def parse_generation(
    kind: RequestKind | None, raw: bytes, headers: Mapping[str, str]
) -> Result[GenerationCall, EbonydealError]:
    """Check a chat or completion body and its headers.

    Parameters
    ----------
    kind : RequestKind or None
        Chat or completion; None to derive it from the body.
    raw : bytes
        Body as received; the listener has checked its size.
    headers : mapping of str to str
        Headers; lookup is case-insensitive.
    """
    try:
        return Success(_read_generation(kind, raw, headers))
    except EbonydealError as exc:
        return Failure(exc)


def body_digest(method: str, path: str, raw: bytes) -> str:
    """Return the digest that detects a reused key with a different call."""
    return xxh3_128_hexdigest(b"\0".join((method.encode(), path.encode(), raw)))
