"""Messages by which a relay sends a request to an endpoint through another relay.

A message is a JSON head, preceded by its length, and then the body as bytes: that of
the request, or the endpoint's answer as it arrives. No header of an endpoint becomes
one of the call between relays, so each arrives as it was.
"""

import json
from enum import StrEnum
from typing import Any, NotRequired, TypedDict

FORWARD = "/relay/v1/forward"
LENGTH_BYTES = 4
# Headers of a request or an answer take a few kilobytes.
MAX_HEAD_BYTES = 262_144


class ForwardMessage(TypedDict):
    """A request for one process of an endpoint.

    ``digest``, ``account`` and ``parts`` are those of `RequestTraits`; relays of the
    previous release send the digest alone. ``objective`` is the latency objective in
    seconds. Headers are pairs of name and value.
    """

    endpoint: str
    incarnation: int
    request_id: str
    digest: str
    account: NotRequired[str]
    parts: NotRequired[list[str]]
    method: str
    target: str
    headers: list[list[str]]
    at_most_once: bool
    objective: float


class ForwardOutcome(StrEnum):
    """What became of a request that was sent through another relay.

    The last three mean that it made no send: for this endpoint, for this service, or
    for any.
    """

    ANSWERED = "answered"
    NOT_SENT = "not_sent"
    MAY_HAVE_RUN = "may_have_run"
    DECLINED = "declined"
    LINKS_DOWN = "links_down"
    BUSY = "busy"


class ForwardReply(TypedDict, total=False):
    """The head of a reply; ``outcome`` is a `ForwardOutcome`.

    ``status`` and ``headers`` are those of the endpoint's answer, whose body follows;
    without an answer, ``kind`` and ``detail`` say why.
    """

    outcome: str
    status: int
    headers: list[list[str]]
    kind: str
    detail: str


def pack(head: Any, body: bytes = b"") -> bytes:
    """Return a head and the first bytes of a body as they are sent."""
    encoded = json.dumps(head).encode()
    return len(encoded).to_bytes(LENGTH_BYTES, "big") + encoded + body


def unpack(data: bytes) -> tuple[Any, bytes]:
    """Return head and body; raises ValueError if the data is malformed."""
    length = head_length(data[:LENGTH_BYTES])
    end = LENGTH_BYTES + length
    if len(data) < end:
        raise ValueError(f"head truncated: got {len(data)} of {end} bytes")
    return json.loads(data[LENGTH_BYTES:end]), data[end:]


def head_length(prefix: bytes) -> int:
    """Return the length of the head that follows; raises ValueError."""
    length = int.from_bytes(prefix, "big")
    if len(prefix) < LENGTH_BYTES or length > MAX_HEAD_BYTES:
        raise ValueError(f"head of {length} bytes; {MAX_HEAD_BYTES} at most")
    return length
