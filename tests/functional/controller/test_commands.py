import asyncio
import json

from click.testing import CliRunner

from ebonydeal._internal.cli.main import main
from ebonydeal._internal.controller.events import (
    TRAIL_ROWS,
    SpendRow,
    TrailEvent,
    TrailKind,
    read_trail,
)
from ebonydeal._internal.outside.tables import HttpTables
from ebonydeal._internal.standin.stores import TablesServer
from tests.lib.fakes_endpoints import running


def event(number: int, **changes) -> TrailEvent:
    base = TrailEvent(
        number,
        1_000_000.0 + number,
        TrailKind.STARTED,
        "kitchen",
        "z1",
        "large",
        True,
        f"kitchen:1-{number}",
        "",
        "",
        3.1,
        "below wanted number",
        1,
    )
    return base._replace(**changes)


async def invoke(server, tmp_path, *args: str):
    file = tmp_path / "node.ini"
    file.write_text(f"[platform]\ntables_url = {server.url}\n")
    command = [*args, "--settings", str(file)]
    return await asyncio.to_thread(CliRunner().invoke, main, command)


class TestReclaims:
    async def test_event_lines_show_action_reason_price_and_replaced_instance(
        self, tmp_path
    ):
        async with running(TablesServer()) as server:
            tables = HttpTables(server.url, 2.0)
            newer = event(
                1, instance_id="i-7", replaces="kitchen:1-0", why="replacement"
            )
            for item in (event(0), newer, event(0, deployment="other", at=0.0)):
                await tables.transact([], [item.to_put()])
            result = await invoke(
                server, tmp_path, "reclaims", "--deployment", "kitchen"
            )
            assert result.exit_code == 0
            assert result.output.splitlines() == [
                "1970-01-12 13:46:40Z kitchen: started kitchen:1-0 (z1, large, "
                "reclaimable, 3.10/h): below wanted number",
                "1970-01-12 13:46:41Z kitchen: started i-7 (z1, large, "
                "reclaimable, 3.10/h): replacement, in place of kitchen:1-0",
            ]
            result = await invoke(
                server, tmp_path, "reclaims", "--json", "--limit", "2"
            )
            found = [
                (item["deployment"], item["number"])
                for item in json.loads(result.output)
            ]
            assert found == [("kitchen", 0), ("kitchen", 1)]
            await tables.close()

    async def test_trail_keeps_only_the_newest_events(self):
        async with running(TablesServer()) as server:
            tables = HttpTables(server.url, 2.0)
            for number in range(TRAIL_ROWS + 3):
                await tables.transact([], [event(number).to_put()])
            numbers = [item.number for item in await read_trail(tables, "kitchen")]
            assert numbers == list(range(3, TRAIL_ROWS + 3))
            await tables.close()


class TestSpend:
    async def test_spend_shows_one_line_per_deployment(self, tmp_path):
        async with running(TablesServer()) as server:
            empty = await invoke(server, tmp_path, "spend")
            assert empty.output == "No spend is recorded.\n"
            tables = HttpTables(server.url, 2.0)
            row = SpendRow("kitchen", 12.5, 40.0, 36.0, 100.25, 6, 5, 4, 0.0)
            await tables.transact([], [row.to_put()])
            result = await invoke(server, tmp_path, "spend")
            assert result.output == (
                "kitchen: 12.50/h of at most 40.00/h, 100.25 so far; 5 of 6 "
                "instances ready, 4 needed; on-demand would be 36.00/h\n"
            )
            await tables.close()

    async def test_unreachable_table_service_gives_exit_code_5(self, tmp_path):
        async with running(TablesServer()) as server:
            server.tables.faults.down = True
            for name in ("spend", "reclaims"):
                result = await invoke(server, tmp_path, name)
                assert result.exit_code == 5
                assert result.output.startswith("The table service can't be read")
