"""Simultaneous and repeated faults: reclaims, outages, lost answers, crashes, stops."""

import asyncio

from ebonydeal._internal.standin.faults import Fault
from ebonydeal._internal.standin.server import reset_connections
from tests.lib.fakes_quickstart import run_with_fault

TABLE_FAULTS = (Fault.LOST_ANSWER, Fault.NONE, Fault.DUPLICATE_LOST, Fault.LATE)


async def reclaim_during_table_faults(tree):
    world, tables = tree.world, tree.world.tables.tables
    first, second = (place.zone for place in world.spec.places[:2])
    tables.faults.writes.extend(TABLE_FAULTS * 5)
    world.reclaim_zone(first, 1.0)
    await asyncio.sleep(1.2)
    tables.faults.down = True
    world.reclaim_zone(second, 0.5)
    await asyncio.sleep(1.0)
    tables.faults.down = False
    tables.apply_late_writes()
    world.restore_zone(first)


async def lose_processes(tree):
    await reset_connections(tree.programs["gateway-1"]._server)
    await tree.stop_node("gateway-1")
    await tree.stop_node("journal-3")
    engines = [e for e in tree.world.endpoints() if e.kind == "engine"]
    busiest = max(engines, key=lambda engine: engine.slots.running)
    await tree.world.kill_endpoint(busiest.endpoint_id)


class TestFaultsTogether:
    async def test_two_reclaims_an_outage_and_lost_processes(self):
        async def fail(tree):
            await reclaim_during_table_faults(tree)
            await lose_processes(tree)

        records, verdict, tree = await run_with_fault(fail, seconds=6.0, max_tokens=200)
        assert verdict.findings == ()
        assert verdict.completed == len(records)
        total_counts = tree.total_counts()
        assert total_counts["events"]["appends_in_doubt"] > 0
        assert total_counts["events"]["streams_moved"] > 0
