"""An endpoint restarts under its id while requests are in flight there."""

import asyncio

from tests.functional.relay.test_stream import whole_stream
from tests.lib.raw_endpoints import RawEndpoint, chunk, events, stream_head
from tests.lib.relay_fakes import ask, running, until


def restart_while_answering(store, endpoint, partial_answer):
    """Answer the beginning of a stream, then disconnect and be listed as restarted."""

    async def step(_reader, writer, headers):
        rid = headers["ebonydeal-request-id"].encode()
        if partial_answer:
            writer.write(stream_head().replace(b"{id}", rid) + chunk(events(1, 2)))
            await writer.drain()
            await asyncio.sleep(0.02)
        await store.put("servers", endpoint.name, endpoint.row(born=2_000))
        writer.transport.abort()

    return step


class TestRestart:
    async def test_a_stream_is_resumed_after_its_last_event(self):
        one = RawEndpoint("i1")
        async with running(one) as (program, store):
            await store.put("servers", "i1", one.row(born=1_000))
            await until(lambda: program.view.members["i1"].incarnation == 1_000)
            rest = whole_stream(3, 4)
            one.script = [
                restart_while_answering(store, one, partial_answer=True),
                rest,
            ]
            status, _headers, body = await ask(program, "/again/", method="POST")
            await until(lambda: program.view.members["i1"].incarnation == 2_000)
        assert (status, body) == (200, events(1, 4))
        assert "Last-Event-Id: 2" in one.seen[1]

    async def test_a_non_idempotent_request_is_not_sent_again(self):
        one = RawEndpoint("i1")
        async with running(one) as (program, store):
            await store.put("servers", "i1", one.row(born=1_000))
            await until(lambda: program.view.members["i1"].incarnation == 1_000)
            one.script = [restart_while_answering(store, one, partial_answer=False)]
            status, _headers, _body = await ask(program, "/once/", method="POST")
            await until(lambda: program.view.members["i1"].incarnation == 2_000)
        assert status == 502
        assert len(one.seen) == 1

    async def test_connections_and_load_of_the_previous_process_are_dropped(self):
        one = RawEndpoint("i1")
        async with running(one) as (program, store):
            await store.put("servers", "i1", one.row(born=1_000))
            await until(lambda: program.view.members["i1"].incarnation == 1_000)
            assert (await ask(program, "/safe/"))[0] == 200
            assert program._pools.connected_endpoints() == {"i1"}
            await store.put("servers", "i1", one.row(born=2_000))
            await until(lambda: program.view.members["i1"].incarnation == 2_000)
            assert program._pools.connected_endpoints() == frozenset()
            assert program._selector.own_loads() == {}
            assert (await ask(program, "/safe/", rid="r2"))[0] == 200
        assert one.connections == 2
