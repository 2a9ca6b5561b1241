"""Limits on a client's requests and connections, at a relay in this process."""

import asyncio
import json

from ebonydeal._internal.observe.counters import Event
from tests.lib.raw_endpoints import Always, RawEndpoint, answer
from tests.lib.relay_fakes import HOST, KEY, Client, document, running, until

LIMITS = {
    "max_header_bytes": 4_096,
    "max_body_bytes": 50_000,
    "header_timeout_ms": 300,
    "idle_timeout_ms": 1_000,
}
HEAD = (
    f"Host: {HOST}\r\nEbonydeal-Request-Id: r1\r\n"
    f"Ebonydeal-Deadline-Ms: 5000\r\nAuthorization: Bearer {KEY}\r\n"
)


def limited(**limits):
    doc = json.loads(document())
    doc["limits"] = LIMITS | limits
    return json.dumps(doc).encode()


def get(path="/safe/", extra=""):
    return f"GET {path} HTTP/1.1\r\n{HEAD}{extra}\r\n".encode()


async def ended(client):
    """Return what else arrives until the relay closes the connection."""
    try:
        async with asyncio.timeout(8.0):
            return await client.reader.read()
    except ConnectionError:
        return b""


class TestHeads:
    async def test_a_large_one_is_refused(self):
        one = RawEndpoint("i1")
        async with running(one, doc=limited()) as (program, _), Client(program) as c:
            c.writer.write(get(extra=f"X-Pad: {'p' * 14_000}\r\n"))
            status, headers, body = await c.receive()
            assert await ended(c) == b""
        assert (status, headers["x-outcome"], one.seen) == (431, "not_run", [])
        assert json.loads(body)["error"]["code"] == "head_too_large"
        assert program._metrics.refusals()["head_too_large"] == 1

    async def test_one_that_comes_slowly_is_refused(self):
        one = RawEndpoint("i1")
        async with running(one, doc=limited()) as (program, _), Client(program) as c:
            c.writer.write(get()[:40])
            status, headers, _body = await c.receive()
            assert await ended(c) == b""
        assert (status, headers["x-outcome"], one.seen) == (408, "not_run", [])

    async def test_an_error_is_answered_after_the_requests_before_it(self):
        may_answer = asyncio.Event()

        async def wait(_reader, writer, headers):
            await may_answer.wait()
            writer.write(answer(headers, b"first"))

        one = RawEndpoint("i1", [wait])
        async with running(one, doc=limited()) as (program, _), Client(program) as c:
            c.writer.write(get())
            await until(lambda: one.seen)
            c.writer.write(b"no request\r\n\r\n" + get())
            await asyncio.sleep(0.1)
            may_answer.set()
            assert (await c.receive())[::2] == (200, b"first")
            assert (await c.receive())[0] == 400
            assert await ended(c) == b""
        assert len(one.seen) == 1


class TestBodies:
    async def test_malformed_chunks_are_refused_at_once(self):
        one = RawEndpoint("i1")
        async with running(one, doc=limited()) as (program, _), Client(program) as c:
            head = f"POST /once/ HTTP/1.1\r\n{HEAD}Transfer-Encoding: chunked\r\n\r\n"
            c.writer.write(head.encode() + b"5\r\nhello\r\nzz\r\n")
            status, headers, _body = await c.receive()
        assert (status, headers["x-outcome"], one.seen) == (400, "not_run", [])

    async def test_trailers_without_end_are_refused(self):
        one = RawEndpoint("i1")
        async with running(one, doc=limited()) as (program, _), Client(program) as c:
            head = f"POST /once/ HTTP/1.1\r\n{HEAD}Transfer-Encoding: chunked\r\n\r\n"
            c.writer.write(head.encode() + b"0\r\n")
            c.writer.write(
                b"".join(b"A%d: %b\r\n" % (n, b"t" * 9_000) for n in range(20))
            )
            status, headers, _body = await c.receive()
        assert (status, headers["x-outcome"], one.seen) == (400, "not_run", [])


class TestConnections:
    async def test_an_idle_one_is_closed_after_clients_may_have_reused_it(self):
        one = RawEndpoint("i1")
        async with running(one, doc=limited()) as (program, _), Client(program) as c:
            c.writer.write(get())
            assert (await c.receive())[0] == 200
            await asyncio.sleep(0.8)
            c.writer.write(get())
            assert (await c.receive())[0] == 200
            assert await ended(c) == b""
        assert program._metrics.events()[Event.CLIENTS_TIMED_OUT] == 1

    async def test_one_in_chunks_is_kept(self):
        """Framing of its body isn't taken for a head that comes slowly."""
        one = RawEndpoint("i1")
        one.script = Always(answer())
        doc = limited(idle_timeout_ms=10_000)
        async with running(one, doc=doc) as (program, _), Client(program) as c:
            for _ in range(3):
                c.writer.write(
                    f"POST /safe/ HTTP/1.1\r\n{HEAD}".encode()
                    + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
                )
                assert (await c.receive())[0] == 200
                await asyncio.sleep(1.5)

    async def test_answer_that_is_not_taken_ends_its_connection(self):
        one = RawEndpoint("i1", [answer(body=b"x" * 4_000_000)])
        async with (
            running(one, doc=limited(), unread_s=1.0) as (program, _),
            Client(program, buffer_bytes=4096) as c,
        ):
            c.writer.write(get())
            await until(lambda: c.reader._buffer)
            c.writer.transport.pause_reading()
            await until(lambda: program._metrics.events().get(Event.CLIENTS_TIMED_OUT))
            await until(lambda: not program.clients.open_requests)

    async def test_requests_sent_ahead_are_all_answered_in_order(self):
        one = RawEndpoint("i1")
        one.script = Always(answer())
        doc = limited(idle_timeout_ms=60_000)
        async with running(one, doc=doc) as (program, _), Client(program) as c:
            c.writer.write(
                b"".join(get().replace(b"r1", b"r%d" % n) for n in range(40))
            )
            ids = []
            for _ in range(40):
                status, headers, _body = await c.receive()
                assert status == 200
                ids.append(headers["ebonydeal-request-id"])
        assert ids == [f"r{n}" for n in range(40)]
