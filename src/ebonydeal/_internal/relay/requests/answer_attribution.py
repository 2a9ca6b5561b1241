"""Which request on a connection an endpoint's answer belongs to.

An endpoint may send an answer again where the next one is expected. Its id names the
request and not the send, so it identifies the answer only on a connection that has
carried the request once.
"""

from collections.abc import Callable, Mapping
from typing import Any

from aiohttp import StreamReader

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

    Attributes
    ----------
    history : RequestHistory
        The requests that the connection has carried.
    read_id : callable
        Returns the id of the request that an answer's headers name.
    metrics : Metrics
        Counts copies.
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
