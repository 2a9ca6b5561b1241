"""Requests that come until a relay in a planned stop is gone are answered."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from tests.functional.relay.test_early_answers import read_answer
from tests.lib.cut_links import relays_of_which_first_is_cut
from tests.lib.raw_endpoints import (
    Always,
    RawEndpoint,
    answer,
    chunk,
    events,
    stream_head,
)
from tests.lib.raw_endpoints import request_id as id_of
from tests.lib.relay_fakes import Client, document, route, running, until

QUICK = {"timeout_ms": 10_000, "target_latency_ms": 100}
DOC = document(
    routes=[
        route("/once/", "non_idempotent", **QUICK),
        route("/safe/", "idempotent", **QUICK),
        route("/live/", "streaming", gap_aim_ms=400, **QUICK),
        route("/again/", "streaming", can_resume=True, gap_aim_ms=400, **QUICK),
    ]
)
PATHS = ["/once/", "/safe/", "/live/", "/again/"]
GRACE = {"grace_s": 3.0, "settle_s": 0.5}
RUN_S = 0.3
CLIENTS = 12


async def run(_reader, writer, headers):
    """Answer after a while; a stream's events come over that time."""
    if "last-event-id" in headers:
        return
    rid = id_of(headers)
    if headers["x-kind"] == "plain":
        await asyncio.sleep(RUN_S)
        writer.write(answer(headers))
        return
    writer.write(stream_head().replace(b"{id}", rid) + chunk(events(1, 1)))
    await asyncio.sleep(RUN_S)
    writer.write(chunk(events(2, 2)) + b"0\r\n\r\n")


@asynccontextmanager
async def direct(endpoint):
    """Yield the relay that is asked and the one that stops, the same."""
    async with running(endpoint, doc=DOC, **GRACE) as (program, _store):
        yield program, program


@asynccontextmanager
async def asked_one_stops(endpoint):
    """Yield a relay that sends through another one, and stops."""
    async with relays_of_which_first_is_cut(2, endpoint, doc=DOC, **GRACE) as found:
        yield found[0], found[0]


@asynccontextmanager
async def other_one_stops(endpoint):
    """Yield a relay that sends through another one, and that one, which stops."""
    async with relays_of_which_first_is_cut(3, endpoint, doc=DOC, **GRACE) as found:
        yield found[0], found[1]


class Caller:
    """Sends one request after another until no relay takes a connection."""

    def __init__(self, program, number, outcomes):
        self._program, self._number, self._outcomes = program, number, outcomes
        self.until = asyncio.Event()

    async def work(self):
        sent = 0
        while not self.until.is_set():
            try:
                async with Client(self._program) as client:
                    while not self.until.is_set():
                        sent += 1
                        # Some requests wait for a while between each other.
                        await asyncio.sleep(0.05 * (self._number % 3))
                        if not await self._ask(client, f"c{self._number}-{sent}"):
                            break
            except ConnectionError:
                return

    async def _ask(self, client, rid):
        """Send a request; return whether its connection may be used again."""
        path = PATHS[(self._number + int(rid.rpartition("-")[2])) % len(PATHS)]
        kind = "plain" if path in ("/once/", "/safe/") else "stream"
        headers = [("X-Kind", kind)]
        try:
            await client.send(path, rid, "POST", b"x", headers, wait=10_000)
            received = await read_answer(client.reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            self._outcomes[rid] = None
            return False
        self._outcomes[rid] = received
        return received.headers.get("connection") != "close"


@pytest.mark.parametrize("via", [direct, asked_one_stops, other_one_stops])
class TestUntilTheEnd:
    async def test_what_was_passed_on_is_answered_and_a_refusal_is_true(self, via):
        endpoint = RawEndpoint("i1")
        endpoint.script = Always(run)
        outcomes = {}
        async with via(endpoint) as (asked, stopping):
            callers = [Caller(asked, number, outcomes) for number in range(CLIENTS)]
            tasks = [asyncio.create_task(caller.work()) for caller in callers]
            await until(lambda: len(outcomes) > CLIENTS)
            await stopping.stop()
            for caller in callers:
                caller.until.set()
            # Connections that were never read end with the process, not with the relay.
            _done, unread = await asyncio.wait(tasks, timeout=2.0)
            for task in unread:
                task.cancel()
        ran = set(endpoint.ids())
        answered = {rid for rid, got in outcomes.items() if got and got.status == 200}
        refused = {rid for rid, got in outcomes.items() if got and got.status == 503}
        lost = {
            rid
            for rid in ran
            if outcomes.get(rid) is None or not outcomes[rid].looks_complete
        }
        assert lost == set()
        assert not refused & ran
        assert len(answered) > 2 * CLIENTS
