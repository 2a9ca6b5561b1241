import asyncio
import json
from collections import deque

import pytest
from aiohttp import ClientSession, web

from ebonydeal._internal.errors import EbonydealError, ErrorKind, Outcome
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.standin.balancer import Balancer
from ebonydeal._internal.standin.caller import Caller
from ebonydeal._internal.standin.calls import CallKind, chat_call, service_call
from ebonydeal._internal.standin.check import Violation, check
from ebonydeal._internal.standin.load import LoadRun, LoadSpec
from ebonydeal._internal.standin.server import StandinServer, abort_connection
from ebonydeal._internal.utils.error_responses import error_response
from ebonydeal._internal.utils.web import new_app
from tests.lib.fakes_endpoints import running

STREAM = chat_call(CallKind.STREAM, "s-1", "covers", "a prompt", 6)
DEFERRED = chat_call(CallKind.DEFERRED, "d-1", "covers", "a prompt", 6)
COMMIT = service_call(CallKind.COMMIT, "c-1", "paperwork", "POST", "/commit", b"c-1")
LOOKUP = service_call(CallKind.LOOKUP, "l-1", "paperwork", "GET", "/labels/1", b"")


class InstantClock:
    """Clock whose sleeps end at once."""

    def __init__(self):
        self._now = 1000.0

    def now(self):
        return self._now

    def wall(self):
        return self._now

    async def sleep(self, seconds):
        self._now += seconds
        await asyncio.sleep(0)


def refuse(kind):
    return lambda _req: error_response(EbonydealError(kind, "no"))


def whole_answer(call):
    return lambda _req: web.Response(text=call.expected[0])


def accepted(_req):
    return web.json_response({"id": "r-1", "status": "accepted"}, status=202)


def chat_answer(_req):
    text = "".join(DEFERRED.expected)
    return web.json_response({"choices": [{"message": {"content": text}}]})


def stream_events(first, last, *, done):
    """Return a handler that streams the tokens from ``first`` up to ``last``."""
    lines = []
    for position in range(first, last):
        delta = {"content": STREAM.expected[position]}
        data = json.dumps({"choices": [{"delta": delta}]})
        lines.append(f"id: e-{position}\ndata: {data}\n\n")
    text = "".join(lines) + ("data: [DONE]\n\n" if done else "")
    return lambda _req: web.Response(text=text, content_type="text/event-stream")


class ScriptedGateway:
    """Answers requests by a script, whose last step is repeated."""

    def __init__(self, *script):
        self.script = deque(script)
        self.requests = []
        app = new_app(Metrics())
        app.router.add_get("/health/ready", self._ready)
        app.router.add_route("*", "/{path:.*}", self._answer)
        self.server = StandinServer(app)
        self.is_ready = True

    async def _ready(self, _req):
        return web.Response(status=200 if self.is_ready else 503)

    async def _answer(self, req):
        self.requests.append((req.method, req.path, dict(req.headers)))
        step = self.script.popleft() if len(self.script) > 1 else self.script[0]
        return step(req)


async def send(call, *script, timeout_s=20.0):
    gateway = ScriptedGateway(*script)
    async with running(gateway.server), ClientSession() as session:
        balancer = Balancer((f"http://{gateway.server.address}",))
        async with running(balancer):
            caller = Caller(session, balancer, "key", InstantClock(), timeout_s)
            return await caller.send(call), gateway


class TestOutcomes:
    async def test_refused_request_is_retried_until_answered(self):
        busy = refuse(ErrorKind.QUEUE_FULL)
        record, gateway = await send(LOOKUP, busy, busy, whole_answer(LOOKUP))
        assert record.outcome is Outcome.ANSWERED
        assert tuple(record.received) == LOOKUP.expected
        assert record.refusals == {"queue_full": 2}
        assert (record.attempts, record.in_doubt) == (3, False)
        assert gateway.requests[0][2]["Authorization"] == "Bearer key"

    async def test_always_refused_before_running_is_not_run(self):
        record, gateway = await send(COMMIT, refuse(ErrorKind.QUEUE_FULL))
        assert record.outcome is Outcome.NOT_RUN
        keys = {headers["Idempotency-Key"] for _, _, headers in gateway.requests}
        assert keys == {"c-1"}

    async def test_request_with_a_lost_answer_never_ends_as_not_run(self):
        record, _gateway = await send(
            COMMIT, abort_connection, refuse(ErrorKind.QUEUE_FULL)
        )
        assert record.outcome is Outcome.UNKNOWN
        assert record.refusals["connection_lost"] == 1

    async def test_unknown_outcome_is_final(self):
        record, gateway = await send(COMMIT, refuse(ErrorKind.OUTCOME_UNKNOWN))
        assert record.outcome is Outcome.UNKNOWN
        assert len(gateway.requests) == 1


