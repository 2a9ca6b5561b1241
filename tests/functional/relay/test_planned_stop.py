"""What a relay that was told to stop still passes on, and what it refuses."""

import asyncio
import socket
from contextlib import asynccontextmanager

import pytest

from tests.functional.relay.test_stream import stalls_after, whole_stream
from tests.lib.cut_links import relays_of_which_first_is_cut
from tests.lib.raw_endpoints import NOT_RUN, RawEndpoint, answer, events
from tests.lib.relay_fakes import (
    HOST,
    KEY,
    Client,
    ask,
    document,
    route,
    running,
    until,
)

BODY = b"0123456789"
# A relay with 2 s to stop in ends its requests after 1.6 s. One whose objective is 0.3
# s may take 1.2 s, so none is passed on later than 0.4 s after the stop began.
GRACE = {"grace_s": 2.0, "settle_s": 0.1}
TOO_LATE_S = 0.6
QUICK = {"timeout_ms": 10_000, "target_latency_ms": 300}
ROUTES = [
    route("/once/", "non_idempotent", **QUICK),
    route("/safe/", "idempotent", **QUICK),
    route("/live/", "streaming", gap_aim_ms=400, **QUICK),
]


async def never(reader, _writer, _headers):
    await reader.read()


def head(path, rid="r1", method="GET", length=0):
    """Return the head of a request."""
    text = (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nEbonydeal-Request-Id: {rid}\r\n"
        f"Ebonydeal-Deadline-Ms: 10000\r\nAuthorization: Bearer {KEY}\r\n"
        f"Content-Length: {length}\r\n\r\n"
    )
    return text.encode()


async def send_head(client, path):
    """Send a request whose body is to follow."""
    client.writer.write(head(path, method="POST", length=len(BODY)) + BODY[:4])
    await client.writer.drain()


@asynccontextmanager
async def serving(*endpoints, routes=ROUTES, slow=False):
    """Run a relay with little time to stop; yields (relay, client).

    The client is on a ``slow`` link: the system takes little of an answer from the
    relay before it is read.
    """
    buffer_bytes = 4096 if slow else None
    async with (
        running(*endpoints, doc=document(routes=routes), **GRACE) as (program, _store),
        Client(program, buffer_bytes) as client,
    ):
        if slow:
            await until(lambda: program.clients._server.connections)
            (connection,) = program.clients._server.connections
            sock = connection.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffer_bytes)
        yield program, client


async def stopping(program):
    """Begin the stop; returns its task."""
    stop = asyncio.create_task(program.stop())
    await until(lambda: not program.ready)
    return stop


async def read_after_stop(program, client):
    """Begin the stop, then read an answer that the relay has passed on before."""
    client.writer.transport.pause_reading()
    (connection,) = program.clients._server.connections
    await until(connection.transport.get_write_buffer_size)
    stop = await stopping(program)
    await asyncio.sleep(TOO_LATE_S)
    assert not stop.done()
    client.writer.transport.resume_reading()
    status, _headers, body = await client.receive()
    await stop
    return status, body


class TestLateBody:
    @pytest.mark.parametrize("path", ["/once/", "/safe/", "/live/"])
    async def test_request_whose_body_is_too_late_is_not_passed_on(self, path):
        """The relay would end before its answer, and the caller would get none."""
        one = RawEndpoint("i1", [never])
        async with serving(one) as (program, client):
            stop = await stopping(program)
            await send_head(client, path)
            await asyncio.sleep(TOO_LATE_S)
            client.writer.write(BODY[4:])
            status, headers, _body = await client.receive()
            await stop
        assert (status, headers["connection"]) == (503, "close")
        assert "retry-after" in headers
        assert one.seen == []

    async def test_request_is_answered_before_its_body_is_complete(self):
        one = RawEndpoint("i1", [never])
        async with serving(one) as (program, client):
            await send_head(client, "/once/")
            await until(lambda: program.clients.open_requests)
            stop = await stopping(program)
            status, _headers, _body = await client.receive()
            assert not stop.done()
            await stop
        assert status == 503

    async def test_request_whose_body_is_in_time_is_served(self):
        one = RawEndpoint("i1")
        async with serving(one) as (program, client):
            stop = await stopping(program)
            await send_head(client, "/once/")
            await asyncio.sleep(0.05)
            client.writer.write(BODY[4:])
            status, _headers, body = await client.receive()
            await stop
        assert (status, body) == (200, b"hello")


