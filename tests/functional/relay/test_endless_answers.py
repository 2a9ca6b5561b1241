"""Endpoints that send bytes without end, until the connection is closed.

A relay read such a body to its deadline, whatever came, and ran out of memory.
"""

import asyncio

import pytest

from tests.lib.cut_links import relays_of_which_first_is_cut
from tests.lib.endless_endpoints import (
    ENDLESS,
    MAX_TAKEN_BYTES,
    MB,
    ONE_EVENT,
    EndlessEndpoint,
)
from tests.lib.raw_endpoints import Always, RawEndpoint, answer, events
from tests.lib.relay_fakes import ask, running


@pytest.mark.parametrize("what", ENDLESS)
class TestEndless:
    @pytest.mark.parametrize("path", ["/safe/", "/again/"])
    async def test_repeatable_request_is_answered_by_another_endpoint(self, what, path):
        endless = EndlessEndpoint("i1", *ENDLESS[what])
        sound = RawEndpoint("i2")
        sound.script = Always(ONE_EVENT)
        async with running(endless, sound) as (program, _store):
            for number in range(60):
                # Retries are earned by requests.
                await ask(program, path, rid=f"e{number}")
            endless.failing = True
            for number in range(6):
                status, _headers, body = await ask(program, path, rid=f"r{number}")
                assert (status, body) == (200, events(1, 1))
        assert endless.taken <= len(endless.seen) * MAX_TAKEN_BYTES

    async def test_request_that_may_run_once_fails(self, what):
        endless = EndlessEndpoint("i1", *ENDLESS[what])
        endless.failing = True
        async with running(endless) as (program, _store):
            try:
                status, headers, _body = await ask(program, "/once/", method="POST")
            except asyncio.IncompleteReadError:
                status, headers = 502, {}
        assert status == 502
        assert "ebonydeal-server-signature" not in headers
        assert endless.taken <= MAX_TAKEN_BYTES


class TestOtherRelay:
    async def test_answer_through_another_relay_is_bounded(self):
        endless = EndlessEndpoint("i1", *ENDLESS["chunked body"])
        endless.failing = True
        async with relays_of_which_first_is_cut(3, endless) as programs:
            status, _headers, _body = await ask(programs[0], "/once/", method="POST")
        assert status == 502
        assert endless.taken <= MAX_TAKEN_BYTES


class TestSound:
    async def test_large_answers_are_served(self):
        body = b"y" * 4 * MB
        one = RawEndpoint("i1", [answer(body=body)] * 4)
        async with running(one) as (program, _store):
            answers = await asyncio.gather(
                *(ask(program, "/safe/", rid=f"r{n}", wait=20_000) for n in range(4))
            )
        assert [(status, len(got)) for status, _head, got in answers] == [
            (200, 4 * MB)
        ] * 4
