"""The end of an endpoint's answer.

An answer with a length or in chunks states where it ends. A close-delimited one has
neither and ends with its connection (RFC 9112, 6.3), which an endpoint that crashes
midway closes as well.
"""

from collections.abc import Iterable
from http import HTTPStatus
from typing import NamedTuple

from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.observe.logs import get_logger

logger = get_logger("relay.answer")

_WITHOUT_BODY = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)


def is_close_delimited(
    method: str, status: int, headers: Iterable[tuple[str, str]]
) -> bool:
    """Return whether the body of an answer ends only with its connection."""
    if method == "HEAD" or status < HTTPStatus.OK or status in _WITHOUT_BODY:
        return False
    for name, value in headers:
        match name.lower():
            case "content-length":
                return False
            case "transfer-encoding" if "chunked" in value.lower():
                return False
    return True


class EndedAnswer(NamedTuple):
    """A close-delimited answer whose connection has ended.

    Attributes
    ----------
    received : int
        Size of the body, bytes.
    incomplete : int
        Bytes after the last complete event of a stream; 0 for plain answers.
    reset : bool
        Whether the connection was reset, and not closed.
    forwarded : bool
        Whether the answer came through another relay.
    """

    request_id: str
    member: Member
    received: int
    incomplete: int
    reset: bool
    forwarded: bool


def record_end(answer: EndedAnswer, metrics: Metrics) -> None:
    """Log and count the end of a close-delimited answer."""
    metrics.count(Event.CLOSE_DELIMITED_ANSWERS)
    logger.info(
        "Answer ended with its connection.",
        request=answer.request_id,
        endpoint=answer.member.endpoint_id,
        received=answer.received,
        incomplete=answer.incomplete,
        reset=answer.reset,
        forwarded=answer.forwarded,
    )
