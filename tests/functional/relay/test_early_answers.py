"""Answers that break off while a body is still sent to their endpoint, or are none."""

import asyncio
from contextlib import asynccontextmanager
from typing import NamedTuple

import pytest

from tests.lib.cut_links import relays_of_which_first_is_cut
from tests.lib.early_endpoints import (
    EARLY_ANSWERS,
    LONG_BODY,
    ODD_STATUSES,
    EarlyEndpoint,
    odd_answer,
)
from tests.lib.raw_endpoints import Always, RawEndpoint, parse_head
from tests.lib.relay_fakes import Client, document, running

DOC = document(limits={"max_body_bytes": 4_000_000, "idle_timeout_ms": 15000})
PATHS = ["/safe/", "/once/", "/live/", "/again/"]


@asynccontextmanager
async def direct(*endpoints):
    async with running(*endpoints, doc=DOC) as (program, _store):
        yield program


@asynccontextmanager
async def through_another(*endpoints):
    async with relays_of_which_first_is_cut(2, *endpoints, doc=DOC) as (first, _other):
        yield first


class Received(NamedTuple):
    """What a client got, and whether it looks complete."""

    status: int
    headers: dict[str, str]
    body: bytes
    looks_complete: bool


async def read_answer(reader):
    """Read one answer to its end, or until its connection ends."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    status, headers, body = int(head.split()[1]), parse_head(head), b""
    try:
        if headers.get("transfer-encoding") == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                body += (await reader.readexactly(size + 2))[:-2]
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        else:
            body = await reader.read(-1)
    except (asyncio.IncompleteReadError, ConnectionError):
        return Received(status, headers, body, False)
    return Received(status, headers, body, True)


async def upload(program, path, rid, chunked=False):
    """Send a long body; return the answer, or None if the connection ends without."""
    async with Client(program) as client:
        if chunked:
            await client.send(
                path, rid, "PUT", headers=[("Transfer-Encoding", "chunked")], wait=5000
            )
            half = len(LONG_BODY) // 2
            for part in (LONG_BODY[:half], LONG_BODY[half:], b""):
                client.writer.write(b"%x\r\n%b\r\n" % (len(part), part))
        else:
            await client.send(path, rid, "POST", LONG_BODY, wait=5000)
        try:
            return await read_answer(client.reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None


def assert_no_success(received):
    if received is not None and received.looks_complete:
        assert not 200 <= received.status < 300
        assert "ebonydeal-server-signature" not in received.headers


@pytest.mark.parametrize("via", [direct, through_another])
class TestEarlyAnswer:
    @pytest.mark.parametrize("early", EARLY_ANSWERS)
    async def test_part_of_an_answer_does_not_look_complete(self, via, early):
        endpoint = EarlyEndpoint("i1", *EARLY_ANSWERS[early])
        async with via(endpoint) as program:
            for number, path in enumerate(PATHS):
                for chunked in (False, True):
                    rid = f"r{number}{chunked}"
                    seen = len(endpoint.seen)
                    received = await upload(program, path, rid, chunked)
                    assert_no_success(received)
                    if received is not None and received.status in (429, 503):
                        # These promise that the request hasn't run.
                        assert len(endpoint.seen) == seen
        assert endpoint.seen


@pytest.mark.parametrize("via", [direct, through_another])
class TestOddStatus:
    async def test_is_not_passed_on(self, via):
        endpoint = RawEndpoint("i1")
        async with via(endpoint) as program:
            for status in ODD_STATUSES:
                endpoint.script = Always(odd_answer(status))
                for path in PATHS:
                    rid = f"r{status.decode()}{path[1]}"
                    seen = len(endpoint.seen)
                    async with Client(program) as client:
                        await client.send(path, rid, "POST", b"x")
                        try:
                            received = await read_answer(client.reader)
                        except (asyncio.IncompleteReadError, ConnectionError):
                            continue
                    assert_no_success(received)
                    assert received.status in (502, 503, 504)
                    if received.status == 503:
                        assert len(endpoint.seen) == seen