class TestLateResend:
    async def test_request_that_is_refused_too_late_is_not_sent_again(self):
        """The refusal of the first endpoint arrives when no answer can be in time."""

        async def refuse_late(_reader, writer, headers):
            await asyncio.sleep(TOO_LATE_S)
            rid = headers["ebonydeal-request-id"].encode()
            writer.write(NOT_RUN.replace(b"{id}", rid))

        scripts = [refuse_late, never]
        one, two = RawEndpoint("i1"), RawEndpoint("i2")
        one.script = two.script = scripts
        async with serving(one, two) as (program, client):
            await client.send("/once/", method="POST", wait=10_000)
            await until(lambda: one.seen or two.seen)
            stop = await stopping(program)
            status, headers, _body = await client.receive()
            await stop
        assert status == 503 and "retry-after" in headers
        assert len(one.seen) + len(two.seen) == 1

    async def test_request_that_is_refused_in_time_is_sent_again(self):
        scripts = [NOT_RUN, answer()]
        one, two = RawEndpoint("i1"), RawEndpoint("i2")
        one.script = two.script = scripts
        async with serving(one, two) as (program, client):
            stop = await stopping(program)
            status, _headers, _body = await client.ask("/once/", method="POST")
            await stop
        assert status == 200


async def too_late(*_args):
    await asyncio.sleep(TOO_LATE_S)


class TestLateSend:
    async def check_refused(self, program, client):
        stop = await stopping(program)
        await client.send("/once/", method="POST", wait=10_000)
        status, _headers, _body = await client.receive()
        await stop
        assert status == 503

    async def test_request_that_waited_for_its_accounts_limit_is_not_passed_on(self):
        one = RawEndpoint("i1", [never])
        async with serving(one) as (program, client):
            program._quota.admit = too_late
            await self.check_refused(program, client)
        assert one.seen == []

    async def test_request_that_waited_for_a_test_of_links_is_not_passed_on(self):
        one = RawEndpoint("i1", [never])
        async with serving(one) as (program, client):
            program._links.wait_until_tested = too_late
            await self.check_refused(program, client)
        assert one.seen == []

    async def test_request_is_not_passed_on_through_another_relay(self):
        one = RawEndpoint("i1", [never])
        async with relays_of_which_first_is_cut(2, one, **GRACE) as (first, second):
            assert (await ask(first, "/quick/", method="POST"))[0] == 504
            first._links.wait_until_tested = too_late
            forwarded = []
            handle = second._forwards.handle

            async def count(req):
                forwarded.append(req)
                return await handle(req)

            second.peers._server.request_handler = count
            stop = await stopping(first)
            async with Client(first) as client:
                await client.send("/once/", method="POST", wait=10_000)
                status, _headers, _body = await client.receive()
            await stop
        assert status == 503
        assert forwarded == [] and len(one.seen) == 1


LARGE = b"x" * 3_000_000


