import asyncio
import random

import pytest

from ebonydeal._internal.config.examples import example_document
from ebonydeal._internal.config.peer_routes import STATUS_PATH
from ebonydeal._internal.config.store import ConfigStore
from ebonydeal._internal.controller.backlog import read_backlog
from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.journal.program import SECTIONS, JournalProgram
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.outside.tables import HttpTables
from ebonydeal._internal.peers.journal_client import JournalClient
from ebonydeal._internal.standin.platform import StandinPlatform
from ebonydeal._internal.standin.platform_spec import PlatformSpec
from ebonydeal._internal.utils.clock import SystemClock
from ebonydeal._internal.utils.peerclient import PeerClient
from ebonydeal._internal.utils.tls import TlsContexts
from tests.lib.fakes_endpoints import running
from tests.lib.journal_fakes import make_request
from tests.lib.tls_nodes import fetch_serial, tls_settings, wait_until_renewed


def new_world() -> StandinPlatform:
    document = example_document("cadwaladr")
    return StandinPlatform(PlatformSpec.from_document(document, {}, speed=50.0))


def settings(world: StandinPlatform) -> dict:
    sections = {name: cls() for name, cls in SECTIONS.items()}
    sections["platform"] = world.platform_settings()
    sections["peers"] = sections["peers"]._replace(port=0)
    sections["journal"] = sections["journal"]._replace(port=0, shards=1)
    sections["node"] = sections["node"]._replace(drain_seconds=0.1)
    return sections


def program(sections: dict) -> JournalProgram:
    return JournalProgram.from_config(
        sections, Metrics(), SystemClock(), random.Random(2)
    )


class TestPeers:
    async def test_peer_status_has_configuration_and_counters(self):
        async with running(new_world()) as world:
            sections = settings(world)
            client = PeerClient(sections["peers"].credential)
            async with running(program(sections)) as journal:
                address = journal.peers.address
                reply = await client.call(address, STATUS_PATH, {}, 5.0)
            await client.close()
            assert reply["version"] == 0
            assert set(reply) == {
                "version",
                "spread_s",
                "refusals",
                "retries",
                "events",
            }


class TestBacklog:
    async def test_controller_reads_the_programs_backlog(self):
        document = example_document("cadwaladr")
        deployment = next(
            item["name"]
            for item in document["deployments"]
            if item.get("deadline_work")
        )
        deadline = SystemClock().wall() + 3600.0
        async with running(new_world()) as world:
            sections = settings(world)
            sections["config"] = sections["config"]._replace(shortest_poll=0.05)
            tables = HttpTables.from_config(sections["platform"])
            store = ConfigStore(tables, SystemClock(), random.Random(1))
            assert (await store.propose(document, 0, "test", "first")).unwrap() == 1
            client = JournalClient.from_config(
                sections["journal"],
                sections["peers"].credential,
                tables,
                clock=SystemClock(),
                rng=random.Random(3),
                metrics=Metrics(),
            )
            async with running(program(sections)) as journal:
                async with asyncio.timeout(30):
                    while journal.follower.document.version < 1:
                        await asyncio.sleep(0.02)
                request = make_request(
                    client.request_id("gwesty", ""),
                    deployment=deployment,
                    deadline=deadline,
                )
                await client.accept(request)
                await journal.backlog.publish()
                wall = SystemClock().wall()
                backlog = await read_backlog(tables, deployment, wall)
            remaining = await read_backlog(tables, deployment, wall)
            await client.close()
            await tables.close()
        assert [item.deadline for item in backlog] == [deadline]
        assert backlog[0].work_s > 0.0
        assert remaining == []


class TestTls:
    async def test_client_with_the_tls_context_is_accepted(self, tmp_path):
        cfg, issue = tls_settings(tmp_path)
        context = TlsContexts.from_config(cfg, SystemClock()).client
        async with running(new_world()) as world:
            sections = {**settings(world), "tls": cfg}
            tables = HttpTables.from_config(sections["platform"])
            client = JournalClient.from_config(
                sections["journal"],
                sections["peers"].credential,
                tables,
                clock=SystemClock(),
                rng=random.Random(3),
                metrics=Metrics(),
                ssl_context=context,
            )
            async with running(program(sections)) as journal:
                request_id = client.request_id("gwesty", "")
                accepted = await client.accept(make_request(request_id))
                status = await client.status(request_id, "gwesty")
                for address in (journal.address, journal.peers.address):
                    first = await fetch_serial(address, context)
                    await wait_until_renewed(address, context, issue())
                    assert await fetch_serial(address, context) != first
            await client.close()
            await tables.close()
        assert accepted.state == "accepted"
        assert (status.request_id, status.state) == (request_id, "accepted")

    async def test_plain_http_is_refused(self, tmp_path):
        cfg, _issue = tls_settings(tmp_path)
        async with running(new_world()) as world:
            sections = {**settings(world), "tls": cfg}
            plain = PeerClient(sections["peers"].credential)
            kinds = []
            async with running(program(sections)) as journal:
                for address in (journal.address, journal.peers.address):
                    with pytest.raises(EbonydealError) as caught:
                        await plain.call(address, "/journal/v1/status", {}, 5.0)
                    kinds.append(caught.value.kind)
            await plain.close()
        # There is no reply: an HTTP error would have an error kind of its own.
        assert kinds == [ErrorKind.STORE_IN_DOUBT] * 2
