import asyncio
import json

import openai
import pytest
from aiohttp import ClientSession

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from tests.lib.gateway_fakes import AUTH, KEY, MODEL, Bench, FakeEngine

BODY = {"model": MODEL, "messages": [{"role": "user", "content": "How many covers?"}]}
STREAM = {**BODY, "stream": True}
FAILED = EbonydealError(ErrorKind.ENDPOINT_FAILED, "gone")


def client(bench: Bench, key: str = KEY, retries: int = 0) -> openai.AsyncOpenAI:
    return openai.AsyncOpenAI(
        base_url=f"{bench.url}/v1", api_key=key, max_retries=retries
    )


def read_events(raw: bytes) -> list[tuple[str, dict]]:
    events = []
    for block in raw.decode().split("\n\n"):
        fields = dict(line.split(": ", 1) for line in block.splitlines())
        if fields.get("data", "[DONE]") != "[DONE]":
            events.append((fields.get("id", ""), json.loads(fields["data"])))
    return events


def text_of(events: list[tuple[str, dict]]) -> str:
    choices = [data["choices"][0] for _id, data in events if data.get("choices")]
    return "".join(choice["delta"].get("content", "") for choice in choices)


async def until(condition, tries: int = 500) -> None:
    for _ in range(tries):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("the condition never came true")


class TestOpenAIClient:
    async def test_complete_answer(self):
        async with Bench() as bench, client(bench) as api:
            answer = await api.chat.completions.create(**BODY)
        assert answer.choices[0].message.content == "".join(bench.engine.text)
        assert answer.choices[0].finish_reason == "stop"
        assert answer.usage.completion_tokens == 8
        assert answer.usage.prompt_tokens == 4

    async def test_stream_with_usage(self):
        async with Bench() as bench, client(bench) as api:
            stream = await api.chat.completions.create(
                **STREAM, stream_options={"include_usage": True}
            )
            chunks = [chunk async for chunk in stream]
        text = "".join(c.choices[0].delta.content or "" for c in chunks if c.choices)
        assert text == "".join(bench.engine.text)
        assert chunks[-1].usage.total_tokens == 12

    async def test_completion(self):
        async with Bench() as bench, client(bench) as api:
            answer = await api.completions.create(model=MODEL, prompt="Covers:")
        assert answer.choices[0].text == "".join(bench.engine.text)

    async def test_models(self):
        async with Bench() as bench, client(bench) as api:
            models = [item.id async for item in api.models.list()]
        assert models == [MODEL]

    async def test_wrong_key_is_refused(self):
        async with Bench() as bench, client(bench, "sk-wrong") as api:
            with pytest.raises(openai.AuthenticationError):
                await api.chat.completions.create(**BODY)
        assert bench.metrics.refusals() == {"unauthorized": 1}
        assert bench.engine.attempts == []

    async def test_unknown_model_is_refused(self):
        async with Bench() as bench, client(bench) as api:
            with pytest.raises(openai.NotFoundError) as caught:
                await api.chat.completions.create(
                    model="none", messages=BODY["messages"]
                )
        assert caught.value.code == "unknown_model"

    async def test_client_retries_after_refusal(self):
        async with Bench() as bench, client(bench, retries=1) as api:
            bench.admission.refusal = EbonydealError(
                ErrorKind.RATE_LIMITED, retry_after=0.0
            )
            call = asyncio.ensure_future(api.chat.completions.create(**BODY))
            await until(lambda: bench.metrics.refusals() == {"rate_limited": 1})
            bench.admission.refusal = None
            answer = await call
        assert answer.choices[0].finish_reason == "stop"

    async def test_unknown_fields_reach_the_engine(self):
        async with Bench() as bench, client(bench) as api:
            await api.chat.completions.create(**BODY, extra_body={"top_k": 7})
        assert bench.engine.attempts[0].body["top_k"] == 7

    @pytest.mark.parametrize(
        "headers, body, priority",
        [
            ({}, {}, 1),
            ({"X-Priority": "interactive"}, {}, 0),
            ({"X-Priority": "batch"}, {}, 2),
            ({}, {"priority": 0}, 1),
        ],
    )
    async def test_priority_reaches_the_engine(self, headers, body, priority):
        async with Bench() as bench, client(bench) as api:
            bench.engine.faults["e1"] = (3, FAILED)
            await api.chat.completions.create(
                **BODY, extra_headers=headers, extra_body=body
            )
        assert [attempt.endpoint for attempt in bench.engine.attempts] == ["e1", "e2"]
        assert [attempt.body["priority"] for attempt in bench.engine.attempts] == [
            priority
        ] * 2


