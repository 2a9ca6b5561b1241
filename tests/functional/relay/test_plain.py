import asyncio
import socket
import struct

import pytest

from tests.lib.raw_endpoints import (
    NOT_RUN,
    RawEndpoint,
    answer,
)
from tests.lib.relay_fakes import (
    KEY,
    Client,
    ask,
    document,
    route,
    running,
    until,
)

UNSIGNED = (
    b"HTTP/1.1 200 OK\r\nEbonydeal-Request-Id: {id}\r\nContent-Length: 2\r\n\r\nok"
)
OTHER_ID = answer().replace(b"{id}", b"r-other")
SHORT = answer().replace(b"hello", b"hel")
ENCODED = answer(extra=b"Content-Encoding: gzip\r\n")
GARBAGE = b"\x00\x01 not http\r\n\r\n"


async def reset(_reader, writer, _headers):
    writer.transport.abort()


async def truncate(_reader, writer, headers):
    writer.write(SHORT.replace(b"{id}", headers["ebonydeal-request-id"].encode()))
    await writer.drain()
    writer.close()


async def no_answer(reader, _writer, _headers):
    await reader.read()


# A late copy of the refusal of an earlier request, which proves nothing for this one.
OTHER_REFUSAL = (
    b"HTTP/1.1 503 Busy\r\nEbonydeal-Request-Id: another\r\n"
    b"Ebonydeal-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)
OTHER_MISDIRECTED = OTHER_REFUSAL.replace(b"503 Busy", b"421 Misdirected")
REFUSAL_WITHOUT_ID = OTHER_REFUSAL.replace(b"Ebonydeal-Request-Id: another\r\n", b"")
REFUSALS_OF_OTHERS = [OTHER_REFUSAL, OTHER_MISDIRECTED, REFUSAL_WITHOUT_ID]
BAD_ANSWERS = [
    UNSIGNED,
    OTHER_ID,
    ENCODED,
    GARBAGE,
    reset,
    truncate,
    *REFUSALS_OF_OTHERS,
]


class TestAnswer:
    async def test_is_forwarded_unchanged(self):
        one = RawEndpoint("i1", [answer(body=b"42", extra=b"X-Own: 1\r\n")])
        async with running(one) as (program, _store):
            status, headers, body = await ask(
                program, "/once/a?b=1", method="POST", body=b"data"
            )
        assert (status, body) == (200, b"42")
        assert headers["x-own"] == "1"
        assert headers["ebonydeal-server-signature"] == "sig"
        assert one.seen[0].startswith("POST /once/a?b=1 HTTP/1.1")
        assert one.bodies == [b"data"]
        assert KEY not in one.seen[0]
        assert "Ebonydeal-Tenant: acme" in one.seen[0]
        assert "Ebonydeal-Expect-Replica: i1" in one.seen[0]

    async def test_failure_of_at_most_once_call_is_forwarded(self):
        one = RawEndpoint("i1", [answer(status=b"500 Broken", body=b"no")])
        async with running(one) as (program, _store):
            status, headers, body = await ask(program, "/once/", method="POST")
        assert (status, body) == (500, b"no")
        assert "ebonydeal-server-signature" in headers

    async def test_chunked_body_reaches_the_endpoint(self):
        one = RawEndpoint("i1")
        async with running(one) as (program, _store), Client(program) as client:
            await client.send(
                "/safe/",
                headers=[("Transfer-Encoding", "chunked")],
            )
            client.writer.write(b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
            status, _headers, _body = await client.receive()
        assert status == 200
        assert one.bodies == [b"abcde"]


class TestAtMostOnce:
    @pytest.mark.parametrize("bad", BAD_ANSWERS)
    async def test_no_resend_and_no_claim_that_it_did_not_run(self, bad):
        one, two = RawEndpoint("i1", [bad]), RawEndpoint("i2", [bad])
        async with running(one, two) as (program, _store):
            status, headers, _body = await ask(program, "/once/", method="POST")
        assert status in (502, 504)
        assert len(one.seen) + len(two.seen) == 1
        assert "retry-after" not in headers
        assert "ebonydeal-server-signature" not in headers

    @pytest.mark.parametrize(("answered", "statuses"), [(True, {200}), (False, {504})])
    async def test_late_copy_of_a_refusal_is_no_proof_for_the_next_request(
        self, answered, statuses
    ):
        """It arrives on the same connection once the next request was sent."""
        one, two = RawEndpoint("i1"), RawEndpoint("i2")
        async with running(one) as (program, store):
            copy = NOT_RUN.replace(b"{id}", b"r1") + (answer() if answered else b"")
            one.script = [NOT_RUN, NOT_RUN, copy]
            await ask(program, "/once/", rid="r1", method="POST")
            assert one.ids() == ["r1", "r1"]
            await two.start()
            await store.put("servers", two.name, two.row())
            await until(lambda: "i2" in program.view.members)
            for number in range(2, 6):
                rid = f"r{number}"
                had_copy = one.script == []
                status, headers, _body = await ask(
                    program, "/once/", rid=rid, method="POST", wait=500
                )
                assert (one.ids() + two.ids()).count(rid) == 1
                got_copy = not had_copy and one.script == []
                assert status in (statuses if got_copy else {200})
                assert headers.get("x-outcome") != "not_run"
            await two.stop()
        assert one.script == []

    @pytest.mark.parametrize("path", ["/once/", "/live/"])
    @pytest.mark.parametrize("status", [b"408 Late", b"429 Limited", b"503 Failing"])
    async def test_answer_without_proof_does_not_reach_the_client_as_a_promise(
        self, status, path
    ):
        endpoints = [RawEndpoint(f"i{n}", [answer(status=status)]) for n in range(2)]
        async with running(*endpoints) as (program, _store):
            got, headers, _body = await ask(program, path, method="POST")
        assert got == 502
        assert headers["x-outcome"] == "unknown"
        assert "ebonydeal-server-signature" not in headers
        assert sum(len(endpoint.seen) for endpoint in endpoints) == 1

    @pytest.mark.parametrize("path", ["/safe/", "/again/"])
    async def test_such_an_answer_to_a_repeatable_request_is_forwarded(self, path):
        one = RawEndpoint("i1", [answer(status=b"429 Limited")])
        async with running(one) as (program, _store):
            got, headers, _body = await ask(program, path, method="POST")
        assert got == 429
        assert "ebonydeal-server-signature" in headers

    async def test_proof_of_no_run_allows_a_resend(self):
        one, two = RawEndpoint("i1", [NOT_RUN]), RawEndpoint("i2", [NOT_RUN])
        async with running(one, two) as (program, _store):
            status, _headers, body = await ask(program, "/once/", method="POST")
            assert status in (200, 503)
            assert len(one.seen) + len(two.seen) == 2

    async def test_refused_connection_is_resent_elsewhere(self):
        one, two = RawEndpoint("i1"), RawEndpoint("i2")
        async with running(one, two) as (program, _store):
            await one.stop()
            for n in range(4):
                status, _headers, _body = await ask(
                    program, "/once/", rid=f"r{n}", method="POST"
                )
                assert status == 200
        assert two.ids() == ["r0", "r1", "r2", "r3"]

    async def test_missing_answer_ends_at_the_routes_timeout(self):
        one = RawEndpoint("i1", [no_answer])
        async with running(one) as (program, _store):
            status, headers, _body = await ask(program, "/quick/", method="POST")
            await asyncio.wait_for(one.closed.wait(), 2)
        assert status == 504
        assert "retry-after" not in headers


class TestIdempotent:
    @pytest.mark.parametrize("bad", [*BAD_ANSWERS, answer(status=b"500 Broken")])
    async def test_is_resent_elsewhere(self, bad):
        one, two = RawEndpoint("i1", [bad]), RawEndpoint("i2", [bad])
        async with running(one, two) as (program, _store):
            # For the second request the other endpoint answers badly.
            one.script, two.script = [bad], []
            first = await ask(program, "/safe/")
            two.script, one.script = [bad], []
            second = await ask(program, "/safe/", rid="r2")
        assert first[0] == second[0] == 200

    async def test_failure_at_all_endpoints_is_forwarded(self):
        broken = answer(status=b"500 Broken", body=b"no")
        one, two = RawEndpoint("i1", [broken]), RawEndpoint("i2", [broken])
        async with running(one, two) as (program, _store):
            status, headers, body = await ask(program, "/safe/")
        assert (status, body) == (500, b"no")
        assert headers["ebonydeal-server-signature"] == "sig"

    async def test_is_not_sent_more_often_than_the_route_allows(self):
        endpoints = [RawEndpoint(f"i{n}", [reset, reset]) for n in range(4)]
        async with running(*endpoints) as (program, _store):
            status, _headers, _body = await ask(program, "/safe/")
        assert status == 502
        assert sum(len(endpoint.seen) for endpoint in endpoints) == 2


class TestConnections:
    async def test_connection_is_kept_for_the_next_request(self):
        one = RawEndpoint("i1")
        async with running(one) as (program, _store):
            for n in range(3):
                await ask(program, "/safe/", rid=f"r{n}")
        assert one.connections == 1

    async def test_unsolicited_second_answer_is_discarded(self):
        async def two_answers(_reader, writer, headers):
            text = answer(headers)
            writer.write(text + text.replace(b"hello", b"wrong"))
            await writer.drain()

        one = RawEndpoint("i1", [two_answers])
        async with running(one) as (program, _store):
            assert (await ask(program, "/safe/"))[2] == b"hello"
            await asyncio.sleep(0.05)
            assert (await ask(program, "/once/", rid="r2", method="POST"))[2] == (
                b"hello"
            )
        assert one.connections == 2

    async def test_body_without_length_that_ends_by_reset_is_incomplete(self):
        unframed = answer().split(b"Content-Length")[0] + b"\r\nhel"

        async def partial_then_reset(_reader, writer, headers):
            rid = headers["ebonydeal-request-id"].encode()
            writer.write(unframed.replace(b"{id}", rid))
            await writer.drain()
            await asyncio.sleep(0.05)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            writer.transport.abort()

        one = RawEndpoint("i1", [partial_then_reset])
        async with running(one) as (program, _store):
            status, _headers, _body = await ask(program, "/once/", method="POST")
        assert status == 502

    async def test_connection_is_closed_when_the_client_disconnects(self):
        one = RawEndpoint("i1", [no_answer])
        async with running(one) as (program, _store):
            async with Client(program) as client:
                await client.send("/once/", method="POST")
                await until(lambda: one.seen)
            await asyncio.wait_for(one.closed.wait(), 2)


class TestRefusals:
    async def test_unknown_route_or_key_and_malformed_request(self):
        one = RawEndpoint("i1")
        async with running(one) as (program, _store):
            assert (await ask(program, "/none/"))[0] == 404
            assert (await ask(program, "/safe/", key="bad"))[0] == 401
            assert (await ask(program, "/safe/", key=""))[0] == 401
            bad = [("Ebonydeal-Token-Usage", "x")]
            status, headers, _body = await ask(program, "/safe/", headers=bad)
            assert (status, headers["connection"]) == (400, "close")
        assert one.seen == []

    async def test_anonymous_route_needs_no_key(self):
        one = RawEndpoint("i1")
        doc = document(routes=[route("/open/", "idempotent", allow_anonymous=True)])
        async with running(one, doc=doc) as (program, _store):
            assert (await ask(program, "/open/", key=""))[0] == 200

    async def test_length_with_chunked_encoding_smuggles_no_request(self):
        one = RawEndpoint("i1")
        smuggled = b"0\r\n\r\nGET /safe/ HTTP/1.1\r\nHost: a.example\r\n\r\n"
        async with running(one) as (program, _store), Client(program) as client:
            await client.send(
                "/safe/",
                method="POST",
                body=smuggled,
                headers=[("Transfer-Encoding", "chunked")],
            )
            status, _headers, _body = await client.receive()
        assert status == 400
        assert one.seen == []

    async def test_too_large_body(self):
        one = RawEndpoint("i1")
        async with running(one) as (program, _store):
            status, _headers, _body = await ask(
                program, "/once/", method="POST", body=b"x" * 200_000
            )
        assert status == 413
        assert one.seen == []

    async def test_without_endpoint_the_refusal_has_retry_after(self):
        async with running() as (program, _store):
            status, headers, _body = await ask(program, "/once/", method="POST")
        assert status == 503
        assert 0.0 < float(headers["retry-after"]) <= 1.0