class TestAnswerBeingWritten:
    """The relay ended as soon as endpoints had answered, whoever was still reading."""

    @pytest.mark.parametrize("path", ["/once/", "/safe/"])
    async def test_is_written_to_its_end(self, path):
        one = RawEndpoint("i1", [answer(body=LARGE)])
        async with serving(one, slow=True) as (program, client):
            await client.send(path, method="POST")
            await until(lambda: one.seen and program.clients.open_requests)
            status, body = await read_after_stop(program, client)
        assert (status, len(body)) == (200, len(LARGE))

    async def test_request_whose_answer_takes_long_to_write_is_refused_in_time(self):
        """Its endpoint is quick, but clients of its route read their answers slowly."""
        quick = route("/once/", "non_idempotent", timeout_ms=10_000)
        quick["target_latency_ms"] = 50
        one = RawEndpoint("i1", [answer(body=LARGE), answer(body=LARGE)])
        async with (
            serving(one, routes=[quick], slow=True) as (program, slow),
            Client(program) as client,
        ):
            await slow.send("/once/", method="POST")
            slow.writer.transport.pause_reading()
            await asyncio.sleep(1.0)
            slow.writer.transport.resume_reading()
            await slow.receive()
            stop = await stopping(program)
            # Its head has begun to arrive, so the relay waits for the rest.
            request = head("/once/", rid="r2", method="POST")
            client.writer.write(request[:5])
            await asyncio.sleep(0.7)
            client.writer.write(request[5:])
            status, _headers, _body = await client.receive()
            await stop
        assert status == 503
        assert len(one.seen) == 1

    async def test_end_of_a_stream_is_written(self):
        one = RawEndpoint("i1", [whole_stream(1, 2000)])
        async with serving(one, slow=True) as (program, client):
            await client.send("/live/", method="POST")
            status, body = await read_after_stop(program, client)
        assert (status, body) == (200, events(1, 2000))

    async def test_reader_that_has_left_does_not_delay_the_stop(self):
        one = RawEndpoint("i1", [answer(body=LARGE)])
        async with serving(one, slow=True) as (program, client):
            await client.send("/once/", method="POST")
            await until(lambda: one.seen)
            stop = await stopping(program)
            client.writer.transport.abort()
            async with asyncio.timeout(1.0):
                await stop

    async def test_of_an_endpoint_reaches_the_other_relay(self):
        """It arrives through a relay that is told to stop meanwhile."""
        stop_has_begun = asyncio.Event()

        async def answer_during_stop(_reader, writer, headers):
            whole = answer(headers, LARGE)
            writer.write(whole[: len(whole) // 2])
            await stop_has_begun.wait()
            writer.write(whole[len(whole) // 2 :])

        one = RawEndpoint("i1", [answer_during_stop])
        async with relays_of_which_first_is_cut(2, one, **GRACE) as (first, second):
            async with Client(first, buffer_bytes=4096) as client:
                await client.send("/once/", method="POST")
                await until(lambda: second._forwards.in_flight)
                stop = await stopping(second)
                stop_has_begun.set()
                status, _headers, body = await client.receive()
                await stop
        assert (status, len(body)) == (200, len(LARGE))


class TestRequestBeingRead:
    async def test_head_that_has_begun_to_arrive_is_waited_for(self):
        """The relay closed the connection between two packets of a request."""
        one = RawEndpoint("i1")
        async with serving(one) as (program, client):
            stop = await stopping(program)
            request = head("/safe/")
            client.writer.write(request[:7])
            await asyncio.sleep(0.3)
            client.writer.write(request[7:])
            status, _headers, _body = await client.receive()
            await stop
        assert status == 200

    async def test_request_that_arrived_with_the_one_before_is_answered(self):
        """Its bytes were read before the answer to the first one was written."""

        async def slow(_reader, writer, headers):
            await asyncio.sleep(0.5)
            writer.write(answer(headers))

        one = RawEndpoint("i1", [answer(), slow])
        async with serving(one) as (program, client):
            client.writer.write(head("/safe/") + head("/safe/", rid="r2"))
            statuses = [(await client.receive())[0]]
            await until(lambda: len(one.seen) == 2)
            stop = await stopping(program)
            statuses.append((await client.receive())[0])
            await stop
        assert statuses == [200, 200]

    async def test_connection_without_a_request_does_not_delay_the_stop(self):
        one = RawEndpoint("i1")
        async with serving(one) as (program, client):
            await client.ask("/safe/")
            # Refused before its body is read, which then arrives.
            await client.send("/none/", method="POST", body=BODY)
            assert (await client.receive())[0] == 404
            async with asyncio.timeout(1.0):
                await program.stop()


class TestLateConnection:
    async def test_that_was_accepted_before_the_socket_closed_is_not_read(self):
        """Its request would be passed on, and cut off at once as the relay ends."""
        one = RawEndpoint("i1")
        async with serving(one) as (program, _client):
            listener = program.clients
            accept = listener._server
            async with Client(program) as late:
                await until(lambda: len(accept.connections) == 2)
                # As if the event loop had accepted it a moment before.
                (_first, accepted) = accept.connections
                listener.close_gracefully()
                transport = accepted.transport
                protocol = accept()
                transport.set_protocol(protocol)
                protocol.connection_made(transport)
                await late.send("/once/", method="POST")
                with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                    await late.receive()
        assert one.seen == []


class TestEnd:
    @pytest.mark.parametrize("path", ["/once/", "/safe/", "/live/"])
    async def test_request_without_an_answer_gets_504(self, path):
        """Callers got a closed connection when the relay's time was over."""
        one = RawEndpoint("i1", [never, never])
        slow = [r | {"target_latency_ms": 9000} for r in ROUTES]
        async with serving(one, routes=slow) as (program, client):
            await client.send(path, method="POST", wait=10_000)
            await until(lambda: one.seen)
            await stopping(program)
            status, headers, _body = await client.receive()
        assert (status, headers["connection"]) == (504, "close")
        assert len(one.seen) == 1

    async def test_stream_that_has_begun_does_not_look_complete(self):
        one = RawEndpoint("i1", [stalls_after(events(1, 2))])
        async with serving(one) as (program, client):
            await client.send("/live/", method="POST", wait=10_000)
            await client.reader.readuntil(b"data: x2\n\n")
            await stopping(program)
            rest = await client.reader.read()
        assert b"\r\n0\r\n" not in rest


class TestSilentServices:
    @pytest.mark.parametrize("call", ["lease release", "last report"])
    async def test_stop_ends_in_time_though_a_call_is_not_answered(self, call):
        """The process was killed with its clients' connections still open."""

        async def hang():
            await asyncio.Event().wait()

        one = RawEndpoint("i1")
        async with serving(one) as (program, client):
            match call:
                case "lease release":
                    program.coordinator.release = hang
                case "last report":
                    program._exchange.flush = hang
            async with asyncio.timeout(GRACE["grace_s"]):
                stop = await stopping(program)
                status, _headers, _body = await client.ask("/safe/")
                await stop
        assert status == 200
