"""A stream holds events of one software version only, whoever continues it."""

import asyncio

from tests.lib.announcing_endpoints import running_relays
from tests.lib.relay_fakes import until
from tests.lib.versioned_endpoints import (
    EVENTS_PER_RUN,
    STREAM_EVENTS,
    endpoints_of_two_versions,
    receive,
)

STREAMS = 16
# Whole streams that let a relay retry as many others.
EARNING_STREAMS = 100


async def earn_retries(relay, endpoints):
    for endpoint in endpoints:
        endpoint.events_per_run = STREAM_EVENTS
    for number in range(EARNING_STREAMS):
        await receive(f"e{number}", [relay])
    for endpoint in endpoints:
        endpoint.events_per_run = EVENTS_PER_RUN


class TestOneAnswer:
    async def test_stream_is_not_resumed_at_another_version(self):
        endpoints = endpoints_of_two_versions()
        async with running_relays(1, *endpoints) as (relays, _store):
            await until(lambda: relays[0]._exchange.count_known)
            await earn_retries(relays[0], endpoints)
            streams = [await receive(f"r{n}", relays) for n in range(STREAMS)]
        assert [s for s in streams if len(s.versions) > 1] == []
        assert sum(stream.is_complete for stream in streams) > STREAMS / 2


class TestClientThatResumes:
    async def test_stream_is_not_resumed_at_another_version(self):
        async with running_relays(4, *endpoints_of_two_versions()) as (relays, _store):
            for relay in relays:
                await until(lambda r=relay: len(r._exchange.relays) == 4, 20.0)
            streams = await asyncio.gather(
                *(
                    receive(f"r{n}", [relays[(n + i) % 4] for i in range(3)])
                    for n in range(STREAMS)
                )
            )
        assert [s for s in streams if len(s.versions) > 1] == []
        resumed = [stream for stream in streams if stream.resumed]
        assert sum(stream.went_on for stream in resumed) * 2 >= len(resumed) > 0
