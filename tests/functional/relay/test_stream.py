import asyncio

import pytest

from tests.lib.raw_endpoints import (
    NOT_RUN,
    RawEndpoint,
    chunk,
    events,
    stream_head,
)
from tests.lib.relay_fakes import (
    Client,
    ask,
    running,
)


def whole(first, last):
    return stream_head() + chunk(events(first, last)) + b"0\r\n\r\n"


def breaks_after(data):
    """Send ``data`` as one chunk and break off."""

    async def step(_reader, writer, headers):
        rid = headers["ebonydeal-request-id"].encode()
        writer.write(stream_head().replace(b"{id}", rid) + chunk(data))
        await writer.drain()
        await asyncio.sleep(0.02)
        writer.transport.abort()

    return step


def falls_silent_after(data):
    async def step(reader, writer, headers):
        rid = headers["ebonydeal-request-id"].encode()
        writer.write(stream_head().replace(b"{id}", rid) + chunk(data))
        await writer.drain()
        await reader.read()

    return step


class TestWhole:
    async def test_events_come_as_they_are_made(self):
        go_on = asyncio.Event()

        async def slow(_reader, writer, headers):
            rid = headers["ebonydeal-request-id"].encode()
            writer.write(stream_head().replace(b"{id}", rid) + chunk(events(1, 2)))
            await writer.drain()
            await go_on.wait()
            writer.write(chunk(events(3, 3)) + b"0\r\n\r\n")

        one = RawEndpoint("i1", [slow])
        async with running(one) as (program, _store), Client(program) as client:
            await client.send("/live/", method="POST")
            await client.reader.readuntil(b"data: x2\n\n")
            go_on.set()
            rest = await client.reader.readuntil(b"0\r\n\r\n")
        assert b"data: x3" in rest

    async def test_several_events_and_torn_chunks(self):
        data = events(1, 5)
        parts = [data[i : i + 7] for i in range(0, len(data), 7)]
        step = stream_head() + b"".join(chunk(p) for p in parts) + b"0\r\n\r\n"
        one = RawEndpoint("i1", [step])
        async with running(one) as (program, _store):
            assert (await ask(program, "/live/", method="POST"))[2] == data

    async def test_refusal_before_the_stream_goes_elsewhere(self):
        one, two = RawEndpoint("i1", [NOT_RUN]), RawEndpoint("i2", [whole(1, 3)])
        async with running(one, two) as (program, _store):
            one.script, two.script = [whole(1, 3)], [NOT_RUN, whole(1, 3)]
            status, _headers, body = await ask(program, "/live/", method="POST")
        assert (status, body) == (200, events(1, 3))


class TestBroken:
    @pytest.mark.parametrize("torn", [b"", b"id: 4\nda", b"id: 4\ndata: x4\n"])
    async def test_resumable_goes_on_after_its_last_whole_event(self, torn):
        first = breaks_after(events(1, 3) + torn)
        one, two = RawEndpoint("i1", [first]), RawEndpoint("i2", [first])
        async with running(one, two) as (program, _store):
            one.script, two.script = [first, whole(4, 6)], [first, whole(4, 6)]
            one.script = [first]
            two.script = [first]

            # Whichever is second continues; its script is set when first is hit.
            async def ask_it():
                return await ask(program, "/again/", method="POST")

            task = asyncio.create_task(ask_it())
            while not one.seen and not two.seen:
                await asyncio.sleep(0.001)
            second = two if one.seen else one
            second.script = [whole(4, 6)]
            status, _headers, body = await task
        assert (status, body) == (200, events(1, 6))
        assert "Last-Event-Id: 3" in second.seen[0]

    async def test_other_streams_end_without_looking_complete(self):
        one = RawEndpoint("i1", [breaks_after(events(1, 3))])
        two = RawEndpoint("i2", [breaks_after(events(1, 3))])
        async with running(one, two) as (program, _store), Client(program) as client:
            await client.send("/live/", method="POST")
            with pytest.raises(asyncio.IncompleteReadError):
                await client.receive()
        assert len(one.seen) + len(two.seen) == 1

    async def test_silence_in_a_resumable_stream_closes_the_old_run_first(self):
        quiet = falls_silent_after(events(1, 2))
        one, two = RawEndpoint("i1", [quiet]), RawEndpoint("i2", [quiet])
        async with running(one, two) as (program, _store):
            task = asyncio.create_task(ask(program, "/again/", method="POST"))
            while not one.seen and not two.seen:
                await asyncio.sleep(0.001)
            first, second = (one, two) if one.seen else (two, one)

            async def goes_on(_reader, writer, headers):
                assert first.closed.is_set()
                rid = headers["ebonydeal-request-id"].encode()
                writer.write(whole(3, 4).replace(b"{id}", rid))

            second.script = [goes_on]
            status, _headers, body = await task
        assert (status, body) == (200, events(1, 4))

    async def test_the_last_send_may_be_silent_until_the_deadline(self):
        async def pauses(_reader, writer, headers):
            rid = headers["ebonydeal-request-id"].encode()
            writer.write(stream_head().replace(b"{id}", rid) + chunk(events(4, 4)))
            await writer.drain()
            # Longer than a pause that another send would follow.
            await asyncio.sleep(1.0)
            writer.write(chunk(events(5, 5)) + b"0\r\n\r\n")

        one = RawEndpoint("i1", [breaks_after(events(1, 3))])
        two = RawEndpoint("i2", [breaks_after(events(1, 3))])
        async with running(one, two) as (program, _store):
            task = asyncio.create_task(ask(program, "/again/", method="POST"))
            while not one.seen and not two.seen:
                await asyncio.sleep(0.001)
            second = two if one.seen else one
            second.script = [pauses]
            status, _headers, body = await task
        assert (status, body) == (200, events(1, 5))

    async def test_client_that_leaves_ends_the_run(self):
        one = RawEndpoint("i1", [falls_silent_after(events(1, 2))])
        async with running(one) as (program, _store):
            async with Client(program) as client:
                await client.send("/live/", method="POST")
                await client.reader.readuntil(b"data: x2\n\n")
            await asyncio.wait_for(one.closed.wait(), 2)