class TestDeferred:
    async def test_accepted_request_is_polled_until_answered(self):
        record, gateway = await send(DEFERRED, accepted, accepted, chat_answer)
        assert record.outcome is Outcome.ANSWERED
        assert tuple(record.received) == DEFERRED.expected
        assert [request[:2] for request in gateway.requests] == [
            ("POST", "/v1/deferred"),
            ("GET", "/v1/deferred/r-1/answer"),
            ("GET", "/v1/deferred/r-1/answer"),
        ]

    async def test_accepted_and_never_answered_is_lost(self):
        record, _gateway = await send(DEFERRED, accepted, refuse(ErrorKind.NOT_FOUND))
        assert (record.accepted, record.outcome) == (True, None)
        found = [item.violation for item in check([record], None).findings]
        assert found == [Violation.LOST]


class TestStreams:
    async def test_broken_stream_resumes_after_the_last_event(self):
        record, gateway = await send(
            STREAM, stream_events(0, 2, done=False), stream_events(2, 6, done=True)
        )
        assert record.outcome is Outcome.ANSWERED
        assert tuple(record.received) == STREAM.expected
        assert record.broken_streams == 1
        assert "Last-Event-ID" not in gateway.requests[0][2]
        assert gateway.requests[1][2]["Last-Event-ID"] == "e-1"

    async def test_doubled_token_is_found(self):
        record, _gateway = await send(
            STREAM, stream_events(0, 3, done=False), stream_events(2, 6, done=True)
        )
        found = [item.violation for item in check([record], None).findings]
        assert found == [Violation.TOKENS_DOUBLED]

    @pytest.mark.parametrize("text", ["data: {\n\n", "data: 3\n\n", "data: [DONE]\n\n"])
    async def test_malformed_and_empty_streams_are_not_complete(self, text):
        def answer(_req):
            return web.Response(text=text, content_type="text/event-stream")

        record, _gateway = await send(STREAM, answer)
        assert check([record], None).completed == 0


class TestBalancer:
    async def test_only_ready_gateways_are_picked(self):
        ready, leaving = ScriptedGateway(accepted), ScriptedGateway(accepted)
        leaving.is_ready = False
        async with running(ready.server, leaving.server):
            urls = [f"http://{g.server.address}" for g in (ready, leaving)]
            async with running(Balancer((*urls, "http://127.0.0.1:1"))) as balancer:
                assert balancer.ready == 1
                assert {balancer.pick() for _ in range(4)} == {urls[0]}


class TestLoadRun:
    async def test_same_seed_sends_the_same_requests_of_each_kind(self):
        # Exceeds the time of a call on a busy machine; timing is not tested here.
        spec = LoadSpec("key", "covers", "paperwork", seconds=60.0, timeout_s=60.0)
        runs = []
        for _ in range(2):
            gateway = ScriptedGateway(refuse(ErrorKind.UNAUTHORIZED))
            async with running(gateway.server):
                url = f"http://{gateway.server.address}"
                async with running(Balancer((url,))) as balancer:
                    records = await LoadRun(spec, balancer, InstantClock()).run()
            assert {record.outcome for record in records} == {Outcome.NOT_RUN}
            runs.append([record.call for record in records])
        for kind in CallKind:
            sent = [[call for call in run if call.kind is kind] for run in runs]
            count = min(map(len, sent))
            assert count > 5
            assert sent[0][:count] == sent[1][:count]
            assert len({call.digest for call in sent[0]}) == len(sent[0])

    async def test_open_requests_are_bounded(self):
        open_now, max_open_seen = 0, 0

        async def slow(_req):
            nonlocal open_now, max_open_seen
            open_now += 1
            max_open_seen = max(max_open_seen, open_now)
            await asyncio.sleep(0.01)
            open_now -= 1
            return web.Response(text="{}")

        app = web.Application()
        app.router.add_route("*", "/{path:.*}", slow)
        spec = LoadSpec(
            "key",
            "covers",
            "paperwork",
            seconds=10.0,
            streams_per_s=0,
            deferred_per_s=0,
            commits_per_s=0,
            max_open=5,
        )
        async with running(StandinServer(app)) as server:
            balancer = Balancer((f"http://{server.address}",))
            load = LoadRun(spec, balancer, InstantClock())
            records = await load.run()
        assert len(records) > 20
        assert max_open_seen == 5
