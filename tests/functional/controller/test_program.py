import asyncio
import random
from collections import Counter

import pytest

from ebonydeal._internal.config.examples import example_document
from ebonydeal._internal.config.peer_routes import STATUS_PATH
from ebonydeal._internal.config.store import ConfigStore
from ebonydeal._internal.controller.events import read_spend, read_trail
from ebonydeal._internal.controller.program import SECTIONS, ControllerProgram
from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.outside.tables import HttpTables
from ebonydeal._internal.standin.platform import StandinPlatform
from ebonydeal._internal.standin.platform_spec import PlatformSpec
from ebonydeal._internal.utils.clock import SystemClock
from ebonydeal._internal.utils.peerclient import PeerClient
from ebonydeal._internal.utils.tls import TlsContexts
from tests.lib.fakes_endpoints import running
from tests.lib.tls_nodes import fetch_serial, tls_settings, wait_until_renewed

FAST_SETTINGS = {
    "period": 0.05,
    "notice_period": 0.05,
    "lease_ttl": 1.0,
    "spend_period": 1.0,
}


def settings(world: StandinPlatform) -> dict:
    sections = {name: cls() for name, cls in SECTIONS.items()}
    sections["platform"] = world.platform_settings()
    sections["peers"] = sections["peers"]._replace(port=0)
    sections["controller"] = sections["controller"]._replace(**FAST_SETTINGS)
    return sections


async def wait_until(check):
    async with asyncio.timeout(30):
        while not await check():
            await asyncio.sleep(0.02)


class TestPeers:
    async def test_status_reports_configuration_and_counters(self):
        document = example_document("cadwaladr")
        spec = PlatformSpec.from_document(document, {}, speed=50.0)
        async with running(StandinPlatform(spec)) as world:
            metrics = Metrics()
            program = ControllerProgram.from_config(
                settings(world), metrics, SystemClock(), random.Random(2)
            )
            client = PeerClient(settings(world)["peers"].credential)
            async with running(program):
                status = await client.call(program.address, STATUS_PATH, {}, 5.0)
            await client.close()
            assert status["version"] == 0
            assert set(status) == {
                "version",
                "spread_s",
                "refusals",
                "retries",
                "events",
            }

    async def test_plain_connections_are_refused_with_tls(self, tmp_path):
        spec = PlatformSpec.from_document(example_document("cadwaladr"), {}, speed=50.0)
        sections, issue = tls_settings(tmp_path)
        async with running(StandinPlatform(spec)) as world:
            program = ControllerProgram.from_config(
                {**settings(world), "tls": sections},
                Metrics(),
                SystemClock(),
                random.Random(2),
            )
            credential = settings(world)["peers"].credential
            context = TlsContexts.from_config(sections, SystemClock()).client
            tls_client, plain_client = (
                PeerClient(credential, context),
                PeerClient(credential),
            )
            async with running(program):
                status = await tls_client.call(program.address, STATUS_PATH, {}, 5.0)
                with pytest.raises(EbonydealError) as caught:
                    await plain_client.call(program.address, STATUS_PATH, {}, 5.0)
                first = await fetch_serial(program.address, context)
                renewed = issue()
                await wait_until_renewed(program.address, context, renewed)
            await tls_client.close()
            await plain_client.close()
        assert status["version"] == 0
        assert caught.value.kind is ErrorKind.STORE_IN_DOUBT
        assert first != renewed


class TestProgram:
    async def test_instances_are_taken_over_and_a_reclaimed_zone_is_replaced(self):
        document = example_document("cadwaladr")
        initial = {"kitchen": 3, "paperwork": 3}
        spec = PlatformSpec.from_document(document, initial, speed=50.0, list_lag=0.05)
        async with running(StandinPlatform(spec)) as world:
            tables = HttpTables.from_config(world.platform_settings())
            store = ConfigStore(tables, SystemClock(), random.Random(1))
            assert (await store.propose(document, 0, "test", "first")).unwrap() == 1
            metrics = Metrics()
            program = ControllerProgram.from_config(
                settings(world), metrics, SystemClock(), random.Random(2)
            )
            async with running(program):
                await wait_until(lambda: self.kitchen_holds(world, 5))
                running_tokens = {i.token for i in world.cloud.running()}
                assert {"initial-1", "initial-2", "initial-3"} <= running_tokens
                zone = world.spec.places[0].zone
                world.reclaim_zone(zone, 0.5)
                await wait_until(lambda: self.kitchen_holds(world, 5, without=zone))
                await wait_until(lambda: self.spend_is_recorded(tables))
            kinds = Counter(str(e.kind) for e in await read_trail(tables, "kitchen"))
            assert kinds["taken_over"] == 3
            assert kinds["draining"] >= 2
            assert metrics.value("events", str(Event.INSTANCES_STARTED)) >= 9
            lease = await tables.get("leases/controller-kitchen")
            assert lease is not None and lease.value["holder"] == ""
            await tables.close()

    async def kitchen_holds(self, world, target, without=""):
        ready = Counter(
            view.place.zone
            for view in world.views()
            if view.deployment == "kitchen"
            and len(view.models) == 2
            and view.place.zone != without
        )
        return sum(ready.values()) - max(ready.values(), default=0) >= target

    async def spend_is_recorded(self, tables):
        rows = await read_spend(tables)
        return any(row.deployment == "kitchen" and row.per_hour > 0 for row in rows)
