import asyncio

from ebonydeal._internal.commands.quickstart_run import (
    QuickstartOptions,
    run_quickstart,
)
from ebonydeal._internal.commands.quickstart_system import (
    demo_document,
)
from ebonydeal._internal.standin.faults import Fault
from ebonydeal._internal.standin.server import reset_connections
from ebonydeal._internal.utils.keys import key_matches
from tests.lib.fakes_quickstart import SMALL_LOAD, discard, run_with_fault


class TestWholePath:
    async def test_zone_is_reclaimed_under_load(self):
        options = QuickstartOptions(
            seconds=3.0, notice_seconds=0.5, speed=2.0, load=SMALL_LOAD
        )
        result = await run_quickstart(options, discard)
        assert result["findings"] == []
        assert result["ok"] is True
        assert result["completed"] == result["sent"] > 0
        assert all(kind["sent"] > 0 for kind in result["by_kind"].values())
        assert (result["lost"], result["duplicated"], result["unknown"]) == (0, 0, 0)

    async def test_gateway_crashes_under_load(self):
        async def kill(tree):
            program = tree.programs["gateway-1"]
            while not any(
                live.delivered for live in program.stream_runner.live_streams
            ):
                await asyncio.sleep(0.01)
            await reset_connections(program._server)
            await tree.stop_node("gateway-1")

        records, verdict, _tree = await run_with_fault(kill)
        assert verdict.findings == ()
        assert verdict.completed == len(records) > 0
        assert sum(record.broken_streams for record in records) > 0

    async def test_engine_crashes_during_a_stream(self):
        async def kill(tree):
            busy = [e for e in tree.world.endpoints() if e.kind == "engine"]
            busiest = max(busy, key=lambda engine: engine.slots.running)
            assert busiest.slots.running > 0
            await tree.world.kill_endpoint(busiest.endpoint_id)

        records, verdict, _tree = await run_with_fault(kill)
        assert verdict.findings == ()
        assert verdict.completed == len(records) > 0
        assert verdict.recomputed_tokens > 0

    async def test_planned_stop_of_a_gateway_under_load(self):
        async def stop(tree):
            await tree.stop_node("gateway-2")

        records, verdict, _tree = await run_with_fault(stop)
        assert verdict.findings == ()
        assert verdict.completed == len(records) > 0
        assert sum(record.broken_streams for record in records) == 0

    async def test_planned_stop_of_a_journal_under_load(self):
        async def stop(tree):
            await tree.stop_node("journal-2")

        records, verdict, _tree = await run_with_fault(stop)
        assert verdict.findings == ()
        assert verdict.completed == len(records) > 0

    async def test_table_service_outage_while_a_zone_is_reclaimed(self):
        async def fail(tree):
            faults = tree.world.tables.tables.faults
            faults.down = True
            tree.world.reclaim_zone(tree.world.spec.places[0].zone, 0.5)
            await asyncio.sleep(2.0)
            faults.down = False

        records, verdict, _tree = await run_with_fault(fail)
        assert verdict.findings == ()
        assert verdict.completed == len(records) > 0

    async def test_responses_to_table_writes_are_lost(self):
        async def lose(tree):
            faults = tree.world.tables.tables.faults
            faults.writes.extend([Fault.LOST_ANSWER, Fault.NONE, Fault.DUPLICATE] * 4)
            await asyncio.sleep(1.0)
            tree.world.tables.tables.apply_late_writes()

        records, verdict, _tree = await run_with_fault(lose)
        assert verdict.findings == ()
        assert verdict.completed == len(records) > 0


class TestDemoDocument:
    def test_only_the_demo_account_has_a_key(self):
        document, key = demo_document()
        hashes = {item["name"]: item["key_hashes"] for item in document["accounts"]}
        assert key_matches(key, hashes.pop("breakfast")[0])
        assert not any(hashes.values())
