"""Clients that don't behave, at one relay.

What clients can make a relay hold had no bound: requests sent ahead, heads, bodies,
trailers, answers that nobody reads, connections. A relay whose memory exceeds its
instance's is killed, with all requests at work.
"""

import json
import signal
import uuid
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial
from random import Random

import pytest
from aiohttp import ClientError, ClientSession, ClientTimeout

from ebonydeal._internal.models.forwarding import Repeat
from ebonydeal._internal.platform.rows import (
    CONFIG_KEY,
    CONFIG_TABLE,
    MEMBERS_TABLE,
)
from ebonydeal._internal.platform.server_side import (
    AccountSpec,
    RouteSpec,
    client_headers,
    config_document,
)
from ebonydeal._internal.soak.link_cuts import source_address
from ebonydeal._internal.soak.platform import SoakPlatform
from ebonydeal._internal.soak.processes import RelayProcess
from ebonydeal._internal.soak.proxy import Proxy
from ebonydeal._internal.soak.records import Log
from tests.lib.accepting_endpoints import AcceptingEndpoint
from tests.lib.misbehaving_clients import (
    MB,
    Behaviour,
    Crowd,
    Misbehaviour,
    Requests,
    fields,
    is_answered,
)
from tests.lib.process_usage import UsageWatch

pytestmark = pytest.mark.crowd

HOST = "play.example"
SERVICE = "play"
ACCOUNT = AccountSpec("large", "key-large")
# The instance's memory, by the settings of these tests.
MEMORY_MB = 128
LARGE_BODY_BYTES = 4 * MB
# Within the largest head of the configuration, with a sound request's other fields.
LARGE_HEAD = {f"X-Pad-{number}": "p" * 3_000 for number in range(5)}
TIMEOUT_S = 60.0
REQUESTS = Requests(
    f"Host: {HOST}\r\nAuthorization: Bearer {ACCOUNT.key}\r\n"
    "Ebonydeal-Request-Id: 00c0ffee00c0ffee\r\nEbonydeal-Deadline-Ms: 20000\r\n"
)


