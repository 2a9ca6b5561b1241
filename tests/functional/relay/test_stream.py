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


def whole_stream(first, last):
    return stream_head() + chunk(events(first, last)) + b"0\r\n\r\n"


def breaks_after(data):
    """Send ``data`` as one chunk, then abort the connection."""

    async def step(_reader, writer, headers):
        rid = headers["ebonydeal-request-id"].encode()
        writer.write(stream_head().replace(b"{id}", rid) + chunk(data))
        await writer.drain()
        await asyncio.sleep(0.02)
        writer.transport.abort()

    return step


def stalls_after(data):
    async def step(reader, writer, headers):
        rid = headers["ebonydeal-request-id"].encode()
        writer.write(stream_head().replace(b"{id}", rid) + chunk(data))
        await writer.drain()
        await reader.read()

    return step


class TestWhole:
    async def test_events_are_forwarded_as_they_arrive(self):
        proceed = asyncio.Event()

        async def slow(_reader, writer, headers):
            rid = headers["ebonydeal-request-id"].encode()
            writer.write(stream_head().replace(b"{id}", rid) + chunk(events(1, 2)))
            await writer.drain()
            await proceed.wait()
            writer.write(chunk(events(3, 3)) + b"0\r\n\r\n")

        one = RawEndpoint("i1", [slow])
        async with running(one) as (program, _store), Client(program) as client:
            await client.send("/live/", method="POST")
            await client.reader.readuntil(b"data: x2\n\n")
            proceed.set()
            rest = await client.reader.readuntil(b"0\r\n\r\n")
        assert b"data: x3" in rest

    async def test_events_split_over_chunks(self):
        data = events(1, 5)
        parts = [data[i : i + 7] for i in range(0, len(data), 7)]
        step = stream_head() + b"".join(chunk(p) for p in parts) + b"0\r\n\r\n"
        one = RawEndpoint("i1", [step])
        async with running(one) as (program, _store):
            assert (await ask(program, "/live/", method="POST"))[2] == data

    async def test_refused_stream_is_resent_elsewhere(self):
        one, two = RawEndpoint("i1", [NOT_RUN]), RawEndpoint("i2", [whole_stream(1, 3)])
        async with running(one, two) as (program, _store):
            one.script, two.script = [whole_stream(1, 3)], [NOT_RUN, whole_stream(1, 3)]
            status, _headers, body = await ask(program, "/live/", method="POST")
        assert (status, body) == (200, events(1, 3))


class TestBroken:
    @pytest.mark.parametrize("partial", [b"", b"id: 4\nda", b"id: 4\ndata: x4\n"])
    async def test_resumable_stream_continues_after_its_last_whole_event(self, partial):
        first = breaks_after(events(1, 3) + partial)
        one, two = RawEndpoint("i1", [first]), RawEndpoint("i2", [first])
        async with running(one, two) as (program, _store):
            one.script, two.script = (
                [first, whole_stream(4, 6)],
                [first, whole_stream(4, 6)],
            )
            one.script = [first]
            two.script = [first]

            # The endpoint that wasn't chosen first gets the script to continue.
            async def send_request():
                return await ask(program, "/again/", method="POST")

            task = asyncio.create_task(send_request())
            while not one.seen and not two.seen:
                await asyncio.sleep(0.001)
            second = two if one.seen else one
            second.script = [whole_stream(4, 6)]
            status, _headers, body = await task
        assert (status, body) == (200, events(1, 6))
        assert "Last-Event-Id: 3" in second.seen[0]

    async def test_other_streams_end_visibly_incomplete(self):
        one = RawEndpoint("i1", [breaks_after(events(1, 3))])
        two = RawEndpoint("i2", [breaks_after(events(1, 3))])
        async with running(one, two) as (program, _store), Client(program) as client:
            await client.send("/live/", method="POST")
            with pytest.raises(asyncio.IncompleteReadError):
                await client.receive()
        assert len(one.seen) + len(two.seen) == 1

    async def test_last_send_may_pause_until_the_deadline(self):
        async def pauses(_reader, writer, headers):
            rid = headers["ebonydeal-request-id"].encode()
            writer.write(stream_head().replace(b"{id}", rid) + chunk(events(4, 4)))
            await writer.drain()
            # Longer than the event timeout that applies while a resend is possible.
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

    async def test_client_that_disconnects_ends_the_run(self):
        one = RawEndpoint("i1", [stalls_after(events(1, 2))])
        async with running(one) as (program, _store):
            async with Client(program) as client:
                await client.send("/live/", method="POST")
                await client.reader.readuntil(b"data: x2\n\n")
            await asyncio.wait_for(one.closed.wait(), 2)
