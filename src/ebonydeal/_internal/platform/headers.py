"""HTTP headers of the platform: of clients' requests, of sends and of answers."""

import math
from collections.abc import Iterable, Mapping
from http import HTTPStatus

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.forwarding import (
    AnswerHead,
    EndpointNotice,
    ForwardedRequest,
    PromptPart,
    SendMetadata,
)

REQUEST_ID = "Ebonydeal-Request-Id"
ENDPOINT_ID = "Ebonydeal-Replica-Id"
DEADLINE = "Ebonydeal-Deadline-Ms"
EXPECT_ENDPOINT = "Ebonydeal-Expect-Replica"
ACCOUNT = "Ebonydeal-Tenant"
PRIORITY = "Ebonydeal-Request-Priority"
TOKENS = "Ebonydeal-Token-Usage"
PROMPT = "Ebonydeal-Prompt-Prefix"
LENGTH_HINT = "Ebonydeal-Length-Hint"
SIGNATURE = "Ebonydeal-Server-Signature"
NOT_RUN = "Ebonydeal-Not-Executed"
# Requests per second that the endpoint accepts from all callers together.
LIMIT = "Server-Limit"
LEAVING = "Server-Leaving"
BACKOFF = "Retry-After"
# Requests per second that the endpoint can reject for want of room without failing.
BRITTLE = "Server-Brittle"
LAST_EVENT = "Last-Event-Id"
# The client's attempt that brought the first event of a stream that it resumes.
RESUMES = "Resumes"
# The relay's ticket for the time at which a refused request may return.
RETRY_TICKET = "X-Retry-Ticket"
KV_CACHE = "Kv-From"
KV_FETCH = "Kv-Fetch"
_BEARER = "bearer "
_MS = 1000.0
_YES, _NO = "1", "0"
# Characters of an unreadable value that are kept for the log.
_MAX_QUOTED_CHARS = 40
_MAX_DIGITS = 15

# Hop-by-hop headers (RFC 9110, 7.6.1), and those that the HTTP library writes itself.
# All sets of header names here are in lower case.
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    }
)
# Only this system may set these; a client's are dropped.
_SYSTEM = frozenset(
    {
        "authorization",
        DEADLINE.lower(),
        EXPECT_ENDPOINT.lower(),
        ACCOUNT.lower(),
        PRIORITY.lower(),
        LAST_EVENT.lower(),
        "ebonydeal-expect-version",
        "ebonydeal-hold",
        "ebonydeal-pin-ms",
        "ebonydeal-kv-backup",
        KV_CACHE.lower(),
        KV_FETCH.lower(),
        NOT_RUN.lower(),
        RETRY_TICKET.lower(),
    }
)
_MISDIRECTED = HTTPStatus.MISDIRECTED_REQUEST
# An endpoint's own success, 500 or 504 has run, whatever else its head states.
_REJECTIONS = frozenset({400, 408, 421, 429, 503})
Pairs = Iterable[tuple[str, str]]


def _connection_options(pairs: list[tuple[str, str]]) -> frozenset[str]:
    """Return the header names that ``Connection`` declares to be hop-by-hop."""
    named = [v for name, v in pairs if name.lower() == "connection"]
    return frozenset(word.strip().lower() for v in named for word in v.split(","))


def _bad_request(detail: str) -> EbonydealError:
    return EbonydealError(ErrorKind.BAD_REQUEST, detail)


def _whole_number(text: str) -> int | None:
    """Return a number in decimal digits that a float holds exactly, else None."""
    if not (text.isascii() and text.isdigit() and len(text) <= _MAX_DIGITS):
        return None
    return int(text)


def _tokens(text: str | None) -> tuple[int | None, int]:
    """Return prompt tokens and maximum output tokens; (None, 0) if not stated."""
    if text is None:
        return None, 0
    numbers = [_whole_number(word.strip()) for word in text.split(",")]
    match numbers:
        case [int(prompt), int(output)]:
            return prompt, output
    raise _bad_request(f"{TOKENS} must be two whole numbers")


