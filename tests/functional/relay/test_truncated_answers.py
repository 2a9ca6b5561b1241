"""Answers with neither a length nor chunks that break off must not look complete."""

import asyncio

import pytest

from tests.lib.raw_endpoints import RawEndpoint, close_delimited, events
from tests.lib.relay_fakes import ask, running

WITHIN_EVENT = events(1, 3) + b"id: 4\ndata: x"
WITHIN_JSON = b'{"status": "rea'


class TestCloseDelimited:
    async def test_stream_that_breaks_off_within_an_event_looks_incomplete(self):
        one = RawEndpoint("i1", [close_delimited(WITHIN_EVENT)])
        async with running(one) as (program, _store):
            with pytest.raises(asyncio.IncompleteReadError):
                await ask(program, "/live/", method="POST")

    async def test_json_that_breaks_off_looks_incomplete(self):
        one = RawEndpoint("i1", [close_delimited(WITHIN_JSON, b"application/json")])
        async with running(one) as (program, _store):
            status, _headers, _body = await ask(program, "/once/", method="POST")
        assert status == 502
