import asyncio

import pytest
from aiohttp import web

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.outside.engines import HttpEngine
from ebonydeal._internal.outside.interfaces import CancelResult, EngineOrder, Resume
from ebonydeal._internal.standin.endpoint import EndpointFault, PlannedFault
from ebonydeal._internal.standin.expected_answers import expected_tokens
from ebonydeal._internal.standin.server import StandinServer
from ebonydeal._internal.utils.prefix import split_tokens
from tests.lib.fakes_endpoints import FAST, MODEL, engine, running, view_of

CHAT = "/v1/chat/completions"
PROMPT = " ".join(f"guest-{number}" for number in range(40))
BODY = {
    "model": MODEL,
    "messages": [{"role": "user", "content": PROMPT}],
    "max_tokens": 8,
}
PROMPT_TEXT = f"user: {PROMPT}"
TOKENS = expected_tokens(MODEL, PROMPT_TEXT, 8)
PROMPT_TOKENS = len(split_tokens(PROMPT_TEXT))
SLOW = FAST._replace(tokens_per_s=20.0, slots=1)


async def collect(client, endpoint, body=BODY, attempt="a-1", resume=None, path=CHAT):
    chunks = []
    async for chunk in client.stream(view_of(endpoint), path, body, attempt, resume):
        chunks.append(chunk)
    return chunks


async def stream_failure(client, endpoint, **options):
    chunks = []
    with pytest.raises(EbonydealError) as caught:
        async for chunk in client.stream(view_of(endpoint), CHAT, BODY, "a-1"):
            chunks.append(chunk)
    return caught.value.kind, len(chunks)