class TestResume:
    @pytest.mark.parametrize(
        "fault",
        [FAILED, EbonydealError(ErrorKind.ENDPOINT_GARBAGE), "gap", ValueError()],
    )
    @pytest.mark.parametrize("after", [0, 1, 7])
    async def test_content_is_complete(self, fault, after):
        engine = FakeEngine()
        engine.faults = {"e1": (after, fault)}
        async with Bench(engine) as bench, client(bench) as api:
            stream = await api.chat.completions.create(**STREAM)
            chunks = [chunk async for chunk in stream]
        pieces = [chunk.choices[0].delta.content for chunk in chunks]
        assert pieces == engine.text
        assert engine.attempts[1].endpoint == "e2"

    async def test_interrupted_stream_resumes_after_its_tokens(self):
        engine = FakeEngine()
        engine.faults = {"e1": (3, FAILED)}
        async with Bench(engine) as bench, client(bench) as api:
            await api.chat.completions.create(**BODY)
            await until(lambda: len(engine.cancelled) == 1)
        assert list(engine.attempts[1].resume.delivered) == engine.text[:3]
        assert engine.cancelled == [engine.attempts[0].attempt_id]
        assert bench.metrics.retries() == {"stream_resumed": 1}
        assert bench.metrics.events()["tokens_recomputed_resume"] == 13

    async def test_stalled_endpoint_is_replaced(self):
        engine = FakeEngine()
        engine.faults = {"e1": (2, "stall")}
        async with Bench(engine, token_gap_seconds=0.05) as bench:
            async with client(bench) as api:
                answer = await api.chat.completions.create(**BODY)
        assert answer.choices[0].message.content == "".join(engine.text)
        assert bench.metrics.retries() == {"endpoint_stalled": 1}
        assert engine.open == 0

    async def test_failure_before_the_first_token_is_final(self):
        engine = FakeEngine()
        engine.faults = {name: (0, FAILED) for name in ("e1", "e2", "e3")}
        async with Bench(engine) as bench, client(bench) as api:
            bench.retries.left = 1
            with pytest.raises(openai.InternalServerError) as caught:
                await api.chat.completions.create(**STREAM)
        assert caught.value.code == "endpoint_failed"
        assert "gone" not in caught.value.message
        assert caught.value.response.headers["Retry-After"] == "2"
        assert caught.value.response.headers["X-Outcome"] == "unknown"
        assert len(engine.attempts) == 2

    async def test_final_error_inside_a_stream(self):
        engine = FakeEngine()
        engine.faults = {name: (1, FAILED) for name in ("e1", "e2", "e3")}
        async with Bench(engine, resume_wait_seconds=0.0) as bench:
            bench.retries.left = 0
            async with client(bench) as api:
                stream = await api.chat.completions.create(**STREAM)
                with pytest.raises(openai.APIError) as caught:
                    async for _chunk in stream:
                        pass
        assert caught.value.code == "endpoint_failed"
        assert "gone" not in caught.value.message
        assert bench.metrics.refusals() == {"endpoint_failed": 1}

    async def test_started_stream_waits_for_an_endpoint(self):
        engine = FakeEngine()
        engine.faults = {"e1": (2, FAILED)}
        async with Bench(engine) as bench:
            others = bench.directory.all[1:]
            del bench.directory.all[1:]
            bench.retries.left = 0
            async with client(bench) as api:
                call = asyncio.ensure_future(api.chat.completions.create(**BODY))
                await until(lambda: len(bench.retries.failures) > 1)
                bench.directory.all = others
                bench.retries.left = 1
                answer = await call
        assert answer.choices[0].message.content == "".join(engine.text)

    async def test_deadline_ends_the_request(self):
        engine = FakeEngine()
        engine.faults = {"e1": (2, "stall")}
        async with Bench(engine) as bench, client(bench) as api:
            with pytest.raises(openai.InternalServerError) as caught:
                await api.chat.completions.create(
                    **BODY, extra_headers={"X-Deadline-Seconds": "0.2"}
                )
        assert caught.value.code == "deadline_exceeded"
        assert len(engine.attempts) == 1
        assert engine.open == 0


class TestCallerDisconnects:
    async def test_stream_releases_everything(self):
        engine = FakeEngine()
        engine.faults = {"e1": (3, "stall")}
        async with Bench(engine) as bench:
            async with ClientSession(headers=AUTH) as http:
                resp = await http.post(f"{bench.url}/v1/chat/completions", json=STREAM)
                await resp.content.readuntil(b"\n\n")
                resp.close()
                await until(lambda: bench.metrics.refusals() == {"caller_left": 1})
            await until(lambda: engine.cancelled == [engine.attempts[0].attempt_id])
            assert engine.open == 0
            assert bench.program.stream_runner.live_streams == set()
            assert len(bench.admission.released) == 1

    async def test_disconnect_before_a_complete_answer(self):
        engine = FakeEngine()
        engine.faults = {"e1": (3, "stall")}
        async with Bench(engine) as bench:
            async with ClientSession(headers=AUTH) as http:
                call = asyncio.ensure_future(
                    http.post(f"{bench.url}/v1/chat/completions", json=BODY)
                )
                await until(lambda: engine.open == 1)
                call.cancel()
                await until(lambda: bench.metrics.refusals() == {"caller_left": 1})
            await until(lambda: engine.cancelled == [engine.attempts[0].attempt_id])
            assert engine.open == 0
            assert bench.program.stream_runner.live_streams == set()

    async def test_disconnect_while_queued(self):
        async with Bench() as bench:
            queue = asyncio.Event()
            bench.admission.admit = lambda *_args: queue.wait()
            async with ClientSession(headers=AUTH) as http:
                call = asyncio.ensure_future(
                    http.post(f"{bench.url}/v1/chat/completions", json=BODY)
                )
                await until(lambda: bench.metrics.events().get("requests") == 1)
                call.cancel()
                await until(lambda: bench.metrics.refusals() == {"caller_left": 1})
            assert bench.engine.attempts == []


