"""Endpoints that send bytes without end, until the connection is closed.

A relay read such a body to its deadline, whatever came, and ran out of memory.
"""

import asyncio

import pytest

from tests.lib.cut_links import relays_of_which_first_is_cut
from tests.lib.raw_endpoints import (
    Always,
    RawEndpoint,
    answer,
    chunk,
    events,
    request_id,
    stream_head,
)
from tests.lib.relay_fakes import ask, running

_MB = 1_000_000
# A relay has 256 MB for all requests; socket buffers are included.
_MAX_TAKEN_BYTES = 40 * _MB
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


_ONE_EVENT = stream_head() + chunk(events(1, 1)) + chunk(b"")


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
            writer.write(_ONE_EVENT.replace(b"{id}", request_id(headers)))
            return
        writer.write(self._first.replace(b"{id}", request_id(headers)))
        while not writer.is_closing() and self.taken < 10 * _MAX_TAKEN_BYTES:
            writer.write(self._repeated)
            await writer.drain()
            self.taken += len(self._repeated)
        writer.close()


@pytest.mark.parametrize("what", ENDLESS)
class TestEndless:
    @pytest.mark.parametrize("path", ["/safe/", "/again/"])
    async def test_repeatable_request_is_answered_by_another_endpoint(self, what, path):
        endless = EndlessEndpoint("i1", *ENDLESS[what])
        sound = RawEndpoint("i2")
        sound.script = Always(_ONE_EVENT)
        async with running(endless, sound) as (program, _store):
            for number in range(60):
                # Retries are earned by requests.
                await ask(program, path, rid=f"e{number}")
            endless.failing = True
            for number in range(6):
                status, _headers, body = await ask(program, path, rid=f"r{number}")
                assert (status, body) == (200, events(1, 1))
        assert endless.taken <= len(endless.seen) * _MAX_TAKEN_BYTES

    async def test_request_that_may_run_once_fails(self, what):
        endless = EndlessEndpoint("i1", *ENDLESS[what])
        endless.failing = True
        async with running(endless) as (program, _store):
            try:
                status, headers, _body = await ask(program, "/once/", method="POST")
            except asyncio.IncompleteReadError:
                status, headers = 502, {}
        assert status == 502
        assert "ebonydeal-server-signature" not in headers
        assert endless.taken <= _MAX_TAKEN_BYTES


class TestOtherRelay:
    async def test_answer_through_another_relay_is_bounded(self):
        endless = EndlessEndpoint("i1", *ENDLESS["chunked body"])
        endless.failing = True
        async with relays_of_which_first_is_cut(3, endless) as programs:
            status, _headers, _body = await ask(programs[0], "/once/", method="POST")
        assert status == 502
        assert endless.taken <= _MAX_TAKEN_BYTES


class TestSound:
    async def test_large_answers_are_served(self):
        body = b"y" * 4 * _MB
        one = RawEndpoint("i1", [answer(body=body)] * 4)
        async with running(one) as (program, _store):
            answers = await asyncio.gather(
                *(ask(program, "/safe/", rid=f"r{n}", wait=20_000) for n in range(4))
            )
        assert [(status, len(got)) for status, _head, got in answers] == [
            (200, 4 * _MB)
        ] * 4