class TestStreams:
    async def test_complete_answer(self):
        async with running(engine()) as server:
            client = HttpEngine(2.0)
            chunks = await collect(client, server)
            assert [chunk.text for chunk in chunks] == list(TOKENS)
            assert [chunk.position for chunk in chunks] == list(range(8))
            assert [chunk.finish for chunk in chunks] == [""] * 7 + ["length"]
            assert (chunks[0].cached_tokens, chunks[0].prefilled_tokens) == (
                0,
                PROMPT_TOKENS,
            )
            await client.close()

    async def test_completions_path_and_finish_reason_stop(self):
        async with running(engine()) as server:
            client = HttpEngine(2.0)
            body = {"model": MODEL, "prompt": "x", "max_tokens": 1000}
            chunks = await collect(client, server, body, path="/v1/completions")
            expected = expected_tokens(MODEL, "x", 1000)
            assert tuple(chunk.text for chunk in chunks) == expected
            assert chunks[-1].finish == "stop"
            await client.close()

    async def test_cached_prefix_is_not_prefilled_again(self):
        async with running(engine()) as server:
            client = HttpEngine(2.0)
            await collect(client, server)
            again = await collect(client, server)
            cached = again[0].cached_tokens
            assert cached == PROMPT_TOKENS // 16 * 16
            assert again[0].prefilled_tokens == PROMPT_TOKENS - cached
            await client.close()

    @pytest.mark.parametrize("count", [1, 7, 8])
    async def test_resume_continues_after_the_delivered_tokens(self, count):
        async with running(engine()) as server:
            client = HttpEngine(2.0)
            resume = Resume(TOKENS[:count])
            chunks = await collect(client, server, resume=resume)
            texts = [chunk.text for chunk in chunks if chunk.text]
            assert texts == list(TOKENS[count:])
            assert chunks[0].position == count
            assert chunks[-1].finish == "length"
            assert chunks[0].prefilled_tokens == PROMPT_TOKENS + count
            assert server.entries[0]["matches"] is True
            await client.close()

    @pytest.mark.parametrize(
        ("fault", "kind", "chunks"),
        [
            (PlannedFault(EndpointFault.REFUSE), ErrorKind.ENDPOINT_REFUSED, 0),
            (PlannedFault(EndpointFault.ERROR), ErrorKind.ENDPOINT_FAILED, 0),
            (PlannedFault(EndpointFault.BREAK_BEFORE), ErrorKind.ENDPOINT_FAILED, 0),
            (PlannedFault(EndpointFault.BREAK, 3), ErrorKind.ENDPOINT_FAILED, 3),
            (PlannedFault(EndpointFault.TRUNCATE, 3), ErrorKind.ENDPOINT_FAILED, 3),
            (PlannedFault(EndpointFault.GARBAGE, 3), ErrorKind.ENDPOINT_GARBAGE, 3),
        ],
    )
    async def test_fault_maps_to_its_error_kind(self, fault, kind, chunks):
        async with running(engine()) as server:
            client = HttpEngine(2.0)
            server.faults.next.append(fault)
            assert await stream_failure(client, server) == (kind, chunks)
            assert len(await collect(client, server, attempt="a-2")) == 8
            await client.close()

    async def test_engine_killed_during_a_stream(self):
        async with running(engine(spec=SLOW)) as server:
            client = HttpEngine(2.0)
            stream = client.stream(view_of(server), CHAT, BODY, "a-1")
            assert (await anext(stream)).text == TOKENS[0]
            await server.kill()
            with pytest.raises(EbonydealError) as caught:
                async for _chunk in stream:
                    pass
            assert caught.value.kind is ErrorKind.ENDPOINT_FAILED
            assert await stream_failure(client, server) == (ErrorKind.CONNECT_FAILED, 0)
            await client.close()

    async def test_model_that_is_not_loaded_is_refused(self):
        async with running(engine()) as server:
            client = HttpEngine(2.0)
            with pytest.raises(EbonydealError) as caught:
                await collect(client, server, {**BODY, "model": "other"})
            assert caught.value.kind is ErrorKind.ENDPOINT_REFUSED
            await client.close()

    async def test_closing_a_stream_stops_it_at_the_engine(self):
        async with running(engine(spec=SLOW)) as server:
            client = HttpEngine(2.0)
            stream = client.stream(view_of(server), CHAT, BODY, "a-1")
            await anext(stream)
            await stream.aclose()
            while server.entries[0]["state"] == "running":
                await asyncio.sleep(0.01)
            assert server.entries[0]["state"] == "dropped"
            assert server.slots.running == 0
            await client.close()

    @pytest.mark.parametrize(
        "lines",
        [
            ["nonsense"],
            ['data: {"choices": []}'],
            ['data: {"choices": [{"text": 3}], "position": 0}'],
            ['data: {"choices": [{"text": "x"}], "position": true}'],
            ['data: {"choices": [{"text": "x"}], "position": 1}'],
            ["data: " + "[" * 100_000],
            ["data: " + "x" * 5_000_000],
            ['data: {"choices": [{"text": "x"}], "position": 0}'] * 2,
            [
                'data: {"choices": [{"text": "x", "finish_reason": "stop"}], '
                '"position": 0}',
                'data: {"choices": [{"text": "y"}], "position": 1}',
            ],
        ],
        ids=range(9),
    )
    async def test_malformed_stream_raises_and_yields_no_garbage(self, lines):
        async def answer(_req):
            text = "".join(f"{line}\n\n" for line in [*lines, "data: [DONE]"])
            return web.Response(text=text, content_type="text/event-stream")

        app = web.Application()
        app.router.add_post(CHAT, answer)
        async with running(StandinServer(app)) as server:
            server.endpoint_id, server.kind = "i-9", "engine"
            client = HttpEngine(2.0)
            kind, _count = await stream_failure(client, server)
            assert kind is ErrorKind.ENDPOINT_GARBAGE
            await client.close()


class TestCancel:
    async def test_result_proves_whether_the_attempt_ran(self):
        async with running(engine(spec=SLOW)) as server:
            client = HttpEngine(2.0)
            first = client.stream(view_of(server), CHAT, BODY, "a-1")
            await anext(first)
            second = asyncio.ensure_future(collect(client, server, attempt="a-2"))
            while server.slots.waiting == 0:
                await asyncio.sleep(0.01)
            result = await client.cancel(view_of(server), "a-2")
            assert result == CancelResult("not_started", 0)
            with pytest.raises(EbonydealError) as caught:
                await second
            assert caught.value.kind is ErrorKind.ENDPOINT_REFUSED
            result = await client.cancel(view_of(server), "a-1")
            assert (result.state, result.tokens >= 1) == ("stopped", True)
            with pytest.raises(EbonydealError) as caught:
                async for _chunk in first:
                    pass
            assert caught.value.kind is ErrorKind.ENDPOINT_FAILED
            result = await client.cancel(view_of(server), "a-3")
            assert result == CancelResult("unknown", 0)
            assert server.slots.running == 0
            await client.close()

    async def test_finished_attempt_is_reported_with_its_tokens(self):
        async with running(engine()) as server:
            client = HttpEngine(2.0)
            await collect(client, server)
            result = await client.cancel(view_of(server), "a-1")
            assert result == CancelResult("finished", 8)
            await client.close()


