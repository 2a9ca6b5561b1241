"""An endpoint that names a limit gets no more than that from all relays together."""

import asyncio

import pytest

from tests.lib.announcing_endpoints import AnnouncingEndpoint, running_relays, send_load

# Some 4 s may hold one and a half times the limit and 5 requests, from relays that
# were told half a second before or earlier.
WINDOW_S = 4.0
KNOWN_AFTER_S = 0.5


def allowed(limit):
    return int(1.5 * limit * WINDOW_S + 5)


class TestNamedLimit:
    @pytest.mark.parametrize("limit", [1.0, 4.0])
    async def test_holds_over_all_relays(self, limit):
        limited = AnnouncingEndpoint("i1", b"Server-Limit: %.1f\r\n" % limit)
        free = AnnouncingEndpoint("i2")
        async with running_relays(3, limited, free) as (programs, _store):
            statuses = await send_load(programs, 5.0)
        assert limited.max_in_window(WINDOW_S, KNOWN_AFTER_S) <= allowed(limit)
        assert set(statuses) == {200}

    async def test_ends_with_answers_that_dont_name_it(self):
        limited = AnnouncingEndpoint("i1", b"Server-Limit: 2\r\n")
        free = AnnouncingEndpoint("i2")
        async with running_relays(2, limited, free) as (programs, _store):
            await send_load(programs, 3.0)
            limited.extra_headers = b""
            await send_load(programs, 4.0)
            before = len(limited.arrivals)
            await send_load(programs, 1.0)
        assert len(limited.arrivals) - before > 10

    async def test_of_all_endpoints_refuses_at_once_with_a_time(self):
        limited = AnnouncingEndpoint("i1", b"Server-Limit: 1\r\n")
        async with running_relays(1, limited) as (programs, _store):
            loop = asyncio.get_running_loop()
            begun = loop.time()
            statuses = await send_load(programs, 5.0)
            assert loop.time() - begun < 7.0
        assert limited.max_in_window(WINDOW_S, KNOWN_AFTER_S) <= allowed(1.0)
        assert set(statuses) == {200, 503}
        assert statuses.count(200) >= 4
