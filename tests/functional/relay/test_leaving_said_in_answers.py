"""An endpoint that reports that it leaves gets no new requests, listed so or not."""

import asyncio

from tests.lib.announcing_endpoints import AnnouncingEndpoint, running_relays, send_load

# Requests that arrive later than this after the notice must not be sent there.
DRAIN_S = 2.0
LEAVING = b"Server-Leaving: 1\r\n"


def late_sends(endpoint):
    """Return how many requests relays sent later than allowed after the notice."""
    return sum(
        at > endpoint.first_announced_at[entry] + DRAIN_S
        for at, entry in endpoint.arrivals
        if entry in endpoint.first_announced_at
    )


class TestLeavingNotice:
    async def test_requests_go_to_other_endpoints(self):
        leaving = AnnouncingEndpoint("i1", LEAVING)
        staying = AnnouncingEndpoint("i2")
        async with running_relays(2, leaving, staying) as (programs, _store):
            statuses = await send_load(programs, 4.0)
        assert late_sends(leaving) == 0
        assert set(statuses) == {200}

    async def test_requests_are_refused_without_another_endpoint(self):
        leaving = AnnouncingEndpoint("i1", LEAVING)
        async with running_relays(1, leaving) as (programs, _store):
            await send_load(programs, 0.5)
            await asyncio.sleep(DRAIN_S)
            statuses = await send_load(programs, 1.0)
        assert late_sends(leaving) == 0
        assert set(statuses) == {503}

    async def test_older_list_entry_does_not_override_the_notice(self):
        leaving = AnnouncingEndpoint("i1", LEAVING)
        staying = AnnouncingEndpoint("i2")
        async with running_relays(1, leaving, staying) as (programs, store):
            await send_load(programs, 0.5)
            await store.put("servers", "i1", leaving.row(cold_left_ms=5))
            await asyncio.sleep(DRAIN_S)
            await send_load(programs, 1.0)
        assert late_sends(leaving) == 0

    async def test_restarted_process_is_used(self):
        leaving = AnnouncingEndpoint("i1", LEAVING)
        async with running_relays(1, leaving) as (programs, store):
            await send_load(programs, 0.3)
            leaving.extra_headers = b""
            await store.put("servers", "i1", leaving.row(born=99))
            await asyncio.sleep(0.2)
            statuses = await send_load(programs, 0.5)
        assert set(statuses) == {200}