class TestKvTransfer:
    async def test_imported_cache_saves_the_prefill(self):
        source, target = engine("i-1", SLOW), engine("i-2")
        async with running(source, target):
            client = HttpEngine(2.0)
            stream = client.stream(view_of(source), CHAT, BODY, "a-1")
            await anext(stream)
            handle = await client.export_kv(view_of(source), "a-1")
            delivered = [TOKENS[0]]
            with pytest.raises(EbonydealError):
                async for chunk in stream:
                    delivered.append(chunk.text)
            tokens = await client.import_kv(view_of(target), handle, view_of(source))
            assert tokens >= PROMPT_TOKENS + len(delivered)
            resume = Resume(tuple(delivered), handle)
            resumed = await collect(client, target, attempt="a-2", resume=resume)
            assert resumed[0].prefilled_tokens == 0
            whole = delivered + [chunk.text for chunk in resumed]
            assert whole == list(TOKENS)
            await client.close()

    async def test_handle_of_a_dead_source_fails(self):
        source, target = engine("i-1"), engine("i-2")
        async with running(source, target):
            client = HttpEngine(2.0)
            await source.kill()
            with pytest.raises(EbonydealError) as caught:
                await client.import_kv(view_of(target), "kv-1", view_of(source))
            assert caught.value.kind is ErrorKind.ENDPOINT_FAILED
            await client.close()


class TestOrdersAndReports:
    async def test_engine_that_checks_fences_refuses_an_old_one(self):
        async with running(engine()) as server:
            client, view = HttpEngine(2.0), view_of(server)
            order = EngineOrder(5, (MODEL, "slips-1b"), "serve")
            await client.order(view, order)
            with pytest.raises(EbonydealError) as caught:
                await client.order(view, EngineOrder(4, (), "serve"))
            assert caught.value.kind is ErrorKind.STALE_ORDER
            assert await client.order_state(view) == order
            await client.close()

    async def test_engine_that_ignores_fences_follows_the_last_order(self):
        spec = FAST._replace(checks_fence=False)
        async with running(engine(spec=spec)) as server:
            client, view = HttpEngine(2.0), view_of(server)
            await client.order(view, EngineOrder(5, (MODEL,), "serve"))
            await client.order(view, EngineOrder(4, (), "serve"))
            assert await client.order_state(view) == EngineOrder(4, (), "serve")
            await client.close()

    async def test_ordered_model_is_loaded_and_served(self):
        async with running(engine()) as server:
            client, view = HttpEngine(2.0), view_of(server)
            await client.order(view, EngineOrder(1, ("slips-1b",), "serve"))
            while server.orders.next_missing():
                await asyncio.sleep(0.01)
            chunks = await collect(client, server, {**BODY, "model": "slips-1b"})
            assert len(chunks) == 8
            assert (await stream_failure(client, server))[
                0
            ] is ErrorKind.ENDPOINT_REFUSED
            await client.close()

    async def test_load_is_reported_with_answers(self):
        seen = []
        async with running(engine()) as server:
            client = HttpEngine(2.0, lambda name, load: seen.append((name, load)))
            await collect(client, server)
            assert [name for name, _load in seen] == ["i-1", "i-1"]
            load = await client.load(view_of(server))
            assert (load.running, load.waiting, load.slots) == (0, 0, 8)
            await client.close()

    async def test_cache_events_list_stored_blocks(self):
        async with running(engine()) as server:
            client, view = HttpEngine(2.0), view_of(server)
            await collect(client, server)
            events = await client.cache_events(view, 0)
            assert [event.seq for event in events] == [1, 2, 3]
            assert all(event.stored for event in events)
            assert await client.cache_events(view, 2) == events[2:]
            await client.close()
