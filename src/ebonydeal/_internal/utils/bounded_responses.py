"""Responses without end: bytes that come in place of an answer, or a body.

A body is bounded by whoever reads it. Status and header lines, interim answers, chunk
sizes and trailers never reach a reader, so they are bounded where bytes arrive.
"""

from functools import partial
from typing import Any

from aiohttp import ClientPayloadError, ClientResponse, StreamReader, TCPConnector
from aiohttp.client_proto import ResponseHandler

# Sound heads take a few kilobytes.
_MAX_FRAMING_BYTES = 262_144
# A body in chunks of single bytes has six bytes of framing for each.
_MAX_FRAMING_RATIO = 8


class EndlessAnswerError(ClientPayloadError):
    """More bytes came than an answer can have."""


class BoundedResponseHandler(ResponseHandler):
    """Ends a connection with too many bytes that belong to no body.

    A body that ends with its connection is incomplete if that was reset.
    """

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._received = 0
        self._skipped_bytes = 0
        self._earlier_payload: Any = None

    def set_response_params(self, **params: Any) -> None:
        """Prepare for the next response."""
        self._received = self._skipped_bytes = 0
        self._earlier_payload = self._payload
        super().set_response_params(**params)

    def note_skipped_body(self, payload: StreamReader) -> None:
        """Note that a body was read whose response is left out."""
        self._skipped_bytes += payload.total_bytes

    def data_received(self, data: bytes) -> None:
        """Parse data, and end the connection if there is too much of it."""
        super().data_received(data)
        self._received += len(data)
        payload = self._payload
        if payload is None or payload is self._earlier_payload:
            body_bytes = 0
        else:
            body_bytes = payload.total_bytes
        body_bytes += self._skipped_bytes
        if self._received > _MAX_FRAMING_BYTES + _MAX_FRAMING_RATIO * body_bytes:
            self._end(body_bytes)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the response; the library takes a reset for the end of its body."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(ClientPayloadError("the connection was reset"))
        super().connection_lost(exc)

    def _end(self, body_bytes: int) -> None:
        error = EndlessAnswerError(
            f"{self._received} bytes came for {body_bytes} bytes of a body"
        )
        if self._payload is not None:
            self._payload.set_exception(error)
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()


class BoundedConnector(TCPConnector):
    """Makes connections on which a response has bounded framing."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        factory: Any = partial(BoundedResponseHandler, loop=self._loop)
        self._factory = factory


async def read_bounded(resp: ClientResponse, max_bytes: int) -> bytes:
    """Return a body; raises EndlessAnswerError if it is larger than ``max_bytes``."""
    body = bytearray()
    async for data in resp.content.iter_any():
        body += data
        if len(body) > max_bytes:
            raise EndlessAnswerError(
                f"got {len(body)} bytes of a body; at most {max_bytes} are read"
            )
    return bytes(body)