CROWDS = {
    "small requests sent ahead": Misbehaviour(
        300, lambda r: Behaviour(r.get("/none/"), r.get("/none/") * 50)
    ),
    "small answers unread": Misbehaviour(
        100, lambda r: Behaviour(r.get("/safe/"), r.get("/safe/") * 50)
    ),
    "streams unread": Misbehaviour(
        100, lambda r: Behaviour(r.get("/live/"), r.get("/live/") * 50)
    ),
    "heads of 15 kB sent ahead": Misbehaviour(
        100,
        lambda r: Behaviour(r.get("/none/"), r.with_fields("/none/", 1, 15_000) * 4),
    ),
    "heads of 3 MB sent ahead": Misbehaviour(
        8,
        lambda r: Behaviour(r.get("/none/"), r.with_fields("/none/", 100, 30_000)),
    ),
    "heads of 3 MB at work": Misbehaviour(
        16,
        lambda r: Behaviour(r.get("/safe/"), r.with_fields("/safe/", 100, 30_000)),
    ),
    "bodies of 99 kB sent ahead": Misbehaviour(
        48,
        lambda r: Behaviour(r.get("/safe/"), r.post("/safe/", b"b" * 99_000)),
    ),
    "bodies of 4 MB sent ahead": Misbehaviour(
        24,
        lambda r: Behaviour(r.get("/safe/"), r.post("/safe/", b"b" * LARGE_BODY_BYTES)),
        body_bytes=LARGE_BODY_BYTES,
    ),
    "answers of 2 MB unread": Misbehaviour(
        32,
        lambda r: Behaviour(
            r.post("/safe/", b"large"), r.post("/safe/", b"large") * 20
        ),
    ),
    "answers of 2 MB read a byte at a time": Misbehaviour(
        32,
        lambda r: Behaviour(
            r.post("/safe/", b"large"),
            r.post("/safe/", b"large") * 20,
            reads=True,
        ),
    ),
    "bodies of 99 kB without their last byte": Misbehaviour(
        900,
        lambda r: Behaviour(r.post("/safe/", b"b" * 99_000, missing=1)),
    ),
    "bodies of 4 MB without their last byte": Misbehaviour(
        32,
        lambda r: Behaviour(r.post("/safe/", b"b" * LARGE_BODY_BYTES, missing=1)),
        body_bytes=LARGE_BODY_BYTES,
    ),
    "heads in place of an expected body": Misbehaviour(
        32,
        lambda r: Behaviour(
            r.post("/safe/", b"b" * 90_000, "Expect: 100-continue\r\n", missing=90_000),
            r.with_fields("/safe/", 1, 15_000) * 20,
        ),
    ),
    "trailers without end": Misbehaviour(
        16, lambda r: Behaviour(r.chunked("/safe/") + b"0\r\n", fields(1, 30_000))
    ),
    "small trailers without end": Misbehaviour(
        32, lambda r: Behaviour(r.chunked("/safe/") + b"0\r\n", b"A: b\r\n" * 1_000)
    ),
    "heads without end": Misbehaviour(
        16, lambda r: Behaviour(r.endless_head("/safe/"), fields(1, 30_000))
    ),
    "chunks of one byte without end": Misbehaviour(
        16,
        lambda r: Behaviour(
            r.chunked("/safe/"), b"1\r\nx\r\n" * 10_000, most_bytes=2 * MB
        ),
    ),
    "requests sent ahead and reset again and again": Misbehaviour(
        32, lambda r: Behaviour(r.get("/safe/") * 40, rounds=100)
    ),
    "connections alone": Misbehaviour(
        450, lambda r: Behaviour(b""), max_descriptors=400
    ),
    "heads that come slowly": Misbehaviour(
        450,
        lambda r: Behaviour(
            r.endless_head("/safe/"), b"A: b\r\n", most_bytes=300, pause=0.5
        ),
        max_descriptors=400,
    ),
}
# Several kinds side by side, each with fewer connections.
MIXED = {
    "bodies of 99 kB sent ahead": 24,
    "answers of 2 MB unread": 16,
    "bodies of 99 kB without their last byte": 300,
    "heads of 15 kB sent ahead": 50,
    "trailers without end": 8,
    "connections alone": 100,
}


def configuration(body_bytes):
    routes = [
        RouteSpec("/safe/", Repeat.IDEMPOTENT),
        RouteSpec("/live/", Repeat.STREAM),
    ]
    document = json.loads(config_document(1, HOST, SERVICE, routes, [ACCOUNT]))
    document["limits"] = {
        "max_header_bytes": 16_384,
        "max_body_bytes": body_bytes,
        "header_timeout_ms": 10_000,
        "idle_timeout_ms": 15_000,
    }
    return json.dumps(document).encode()


@asynccontextmanager
async def running_relay(folder, body_bytes):
    """Run one relay process with three endpoints."""
    async with AsyncExitStack() as stack:
        platform = await SoakPlatform(Log(), Random(1)).start()
        stack.push_async_callback(platform.stop)
        for number in range(3):
            endpoint = await AcceptingEndpoint(f"e{number}").start()
            stack.push_async_callback(endpoint.stop)
            row = endpoint.row(SERVICE)
            await platform.write(MEMBERS_TABLE, endpoint.name, row)
        await platform.write(CONFIG_TABLE, CONFIG_KEY, configuration(body_bytes))
        proxy = await Proxy(platform.address).start()
        stack.push_async_callback(proxy.stop)
        relay = RelayProcess("n0", folder, proxy, {}, source_address(0))
        relay.write_settings([relay.peer_address])
        await relay.start()
        stack.push_async_callback(relay.stop)
        await relay.wait_ready()
        yield relay


