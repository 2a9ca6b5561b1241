import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.outside.interfaces import (
    Delete,
    FieldEquals,
    Put,
    Row,
    RowAbsent,
    RowVersion,
)
from ebonydeal._internal.standin.faults import Fault, Operation
from ebonydeal._internal.standin.memory import MemoryObjects, MemoryTables
from tests.lib.clock import ManualClock, settle


class TestTransactions:
    async def test_put_if_absent_succeeds_only_once(self):
        tables = MemoryTables()
        assert await tables.transact([RowAbsent("a")], [Put("a", {"by": 1})]) is True
        assert await tables.transact([RowAbsent("a")], [Put("a", {"by": 2})]) is False
        assert await tables.get("a") == Row("a", {"by": 1}, 1)

    async def test_one_failed_condition_prevents_all_writes(self):
        tables = MemoryTables()
        await tables.transact([], [Put("a", {"epoch": 1})])
        conditions = [FieldEquals("a", "epoch", 1), FieldEquals("b", "epoch", 1)]
        assert await tables.transact(conditions, [Delete("a")]) is False
        assert await tables.get("a") == Row("a", {"epoch": 1}, 1)

    async def test_version_increases_across_a_delete(self):
        tables = MemoryTables()
        await tables.transact([], [Put("a", {})])
        await tables.transact([RowVersion("a", 1)], [Delete("a")])
        await tables.transact([], [Put("a", {})])
        assert await tables.transact([RowVersion("a", 1)], [Put("a", {})]) is False
        assert await tables.get("a") == Row("a", {}, 2)

    async def test_stored_rows_are_copies(self):
        tables = MemoryTables()
        value = {"list": [1]}
        await tables.transact([], [Put("a", value)])
        value["list"].append(2)
        row = await tables.get("a")
        row.value["list"].append(3)
        assert await tables.get("a") == Row("a", {"list": [1]}, 1)

    async def test_value_that_is_not_json_changes_nothing(self):
        tables = MemoryTables()
        with pytest.raises(TypeError):
            await tables.transact([], [Put("a", {}), Put("b", {"x": object()})])
        assert await tables.get("a") is None

    @given(st.sets(st.text("ab/", max_size=4)), st.text("ab/", max_size=2))
    def test_scan_returns_matching_keys_in_order(self, keys, prefix):
        async def check():
            tables = MemoryTables()
            for key in keys:
                await tables.transact([], [Put(key, {})])
            rows = await tables.scan(prefix, start="a", limit=3)
            found = sorted(k for k in keys if k.startswith(prefix) and k >= "a")
            assert [row.key for row in rows] == found[:3]

        asyncio.run(check())


class TestFaults:
    async def error_kind(self, call):
        with pytest.raises(EbonydealError) as caught:
            await call
        return caught.value.kind

    async def test_refused_write_has_no_effect(self):
        tables = MemoryTables()
        tables.faults.plan[1] = Fault.REFUSED
        kind = await self.error_kind(tables.transact([], [Put("a", {})]))
        assert kind is ErrorKind.STORE_UNAVAILABLE
        assert await tables.get("a") is None

    async def test_write_with_a_lost_answer_takes_effect(self):
        tables = MemoryTables()
        tables.faults.writes.append(Fault.LOST_ANSWER)
        kind = await self.error_kind(tables.transact([], [Put("a", {})]))
        assert kind is ErrorKind.STORE_IN_DOUBT
        assert await tables.get("a") == Row("a", {}, 1)

    async def test_lost_request_has_no_effect(self):
        tables = MemoryTables()
        tables.faults.writes.append(Fault.LOST_REQUEST)
        kind = await self.error_kind(tables.transact([], [Put("a", {})]))
        assert kind is ErrorKind.STORE_IN_DOUBT
        assert tables.apply_late_writes() == []
        assert await tables.get("a") is None

    async def test_late_write_checks_its_conditions_when_it_is_applied(self):
        tables = MemoryTables()
        tables.faults.writes.extend([Fault.LATE, Fault.LATE])
        await self.error_kind(tables.transact([RowAbsent("a")], [Put("a", {"by": 1})]))
        await self.error_kind(tables.transact([RowAbsent("a")], [Put("a", {"by": 2})]))
        assert await tables.get("a") is None
        assert tables.apply_late_writes() == [True, False]
        assert await tables.get("a") == Row("a", {"by": 1}, 1)

    async def test_duplicate_write_is_applied_again(self):
        tables = MemoryTables()
        tables.faults.writes.append(Fault.DUPLICATE)
        assert await tables.transact([], [Put("a", {"by": 1})]) is True
        await tables.transact([], [Put("a", {"by": 2})])
        assert tables.apply_late_writes() == [True]
        assert await tables.get("a") == Row("a", {"by": 1}, 3)

    async def test_down_refuses_reads_and_writes_and_counts_them(self):
        tables = MemoryTables()
        tables.faults.down = True
        unavailable = ErrorKind.STORE_UNAVAILABLE
        assert await self.error_kind(tables.get("a")) is unavailable
        assert await self.error_kind(tables.scan("a")) is unavailable
        assert await self.error_kind(tables.transact([], [])) is unavailable
        assert (tables.reads, tables.writes) == (2, 1)

    async def test_hooks_can_pause_before_and_after_the_effect(self):
        tables = MemoryTables()
        before, after = asyncio.Event(), asyncio.Event()
        calls = []

        async def wait_before(op: Operation):
            calls.append(("before", op.number, op.name, op.key))
            await before.wait()

        async def wait_after(op: Operation):
            calls.append(("after", op.number, op.name, op.key))
            await after.wait()

        tables.faults.before, tables.faults.after = wait_before, wait_after
        task = asyncio.ensure_future(tables.transact([], [Put("a", {})]))
        await settle()
        assert tables.rows.get("a") is None
        before.set()
        await settle()
        assert tables.rows.get("a") == Row("a", {}, 1)
        assert not task.done()
        after.set()
        assert await task is True
        assert calls == [("before", 1, "transact", "a"), ("after", 1, "transact", "a")]

    async def test_delay_uses_the_given_clock(self):
        clock = ManualClock()
        objects = MemoryObjects(clock)
        objects.faults.delay = 2.0
        task = asyncio.ensure_future(objects.put("a", b"1"))
        await clock.advance(1.9)
        assert not task.done()
        await clock.advance(0.2)
        assert task.done()
        assert objects.data == {"a": b"1"}


class TestObjects:
    async def test_objects_are_put_read_listed_and_deleted(self):
        objects = MemoryObjects()
        await objects.put("b/1", b"x")
        await objects.put("a/1", b"y")
        await objects.put("a/0", b"z")
        assert await objects.names("a/") == ["a/0", "a/1"]
        assert await objects.get("b/1") == b"x"
        await objects.delete("b/1")
        await objects.delete("b/1")
        assert await objects.get("b/1") is None
