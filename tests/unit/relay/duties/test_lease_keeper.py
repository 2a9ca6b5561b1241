"""Which relay takes a free lease."""

import asyncio
from random import Random
from types import SimpleNamespace

from ebonydeal._internal.models.shared import RowWrite
from ebonydeal._internal.relay.duties.lease_keeper import LEASE_TABLE, LeaseKeeper
from ebonydeal._internal.routing.duties.coordinator_lease import (
    CoordinatorLease,
    LeaseRow,
)
from tests.lib.clock import ManualClock
from tests.lib.relay_fakes import MemoryStore

OPEN = RowWrite("usage", "open", b"{}")


class Relays:
    """Keepers of one lease on a manual clock."""

    def __init__(self):
        self.clock = ManualClock(100.0)
        self.store = MemoryStore()
        self.keepers = {}

    async def add(self, name, takeover_delay_s):
        async def read_open():
            pass

        usage = SimpleNamespace(open_change=lambda: OPEN, read_open=read_open)
        lease = CoordinatorLease(name, "i", f"{name}:1", 3.0)
        lease.wanted = True
        keeper = LeaseKeeper(
            self.store,
            usage,
            lease,
            self.clock,
            Random(name),
            lambda: None,
            takeover_delay_s,
        )
        keeper.reachable.set()
        self.keepers[name] = keeper
        await keeper.start()
        return keeper

    async def play(self, seconds):
        for _ in range(round(seconds / 0.05)):
            await self.clock.advance(0.05)

    def holders(self):
        return [name for name, keeper in self.keepers.items() if keeper.holds]

    async def stop(self):
        for keeper in self.keepers.values():
            await keeper.stop()


class TestTakeoverDelay:
    async def test_a_larger_instance_takes_a_free_lease_before_smaller_ones(self):
        relays = Relays()
        async with asyncio.timeout(20):
            for number in range(6):
                await relays.add(f"small{number}", 0.6)
            await relays.add("large", 0.0)
            await relays.play(2.0)
            assert relays.holders() == ["large"]
            await relays.stop()

    async def test_a_smaller_instance_takes_it_if_there_is_no_larger_one(self):
        relays = Relays()
        async with asyncio.timeout(20):
            for number in range(3):
                await relays.add(f"small{number}", 0.6)
            await relays.play(2.0)
            assert len(relays.holders()) == 1
            await relays.stop()

    async def test_the_delay_applies_again_when_the_lease_is_free_again(self):
        relays = Relays()
        async with asyncio.timeout(20):
            smalls = [await relays.add(f"small{n}", 0.6) for n in range(6)]
            large = await relays.add("large", 0.0)
            await relays.play(2.0)
            second = await relays.add("larger", 0.0)
            for keeper in (*smalls, second):
                keeper.lease.wanted = False
            await relays.play(1.0)
            await large.stop()
            del relays.keepers["large"]
            for keeper in (*smalls, second):
                keeper.lease.wanted = True
            await relays.play(6.0)
            assert relays.holders() == ["larger"]
            await relays.stop()


class TestReads:
    async def reads(self, count):
        """Return how often ``count`` relays read the row after they lost the holder."""
        relays = Relays()
        row = LeaseRow("gone", "i", "gone:1", 4, count)
        async with asyncio.timeout(60):
            await relays.store.put(LEASE_TABLE, "duties", row.encode())
            for number in range(count):
                await relays.add(f"n{number}", 0.6)
            await relays.play(0.5)
            calls = []
            rows = relays.store.rows

            async def counted(*args):
                calls.append(args)
                return await rows(*args)

            relays.store.rows = counted
            await relays.play(2.0)
            await relays.stop()
        return len(calls)

    async def test_many_relays_do_not_overload_the_store_with_reads(self):
        few, many = await self.reads(9), await self.reads(90)
        assert few >= 9 * 2
        assert many <= 90 * 2
