import asyncio

import pytest
from aiohttp import ClientSession

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.places import Place
from ebonydeal._internal.outside.cloud import HttpCloud
from ebonydeal._internal.outside.instances import HttpInstanceList
from ebonydeal._internal.outside.interfaces import Offer
from ebonydeal._internal.outside.weights import HttpWeightStore
from ebonydeal._internal.standin.admin import PlatformAdmin
from ebonydeal._internal.standin.platform import StandinPlatform
from ebonydeal._internal.standin.platform_spec import (
    DeploymentSpec,
    PlatformSpec,
    default_offers,
)
from tests.lib.fakes_endpoints import running

PLACES = (Place("wales", "wales-1"), Place("wales", "wales-2"))
DEPLOYMENTS = (
    DeploymentSpec("covers", "engine", ("covers-7b",), 3),
    DeploymentSpec("paperwork", "service", (), 2),
)
SPEC = PlatformSpec(
    PLACES, DEPLOYMENTS, default_offers(PLACES), list_lag=0.0, start_seconds=0.0
)
TAGS = {"deployment": "covers"}


async def until(check):
    while not check():
        await asyncio.sleep(0.005)


class TestPlatform:
    async def test_list_has_all_deployments(self):
        async with running(StandinPlatform(SPEC)) as platform:
            client = HttpInstanceList.from_config(platform.platform_settings())
            views = await client.endpoints()
            assert views == platform.views()
            zones = [(view.deployment, view.place.zone) for view in views]
            assert zones == [
                ("covers", "wales-1"),
                ("covers", "wales-2"),
                ("covers", "wales-1"),
                ("paperwork", "wales-1"),
                ("paperwork", "wales-2"),
            ]
            platform.listing.set_node("node-1", "127.0.0.1:1")
            assert await client.own_nodes() == [("node-1", "127.0.0.1:1")]
            await client.close()

    async def test_same_token_starts_one_instance(self):
        async with running(StandinPlatform(SPEC)) as platform:
            cloud = HttpCloud.from_config(platform.platform_settings())
            offer = (await cloud.offers())[0]
            assert offer == SPEC.offers[0]
            platform.cloud.lost_start_answers = 1
            with pytest.raises(EbonydealError) as caught:
                await cloud.start("t-1", offer, TAGS)
            assert caught.value.kind is ErrorKind.STORE_IN_DOUBT
            first = await cloud.start("t-1", offer, TAGS)
            assert await cloud.start("t-1", offer, TAGS) == first
            assert len(await cloud.instances()) == 6
            assert len(platform.endpoints()) == 6
            await cloud.stop(first.instance_id)
            await cloud.stop(first.instance_id)
            assert len(await cloud.instances()) == 5
            assert len(platform.endpoints()) == 5
            await cloud.close()

    async def test_started_engine_has_no_models_until_ordered_to_load(self):
        async with running(StandinPlatform(SPEC._replace(speed=100.0))) as platform:
            cloud = HttpCloud.from_config(platform.platform_settings())
            new = (await cloud.start("t-1", SPEC.offers[0], TAGS)).instance_id

            def listed():
                return {v.endpoint_id: v.models for v in platform.views()}

            await until(lambda: new in listed())
            assert listed()[new] == ()
            order = {"fence": 1, "models": ["covers-7b"], "role": "serve"}
            platform.endpoint(new).orders.apply(order)
            await until(lambda: listed()[new] == ("covers-7b",))
            await cloud.close()

    async def test_starts_without_capacity_or_offer_are_refused(self):
        async with running(StandinPlatform(SPEC)) as platform:
            cloud = HttpCloud.from_config(platform.platform_settings())
            platform.cloud.no_capacity.add(("wales-1", "standard"))
            unknown = Offer("wales-2", "huge", True, 1.0, 0.0, 1)
            for offer in (SPEC.offers[0], unknown):
                with pytest.raises(EbonydealError) as caught:
                    await cloud.start("t-1", offer, TAGS)
                assert caught.value.kind is ErrorKind.START_REFUSED
            assert len(await cloud.instances()) == 5
            await cloud.close()

    async def test_reclaimed_zone_is_announced_and_then_terminated(self):
        async with running(StandinPlatform(SPEC)) as platform:
            cloud = HttpCloud.from_config(platform.platform_settings())
            platform.reclaim_zone("wales-1", 0.3)
            notices = await cloud.notices(0)
            assert [(n.seq, n.instance_id, n.zone) for n in notices] == [
                (1, "", "wales-1")
            ]
            assert await cloud.notices(1) == []
            states = {view.place.zone: view.state for view in platform.views()}
            assert states == {"wales-1": "leaving", "wales-2": "ready"}
            leaving = [endpoint.is_leaving for endpoint in platform.endpoints()]
            assert leaving == [True, False, True, True, False]
            await until(lambda: len(platform.endpoints()) == 2)
            assert {view.place.zone for view in platform.views()} == {"wales-2"}
            with pytest.raises(EbonydealError) as caught:
                await cloud.start("t-1", SPEC.offers[0], TAGS)
            assert caught.value.kind is ErrorKind.START_REFUSED
            assert len(platform.logs()) == 5
            await cloud.close()

    async def test_one_reclaimed_instance_is_terminated(self):
        async with running(StandinPlatform(SPEC)) as platform:
            reclaimed_id = platform.views()[0].endpoint_id
            platform.reclaim_endpoint(reclaimed_id, 0.05)
            assert platform.cloud.notices[0].instance_id == reclaimed_id
            await until(lambda: len(platform.endpoints()) == 4)
            assert reclaimed_id not in {view.endpoint_id for view in platform.views()}

    async def test_weight_store_serves_copies_and_rate(self):
        async with running(StandinPlatform(SPEC)) as platform:
            weights = HttpWeightStore.from_config(platform.platform_settings())
            copies = await weights.copies("covers-7b")
            assert [copy.model for copy in copies] == ["covers-7b"]
            assert await weights.copies("none") == []
            assert await weights.available_rate() == 10.0
            await weights.close()


class TestDepartures:
    async def test_an_unlisted_endpoint_serves_on_and_ends(self):
        async with running(StandinPlatform(SPEC)) as platform:
            admin = PlatformAdmin(platform)
            async with running(admin), ClientSession() as http:
                endpoint_id = platform.views()[0].endpoint_id
                message = {"endpoint_id": endpoint_id, "serve_seconds": 0.05}
                async with http.post(f"{admin.url}/unlist", json=message) as resp:
                    assert resp.status == 200
                assert endpoint_id not in {v.endpoint_id for v in platform.views()}
                assert not platform.endpoint(endpoint_id).server.killed
                await until(
                    lambda: (
                        endpoint_id not in {e.endpoint_id for e in platform.endpoints()}
                    )
                )

    async def test_silent_connections_get_no_answers_and_new_ones_do(self):
        async with running(StandinPlatform(SPEC)) as platform:
            admin = PlatformAdmin(platform)
            async with running(admin), ClientSession() as http:
                client = HttpInstanceList(platform.listing.url, 0.2)
                assert await client.endpoints()
                message = {"target": "instances", "silent": True}
                async with http.post(f"{admin.url}/faults", json=message) as resp:
                    assert resp.status == 200
                with pytest.raises(EbonydealError):
                    await client.endpoints()
                assert await client.endpoints()
                await client.close()
