"""An endpoint that announces a limit must not get more from all relays together."""

import asyncio

import pytest

from tests.lib.announcing_endpoints import AnnouncingEndpoint, running_relays, send_load

# Any 4 s may hold one and a half times the limit plus 5 requests, from relays that
# learned of the limit at least half a second before.
WINDOW_S = 4.0
KNOWN_AFTER_S = 0.5


def allowed(limit):
    return int(1.5 * limit * WINDOW_S + 5)


class TestAnnouncedLimit:
    @pytest.mark.parametrize("limit", [1.0, 4.0])
    async def test_holds_over_all_relays(self, limit):
        limited = AnnouncingEndpoint("i1", b"Server-Limit: %.1f\r\n" % limit)
        unlimited = AnnouncingEndpoint("i2")
        async with running_relays(3, limited, unlimited) as (programs, _store):
            statuses = await send_load(programs, 5.0)
        assert limited.max_in_window(WINDOW_S, KNOWN_AFTER_S) <= allowed(limit)
        assert set(statuses) == {200}

    async def test_ends_with_answers_that_dont_announce_it(self):
        limited = AnnouncingEndpoint("i1", b"Server-Limit: 2\r\n")
        unlimited = AnnouncingEndpoint("i2")
        async with running_relays(2, limited, unlimited) as (programs, _store):
            await send_load(programs, 3.0)
            limited.extra_headers = b""
            await send_load(programs, 4.0)
            before = len(limited.arrivals)
            await send_load(programs, 1.0)
        assert len(limited.arrivals) - before > 10

    async def test_of_all_endpoints_refuses_requests_without_waiting(self):
        limited = AnnouncingEndpoint("i1", b"Server-Limit: 1\r\n")
        async with running_relays(1, limited) as (programs, _store):
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            statuses = await send_load(programs, 5.0)
            assert loop.time() - started_at < 7.0
        assert limited.max_in_window(WINDOW_S, KNOWN_AFTER_S) <= allowed(1.0)
        assert set(statuses) == {200, 503}
        assert statuses.count(200) >= 4
