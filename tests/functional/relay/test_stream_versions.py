"""A stream holds events of one software version only, whoever continues it."""

import asyncio
from contextlib import asynccontextmanager

from tests.lib.announcing_endpoints import running_relays
from tests.lib.relay_fakes import relay, until
from tests.lib.versioned_endpoints import (
    EVENTS_PER_RUN,
    STREAM_EVENTS,
    endpoints_of_two_versions,
    receive,
)

STREAMS = 16
# Whole streams that let a relay retry as many others.
EARNING_STREAMS = 100
# Within this time the lease is renewed.
RENEWAL_S = 1.5


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
            for program in relays:
                await until(lambda p=program: len(p._exchange.relays) == 4, 20.0)
            streams = await asyncio.gather(
                *(
                    receive(f"r{n}", [relays[(n + i) % 4] for i in range(3)])
                    for n in range(STREAMS)
                )
            )
        assert [s for s in streams if len(s.versions) > 1] == []
        resumed = [stream for stream in streams if stream.resumed]
        assert sum(stream.went_on for stream in resumed) * 2 >= len(resumed) > 0

    async def test_goes_on_after_its_first_relay_was_lost(self):
        async with relays_of_two_versions(4) as (relays, _store):
            streams = await receive_all(relays, between=relays[0].stop)
        assert_goes_on(streams)

    async def test_goes_on_while_the_store_is_away(self):
        async with relays_of_two_versions(4) as (relays, store):
            streams = await receive_all(relays, between=store.go_down)
        assert_goes_on(streams)

    async def test_goes_on_at_a_relay_that_started_since(self):
        async with relays_of_two_versions(3) as (relays, store):
            async with started(store) as late:
                streams = await receive_all([relays[0], late])
        assert_goes_on(streams)

    async def test_is_refused_where_its_version_is_gone(self):
        endpoints = endpoints_of_two_versions()
        async with relays_of_two_versions(3, endpoints) as (relays, store):

            async def remove_first_version():
                for endpoint in endpoints[:3]:
                    await store.put("servers", endpoint.name, None)
                await until(
                    lambda: all(
                        {m.version for m in relay.view.members.values()} == {"v2"}
                        for relay in relays
                    )
                )

            streams = await receive_all(relays, between=remove_first_version)
        assert not_mixed(streams)
        assert any(not stream.went_on for stream in streams if stream.resumed)

    async def test_goes_on_at_its_version_if_another_one_comes_later(self):
        first, second = endpoints_of_two_versions()[:3], endpoints_of_two_versions()[3:]
        async with relays_of_two_versions(3, first) as (relays, store):

            async def add_second_version():
                for endpoint in second:
                    await endpoint.start()
                    await store.put("servers", endpoint.name, endpoint.row())
                await until(lambda: all(len(r.view.members) == 6 for r in relays[1:]))
                # The report of earlier streams follows the change of the list.
                await asyncio.sleep(0.5)
                await relays[0].stop()

            streams = await receive_all(relays, between=once(add_second_version))
            for endpoint in second:
                await endpoint.stop()
        assert_goes_on(streams)
        assert set.union(*(stream.versions for stream in streams)) == {b"v1"}

    async def test_is_not_mixed_if_its_version_left_while_all_relays_were_lost(self):
        endpoints = endpoints_of_two_versions()
        async with relays_of_two_versions(2, endpoints[:3]) as (relays, store):
            late = relay(store, node="late", seed=9)

            async def replace_all():
                for endpoint in endpoints[3:]:
                    await endpoint.start()
                    await store.put("servers", endpoint.name, endpoint.row())
                # The versions are stored with the next renewal of the lease.
                await asyncio.sleep(RENEWAL_S)
                for program in relays:
                    await program.stop()
                for endpoint in endpoints[:3]:
                    await store.put("servers", endpoint.name, None)
                await late.start()
                # It knows then that there are no others to ask.
                await until(lambda: late._exchange.count_known, 15.0)

            streams = await receive_all([relays[0], late], between=replace_all)
            await late.stop()
            for endpoint in endpoints[3:]:
                await endpoint.stop()
        assert not_mixed(streams)
        assert any(stream.resumed for stream in streams)

    async def test_goes_on_after_the_loss_of_all_relays_at_the_only_version(self):
        async with relays_of_two_versions(2, endpoints_of_two_versions()[:3]) as (
            relays,
            store,
        ):
            late = relay(store, node="late", seed=9)

            async def replace_relays():
                await asyncio.sleep(RENEWAL_S)
                for program in relays:
                    await program.stop()
                await late.start()
                await until(lambda: late.ready)

            streams = await receive_all([relays[0], late], between=replace_relays)
            await late.stop()
        assert_goes_on(streams)

    async def test_is_refused_if_no_relay_knows_its_version(self):
        async with relays_of_two_versions(2) as (relays, store):

            async def stop_all():
                for relay in relays:
                    await relay.stop()

            async with started(store) as late:
                streams = await receive_all([relays[0], late], between=once(stop_all))
        assert not_mixed(streams)


@asynccontextmanager
async def relays_of_two_versions(count, endpoints=None):
    """Run relays that know each other, in front of endpoints of two versions."""
    listed = endpoints_of_two_versions() if endpoints is None else endpoints
    async with running_relays(count, *listed) as (relays, store):
        for program in relays:
            await until(lambda p=program: len(p._exchange.relays) == count, 20.0)
        yield relays, store


@asynccontextmanager
async def started(store):
    """Run one more relay."""
    program = relay(store, node="late", seed=9)
    await program.start()
    await until(lambda: program.ready)
    await until(lambda: program._exchange.count_known)
    try:
        yield program
    finally:
        await program.stop()


def once(action):
    """Return a function that awaits ``action`` at its first call; others wait too."""
    running = []

    async def run():
        if not running:
            running.append(asyncio.ensure_future(action()))
        await running[0]

    return run


async def receive_all(relays, between=None):
    """Receive streams, all of which begin at the first relay."""
    between = once(between) if between is not None else None
    return await asyncio.gather(
        *(receive(f"r{n}", relays, between) for n in range(STREAMS))
    )


def not_mixed(streams):
    return all(len(stream.versions) <= 1 for stream in streams)


def assert_goes_on(streams):
    """Check that no stream is mixed, and that most of those resumed go on."""
    assert not_mixed(streams)
    resumed = [stream for stream in streams if stream.resumed]
    assert sum(stream.went_on for stream in resumed) * 2 >= len(resumed) > 0
