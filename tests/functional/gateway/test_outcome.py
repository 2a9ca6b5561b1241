import pytest
from aiohttp import ClientSession

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.peers.journal_client import JournalStatus
from tests.lib.gateway_fakes import AUTH, MODEL, Bench

KEY = {"Idempotency-Key": "note-7"}
NOTE = {"bag": 7}
PROMPT = {"model": MODEL, "messages": [{"role": "user", "content": "Covers?"}]}
REQUEST_BODIES = {
    "/services/tracking/notes": NOTE,
    "/services/tracking/status": NOTE,
    "/v1/deferred": PROMPT,
    "/v1/chat/completions": PROMPT,
}
REFUSALS = [
    (EbonydealError(ErrorKind.RATE_LIMITED, "much", retry_after=3.0), 429, "3"),
    (EbonydealError(ErrorKind.QUEUE_FULL, "full"), 429, "2"),
    (EbonydealError(ErrorKind.SHED, "load"), 503, "5"),
    (EbonydealError(ErrorKind.DRAINING, "stopping"), 503, "0"),
]


class TestOutcome:
    async def post(self, bench: Bench, path: str, headers: dict, body: dict):
        async with ClientSession(headers=headers) as http:
            async with http.post(bench.url + path, json=body) as resp:
                error = (await resp.json())["error"]
                assert error["outcome"] == resp.headers["X-Outcome"]
                wait = resp.headers.get("Retry-After")
                return resp.status, error["code"], wait, error["outcome"]

    @pytest.mark.parametrize("path", REQUEST_BODIES)
    @pytest.mark.parametrize("refusal, status, wait", REFUSALS)
    async def test_refused_by_admission(self, path, refusal, status, wait):
        async with Bench() as bench:
            bench.admission.refusal = refusal
            actual = await self.post(bench, path, {**AUTH, **KEY}, REQUEST_BODIES[path])
        assert actual == (status, str(refusal.kind), wait, "unknown")
        assert bench.journal.called == bench.journal.accepted == []

    @pytest.mark.parametrize("path", REQUEST_BODIES)
    async def test_refused_api_key(self, path):
        async with Bench() as bench:
            headers = {"Authorization": "Bearer sk-old", **KEY}
            actual = await self.post(bench, path, headers, REQUEST_BODIES[path])
        assert actual == (401, "unauthorized", None, "unknown")

    @pytest.mark.parametrize("path", REQUEST_BODIES)
    async def test_body_too_large(self, path):
        async with Bench(max_body_bytes=5) as bench:
            actual = await self.post(bench, path, {**AUTH, **KEY}, REQUEST_BODIES[path])
        assert actual == (413, "body_too_large", None, "unknown")

    async def test_failure_before_the_journal_is_unknown(self):
        async with Bench() as bench:
            bench.directory.all.clear()
            headers = {**AUTH, **KEY}
            actual = await self.post(bench, "/services/tracking/status", headers, NOTE)
        assert actual == (503, "no_endpoint", "2", "unknown")

    @pytest.mark.parametrize("path", ["/v1/deferred", "/v1/chat/completions"])
    async def test_refusal_without_a_key_is_not_run(self, path):
        async with Bench() as bench:
            bench.admission.refusal = EbonydealError(ErrorKind.SHED, "load")
            actual = await self.post(bench, path, AUTH, REQUEST_BODIES[path])
        assert actual == (503, "shed", "5", "not_run")

    async def test_endpoint_failure_reported_by_the_journal(self):
        error = EbonydealError(ErrorKind.ENDPOINT_REFUSED, "10.0.0.7 is full")
        async with Bench() as bench:
            bench.journal.status_now = JournalStatus("k-1", "ended", error=error)
            headers = {**AUTH, **KEY}
            actual = await self.post(bench, "/services/tracking/notes", headers, NOTE)
        assert actual == (503, "endpoint_refused", "1", "not_run")
