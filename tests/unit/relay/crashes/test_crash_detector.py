"""Which endpoints with a broken connection are detected as crashed."""

import asyncio
import socket
from contextlib import asynccontextmanager

import pytest

from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.relay.crashes.crash_detector import CrashDetector
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.routing.crashes.request_traits import RequestTraits
from ebonydeal._internal.utils.clock import SystemClock


def member(address, **more):
    base = Member("i1", "s", address, "z", 8, False, None, True, 0.0, 1)
    return base._replace(**more)


@asynccontextmanager
async def running_detector(*members):
    view = RelayView(2.0)
    for found in members:
        view.put(found)
    detector = CrashDetector(view, SystemClock(), 0.3)
    seen = []
    detector.on_crash = seen.append
    async with detector:
        yield detector, seen


@pytest.fixture
def closed_port():
    """An address that refuses connections: bound, but not listening."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        yield f"127.0.0.1:{sock.getsockname()[1]}"


class TestDetection:
    async def test_a_refused_connection_is_a_crash(self, closed_port):
        one = member(closed_port)
        async with running_detector(one) as (detector, seen):
            detector.connection_broken(one, RequestTraits("a"))
            detector.connection_broken(one, RequestTraits("b"))
            await detector.wait_until_checked(one)
            assert [(found.member, found.requests) for found in seen] == [
                (one, {RequestTraits("a"), RequestTraits("b")})
            ]

    async def test_an_endpoint_that_accepts_connections_is_no_crash(self):
        server = await asyncio.start_server(lambda _r, w: w.close(), "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        one = member(f"{host}:{port}")
        async with server, running_detector(one) as (detector, seen):
            detector.connection_broken(one, RequestTraits("a"))
            await detector.wait_until_checked(one)
            assert seen == []

    async def test_an_unreachable_endpoint_is_no_crash(self, monkeypatch):
        async def hang(*_args):
            await asyncio.sleep(30)

        monkeypatch.setattr(asyncio, "open_connection", hang)
        one = member("127.0.0.1:9")
        async with running_detector(one) as (detector, seen):
            detector.connection_broken(one, RequestTraits("a"))
            # The waiting request continues meanwhile.
            await asyncio.wait_for(detector.wait_until_checked(one), 5.0)
            await asyncio.sleep(0.4)
            assert seen == []

    async def test_a_leaving_endpoint_is_no_crash(self, closed_port):
        one = member(closed_port, leaving=True)
        async with running_detector(one) as (detector, seen):
            detector.connection_broken(one, RequestTraits("a"))
            await detector.wait_until_checked(one)
            assert seen == []

    async def test_an_endpoint_that_isnt_listed_any_more_is_no_crash(self, closed_port):
        async with running_detector() as (detector, seen):
            detector.connection_broken(member(closed_port), RequestTraits("a"))
            await asyncio.sleep(0.05)
            assert seen == []

    async def test_an_endpoint_that_restarted_since_is_no_crash(self, closed_port):
        async with running_detector(member(closed_port, incarnation=2)) as (
            detector,
            seen,
        ):
            detector.connection_broken(
                member(closed_port, incarnation=1), RequestTraits("a")
            )
            await asyncio.sleep(0.05)
            assert seen == []

    async def test_an_endpoint_with_a_changed_entry_is_still_checked(self, closed_port):
        async with running_detector(member(closed_port, revision=5)) as (
            detector,
            seen,
        ):
            detector.connection_broken(member(closed_port), RequestTraits("a"))
            await detector.wait_until_checked(member(closed_port))
            assert len(seen) == 1
