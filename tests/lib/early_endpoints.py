"""Endpoints that answer before a request's body has arrived, or with an odd status."""

import asyncio

from tests.lib.raw_endpoints import (
    RawEndpoint,
    chunk,
    events,
    parse_head,
    request_id,
)

LONG_BODY = b"u" * 3_000_000
# What a client must not get as a complete answer.
PART = events(1, 2) + b"id: 3\nda"
_SIGNED = b"Ebonydeal-Request-Id: {id}\r\nEbonydeal-Server-Signature: sig\r\n"
_OK = b"HTTP/1.1 200 OK\r\n" + _SIGNED
_TEXT = b"Content-Type: text/plain\r\n"
_EVENTS = b"Content-Type: text/event-stream\r\n"
# Answers of which a part is sent, and seconds until the connection is reset.
EARLY_ANSWERS = {
    "no length": (_OK + _TEXT + b"\r\n" + PART, 0.0),
    "no length, later": (_OK + _TEXT + b"\r\n" + PART, 0.3),
    "no length, whole events": (_OK + _EVENTS + b"\r\n" + events(1, 2), 0.0),
    "no length, whole events, later": (_OK + _EVENTS + b"\r\n" + events(1, 2), 0.3),
    "head alone": (_OK + _TEXT + b"\r\n", 0.0),
    "length": (_OK + _TEXT + b"Content-Length: 900\r\n\r\n" + PART, 0.0),
    "chunks": (
        _OK + _EVENTS + b"Transfer-Encoding: chunked\r\n\r\n" + chunk(events(1, 2)),
        0.0,
    ),
    "chunks, later": (
        _OK + _EVENTS + b"Transfer-Encoding: chunked\r\n\r\n" + chunk(events(1, 2)),
        0.3,
    ),
    "nothing": (b"", 0.0),
}
# Statuses that no answer has. An interim one leaves the answer to come.
ODD_STATUSES = [b"000", b"0", b"099", b"600", b"999", b"1000", b"2000", b"20", b"-200"]


def odd_answer(status):
    """Return an answer with this status that is sound otherwise."""
    return b"HTTP/1.1 %b Odd\r\n" % status + _SIGNED + b"Content-Length: 5\r\n\r\nhello"


class EarlyEndpoint(RawEndpoint):
    """Answers each request as soon as its head has come, then resets the connection."""

    def __init__(self, name, early, reset_s):
        super().__init__(name)
        self._early, self._reset_s = early, reset_s
        self.endpoint_id, self.kind = name, "service"

    async def _serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            self.seen.append(head)
            rid = request_id(parse_head(head))
            writer.write(self._early.replace(b"{id}", rid))
            await writer.drain()
            await asyncio.sleep(self._reset_s or 0.005)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            # Bytes of the body are unread, so this resets the connection.
            writer.transport.abort()
