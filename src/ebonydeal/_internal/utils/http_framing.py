"""The framing of HTTP answers, and where close-delimited ones are cut short.

A close-delimited answer has neither a length nor chunks, and ends with its connection
(RFC 9112, 6.3). A server that crashes midway closes the connection as well, so only
the body can show that it is incomplete.
"""

import json
from collections.abc import Iterable
from http import HTTPMethod, HTTPStatus

EVENT_STREAM = "text/event-stream"
_MAX_STATUS = 599
_WITHOUT_BODY = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)


def is_final_status(status: int) -> bool:
    """Return whether a status is that of an answer, neither interim nor invalid."""
    return HTTPStatus.OK <= status <= _MAX_STATUS


def is_close_delimited(
    method: str, status: int, headers: Iterable[tuple[str, str]]
) -> bool:
    """Return whether the body of an answer ends only with its connection."""
    if method == HTTPMethod.HEAD or status < HTTPStatus.OK or status in _WITHOUT_BODY:
        return False
    for name, value in headers:
        match name.lower():
            case "content-length":
                return False
            case "transfer-encoding" if "chunked" in value.lower():
                return False
    return True


def media_type(headers: Iterable[tuple[str, str]]) -> str:
    """Return the media type of a body without its parameters; empty if not stated."""
    for name, value in headers:
        if name.lower() == "content-type":
            return value.partition(";")[0].strip().lower()
    return ""


def missing_end(status: int, media: str, received: int, tail: bytes) -> str | None:
    """Return what a body lacks that has ended, or None if nothing shows.

    Parameters
    ----------
    status : int
        Status of the answer: a failure needs no body.
    media : str
        Media type of the body.
    received : int
        Size of the body, bytes.
    tail : bytes
        The part of the body after its last complete event; all of it if it isn't a
        stream of events.
    """
    if not received:
        return "its body" if status < HTTPStatus.MULTIPLE_CHOICES else None
    match media:
        case "text/event-stream" if tail.strip():
            return f"the end of an event, of which {len(tail)} bytes came"
        case "application/json" if received == len(tail) and not _is_json(tail):
            return f"the end of a JSON document, of which {received} bytes came"
    return None


def _is_json(body: bytes) -> bool:
    """Return whether a body is JSON, or is nested too deeply to tell."""
    try:
        json.loads(body)
    except ValueError:
        return False
    except RecursionError:
        return True
    return True
