"""What shows that an endpoint crashed, and what doesn't."""

import asyncio
import socket
from contextlib import asynccontextmanager

import pytest

from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.relay.crashes.crash_check import CrashCheck
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.utils.clock import SystemClock


def member(address, **more):
    base = Member("i1", "s", address, "z", 8, False, None, True, 0.0, 1)
    return base._replace(**more)


@asynccontextmanager
async def checking(*members):
    view = RelayView(2.0)
    for found in members:
        view.put(found)
    check = CrashCheck(view, SystemClock(), 0.3)
    seen = []
    check.on_crash = seen.append
    async with check:
        yield check, seen


@pytest.fixture
def closed_port():
    """An address that refuses connections: bound, but nobody listens."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        yield f"127.0.0.1:{sock.getsockname()[1]}"


class TestEvidence:
    async def test_an_address_that_refuses_is_a_crash(self, closed_port):
        one = member(closed_port)
        async with checking(one) as (check, seen):
            check.broke(one, "a")
            check.broke(one, "b")
            await check.checked(one)
            assert [(found.member, found.digests) for found in seen] == [
                (one, frozenset("ab"))
            ]

    async def test_one_that_takes_connections_lives(self):
        server = await asyncio.start_server(lambda _r, w: w.close(), "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        one = member(f"{host}:{port}")
        async with server, checking(one) as (check, seen):
            check.broke(one, "a")
            await check.checked(one)
            assert seen == []

    async def test_one_that_cant_be_reached_tells_nothing(self, monkeypatch):
        async def hang(*_args):
            await asyncio.sleep(30)

        monkeypatch.setattr(asyncio, "open_connection", hang)
        one = member("127.0.0.1:9")
        async with checking(one) as (check, seen):
            check.broke(one, "a")
            # The request that waits for it goes on meanwhile.
            await asyncio.wait_for(check.checked(one), 5.0)
            await asyncio.sleep(0.4)
            assert seen == []

    async def test_one_that_leaves_ends_as_it_said(self, closed_port):
        one = member(closed_port, leaving=True)
        async with checking(one) as (check, seen):
            check.broke(one, "a")
            await check.checked(one)
            assert seen == []

    async def test_nor_one_that_is_listed_no_more(self, closed_port):
        async with checking() as (check, seen):
            check.broke(member(closed_port), "a")
            await asyncio.sleep(0.05)
            assert seen == []

    async def test_nor_one_that_started_again_since(self, closed_port):
        async with checking(member(closed_port, incarnation=2)) as (check, seen):
            check.broke(member(closed_port, incarnation=1), "a")
            await asyncio.sleep(0.05)
            assert seen == []

    async def test_an_entry_that_changed_meanwhile_is_the_same_endpoint(
        self, closed_port
    ):
        async with checking(member(closed_port, revision=5)) as (check, seen):
            check.broke(member(closed_port), "a")
            await check.checked(member(closed_port))
            assert len(seen) == 1
