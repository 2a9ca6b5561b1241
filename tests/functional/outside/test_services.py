import asyncio
from types import SimpleNamespace

import pytest

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.outside.backoff import RETRY_AFTER_HEADER, report_backoff
from ebonydeal._internal.outside.services import HttpPlainServices
from ebonydeal._internal.standin.endpoint import EndpointFault, PlannedFault
from ebonydeal._internal.standin.expected_answers import expected_answer
from ebonydeal._internal.standin.service import ServiceSpec
from tests.lib.fakes_endpoints import running, service, view_of
from tests.lib.raw_endpoints import RawEndpoint, close_delimited

HEADERS = {"Idempotency-Key": "k-1", "Host": "elsewhere", "Content-Length": "999"}


async def call(client, endpoint, method="POST", attempt="a-1", timeout=5.0):
    return await client.call(
        view_of(endpoint), method, "/pickups?van=3", HEADERS, b"bag", attempt, timeout
    )


class TestCalls:
    async def test_answer_and_log(self):
        async with running(service()) as server:
            client = HttpPlainServices(2.0)
            answer = await call(client, server)
            assert answer.status == 200
            assert answer.content_type == "application/json"
            text = expected_answer("POST", "/pickups?van=3", b"bag")
            assert answer.body.decode() == text
            entry = server.entries[0]
            assert (entry["attempt_id"], entry["key"]) == ("a-1", "k-1")
            assert entry["ran"] is True
            await client.close()

    @pytest.mark.parametrize(
        ("fault", "kind", "ran"),
        [
            (EndpointFault.REFUSE, ErrorKind.ENDPOINT_REFUSED, False),
            (EndpointFault.BREAK_BEFORE, ErrorKind.ENDPOINT_FAILED, False),
            (EndpointFault.BREAK, ErrorKind.ENDPOINT_FAILED, True),
            (EndpointFault.TRUNCATE, ErrorKind.ENDPOINT_FAILED, True),
            (EndpointFault.GARBAGE, ErrorKind.ENDPOINT_GARBAGE, True),
        ],
    )
    @pytest.mark.parametrize("method", ["POST", "PUT", "DELETE"])
    async def test_fault_maps_to_its_error_kind_and_is_not_retried(
        self, method, fault, kind, ran
    ):
        async with running(service()) as server:
            client = HttpPlainServices(2.0)
            await call(client, server, method)
            server.faults.next.append(PlannedFault(fault))
            with pytest.raises(EbonydealError) as caught:
                await call(client, server, method, "a-2")
            assert caught.value.kind is kind
            assert [entry["ran"] for entry in server.entries] == [True, ran]
            await client.close()

    @pytest.mark.parametrize("body", [b"", b'{"status": "rea'])
    async def test_close_delimited_answer_that_breaks_off_is_no_answer(self, body):
        endpoint = RawEndpoint("s1", [close_delimited(body, b"application/json")])
        endpoint.endpoint_id, endpoint.kind = endpoint.name, "service"
        await endpoint.start()
        client = HttpPlainServices(2.0)
        with pytest.raises(EbonydealError) as caught:
            await call(client, endpoint)
        await client.close()
        await endpoint.stop()
        assert caught.value.kind is ErrorKind.ENDPOINT_FAILED

    async def test_error_status_of_the_service_is_returned_as_its_answer(self):
        async with running(service()) as server:
            client = HttpPlainServices(2.0)
            server.faults.next.append(PlannedFault(EndpointFault.ERROR))
            assert (await call(client, server)).status == 500
            await client.close()

    async def test_timed_out_call_is_reported_as_possibly_run(self):
        async with running(service(spec=ServiceSpec(work_seconds=0.4))) as server:
            client = HttpPlainServices(2.0)
            with pytest.raises(EbonydealError) as caught:
                await call(client, server, timeout=0.1)
            assert caught.value.kind is ErrorKind.ENDPOINT_FAILED
            while not server.entries[0]["ran"]:
                await asyncio.sleep(0.01)
            await client.close()

    async def test_connection_with_an_unread_answer_is_not_reused(self):
        async with running(service(spec=ServiceSpec(work_seconds=0.1))) as server:
            client = HttpPlainServices(2.0)
            with pytest.raises(EbonydealError):
                await call(client, server, "GET", "a-1", timeout=0.02)
            answer = await client.call(
                view_of(server), "GET", "/status", {}, b"", "a-2", 5.0
            )
            assert answer.body.decode() == expected_answer("GET", "/status", b"")
            await client.close()

    async def test_refusal_of_a_leaving_service_proves_that_nothing_ran(self):
        async with running(service()) as server:
            client = HttpPlainServices(2.0)
            server.refuses_when_leaving = True
            server.start_leaving()
            with pytest.raises(EbonydealError) as caught:
                await call(client, server)
            assert caught.value.kind is ErrorKind.ENDPOINT_REFUSED
            assert server.entries[0]["ran"] is False
            await client.close()

    async def test_dead_service_proves_that_nothing_ran(self):
        async with running(service()) as server:
            client = HttpPlainServices(2.0)
            await server.kill()
            with pytest.raises(EbonydealError) as caught:
                await call(client, server)
            assert caught.value.kind is ErrorKind.CONNECT_FAILED
            await client.close()


class TestBackoff:
    @pytest.mark.parametrize(("backoff", "reported"), [(2.5, [2.5]), (0.0, [])])
    async def test_backoff_of_a_refusal_is_reported(self, backoff, reported):
        async with running(service()) as server:
            client, calls = HttpPlainServices(2.0), []
            client.on_backoff = lambda name, seconds: calls.append((name, seconds))
            server.faults.retry_after_s = backoff
            server.faults.next.append(PlannedFault(EndpointFault.REFUSE))
            with pytest.raises(EbonydealError):
                await call(client, server)
            assert [seconds for _name, seconds in calls] == reported
            await call(client, server, attempt="a-2")
            assert len(calls) == len(reported)
            await client.close()

    @pytest.mark.parametrize("header", ["", "soon", "-1", "nan", "1e999"])
    def test_malformed_header_is_ignored(self, header):
        calls = []
        endpoint = SimpleNamespace(endpoint_id="i1")
        report_backoff(
            lambda *args: calls.append(args),
            endpoint,
            503,
            {RETRY_AFTER_HEADER: header},
        )
        assert calls == []
