"""A plain request without an answer is awaited if no other endpoint takes it."""

import asyncio
from functools import partial

import pytest

from tests.functional.relay.test_silent_streams import FirstAndOthers, resets
from tests.lib.raw_endpoints import NOT_RUN, RawEndpoint, answer
from tests.lib.relay_fakes import ask, running

# Longer than 0.6 objectives, after which a request without an answer is sent again.
SILENCE_S = 1.0


async def answers_after(seconds, body, reader, writer, headers):
    try:
        async with asyncio.timeout(seconds):
            await reader.read()
    except TimeoutError:
        writer.write(answer(headers, body))
        await writer.drain()
    else:
        writer.close()


class TestSilentEndpoint:
    @pytest.mark.parametrize("refusal", [NOT_RUN, resets], ids=["503", "reset"])
    async def test_answers_if_no_other_endpoint_does(self, refusal):
        found = FirstAndOthers(partial(answers_after, SILENCE_S, b"late"), refusal)
        async with running(*found.endpoints) as (program, _store):
            status, _headers, body = await ask(program, "/safe/")
            assert any(other.seen for other in found.others)
        assert (status, body) == (200, b"late")

    async def test_is_awaited_if_no_retry_is_left(self):
        one = RawEndpoint("i1", [partial(answers_after, SILENCE_S, b"late")])
        async with running(one) as (program, _store):
            program._retries.try_spend("s")
            status, _headers, body = await ask(program, "/safe/")
        assert (status, body) == (200, b"late")

    async def test_is_left_once_another_has_answered(self):
        found = FirstAndOthers(
            partial(answers_after, 9.0, b"late"), answer(body=b"soon"), count=2
        )
        async with running(*found.endpoints) as (program, _store):
            status, _headers, body = await ask(program, "/safe/")
            await asyncio.wait_for(found.first.closed.wait(), 0.5)
        assert (status, body) == (200, b"soon")

    async def test_is_left_soon_if_another_has_not_refused(self):
        """Two endpoints at work on one request would double the load of late ones."""
        found = FirstAndOthers(
            partial(answers_after, 0.9, b"first"),
            partial(answers_after, 0.5, b"other"),
            count=2,
        )
        async with running(*found.endpoints) as (program, _store):
            status, _headers, body = await ask(program, "/safe/")
        assert (status, body) == (200, b"other")
