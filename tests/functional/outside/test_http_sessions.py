"""Connections that were open when one fell silent are not used again."""

import asyncio

import pytest
from aiohttp import ClientSession, ClientTimeout, web

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.outside.http import WRITE, HttpClient
from ebonydeal._internal.platform.calls import JsonCalls
from ebonydeal._internal.utils.http_sessions import HttpSessions
from ebonydeal._internal.utils.peerclient import PeerClient
from tests.lib.clock import ManualClock

TIMEOUT_S = 0.2


class Server:
    """Answers JSON; connections that were silenced get no more answers."""

    def __init__(self):
        self.connections = set()
        self.silent = set()
        self.calls = 0

    async def __aenter__(self):
        server = web.Server(self._handle, handler_cancellation=True)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        self.address = f"127.0.0.1:{self._runner.addresses[0][1]}"
        return self

    async def __aexit__(self, *_exc):
        await self._runner.cleanup()

    def silence_open_connections(self):
        self.silent |= self.connections

    async def _handle(self, req):
        self.calls += 1
        connection = req.transport.get_extra_info("peername")
        self.connections.add(connection)
        # So that calls made together use several connections.
        await asyncio.sleep(0.02)
        if connection in self.silent:
            await asyncio.Future()
        return web.json_response({})


class SlowlyClosingSession:
    """A session whose close lets other tasks run."""

    def __init__(self):
        self.closes = 0

    async def close(self):
        self.closes += 1
        assert self.closes == 1
        await asyncio.sleep(0)


class TestAfterSilence:
    async def check(self, server, call):
        """Open three connections, silence them, and expect one lost call."""
        await asyncio.gather(call(), call(), call())
        assert len(server.connections) == 3
        server.silence_open_connections()
        with pytest.raises(EbonydealError) as failure:
            await call()
        assert failure.value.kind is ErrorKind.STORE_IN_DOUBT
        for _ in range(3):
            await call()

    async def test_calls_of_the_platform_use_new_connections(self):
        async with Server() as server:
            calls = JsonCalls(TIMEOUT_S)
            url = f"http://{server.address}/"
            await self.check(
                server, lambda: calls.call("GET", url, ErrorKind.STORE_IN_DOUBT)
            )
            await calls.close()

    async def test_calls_between_processes_use_new_connections(self):
        async with Server() as server:
            client = PeerClient("secret")
            await self.check(
                server, lambda: client.call(server.address, "/", {}, TIMEOUT_S)
            )
            await client.close()

    async def test_calls_of_a_service_with_one_address_use_new_connections(self):
        async with Server() as server:
            client = HttpClient(TIMEOUT_S, one_address=True)
            url = f"http://{server.address}/"
            await self.check(server, lambda: client.fetch("GET", url, WRITE))
            await client.close()

    async def test_first_calls_made_together_share_a_session(self):
        opened = []

        def open_session():
            opened.append(ClientSession())
            return opened[-1]

        clock = ManualClock()
        sessions = HttpSessions(open_session, clock)

        async def call(address):
            async with sessions.use(address):
                await asyncio.sleep(0)

        await call("unused since")
        await clock.advance(61.0)
        await asyncio.gather(call("a"), call("a"), call("a"))
        await sessions.close()
        assert len(opened) == 2
        assert all(session.closed for session in opened)

    async def test_calls_made_together_close_unused_sessions_once(self):
        """As when several endpoints leave a minute after others."""
        clock = ManualClock()
        sessions = HttpSessions(SlowlyClosingSession, clock)

        async def call(address):
            async with sessions.use(address):
                await asyncio.sleep(0)

        for number in range(4):
            await call(f"old {number}")
        await clock.advance(61.0)
        await asyncio.gather(*(call(f"new {number}") for number in range(4)))
        await sessions.close()

    async def test_calls_in_flight_end_and_other_addresses_keep_their_connections(self):
        async with Server() as one, Server() as other:
            sessions = HttpSessions(ClientSession)

            async def get(server):
                timeout = ClientTimeout(total=TIMEOUT_S)
                async with (
                    sessions.use(server.address) as session,
                    session.get(f"http://{server.address}/", timeout=timeout) as resp,
                ):
                    return await resp.json()

            await get(other)
            await get(one)
            one.silence_open_connections()
            # The second call opens a connection of its own, and outlives the first.
            results = await asyncio.gather(get(one), get(one), return_exceptions=True)
            assert sorted(map(type, results), key=str) == [TimeoutError, dict]
            await get(one)
            await get(other)
            assert len(other.connections) == 1
            await sessions.close()
