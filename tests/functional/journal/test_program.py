import random

from ebonydeal._internal.config.examples import example_document
from ebonydeal._internal.config.peer_routes import STATUS_PATH
from ebonydeal._internal.journal.program import SECTIONS, JournalProgram
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.standin.world import StandinWorld
from ebonydeal._internal.standin.worldspec import WorldSpec
from ebonydeal._internal.utils.clock import SystemClock
from ebonydeal._internal.utils.peerclient import PeerClient
from tests.lib.fakes_endpoints import running


def new_world() -> StandinWorld:
    document = example_document("cadwaladr")
    return StandinWorld(WorldSpec.from_document(document, {}, speed=50.0))


def settings(world: StandinWorld) -> dict:
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
    async def test_peers_are_told_of_configuration_and_counters(self):
        async with running(new_world()) as world:
            sections = settings(world)
            client = PeerClient(sections["peers"].credential)
            async with running(program(sections)) as journal:
                address = journal.peers.address
                told = await client.call(address, STATUS_PATH, {}, 5.0)
            await client.close()
            assert told["version"] == 0
            assert set(told) == {"version", "spread_s", "refusals", "retries", "events"}
