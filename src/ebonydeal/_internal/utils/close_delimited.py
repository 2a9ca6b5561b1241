"""Responses without framing of their own."""

import socket
import struct
from typing import Any

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter

from ebonydeal._internal.utils.written_answers import flush

# SO_LINGER, on or off, with a time of 0 s.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_END_ON_CLOSE = struct.pack("ii", 0, 0)


class CloseDelimitedResponse(web.StreamResponse):
    """A response with neither a length nor chunks, whose end is the connection's.

    Parameters
    ----------
    body : bytes
        Written at the end, after what was streamed.
    **options
        As of `aiohttp.web.StreamResponse`.
    """

    # Keeps aiohttp from adding either.
    _length_check = False

    def __init__(self, body: bytes = b"", **options: Any) -> None:
        super().__init__(**options)
        self._final_body = body
        self.force_close()

    async def write_eof(self, data: bytes = b"") -> None:
        """Write the body, and end the response."""
        await super().write_eof(self._final_body)


class ResetUntilWrittenResponse(CloseDelimitedResponse):
    """A close-delimited response that doesn't look complete before it is.

    Until its last byte has left the process, a close of the connection resets it. The
    system closes the connections of a process that is killed, and the client would take
    that for the response's end.
    """

    _http_req: web.BaseRequest | None = None

    async def prepare(self, request: web.BaseRequest) -> AbstractStreamWriter | None:
        """Send the head."""
        if self._http_req is None:
            self._http_req = request
            _set_linger(request, _RESET_ON_CLOSE)
        return await super().prepare(request)

    async def write_eof(self, data: bytes = b"") -> None:
        """Write the body, and end the response."""
        await super().write_eof(data)
        assert self._http_req is not None
        await flush(self._http_req)
        _set_linger(self._http_req, _END_ON_CLOSE)


def _set_linger(http_req: web.BaseRequest, option: bytes) -> None:
    """Set how the system ends a connection that is closed."""
    if http_req.transport is None:
        return
    sock = http_req.transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
