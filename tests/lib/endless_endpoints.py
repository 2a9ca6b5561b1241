"""Endpoints that send bytes without end, until their connection is closed."""

from tests.lib.raw_endpoints import (
    Always,
    RawEndpoint,
    chunk,
    events,
    request_id,
    stream_head,
)

MB = 1_000_000
# A relay has 256 MB for all requests; socket buffers are included.
MAX_TAKEN_BYTES = 40 * MB
_BLOCK = b"x" * 65_536
_HEAD = (
    b"HTTP/1.1 200 OK\r\nEbonydeal-Request-Id: {id}\r\n"
    b"Ebonydeal-Server-Signature: sig\r\n"
)
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# What is sent once, and what follows again and again.
ENDLESS = {
    "close-delimited body": (_HEAD + b"\r\n", _BLOCK),
    "chunked body": (_CHUNKED, b"10000\r\n" + _BLOCK + b"\r\n"),
    "chunk size line": (_CHUNKED + b"5;", _BLOCK),
    "trailers": (_CHUNKED + b"0\r\n", b"A: b\r\n" * 10_000),
    "status line": (b"HTTP/1.1 200 ", _BLOCK),
    "header line": (_HEAD + b"A: ", _BLOCK),
    "header lines": (_HEAD, b"A: b\r\n" * 10_000),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2_500),
    "bytes that are no answer": (b"", _BLOCK),
    "one event": (stream_head(), b"10000\r\n" + _BLOCK + b"\r\n"),
    "event without a length": (
        _HEAD + b"Content-Type: text/event-stream\r\n\r\n",
        _BLOCK,
    ),
}


ONE_EVENT = stream_head() + chunk(events(1, 1)) + chunk(b"")


class EndlessEndpoint(RawEndpoint):
    """Sends to each request what has no end, until its connection is closed.

    It answers as it should until ``failing`` is set.
    """

    def __init__(self, name, first, repeated):
        super().__init__(name)
        self.script = Always(self._send)
        self._first = first
        self._repeated = repeated
        self.taken = 0
        self.failing = False

    async def _send(self, _reader, writer, headers):
        if not self.failing:
            writer.write(ONE_EVENT.replace(b"{id}", request_id(headers)))
            return
        writer.write(self._first.replace(b"{id}", request_id(headers)))
        while not writer.is_closing() and self.taken < 10 * MAX_TAKEN_BYTES:
            writer.write(self._repeated)
            await writer.drain()
            self.taken += len(self._repeated)
        writer.close()
