import random

import pytest

from ebonydeal._internal.controller.backlog import read_backlog
from ebonydeal._internal.controller.deadline import Backlog
from ebonydeal._internal.journal.backlog_rows import (
    PUBLISH_INTERVAL_S,
    RENEWAL_INTERVAL_S,
    BacklogRows,
)
from ebonydeal._internal.observe.counters import Event
from ebonydeal._internal.outside.interfaces import Put
from tests.lib.clock import settle
from tests.lib.controller_fakes import make_deployment, make_document
from tests.lib.journal_fakes import World, make_request

POOL = make_deployment(
    name="pool", deadline_work=True, first_token_s=0.5, between_tokens_s=0.05
)
LATE = 2_000_000.0
ROUND = PUBLISH_INTERVAL_S * 1.2


def make_rows(world: World, node, name: str = "n-1") -> BacklogRows:
    return BacklogRows(
        node.dispatcher.waiting_requests,
        lambda: make_document(POOL),
        lambda _deployment: 1,
        name,
        lambda: 1,
        world.tables,
        clock=world.clock,
        rng=random.Random(3),
        metrics=node.metrics,
    )


class Bench:
    """A node whose requests wait, and its backlog rows."""

    def __init__(self, world: World, node) -> None:
        self.world = world
        self.node = node
        self.views = world.picker.views
        self.rows = make_rows(world, node)

    async def accept(self, request_id: str, deadline: float = LATE) -> None:
        request = make_request(request_id, deadline=deadline)
        await self.node.owner.accept(request)

    async def read(self) -> list[Backlog]:
        return await read_backlog(self.world.tables, "pool", self.world.clock.wall())

    async def stored(self) -> list[str]:
        return [row.key for row in await self.world.tables.scan("backlog/")]

    def run_all(self) -> None:
        self.world.picker.views = self.views
        self.node.dispatcher.on_endpoints_changed()


@pytest.fixture
async def bench():
    world = World()
    bench = Bench(world, await world.node())
    world.picker.views = []
    await bench.rows.start()
    yield bench
    world.tables.faults.down = False
    await bench.rows.stop()
    await world.close()


def count_writes(bench: Bench) -> list[str]:
    """Record the first key of each write of backlog rows from here on."""
    written = []
    transact = bench.world.tables.transact

    async def counted(conditions, writes):
        if writes[0].key.startswith("backlog/"):
            written.append(writes[0].key)
        return await transact(conditions, writes)

    bench.world.tables.transact = counted
    return written


class TestRows:
    async def test_the_controller_reads_what_waits(self, bench):
        await bench.accept("r-0000-1")
        await bench.accept("r-0000-2", LATE + 60.0)
        await bench.accept("r-0000-3", 0.0)
        await bench.world.clock.advance(ROUND)
        assert await bench.read() == [Backlog(LATE, 1.0), Backlog(LATE + 60.0, 1.0)]
        assert await bench.stored() == ["backlog/pool:n-1"]

    async def test_removed_when_nothing_waits(self, bench):
        await bench.accept("r-0000-1")
        await bench.world.clock.advance(ROUND)
        bench.run_all()
        await bench.world.clock.advance(2 * ROUND)
        assert bench.node.owner.states["r-0000-1"].is_final
        assert await bench.stored() == []

    async def test_a_running_request_does_not_wait(self, bench):
        hold = bench.world.engine.hold("e-1", 1)
        await bench.accept("r-0000-1")
        bench.run_all()
        await bench.world.clock.advance(ROUND)
        assert bench.node.dispatcher.waiting_requests() == []
        assert await bench.stored() == []
        hold.set()
        await settle()

    async def test_written_on_change_and_renewed(self, bench):
        written = count_writes(bench)
        await bench.world.clock.advance(5 * ROUND)
        assert written == []
        before = bench.node.metrics.value("events", str(Event.TABLE_WRITES))
        await bench.accept("r-0000-1")
        accepted = bench.node.metrics.value("events", str(Event.TABLE_WRITES))
        await bench.world.clock.advance(ROUND)
        assert len(written) == 1
        await bench.world.clock.advance(RENEWAL_INTERVAL_S - 2 * ROUND)
        assert len(written) == 1
        await bench.world.clock.advance(3 * ROUND)
        assert len(written) == 2
        counted = bench.node.metrics.value("events", str(Event.TABLE_WRITES))
        assert (accepted - before, counted - accepted) == (1, 2)

    async def test_many_changes_are_one_write(self, bench):
        written = count_writes(bench)
        for number in range(20):
            await bench.accept(f"r-0000-{number}", LATE + number)
        await bench.world.clock.advance(ROUND)
        assert written == ["backlog/pool:n-1"]
        assert len(await bench.read()) == 20

    async def test_a_stop_removes_them(self, bench):
        await bench.accept("r-0000-1")
        await bench.world.clock.advance(ROUND)
        await bench.rows.stop()
        assert await bench.stored() == []

    async def test_rows_of_the_last_process_are_removed(self, bench):
        other = make_rows(bench.world, bench.node, "n-2")
        await bench.accept("r-0000-1")
        await bench.rows.publish()
        await other.publish()
        assert await bench.stored() == ["backlog/pool:n-1", "backlog/pool:n-2"]
        bench.run_all()
        await settle()
        again = make_rows(bench.world, bench.node, "n-2")
        await again.publish()
        assert await bench.stored() == ["backlog/pool:n-1"]

    async def test_lapsed_rows_of_gone_nodes_are_removed(self, bench):
        wall = bench.world.clock.wall()
        tables = bench.world.tables
        gone = {"jobs": [[wall - 9000.0, 1.0]], "at": wall - 9000.0}
        ahead = {"jobs": [[wall + 9000.0, 1.0]], "at": wall - 9000.0}
        puts = [Put("backlog/pool:n-8", gone), Put("backlog/pool:n-9", ahead)]
        await tables.transact([], puts)
        await bench.rows.publish()
        assert await bench.stored() == ["backlog/pool:n-9"]


class TestOutage:
    async def test_rows_come_late_and_the_node_goes_on(self, bench):
        await bench.accept("r-0000-1")
        bench.world.tables.faults.down = True
        await bench.world.clock.advance(10 * ROUND)
        assert not bench.rows.crashed
        assert bench.node.owner.serving
        bench.world.tables.faults.down = False
        assert await bench.stored() == []
        await bench.world.clock.advance(ROUND)
        assert await bench.read() == [Backlog(LATE, 1.0)]

    async def test_a_row_in_doubt_is_removed_all_the_same(self, bench):
        await bench.accept("r-0000-1")
        await bench.world.clock.advance(ROUND)
        bench.run_all()
        await settle()
        bench.world.tables.faults.down = True
        await bench.world.clock.advance(ROUND)
        bench.world.tables.faults.down = False
        await bench.world.clock.advance(2 * ROUND)
        assert await bench.stored() == []

    async def test_a_stop_in_an_outage_ends(self, bench):
        await bench.accept("r-0000-1")
        await bench.world.clock.advance(ROUND)
        bench.world.tables.faults.down = True
        await bench.rows.stop()
        bench.world.tables.faults.down = False
        assert await bench.stored() == ["backlog/pool:n-1"]