class TestSlowCaller:
    COUNT = 20_000

    async def read_slowly(self, bench: Bench) -> tuple[int, bytes]:
        """Read nothing until the engine stops sending; return its token count then."""
        async with ClientSession(headers=AUTH, read_bufsize=1024) as http:
            url = f"{bench.url}/v1/chat/completions"
            async with http.post(url, json=STREAM) as resp:
                sent = -1
                while sent != bench.engine.sent:
                    sent = bench.engine.sent
                    await asyncio.sleep(0.3)
                return sent, await resp.read()

    async def test_only_its_engine_stream_slows_down(self):
        async with Bench(FakeEngine(self.COUNT), buffer_tokens=16) as bench:
            sent, raw = await self.read_slowly(bench)
        assert sent < self.COUNT
        assert text_of(read_events(raw)) == "".join(bench.engine.text)

    async def test_blocked_connection_is_aborted(self):
        engine = FakeEngine(self.COUNT)
        async with Bench(engine, write_seconds=1.0) as bench:
            async with ClientSession(headers=AUTH, read_bufsize=1024) as http:
                url = f"{bench.url}/v1/chat/completions"
                async with http.post(url, json=STREAM):
                    await until(lambda: bench.metrics.refusals() == {"caller_left": 1})
            assert engine.sent < self.COUNT
            assert (engine.open, bench.program.stream_runner.live_streams) == (0, set())


class TestReconnect:
    async def interrupt(self, bench: Bench, http: ClientSession) -> tuple[str, bytes]:
        resp = await http.post(f"{bench.url}/v1/chat/completions", json=STREAM)
        raw = b""
        for _ in range(3):
            raw += await resp.content.readuntil(b"\n\n")
        resp.close()
        return read_events(raw)[-1][0], raw

    async def reconnect(self, bench: Bench, http: ClientSession, event_id: str, **more):
        headers = {"Last-Event-ID": event_id}
        url = f"{bench.url}/v1/chat/completions"
        async with http.post(url, json={**STREAM, **more}, headers=headers) as resp:
            return resp.status, await resp.read()

    @pytest.mark.parametrize("gateway", ["gw-1:9200", "gw-2:9200"])
    async def test_resumes_at_any_gateway(self, gateway):
        net: dict = {}
        engine = FakeEngine()
        engine.faults = {"e1": (4, "stall")}
        async with (
            Bench(engine, net=net) as one,
            Bench(engine, net=net, address="gw-2:9200") as two,
            ClientSession(headers=AUTH) as http,
        ):
            event_id, first = await self.interrupt(one, http)
            engine.faults = {}
            bench = one if gateway == "gw-1:9200" else two
            status, rest = await self.reconnect(bench, http, event_id)
        assert status == 200
        assert text_of(read_events(first + rest)) == "".join(engine.text)
        assert list(engine.attempts[1].resume.delivered) == engine.text[:4]

    async def test_regenerated_if_no_gateway_retains_it(self):
        engine = FakeEngine()
        engine.faults = {"e1": (4, "stall")}
        async with ClientSession(headers=AUTH) as http:
            async with Bench(engine) as one:
                event_id, first = await self.interrupt(one, http)
            engine.faults = {}
            async with Bench(engine, address="gw-2:9200") as two:
                status, rest = await self.reconnect(two, http, event_id)
        assert status == 200
        assert text_of(read_events(first + rest)) == "".join(engine.text)

    async def test_refused_if_the_regenerated_text_differs(self):
        engine = FakeEngine()
        engine.faults = {"e1": (4, "stall")}
        async with ClientSession(headers=AUTH) as http:
            async with Bench(engine) as one:
                event_id, _first = await self.interrupt(one, http)
            engine.faults = {}
            engine.text[1] = "other "
            async with Bench(engine, address="gw-2:9200") as two:
                status, _rest = await self.reconnect(two, http, event_id)
        assert status == 410

    async def test_different_body_is_refused(self):
        engine = FakeEngine()
        engine.faults = {"e1": (4, "stall")}
        async with Bench(engine) as bench, ClientSession(headers=AUTH) as http:
            event_id, _first = await self.interrupt(bench, http)
            status, _rest = await self.reconnect(bench, http, event_id, seed=4)
        assert status == 400

    async def test_id_of_another_account_is_refused(self):
        async with Bench() as bench, ClientSession() as http:
            resp = await http.post(
                f"{bench.url}/v1/chat/completions", json=STREAM, headers=AUTH
            )
            event_id = read_events(await resp.read())[2][0]
            other = {"Authorization": "Bearer sk-other", "Last-Event-ID": event_id}
            resp = await http.post(
                f"{bench.url}/v1/chat/completions", json=STREAM, headers=other
            )
            assert resp.status in (400, 404)
