import asyncio

import pytest
from aiohttp import ClientSession

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.document import EMPTY_DOCUMENT
from ebonydeal._internal.models.requests import StoredAnswer
from ebonydeal._internal.peers.journal_client import JournalStatus
from tests.functional.gateway.test_generation import BODY, STREAM, until
from tests.lib.clock import ManualClock
from tests.lib.gateway_fakes import AUTH, MODEL, Bench, FakeEngine

CHAT = "/v1/chat/completions"


async def ask(bench: Bench, method: str, path: str, **more):
    async with ClientSession(headers=AUTH) as http:
        async with http.request(method, bench.url + path, **more) as resp:
            text = await resp.text()
            return resp.status, text, resp.headers


class TestLimits:
    async def send_raw(self, bench: Bench, data: bytes) -> bytes:
        host, port = bench.program.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        answer = await reader.read()
        writer.close()
        return answer

    async def test_slow_body_times_out(self):
        async with Bench(body_seconds=0.1) as bench:
            head = (
                f"POST {CHAT} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                f"Authorization: {AUTH['Authorization']}\r\nContent-Length: 50\r\n\r\n"
            )
            answer = await self.send_raw(bench, head.encode() + b'{"model"')
        assert answer.startswith(b"HTTP/1.1 408 ")
        assert bench.metrics.refusals() == {"slow_sender": 1}

    async def test_body_too_large(self):
        async with Bench(max_body_bytes=1024) as bench:
            status, text, _headers = await ask(bench, "POST", CHAT, data=b"x" * 2048)
        assert status == 413
        assert "body_too_large" in text

    async def test_header_too_large(self):
        async with Bench(max_header_bytes=1024) as bench:
            head = f"GET /v1/models HTTP/1.1\r\nX-Long: {'x' * 4096}\r\n\r\n"
            answer = await self.send_raw(bench, head.encode())
        assert answer.split()[1] == b"400"

    async def test_idle_connection_is_closed(self):
        async with Bench(idle_seconds=0.1) as bench:
            head = "GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n"
            answer = await self.send_raw(bench, head.encode())
        assert answer.endswith(b'{"live": true}')

    async def test_slow_headers_time_out(self):
        async with Bench(idle_seconds=0.1) as bench:
            answer = await self.send_raw(bench, b"GET /v1/models HTTP/1.1\r\nX-")
        assert answer == b""

    @pytest.mark.parametrize(
        "data", [b"{", b"[]", b"", b'{"model": 3}', b"\xff\xfe", b"[" * 5000]
    )
    async def test_invalid_body_is_refused(self, data):
        async with Bench() as bench:
            status, text, headers = await ask(bench, "POST", CHAT, data=data)
        assert (status, headers["X-Outcome"]) == (400, "not_run")
        assert "bad_request" in text
        assert headers["X-Request-Id"].startswith("r-")
        assert bench.engine.attempts == []

    async def test_unknown_path(self):
        async with Bench() as bench:
            status, text, _headers = await ask(bench, "GET", "/v2/none")
        assert status == 404
        assert "not_found" in text


class TestDeferred:
    async def test_request_is_accepted(self):
        async with Bench() as bench:
            status, text, headers = await ask(
                bench,
                "POST",
                "/v1/deferred",
                json=BODY,
                headers={"X-Priority": "batch"},
            )
        request = bench.journal.accepted[0]
        assert status == 202
        assert headers["Location"] == f"/v1/deferred/{request.request_id}"
        assert request.request_id in text
        assert (request.path, request.deadline) == (CHAT, 0.0)
        assert (request.priority.name, request.idempotent) == ("BATCH", True)
        assert bench.engine.attempts == []

    async def test_refused_over_the_account_limit(self):
        async with Bench() as bench:
            bench.admission.refusal = EbonydealError(ErrorKind.RATE_LIMITED)
            status, _text, headers = await ask(bench, "POST", "/v1/deferred", json=BODY)
        assert (status, headers["X-Outcome"]) == (429, "not_run")
        assert bench.journal.accepted == []

    async def test_completion_body(self):
        async with Bench() as bench:
            body = {"model": MODEL, "prompt": "Covers:"}
            status, _text, _headers = await ask(
                bench, "POST", "/v1/deferred", json=body
            )
        assert status == 202
        assert bench.journal.accepted[0].path == "/v1/completions"

    async def test_key_determines_the_request_id(self):
        async with Bench() as bench:
            for _ in range(2):
                await ask(
                    bench,
                    "POST",
                    "/v1/deferred",
                    json=BODY,
                    headers={"Idempotency-Key": "night-1"},
                )
        first, second = bench.journal.accepted
        assert first.request_id == second.request_id

    async def test_stream_is_refused(self):
        async with Bench() as bench:
            status, _text, _headers = await ask(
                bench, "POST", "/v1/deferred", json=STREAM
            )
        assert status == 400
        assert bench.journal.accepted == []

    async def test_status_answer_and_cancel(self):
        answer = StoredAnswer(200, "application/json", '{"covers": 40}')
        async with Bench() as bench:
            path = "/v1/deferred/r-0001-00"
            bench.journal.status_now = JournalStatus("r-0001-00", "dispatched")
            waiting = await ask(bench, "GET", path + "/answer")
            bench.journal.status_now = JournalStatus("r-0001-00", "completed", answer)
            status = await ask(bench, "GET", path)
            complete = await ask(bench, "GET", path + "/answer")
            await ask(bench, "DELETE", path)
        assert waiting[0] == 202
        assert '"status": "completed"' in status[1]
        assert complete[:2] == (200, '{"covers": 40}')
        assert bench.journal.asked[-1] == ("cancel", "r-0001-00", "kitchen")

    async def test_answer_of_a_cancelled_request(self):
        async with Bench() as bench:
            error = EbonydealError(ErrorKind.CANCELLED)
            bench.journal.status_now = JournalStatus("r-1", "ended", error=error)
            status, _text, headers = await ask(bench, "GET", "/v1/deferred/r-1/answer")
        assert (status, headers["X-Outcome"]) == (409, "not_run")


