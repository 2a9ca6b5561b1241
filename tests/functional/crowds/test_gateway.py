"""Clients that don't behave, at one gateway; the relay's tests say what goes wrong."""

import json
from contextlib import asynccontextmanager
from functools import partial

import pytest
from aiohttp import ClientError

from tests.lib.cluster import AUTH, MODEL, Cluster
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

CHAT = "/v1/chat/completions"
# The instance's memory, by the settings of these tests.
MEMORY_MB = 128
LARGE_BODY_BYTES = 4 * MB
REQUESTS = Requests(
    "Host: gateway\r\nContent-Type: application/json\r\n"
    f"Authorization: {AUTH['Authorization']}\r\n"
)


def chat(size=20, tokens=4, **more):
    messages = [{"role": "user", "content": "x" * size}]
    return {"model": MODEL, "messages": messages, "max_tokens": tokens, **more}


SMALL_CHAT = json.dumps(chat()).encode()
STREAM = json.dumps(chat(tokens=200, stream=True)).encode()

CROWDS = {
    "small requests sent ahead": Misbehaviour(
        100, lambda r: Behaviour(r.get("/none"), r.get("/none") * 50)
    ),
    "chats sent ahead": Misbehaviour(
        32, lambda r: Behaviour(r.post(CHAT, SMALL_CHAT), r.post(CHAT, SMALL_CHAT) * 50)
    ),
    "streams unread": Misbehaviour(
        32, lambda r: Behaviour(r.post(CHAT, STREAM), r.post(CHAT, STREAM) * 50)
    ),
    "models unread": Misbehaviour(
        32, lambda r: Behaviour(r.get("/v1/models"), r.get("/v1/models") * 50)
    ),
    "heads of 800 kB sent ahead": Misbehaviour(
        32, lambda r: Behaviour(r.get("/none"), r.with_fields("/none", 100, 8_000))
    ),
    "bodies of 4 MB sent ahead": Misbehaviour(
        16,
        lambda r: Behaviour(
            r.post(CHAT, SMALL_CHAT), r.post(CHAT, b"b" * LARGE_BODY_BYTES)
        ),
    ),
    "bodies of 4 MB without their last byte": Misbehaviour(
        32, lambda r: Behaviour(r.post(CHAT, b"b" * LARGE_BODY_BYTES, missing=1))
    ),
    "heads in place of an expected body": Misbehaviour(
        32,
        lambda r: Behaviour(
            r.post(CHAT, b"b" * 90_000, "Expect: 100-continue\r\n", missing=90_000),
            r.with_fields("/none", 2, 8_000) * 20,
        ),
    ),
    "trailers without end": Misbehaviour(
        32, lambda r: Behaviour(r.chunked(CHAT) + b"0\r\n", fields(1, 8_000))
    ),
    "heads without end": Misbehaviour(
        32, lambda r: Behaviour(r.endless_head(CHAT), fields(1, 8_000))
    ),
    "chunks of one byte without end": Misbehaviour(
        16,
        lambda r: Behaviour(r.chunked(CHAT), b"1\r\nx\r\n" * 10_000, most_bytes=2 * MB),
    ),
    "requests sent ahead and reset again and again": Misbehaviour(
        32, lambda r: Behaviour(r.post(CHAT, SMALL_CHAT) * 40, rounds=100)
    ),
    "connections alone": Misbehaviour(
        450, lambda r: Behaviour(b""), max_descriptors=400
    ),
    "heads that come slowly": Misbehaviour(
        450,
        lambda r: Behaviour(
            r.endless_head(CHAT), b"A: b\r\n", most_bytes=300, pause=0.5
        ),
        max_descriptors=400,
    ),
}


async def ask(cluster):
    """Return whether an ordinary request is answered at the first try."""
    try:
        status, answer = await cluster.post(CHAT, chat())
    except (ClientError, OSError, TimeoutError):
        return False
    return status == 200 and bool(answer["choices"])


@pytest.fixture(autouse=True)
def machine(monkeypatch):
    monkeypatch.setenv("EBONYDEAL_NODE_MEMORY_MB", str(MEMORY_MB))


@asynccontextmanager
async def gateway_under(folder, crowd, monkeypatch):
    """Run a gateway and a crowd until that has sent what it can; yield the cluster.

    Afterwards it lives, and stayed within its memory and descriptors.
    """
    max_descriptors = crowd.max_descriptors
    monkeypatch.setenv("EBONYDEAL_NODE_MAX_DESCRIPTORS", str(max_descriptors))
    async with Cluster(folder, gateways=1, journals=1) as cluster:
        assert await is_answered(partial(ask, cluster))
        gateway = cluster.gateways[0]
        clients = Crowd(gateway.port)
        async with UsageWatch(gateway.process.pid, gateway.port) as usage:
            await clients.behave(crowd.connections, crowd.behaviour(REQUESTS))
            yield cluster
            await clients.close()
            assert await is_answered(partial(ask, cluster))
        assert gateway.process.returncode is None
        assert usage.most_bytes <= MEMORY_MB * MB
        assert usage.most_descriptors <= max_descriptors


class TestCrowds:
    @pytest.mark.parametrize("what", CROWDS)
    async def test_stays_within_its_machine_and_answers(
        self, what, tmp_path, monkeypatch
    ):
        async with gateway_under(tmp_path, CROWDS[what], monkeypatch) as cluster:
            assert await is_answered(partial(ask, cluster))


class TestCalm:
    async def test_large_requests_are_served(self, tmp_path):
        async with Cluster(tmp_path, gateways=1, journals=1) as cluster:
            for _ in range(2):
                status, _answer = await cluster.post(CHAT, chat(size=1_000_000))
                assert status == 200
