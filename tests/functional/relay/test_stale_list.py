"""A relay with an old list of endpoints joins no streams of two versions."""

from contextlib import asynccontextmanager

import pytest

from tests.functional.relay.test_stream_versions import (
    assert_goes_on,
    not_mixed,
    receive_all,
)
from tests.lib.cut_off_relays import relays_with_one_to_cut
from tests.lib.relay_fakes import until
from tests.lib.versioned_endpoints import endpoints_of_two_versions


@asynccontextmanager
async def second_version_joins_unseen():
    """Let a version join while one relay is cut off; yields the others and that one."""
    endpoints = endpoints_of_two_versions()
    async with relays_with_one_to_cut(3, *endpoints[:3]) as (others, one, store):
        one.cut()
        for endpoint in endpoints[3:]:
            await endpoint.start()
            await store.put("servers", endpoint.name, endpoint.row())
        await until(lambda: all(len(r.view.members) == 6 for r in others))
        yield others, one
        one.heal()
        for endpoint in endpoints[3:]:
            await endpoint.stop()


class TestClientThatResumes:
    async def test_is_refused_at_a_relay_that_is_cut_off(self):
        async with second_version_joins_unseen() as (others, one):
            streams = await receive_all([others[0], one.program])
        assert set.union(*(stream.versions for stream in streams)) == {b"v1", b"v2"}
        assert any(stream.resumed for stream in streams)
        assert not_mixed(streams)

    async def test_goes_on_at_a_relay_whose_links_are_back(self):
        async with second_version_joins_unseen() as (others, one):

            async def heal():
                one.heal()

            streams = await receive_all([others[0], one.program], between=heal)
        assert set.union(*(stream.versions for stream in streams)) == {b"v1", b"v2"}
        assert_goes_on(streams)

    @pytest.mark.parametrize("others_cut", [False, True])
    async def test_goes_on_at_the_only_version(self, others_cut):
        """The relay's own list, confirmed since, is proof enough."""
        endpoints = endpoints_of_two_versions()[:3]
        async with relays_with_one_to_cut(3, *endpoints) as (others, one, _store):
            if others_cut:
                one.cut()
                one.store.silent = False
            streams = await receive_all([others[0], one.program])
        assert_goes_on(streams)
