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
DEADLINE = 2_000_000.0
MAX_PUBLISH_INTERVAL_S = PUBLISH_INTERVAL_S * 1.2


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


class BacklogHarness:
    """A node without available endpoints, and its backlog rows."""

    def __init__(self, world: World, node) -> None:
        self.world = world
        self.node = node
        self.views = world.picker.views
        self.rows = make_rows(world, node)

    async def accept(self, request_id: str, deadline: float = DEADLINE) -> None:
        request = make_request(request_id, deadline=deadline)
        await self.node.owner.accept(request)

    async def read(self) -> list[Backlog]:
        return await read_backlog(self.world.tables, "pool", self.world.clock.wall())

    async def stored(self) -> list[str]:
        return [row.key for row in await self.world.tables.scan("backlog/")]

    def restore_endpoints(self) -> None:
        self.world.picker.views = self.views
        self.node.dispatcher.on_endpoints_changed()


@pytest.fixture
async def harness():
    world = World()
    harness = BacklogHarness(world, await world.node())
    world.picker.views = []
    await harness.rows.start()
    yield harness
    world.tables.faults.down = False
    await harness.rows.stop()
    await world.close()


def count_writes(harness: BacklogHarness) -> list[str]:
    """Record the first key of each later write of backlog rows."""
    written_keys = []
    transact = harness.world.tables.transact

    async def counted(conditions, writes):
        if writes[0].key.startswith("backlog/"):
            written_keys.append(writes[0].key)
        return await transact(conditions, writes)

    harness.world.tables.transact = counted
    return written_keys


class TestRows:
    async def test_controller_reads_the_waiting_work(self, harness):
        await harness.accept("r-0000-1")
        await harness.accept("r-0000-2", DEADLINE + 60.0)
        await harness.accept("r-0000-3", 0.0)
        await harness.world.clock.advance(MAX_PUBLISH_INTERVAL_S)
        assert await harness.read() == [
            Backlog(DEADLINE, 1.0),
            Backlog(DEADLINE + 60.0, 1.0),
        ]
        assert await harness.stored() == ["backlog/pool:n-1"]

    async def test_row_is_deleted_when_nothing_waits(self, harness):
        await harness.accept("r-0000-1")
        await harness.world.clock.advance(MAX_PUBLISH_INTERVAL_S)
        harness.restore_endpoints()
        await harness.world.clock.advance(2 * MAX_PUBLISH_INTERVAL_S)
        assert harness.node.owner.states["r-0000-1"].is_final
        assert await harness.stored() == []

    async def test_running_request_is_not_in_the_backlog(self, harness):
        resume_stream = harness.world.engine.hold("e-1", 1)
        await harness.accept("r-0000-1")
        harness.restore_endpoints()
        await harness.world.clock.advance(MAX_PUBLISH_INTERVAL_S)
        assert harness.node.dispatcher.waiting_requests() == []
        assert await harness.stored() == []
        resume_stream.set()
        await settle()

    async def test_row_is_written_only_on_change_and_renewal(self, harness):
        written_keys = count_writes(harness)
        await harness.world.clock.advance(5 * MAX_PUBLISH_INTERVAL_S)
        assert written_keys == []
        before = harness.node.metrics.value("events", str(Event.TABLE_WRITES))
        await harness.accept("r-0000-1")
        accepted = harness.node.metrics.value("events", str(Event.TABLE_WRITES))
        await harness.world.clock.advance(MAX_PUBLISH_INTERVAL_S)
        assert len(written_keys) == 1
        await harness.world.clock.advance(
            RENEWAL_INTERVAL_S - 2 * MAX_PUBLISH_INTERVAL_S
        )
        assert len(written_keys) == 1
        await harness.world.clock.advance(3 * MAX_PUBLISH_INTERVAL_S)
        assert len(written_keys) == 2
        counted = harness.node.metrics.value("events", str(Event.TABLE_WRITES))
        assert (accepted - before, counted - accepted) == (1, 2)

    async def test_many_changes_share_one_write(self, harness):
        written_keys = count_writes(harness)
        for number in range(20):
            await harness.accept(f"r-0000-{number}", DEADLINE + number)
        await harness.world.clock.advance(MAX_PUBLISH_INTERVAL_S)
        assert written_keys == ["backlog/pool:n-1"]
        assert len(await harness.read()) == 20

    async def test_stop_deletes_the_rows(self, harness):
        await harness.accept("r-0000-1")
        await harness.world.clock.advance(MAX_PUBLISH_INTERVAL_S)
        await harness.rows.stop()
        assert await harness.stored() == []

    async def test_rows_of_the_previous_process_are_deleted(self, harness):
        other = make_rows(harness.world, harness.node, "n-2")
        await harness.accept("r-0000-1")
        await harness.rows.publish()
        await other.publish()
        assert await harness.stored() == ["backlog/pool:n-1", "backlog/pool:n-2"]
        harness.restore_endpoints()
        await settle()
        again = make_rows(harness.world, harness.node, "n-2")
        await again.publish()
        assert await harness.stored() == ["backlog/pool:n-1"]

    async def test_stale_rows_of_gone_nodes_are_deleted(self, harness):
        wall = harness.world.clock.wall()
        tables = harness.world.tables
        stale = {"jobs": [[wall - 9000.0, 1.0]], "at": wall - 9000.0}
        current = {"jobs": [[wall + 9000.0, 1.0]], "at": wall - 9000.0}
        puts = [Put("backlog/pool:n-8", stale), Put("backlog/pool:n-9", current)]
        await tables.transact([], puts)
        await harness.rows.publish()
        assert await harness.stored() == ["backlog/pool:n-9"]


class TestOutage:
    async def test_outage_delays_the_rows_but_not_the_node(self, harness):
        await harness.accept("r-0000-1")
        harness.world.tables.faults.down = True
        await harness.world.clock.advance(10 * MAX_PUBLISH_INTERVAL_S)
        assert not harness.rows.crashed
        assert harness.node.owner.serving
        harness.world.tables.faults.down = False
        assert await harness.stored() == []
        await harness.world.clock.advance(MAX_PUBLISH_INTERVAL_S)
        assert await harness.read() == [Backlog(DEADLINE, 1.0)]

    async def test_row_of_uncertain_content_is_deleted(self, harness):
        await harness.accept("r-0000-1")
        await harness.world.clock.advance(MAX_PUBLISH_INTERVAL_S)
        harness.restore_endpoints()
        await settle()
        harness.world.tables.faults.down = True
        await harness.world.clock.advance(MAX_PUBLISH_INTERVAL_S)
        harness.world.tables.faults.down = False
        await harness.world.clock.advance(2 * MAX_PUBLISH_INTERVAL_S)
        assert await harness.stored() == []

    async def test_stop_during_an_outage_completes(self, harness):
        await harness.accept("r-0000-1")
        await harness.world.clock.advance(MAX_PUBLISH_INTERVAL_S)
        harness.world.tables.faults.down = True
        await harness.rows.stop()
        harness.world.tables.faults.down = False
        assert await harness.stored() == ["backlog/pool:n-1"]