def _parts(text: str | None) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt; raises BAD_REQUEST for a malformed list."""
    if not text:
        return ()
    parts = []
    for entry in text.split(","):
        part_id, _sep, tokens = entry.strip().partition(":")
        count = _whole_number(tokens)
        if count is None:
            raise _bad_request(f"{PROMPT} has an entry without a token count")
        parts.append(PromptPart(part_id, count))
    return tuple(parts)


def _seconds(text: str | None) -> float | None:
    """Return a time in ms as seconds; raises BAD_REQUEST."""
    if text is None:
        return None
    try:
        ms = float(text)
    except ValueError:
        ms = math.nan
    if not math.isfinite(ms):
        raise _bad_request(f"{DEADLINE} must be a number")
    return max(0.0, ms) / _MS


def read_request(method: str, target: str, pairs: Pairs) -> ForwardedRequest:
    """Return a client's request; raises BAD_REQUEST if it is malformed."""
    listed = list(pairs)
    first = {name.lower(): value for name, value in reversed(listed)}
    request_id = first.get(REQUEST_ID.lower(), "")
    if not request_id:
        raise _bad_request(f"the request has no {REQUEST_ID}")
    credential = first.get("authorization", "")
    if credential.lower().startswith(_BEARER):
        credential = credential[len(_BEARER) :].strip()
    prompt, output = _tokens(first.get(TOKENS.lower()))
    dropped = _HOP_BY_HOP | _SYSTEM | _connection_options(listed)
    return ForwardedRequest(
        request_id=request_id,
        method=method,
        target=target,
        host=first.get("host", ""),
        credential=credential,
        client_timeout=_seconds(first.get(DEADLINE.lower())),
        prompt_tokens=prompt,
        output_tokens=output,
        parts=_parts(first.get(PROMPT.lower())),
        length_hint=_whole_number(first.get(LENGTH_HINT.lower(), "")),
        last_event=first.get(LAST_EVENT.lower(), ""),
        first_attempt=first.get(RESUMES.lower(), ""),
        headers=tuple((n, v) for n, v in listed if n.lower() not in dropped),
        retry_ticket=first.get(RETRY_TICKET.lower(), ""),
    )


def request_headers(req: ForwardedRequest, send: SendMetadata) -> list[tuple[str, str]]:
    """Return the headers of one send to an endpoint."""
    block = list(req.headers)
    block.append((DEADLINE, str(max(1, int(send.time_left * _MS)))))
    block.append((EXPECT_ENDPOINT, send.endpoint_id))
    if send.account:
        block.append((ACCOUNT, send.account))
    if send.priority is not None:
        block.append((PRIORITY, str(send.priority)))
    if send.last_event:
        block.append((LAST_EVENT, send.last_event))
    if send.kv_cache is not None:
        block.append((KV_CACHE, f"{send.kv_cache.address}/{send.kv_cache.handle}"))
    if send.fetch_from:
        block.append((KV_FETCH, send.fetch_from))
    return block


def _keepalive_s(text: str | None) -> float | None:
    """Return the timeout of a ``Keep-Alive`` header, seconds."""
    for word in (text or "").split(","):
        key, _sep, value = word.strip().partition("=")
        if key.lower() == "timeout":
            return _whole_number(value.strip())
    return None


def _number(text: str) -> float | None:
    """Return a number that is finite and not negative, or None for anything else."""
    try:
        value = float(text)
    except ValueError:
        return None
    return value if math.isfinite(value) and value >= 0.0 else None


def _notice(status: int, first: Mapping[str, str]) -> EndpointNotice:
    """Return what an endpoint reports of itself; names are in lower case."""
    unreadable = []

    def number(name: str) -> float | None:
        text = first.get(name.lower())
        value = None if text is None else _number(text)
        if text is not None and value is None:
            unreadable.append(f"{name}: {text[:_MAX_QUOTED_CHARS]}")
        return value

    limit = number(LIMIT)
    backoff_s = number(BACKOFF) if status == HTTPStatus.SERVICE_UNAVAILABLE else None
    leaving = first.get(LEAVING.lower(), _NO)
    if leaving not in (_YES, _NO):
        unreadable.append(f"{LEAVING}: {leaving[:_MAX_QUOTED_CHARS]}")
    max_rejections = number(BRITTLE)
    return EndpointNotice(
        limit, leaving == _YES, backoff_s or 0.0, tuple(unreadable), max_rejections
    )


def read_answer(status: int, pairs: Pairs) -> AnswerHead:
    """Return the head of an endpoint's answer."""
    listed = list(pairs)
    first = {name.lower(): value for name, value in reversed(listed)}
    dropped = _HOP_BY_HOP | _connection_options(listed)
    encoding = first.get("content-encoding", "identity").lower()
    is_rejection = status in _REJECTIONS and NOT_RUN.lower() in first
    return AnswerHead(
        status=status,
        not_run=status == _MISDIRECTED or is_rejection,
        signed=SIGNATURE.lower() in first,
        request_id=first.get(REQUEST_ID.lower(), ""),
        encoded=encoding not in ("identity", ""),
        keepalive_s=_keepalive_s(first.get("keep-alive")),
        headers=tuple((n, v) for n, v in listed if n.lower() not in dropped),
        misdirected=status == _MISDIRECTED,
        notice=_notice(status, first),
    )
