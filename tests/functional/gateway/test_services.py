import asyncio

import pytest
from aiohttp import ClientSession

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.gateway.services import service_path
from ebonydeal._internal.models.requests import StoredAnswer
from ebonydeal._internal.peers.journal_client import JournalStatus
from tests.lib.gateway_fakes import AUTH, Bench

FAILED = EbonydealError(ErrorKind.ENDPOINT_FAILED, "gone")
KEY = {"Idempotency-Key": "note-7"}
NOTE = '{"bag": 7}'


class TestServices:
    async def call(self, bench: Bench, method: str, path: str, **more):
        url = f"{bench.url}/services/{path}"
        async with ClientSession(headers=AUTH) as http:
            async with http.request(method, url, **more) as resp:
                return resp.status, await resp.text(), resp.headers

    async def test_lookup_is_sent_to_an_endpoint(self):
        async with Bench() as bench:
            status, text, headers = await self.call(
                bench, "GET", "tracking/bags/7%2F8?full=1"
            )
        assert (status, text) == (200, "s1")
        assert headers["X-Request-Id"].startswith("r-")
        assert bench.services.calls == [("s1", "GET", "/bags/7%2F8?full=1", b"")]
        assert "Authorization" not in bench.services.headers[0]

    async def test_failed_lookup_is_retried_elsewhere(self):
        async with Bench() as bench:
            bench.services.answers["s1"] = FAILED
            status, text, _headers = await self.call(bench, "GET", "tracking/bags/7")
        assert (status, text) == (200, "s2")
        assert bench.metrics.retries() == {"endpoint_failed": 1}

    async def test_slow_lookup_is_hedged(self):
        async with Bench(hedge_seconds=0.01) as bench:
            bench.services.answers["s1"] = asyncio.Event()
            status, text, _headers = await self.call(bench, "GET", "tracking/bags/7")
        assert (status, text) == (200, "s2")
        assert bench.metrics.retries() == {"hedge": 1}

    async def test_no_hedge_without_budget(self):
        async with Bench(hedge_seconds=0.01) as bench:
            bench.retries.hedges = 0
            bench.services.answers["s1"] = event = asyncio.Event()
            call = asyncio.ensure_future(self.call(bench, "GET", "tracking/bags/7"))
            while bench.retries.hedges == 0:
                await asyncio.sleep(0.01)
            event.set()
            _status, text, _headers = await call
        assert text == "s1"
        assert len(bench.services.calls) == 1

    async def test_hedge_never_goes_to_the_same_endpoint(self):
        async with Bench(hedge_seconds=0.01) as bench:
            bench.services.answers["s1"] = event = asyncio.Event()
            choose = bench.routes.choose

            def only_s1(query, now):
                route = choose(query, now)
                return route if route and route.endpoint.endpoint_id == "s1" else None

            bench.routes.choose = only_s1
            call = asyncio.ensure_future(self.call(bench, "GET", "tracking/bags/7"))
            while bench.retries.hedges == 1:
                await asyncio.sleep(0.01)
            event.set()
            _status, text, _headers = await call
        assert text == "s1"
        assert len(bench.services.calls) == 1
        assert bench.metrics.retries() == {}

    async def test_fails_without_waiting_after_the_budget(self):
        async with Bench() as bench:
            bench.retries.left = 1
            bench.services.answers = {"s1": FAILED, "s2": FAILED}
            status, _text, headers = await self.call(bench, "GET", "tracking/bags/7")
        assert status == 502
        assert (headers["Retry-After"], headers["X-Outcome"]) == ("2", "unknown")
        assert len(bench.services.calls) == 2

    async def test_call_that_is_idempotent_by_rule_needs_no_key(self):
        async with Bench() as bench:
            status, text, _headers = await self.call(
                bench, "POST", "tracking/status", data=NOTE
            )
        assert (status, text) == (200, "s1")
        assert bench.services.calls[0][3] == NOTE.encode()

    async def test_other_call_needs_a_key(self):
        async with Bench() as bench:
            status, text, headers = await self.call(
                bench, "POST", "tracking/notes", data=NOTE
            )
        assert (status, headers["X-Outcome"]) == (400, "not_run")
        assert "key_required" in text
        assert bench.services.calls == []
        assert bench.journal.called == []

    async def test_keyed_call_goes_through_the_journal(self):
        async with Bench() as bench:
            bench.journal.status_now = JournalStatus(
                "k-1", "completed", StoredAnswer(201, "application/json", '{"n": 1}')
            )
            status, text, headers = await self.call(
                bench, "POST", "tracking/notes", data=NOTE, headers=KEY
            )
        request = bench.journal.called[0]
        assert (status, text) == (201, '{"n": 1}')
        assert headers["X-Request-Id"] == request.request_id
        assert (request.path, request.body) == ("/notes", NOTE)
        assert (request.key, request.idempotent) == ("note-7", False)
        assert bench.services.calls == []

    async def test_same_key_same_request_id(self):
        async with Bench() as bench:
            for _ in range(2):
                await self.call(bench, "POST", "tracking/notes", data=NOTE, headers=KEY)
        first, second = bench.journal.called
        assert first.request_id == second.request_id
        assert first.body_digest == second.body_digest

    @pytest.mark.parametrize(
        "kind, status, outcome",
        [
            (ErrorKind.OUTCOME_UNKNOWN, 502, "unknown"),
            (ErrorKind.NOT_RUN, 503, "not_run"),
        ],
    )
    async def test_final_state_without_answer(self, kind, status, outcome):
        async with Bench() as bench:
            bench.journal.status_now = JournalStatus(
                "k-1", "ended", error=EbonydealError(kind)
            )
            actual_status, _text, headers = await self.call(
                bench, "POST", "tracking/notes", data=NOTE, headers=KEY
            )
        assert (actual_status, headers["X-Outcome"]) == (status, outcome)

    async def test_running_call_is_answered_with_202(self):
        async with Bench() as bench:
            bench.journal.status_now = JournalStatus("k-1", "dispatched")
            status, _text, headers = await self.call(
                bench, "POST", "tracking/notes", data=NOTE, headers=KEY
            )
        assert (status, headers["Location"]) == (202, "/v1/deferred/k-1")

    async def test_binary_body_with_a_key_is_refused(self):
        async with Bench() as bench:
            status, _text, _headers = await self.call(
                bench, "POST", "tracking/notes", data=b"\xff", headers=KEY
            )
        assert status == 400
        assert bench.journal.called == []

    async def test_unknown_service_is_refused(self):
        async with Bench() as bench:
            status, _text, _headers = await self.call(bench, "GET", "covers/x")
        assert status == 404


class TestServicePath:
    @pytest.mark.parametrize(
        "raw, path",
        [
            ("/services/t", "/"),
            ("/services/t/", "/"),
            ("/services/t?x=1", "/?x=1"),
            ("/services/t/a%20b/c?x=%2F", "/a%20b/c?x=%2F"),
            ("/services/t/services/t", "/services/t"),
        ],
    )
    def test_encoding_is_kept(self, raw, path):
        assert service_path(raw, "t") == path

    @pytest.mark.parametrize(
        "raw",
        ["/status/../notes", "/status/%2e%2E/notes", "/a/.", "/status/..%5Cnotes"],
    )
    def test_dot_segments_are_refused(self, raw):
        with pytest.raises(EbonydealError) as caught:
            service_path(f"/services/t{raw}", "t")
        assert caught.value.kind is ErrorKind.BAD_REQUEST
