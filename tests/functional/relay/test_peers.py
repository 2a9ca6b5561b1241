"""Large messages between relays must be compressed, small ones not."""

from contextlib import asynccontextmanager

import pytest
from aiohttp import web

from ebonydeal._internal.relay.listener import RawListener
from ebonydeal._internal.relay.peers.handler import peer_response
from ebonydeal._internal.utils.peerclient import MIN_COMPRESS_BYTES, PeerClient
from ebonydeal._internal.utils.web import read_json


@asynccontextmanager
async def echo():
    """A peer that echoes messages, and records their encoding."""
    seen = []

    async def handle(req: web.BaseRequest) -> web.Response:
        seen.append(req.headers.get("Content-Encoding", ""))
        resp = peer_response(await read_json(req))
        seen.append("deflate" if resp.compression else "")
        return resp

    listener = RawListener(handle, "127.0.0.1:0", decompresses=True)
    client = PeerClient("secret")
    async with listener:
        try:
            yield client, f"127.0.0.1:{listener.port}", seen
        finally:
            await client.close()


class TestSize:
    @pytest.mark.parametrize(
        ("length", "encoding"), [(10, ""), (2 * MIN_COMPRESS_BYTES, "deflate")]
    )
    async def test_only_large_ones_are_compressed(self, length, encoding):
        message = {"text": "x" * length}
        async with echo() as (client, address, seen):
            assert await client.call(address, "/echo", message, 5.0) == message
            assert seen == [encoding, encoding]