async def ask(relay, body=b"", extra=None):
    """Return whether a request gets its own answer, at the first try."""
    rid = uuid.uuid4().hex[:16]
    headers = client_headers(HOST, rid, ACCOUNT.key, TIMEOUT_S, 10) | (extra or {})
    url = f"http://{relay.address}/safe/x"
    try:
        async with (
            ClientSession(timeout=ClientTimeout(total=TIMEOUT_S)) as http,
            http.post(url, data=body, headers=headers) as resp,
        ):
            answer = await resp.json()
            return resp.status == 200 and answer["request"] == rid
    except (ClientError, OSError, TimeoutError):
        return False


@pytest.fixture(autouse=True)
def machine(monkeypatch):
    monkeypatch.setenv("EBONYDEAL_NODE_MEMORY_MB", str(MEMORY_MB))


@asynccontextmanager
async def relay_under(folder, crowds, monkeypatch):
    """Run a relay, and crowds until they have sent what they can; yield the relay.

    Afterwards it lives, and stayed within its memory and descriptors.
    """
    max_descriptors = min(crowd.max_descriptors for _count, crowd in crowds)
    body_bytes = max(crowd.body_bytes for _count, crowd in crowds)
    monkeypatch.setenv("EBONYDEAL_NODE_MAX_DESCRIPTORS", str(max_descriptors))
    async with running_relay(folder, body_bytes) as relay:
        assert await is_answered(partial(ask, relay))
        pid, port = relay.pid, int(relay.address.rpartition(":")[2])
        clients = [Crowd(port) for _ in crowds]
        async with UsageWatch(pid, port) as usage:
            for client, (count, crowd) in zip(clients, crowds, strict=True):
                await client.behave(count, crowd.behaviour(REQUESTS))
            yield relay
            for client in clients:
                await client.close()
            assert await is_answered(partial(ask, relay))
            assert await is_answered(partial(ask, relay, b"b" * body_bytes, LARGE_HEAD))
        assert relay.pid == pid
        assert usage.most_bytes <= MEMORY_MB * MB
        assert usage.most_descriptors <= max_descriptors


class TestCrowds:
    @pytest.mark.parametrize("what", CROWDS)
    async def test_stays_within_its_machine_and_answers(
        self, what, tmp_path, monkeypatch
    ):
        crowds = [(CROWDS[what].connections, CROWDS[what])]
        async with relay_under(tmp_path, crowds, monkeypatch) as relay:
            assert await is_answered(partial(ask, relay))

    async def test_several_kinds_side_by_side(self, tmp_path, monkeypatch):
        crowds = [
            (count, CROWDS[what]._replace(max_descriptors=4100))
            for what, count in MIXED.items()
        ]
        async with relay_under(tmp_path, crowds, monkeypatch) as relay:
            assert await is_answered(partial(ask, relay))


class TestStop:
    """A crowd must not keep a relay that is told to stop from ending in order."""

    async def test_ends_while_clients_keep_their_connections(
        self, tmp_path, monkeypatch
    ):
        kinds = (
            "answers of 2 MB unread",
            "bodies of 99 kB without their last byte",
            "bodies of 99 kB sent ahead",
            "connections alone",
        )
        async with running_relay(tmp_path, CROWDS[kinds[0]].body_bytes) as relay:
            crowd = Crowd(int(relay.address.rpartition(":")[2]))
            for kind in kinds:
                await crowd.behave(16, CROWDS[kind].behaviour(REQUESTS))
            assert await is_answered(partial(ask, relay))
            relay.send_signal(signal.SIGHUP)
            assert await is_answered(partial(ask, relay))
            relay.send_signal(signal.SIGTERM)
            await relay.wait_ended()
            await crowd.close()
            assert relay._process.returncode == 0


class TestCalm:
    async def test_largest_requests_are_served(self, tmp_path, monkeypatch):
        async with running_relay(tmp_path, LARGE_BODY_BYTES) as relay:
            for _ in range(4):
                body = b"b" * LARGE_BODY_BYTES
                assert await ask(relay, body, LARGE_HEAD)

    async def test_large_answers_are_served(self, tmp_path, monkeypatch):
        async with running_relay(tmp_path, LARGE_BODY_BYTES) as relay:
            for _ in range(4):
                assert await ask(relay, b"large")
