"""Servers that send bytes without end to clients of the store, peers and services.

Each client read what came, to the timeout of its call.
"""

import pytest

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.outside.http import ENDPOINT, HttpClient
from ebonydeal._internal.platform.calls import JsonCalls
from ebonydeal._internal.utils.peerclient import PeerClient
from tests.lib.endless_endpoints import ENDLESS, MB, EndlessEndpoint

# The largest body that a client reads, and the buffers of its sockets.
_MAX_TAKEN_BYTES = 100 * MB
_TIMEOUT_S = 5.0


async def fetch(address):
    client = HttpClient(_TIMEOUT_S)
    try:
        await client.fetch("GET", f"http://{address}/", ENDPOINT)
    finally:
        await client.close()


async def call_platform(address):
    calls = JsonCalls(_TIMEOUT_S)
    try:
        await calls.call("GET", f"http://{address}/", ErrorKind.STORE_IN_DOUBT)
    finally:
        await calls.close()


async def call_peer(address):
    client = PeerClient("secret")
    try:
        await client.call(address, "/", {}, _TIMEOUT_S)
    finally:
        await client.close()


@pytest.mark.parametrize("what", ENDLESS)
@pytest.mark.parametrize("call", [fetch, call_platform, call_peer])
class TestClients:
    async def test_take_a_bounded_number_of_bytes(self, call, what):
        endless = EndlessEndpoint("i1", *ENDLESS[what])
        endless.failing = True
        await endless.start()
        with pytest.raises(EbonydealError):
            await call(endless.address)
        await endless.stop()
        assert endless.taken <= _MAX_TAKEN_BYTES
