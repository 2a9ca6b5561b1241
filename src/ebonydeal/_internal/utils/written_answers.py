"""Answers that are written to their last byte."""

from contextlib import suppress

from aiohttp import web


async def write_out(http_req: web.BaseRequest, resp: web.StreamResponse) -> None:
    """Write an answer to its end, and wait until it has left this process.

    If the client closes its connection meanwhile, the library finds out when it ends
    the answer.
    """
    with suppress(ConnectionError):
        await resp.prepare(http_req)
        await resp.write_eof()
        await flush(http_req)


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
        # Back to the defaults, for the next request on the connection.
        transport.set_write_buffer_limits()
