"""Responses without framing of their own."""

from typing import Any

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter

from ebonydeal._internal.utils.linger import set_reset_on_close
from ebonydeal._internal.utils.written_answers import flush, write_parts


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
        # The library ends a response that has ended once more.
        body, self._final_body = self._final_body, b""
        await write_parts(self, body)
        await super().write_eof()


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
            self._set_reset_on_close(True)
        return await super().prepare(request)

    async def write_eof(self, data: bytes = b"") -> None:
        """Write the body, and end the response."""
        await super().write_eof(data)
        assert self._http_req is not None
        await flush(self._http_req)
        self._set_reset_on_close(False)

    def _set_reset_on_close(self, resets: bool) -> None:
        if self._http_req is not None and self._http_req.transport is not None:
            set_reset_on_close(self._http_req.transport, resets)
