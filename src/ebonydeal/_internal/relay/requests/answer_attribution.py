"""Which request on a connection an endpoint's answer belongs to.

An endpoint may send an answer again where the next one is expected. Its id names the
request and not the send, so it identifies the answer only on a connection that has
carried the request once.

An answer may also follow the first bytes of another one. Both are then read as one
head: it begins with the other status line, and has the true one within a value or the
reason.
"""

import re
from collections.abc import Callable, Mapping
from typing import Any

from aiohttp import ClientPayloadError, StreamReader
from aiohttp.http_parser import RawResponseMessage

from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.utils.bounded_responses import (
    BoundedResponseHandler,
    EndlessAnswerError,
)

logger = get_logger("relay.answer")

# Bounds the ids that are remembered for each open connection.
_MAX_REQUESTS = 256
# Copies in place of one answer, and the bytes of their bodies, that are skipped.
_MAX_COPIES = 8
_MAX_COPIED_BYTES = 1_000_000
_MAX_LOGGED_BYTES = 40
# The reason is optional. `Via` may name the protocol, but no status.
_STATUS_LINE = re.compile(rb"HTTP/\d\.\d +\d{3}(?: |$)")


class JoinedHeadError(ClientPayloadError):
    """The head of an answer contains the status line of another answer."""


def inner_status_line(message: RawResponseMessage) -> bytes | None:
    """Return the part of a head that is another answer's status line, if any.

    No name of a field can contain one, as the parser accepts no slash there.
    """
    reason = message.reason.encode("utf-8", "surrogateescape")
    for text in (reason, *(value for _name, value in message.raw_headers)):
        if b"HTTP/" in text and (found := _STATUS_LINE.search(text)):
            return text[found.start() :]
    return None


class RequestHistory:
    """The requests that one connection has carried, by id."""

    def __init__(self) -> None:
        self._ids: set[str] = set()
        self._current = ""

    def begin(self, request_id: str) -> None:
        """Note that a request is sent; raises ValueError if it was carried already."""
        if request_id in self._ids:
            raise ValueError(f"request {request_id!r} was sent on this connection")
        self._ids.add(request_id)
        self._current = request_id

    @property
    def current(self) -> str:
        """Id of the last request."""
        return self._current

    def can_carry(self, request_id: str) -> bool:
        """Return whether a request's answer could be told from all earlier ones."""
        return request_id not in self._ids and len(self._ids) < _MAX_REQUESTS

    def is_earlier(self, request_id: str) -> bool:
        """Return whether an answer is to a request before the last one."""
        return request_id != self._current and request_id in self._ids


class AnswerReader(BoundedResponseHandler):
    """Reads the answers on one connection to an endpoint, and skips late copies.

    An answer that is joined to a part of another one can't be attributed, and raises
    JoinedHeadError.

    Attributes
    ----------
    history : RequestHistory
        The requests that the connection has carried.
    read_id : callable
        Returns the id of the request that an answer's headers name.
    metrics : Metrics
        Counts copies and joined answers.
    """

    history: RequestHistory
    read_id: Callable[[Mapping[str, str]], str]
    metrics: Metrics
    # The body of the last answer since the last request.
    _body: StreamReader | None = None

    def set_response_params(self, **params: Any) -> None:
        """Prepare for the next answer."""
        self._body = None
        super().set_response_params(**params)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Take the head of an answer, and its body, which may be incomplete."""
        _message, self._body = data
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Parse data; bytes after a complete answer belong to no request."""
        if data and self._body is not None and self._body.is_eof():
            self.force_close()
        super().data_received(data)

    async def read(self) -> Any:
        """Return the next answer that isn't a copy of an earlier one."""
        skipped_bytes = 0
        for _ in range(_MAX_COPIES):
            message, payload = await super().read()
            self._check_head(message)
            answered = self.read_id(message.headers)
            if not self.history.is_earlier(answered):
                return message, payload
            self.metrics.count(Event.LATE_COPIES)
            logger.info(
                "Copy of an earlier answer skipped.",
                request=self.history.current,
                earlier=answered,
                status=message.code,
            )
            self.force_close()
            while data := await payload.readany():
                skipped_bytes += len(data)
                if skipped_bytes > _MAX_COPIED_BYTES:
                    raise EndlessAnswerError(
                        f"{skipped_bytes} bytes of copies of earlier answers"
                    )
            self.note_skipped_body(payload)
        raise EndlessAnswerError(f"{_MAX_COPIES} copies of earlier answers")

    def _check_head(self, message: RawResponseMessage) -> None:
        """Raise JoinedHeadError if a head is made of two answers' bytes."""
        inner = inner_status_line(message)
        if inner is None:
            return
        self.metrics.count(Event.JOINED_ANSWERS)
        logger.info(
            "Answer joined to a part of another one.",
            request=self.history.current,
            status=message.code,
            inner=inner[:_MAX_LOGGED_BYTES].decode("latin-1"),
        )
        raise JoinedHeadError(f"status {message.code}, and another one in the head")
