"""Answers that are written to their last byte."""

from contextlib import suppress

from aiohttp import web
from aiohttp.helpers import must_be_empty_body

# Largest part of an answer that the transport holds before its writer waits.
MAX_UNSENT_BYTES = 16_384
# Larger answers are written in parts: the transport copies what it can't send at once.
_PART_BYTES = 32_768


async def write_out(http_req: web.BaseRequest, resp: web.StreamResponse) -> None:
    """Write an answer to its end, and wait until it has left this process.

    If the client closes its connection meanwhile, the library finds out when it ends
    the answer.
    """
    with suppress(ConnectionError):
        await resp.prepare(http_req)
        await _write_in_parts(http_req, resp)
        await resp.write_eof()
        await flush(http_req)


async def _write_in_parts(http_req: web.BaseRequest, resp: web.StreamResponse) -> None:
    """Write a large body; its end is left to the caller."""
    if not isinstance(resp, web.Response) or resp.compression:
        return
    body = resp.body
    if not isinstance(body, bytes) or len(body) <= _PART_BYTES:
        return
    if must_be_empty_body(http_req.method, resp.status):
        return
    resp.body = None
    await write_parts(resp, body)


async def write_parts(resp: web.StreamResponse, body: bytes) -> None:
    """Write a body in parts, each once the client has taken most of the one before."""
    for start in range(0, len(body), _PART_BYTES):
        await resp.write(body[start : start + _PART_BYTES])


async def flush(http_req: web.BaseRequest) -> None:
    """Wait until all that was written to a request's connection has left this process.

    The library counts an answer as written once the transport holds its last byte. What
    the transport still holds is lost if the process ends.

    Raises
    ------
    ConnectionError
        The client has closed its connection.
    """
    transport = http_req.transport
    if transport is None or not transport.get_write_buffer_size():
        return
    transport.set_write_buffer_limits(high=0)
    try:
        await http_req.writer.drain()
    finally:
        # For the next request on the connection.
        transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
