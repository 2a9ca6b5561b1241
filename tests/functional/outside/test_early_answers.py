"""Endpoints of the gateway that answer amid an upload, or with an odd status."""

import pytest

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.outside.engines import HttpEngine
from ebonydeal._internal.outside.services import HttpPlainServices
from tests.lib.early_endpoints import (
    EARLY_ANSWERS,
    LONG_BODY,
    ODD_STATUSES,
    EarlyEndpoint,
    odd_answer,
)
from tests.lib.fakes_endpoints import view_of
from tests.lib.raw_endpoints import RawEndpoint

UNKNOWN_OUTCOME = (ErrorKind.ENDPOINT_FAILED, ErrorKind.ENDPOINT_GARBAGE)


async def call_service(endpoint, method="POST"):
    client = HttpPlainServices(2.0)
    try:
        return await client.call(
            view_of(endpoint), method, "/pickups", {}, LONG_BODY, "a-1", 5.0
        )
    finally:
        await client.close()


async def stream(endpoint):
    """Return the chunks of a stream whose prompt is long."""
    client = HttpEngine(2.0)
    body = {"prompt": LONG_BODY.decode(), "model": "m"}
    chunks = client.stream(view_of(endpoint), "/v1/completions", body, "a-1")
    try:
        return [chunk async for chunk in chunks]
    finally:
        await client.close()


@pytest.mark.parametrize("early", EARLY_ANSWERS)
class TestEarlyAnswer:
    @pytest.mark.parametrize("method", ["POST", "GET"])
    async def test_part_of_a_services_answer_is_no_answer(self, early, method):
        endpoint = EarlyEndpoint("s1", *EARLY_ANSWERS[early])
        await endpoint.start()
        try:
            with pytest.raises(EbonydealError) as caught:
                await call_service(endpoint, method)
        finally:
            await endpoint.stop()
        assert caught.value.kind in UNKNOWN_OUTCOME

    async def test_part_of_a_stream_is_none(self, early):
        endpoint = EarlyEndpoint("e1", *EARLY_ANSWERS[early])
        await endpoint.start()
        try:
            with pytest.raises(EbonydealError) as caught:
                await stream(endpoint)
        finally:
            await endpoint.stop()
        assert caught.value.kind in UNKNOWN_OUTCOME


@pytest.mark.parametrize("status", ODD_STATUSES)
@pytest.mark.parametrize("ask", [call_service, stream])
class TestOddStatus:
    async def test_is_no_answer(self, ask, status):
        endpoint = RawEndpoint("s1", [odd_answer(status)])
        endpoint.endpoint_id, endpoint.kind = endpoint.name, "service"
        await endpoint.start()
        try:
            with pytest.raises(EbonydealError) as caught:
                await ask(endpoint)
        finally:
            await endpoint.stop()
        assert caught.value.kind in UNKNOWN_OUTCOME
