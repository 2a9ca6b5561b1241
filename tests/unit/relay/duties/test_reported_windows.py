"""No window is reported a second time because a store lost the row of its report.

All relays were lost with the store's last seconds. The next holder of the lease
reported windows again that had been reported in that time, with other counts.
"""

import asyncio

from ebonydeal._internal.models.shared import NO_ROW, ordered_version
from ebonydeal._internal.relay.duties.reported_windows import ReportedWindows
from ebonydeal._internal.relay.duties.usage_store import USAGE_TABLE
from ebonydeal._internal.routing.duties.coordinator_lease import (
    CoordinatorLease,
    LeaseRow,
)
from ebonydeal._internal.routing.duties.usage_ledger import UsageLedger
from tests.lib.relay_fakes import MemoryStore

LENGTH_S = 5.0
# In window 20.
WALL = 103.0


class Holder:
    """A process that takes the lease, or the next one."""

    def __init__(self, store, era, node="n1"):
        self.store, self.era = store, era
        self.ledger = UsageLedger(LENGTH_S, 10.0)
        self.lease = CoordinatorLease(node, "i", f"{node}:1", 3.0)
        self.lease.wanted = True
        self.lease.observe_era(era, 0.0)
        self.windows = ReportedWindows(
            store, self.ledger, self.lease, lambda: self.wall
        )
        self.wall = WALL

    def take(self, row=None, now=10.0):
        version = NO_ROW if row is None else ordered_version(self.era, 5)
        self.lease.on_read(row, version, 0.0)
        write = self.lease.next_step(now)
        self.lease.on_written(write.row, ordered_version(self.era, 6))
        asyncio.run(self.windows.read())

    def store_due(self):
        for change in self.windows.changes():
            asyncio.run(self.store.put(change.table, change.key, change.value))
        self.windows.wrote()

    @property
    def next_window(self):
        due = self.ledger.due(WALL + 4.0, ["a"], 0.0)
        return None if due is None else due.window


BEFORE = LeaseRow("n9", "i", "n9:1", ordered_version(0, 7))


class TestAfterRestore:
    def test_windows_that_had_ended_are_left_out(self):
        holder = Holder(MemoryStore(), era=2)
        holder.take(BEFORE)
        assert holder.next_window == 20

    def test_also_at_the_next_holder(self):
        store = MemoryStore()
        first = Holder(store, era=2)
        first.take(BEFORE)
        first.store_due()
        assert store.tables[USAGE_TABLE]["reported"].value == b"19"
        second = Holder(store, era=2, node="n2")
        second.take(first.lease.row)
        assert second.next_window == 20

    def test_the_holder_of_the_lost_time_goes_on(self):
        holder = Holder(MemoryStore(), era=1)
        holder.take()
        holder.ledger.reported = 17
        holder.lease.observe_era(2, 10.5)
        holder.windows.store_restored()
        assert holder.windows.loaded and holder.ledger.reported == 17

    def test_a_former_holder_leaves_them_out(self):
        holder = Holder(MemoryStore(), era=1)
        holder.take()
        holder.lease.on_read(BEFORE, ordered_version(1, 9), 20.0)
        holder.windows.store_restored()
        assert not holder.windows.loaded


class TestWithoutRestore:
    def test_open_windows_of_the_holder_before_are_reported(self):
        holder = Holder(MemoryStore(), era=2)
        fence = (2 << 20) + 1
        holder.take(BEFORE._replace(fence=fence))
        assert holder.next_window < 20

    def test_a_store_without_eras_leaves_nothing_out(self):
        holder = Holder(MemoryStore(), era=0)
        holder.take()
        assert holder.next_window < 20
