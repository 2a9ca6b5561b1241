"""A response without framing of its own."""

from typing import Any

from aiohttp import web


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
