"""An endpoint that stops in the middle of its answer's head has given no answer."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from tests.lib.cut_links import relays_of_which_first_is_cut
from tests.lib.raw_endpoints import Always, RawEndpoint, request_id
from tests.lib.relay_fakes import Client, running

HEAD = (
    b"HTTP/1.1 200 OK\r\n"
    b"Ebonydeal-Request-Id: {id}\r\n"
    b"Ebonydeal-Server-Signature: sig\r\n"
    b"Content-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
PLAIN_HEAD = HEAD.replace(
    b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked",
    b"Content-Length: 5",
)
# Ends within the status line, a name, a value, and at each end of a line.
CUTS = [12, 17, 25, 45, 80, -26, -4, -2, -1]
PATHS = ["/safe/", "/once/", "/live/", "/again/"]


class HeadEndpoint(RawEndpoint):
    """An endpoint whose answers end within their heads, by a close or a reset."""

    def __init__(self, name, head, resets):
        super().__init__(name)
        self._head, self._resets = head, resets

    async def _serve(self, reader, writer):
        self.script = Always(self._answer)
        await super()._serve(reader, writer)

    async def _answer(self, _reader, writer, headers):
        writer.write(self._head.replace(b"{id}", request_id(headers)))
        await writer.drain()
        if self._resets:
            await asyncio.sleep(0.005)
            writer.transport.abort()
        else:
            writer.close()


@asynccontextmanager
async def direct(*endpoints):
    async with running(*endpoints) as (program, _store):
        yield program


@asynccontextmanager
async def through_another(*endpoints):
    async with relays_of_which_first_is_cut(2, *endpoints) as (first, _other):
        yield first


async def receive(program, path, rid):
    """Return all that a client gets until the connection closes."""
    async with Client(program) as client:
        close = [("Connection", "close")]
        await client.send(path, rid=rid, method="POST", headers=close, wait=800)
        return await asyncio.wait_for(client.reader.read(), 5.0)


class TestHeadThatEnds:
    @pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
    @pytest.mark.parametrize("relays", [direct, through_another])
    @pytest.mark.parametrize("cut", CUTS)
    async def test_is_no_answer(self, cut, relays, resets):
        for kind, head in (("plain", PLAIN_HEAD), ("stream", HEAD)):
            endpoints = [HeadEndpoint(f"i{n}", head[:cut], resets) for n in range(2)]
            async with relays(*endpoints) as program:
                for path in PATHS:
                    got = await receive(program, path, f"{kind}{path}")
                    assert got.split()[1] in (b"502", b"504"), (kind, path, got)
                    assert b"sig" not in got
            ids = [rid for endpoint in endpoints for rid in endpoint.ids()]
            for path in ("/once/", "/live/"):
                assert ids.count(f"{kind}{path}") == 1