class TestDrain:
    async def test_drain_interrupts_no_request(self):
        engine = FakeEngine(count=20)
        held = asyncio.Event()
        engine.pace = held.wait
        bench = Bench(engine, clock=ManualClock(), settle_seconds=5.0)
        await bench.program.start()
        async with ClientSession(headers=AUTH) as http:
            calls = [
                asyncio.ensure_future(
                    http.post(bench.url + CHAT, json=STREAM if n % 2 else BODY)
                )
                for n in range(20)
            ]
            await until(lambda: len(engine.attempts) == 20)
            stopping = asyncio.ensure_future(bench.program.stop())
            await until(lambda: bench.program.draining)
            ready = await http.get(bench.url + "/health/ready")
            late_call = asyncio.ensure_future(http.post(bench.url + CHAT, json=BODY))
            await until(lambda: len(engine.attempts) == 21)
            await bench.clock.advance(5.0)
            held.set()
            answers = [await (await call).text() for call in (*calls, late_call)]
            await stopping
        assert (ready.status, ready.headers["Connection"]) == (503, "close")
        assert all("w19 " in answer for answer in answers)
        assert bench.metrics.refusals() == {}
        assert bench.metrics.events()["answered"] == 21
        assert engine.open == 0

    async def test_ready_only_with_a_document(self):
        async with Bench() as bench:
            ready = await ask(bench, "GET", "/health/ready")
            bench.config.document = EMPTY_DOCUMENT
            not_ready = await ask(bench, "GET", "/health/ready")
        assert (ready[0], not_ready[0]) == (200, 503)


class TestDecisionTrail:
    async def test_trail_holds_no_request_text(self):
        engine = FakeEngine()
        engine.faults = {"e1": (2, EbonydealError(ErrorKind.ENDPOINT_FAILED, "gone"))}
        async with Bench(engine) as bench:
            _status, _text, headers = await ask(bench, "POST", CHAT, json=BODY)
            status, text, _headers = await ask(
                bench,
                "GET",
                f"/ops/explain/{headers['X-Request-Id']}",
                headers={"X-Operator-Token": "op"},
            )
        steps = [
            item["step"] for item in bench.program.trails.steps(headers["X-Request-Id"])
        ]
        assert status == 200
        assert steps == [
            "received",
            "admitted",
            "scored",
            "tried",
            "first_token",
            "failed",
            "retried",
            "scored",
            "resumed",
            "first_token",
            "answered",
        ]
        assert "covers?" not in text
        assert "w1 " not in text

    async def test_trail_has_the_reason_of_a_refusal(self):
        async with Bench() as bench:
            bench.admission.refusal = EbonydealError(ErrorKind.QUEUE_FULL, "full")
            _status, _text, headers = await ask(bench, "POST", CHAT, json=BODY)
        last = bench.program.trails.steps(headers["X-Request-Id"])[-1]
        assert last["what"] == {"kind": "queue_full", "why": "full"}

    @pytest.mark.parametrize("token", ["", "wrong"])
    async def test_wrong_token_is_refused(self, token):
        async with Bench() as bench:
            status, _text, _headers = await ask(
                bench, "GET", "/ops/explain/r", headers={"X-Operator-Token": token}
            )
        assert status == 401

    async def test_refused_without_a_token_setting(self):
        async with Bench(operator_token="") as bench:
            status, _text, _headers = await ask(
                bench, "GET", "/ops/explain/r", headers={"X-Operator-Token": ""}
            )
        assert status == 401

    async def test_unknown_request(self):
        async with Bench() as bench:
            status, _text, _headers = await ask(
                bench, "GET", "/ops/explain/r", headers={"X-Operator-Token": "op"}
            )
        assert status == 404
