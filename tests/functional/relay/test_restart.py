"""An endpoint that starts again under its id, amid what it was at work on."""

import asyncio

from tests.functional.relay.test_stream import whole_stream
from tests.lib.raw_endpoints import RawEndpoint, chunk, events, stream_head
from tests.lib.relay_fakes import ask, running, until


def restarts(store, endpoint, began):
    """Answer the beginning of a stream, then be gone and listed anew."""

    async def step(_reader, writer, headers):
        rid = headers["ebonydeal-request-id"].encode()
        if began:
            writer.write(stream_head().replace(b"{id}", rid) + chunk(events(1, 2)))
            await writer.drain()
            await asyncio.sleep(0.02)
        await store.put("servers", endpoint.name, endpoint.row(born=2_000))
        writer.transport.abort()

    return step


class TestRestart:
    async def test_a_stream_goes_on_after_its_last_event(self):
        one = RawEndpoint("i1")
        async with running(one) as (program, store):
            await store.put("servers", "i1", one.row(born=1_000))
            await until(lambda: program.view.members["i1"].incarnation == 1_000)
            again = whole_stream(3, 4)
            one.script = [restarts(store, one, began=True), again]
            status, _headers, body = await ask(program, "/again/", method="POST")
            await until(lambda: program.view.members["i1"].incarnation == 2_000)
        assert (status, body) == (200, events(1, 4))
        assert "Last-Event-Id: 2" in one.seen[1]

    async def test_what_may_run_once_is_not_sent_again(self):
        one = RawEndpoint("i1")
        async with running(one) as (program, store):
            await store.put("servers", "i1", one.row(born=1_000))
            await until(lambda: program.view.members["i1"].incarnation == 1_000)
            one.script = [restarts(store, one, began=False)]
            status, _headers, _body = await ask(program, "/once/", method="POST")
            await until(lambda: program.view.members["i1"].incarnation == 2_000)
        assert status == 502
        assert len(one.seen) == 1

    async def test_what_was_learned_of_the_one_before_goes(self):
        one = RawEndpoint("i1")
        async with running(one) as (program, store):
            await store.put("servers", "i1", one.row(born=1_000))
            await until(lambda: program.view.members["i1"].incarnation == 1_000)
            assert (await ask(program, "/safe/"))[0] == 200
            assert program._pools.connected_endpoints() == {"i1"}
            await store.put("servers", "i1", one.row(born=2_000))
            await until(lambda: program.view.members["i1"].incarnation == 2_000)
            assert program._pools.connected_endpoints() == frozenset()
            assert program._choice.own() == {}
            assert (await ask(program, "/safe/", rid="r2"))[0] == 200
        assert one.connections == 2
