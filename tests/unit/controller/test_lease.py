import asyncio

import pytest

from ebonydeal._internal.benchmarks.spend.simulated_platform import AFTER
from ebonydeal._internal.controller.lease import Holder, LeaseKeeper
from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.outside.interfaces import Put
from tests.lib.clock import ManualClock
from tests.lib.controller_fakes import HookedTables, TableData

TTL = 10.0


class Pair:
    """Two processes that compete for one lease."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.data = TableData()
        self.tables = [HookedTables(self.data), HookedTables(self.data)]
        self.one, self.two = (
            LeaseKeeper("x", Holder(f"n{i}/run", ""), self.tables[i], self.clock, TTL)
            for i in range(2)
        )

    async def write(self, lease: LeaseKeeper) -> bool:
        condition = lease.condition()
        return await self.tables[0].transact([condition], [Put("k", {})])


class TestLease:
    async def test_holder_renews_while_the_other_waits(self):
        pair = Pair()
        assert await pair.one.step()
        for _ in range(20):
            await pair.clock.advance(4.0)
            assert await pair.one.step()
            assert not await pair.two.step()
        assert pair.one.epoch == 1

    async def test_expired_lease_is_taken_over_and_old_holder_cannot_write(self):
        pair = Pair()
        await pair.one.step()
        assert not await pair.two.step()
        await pair.clock.advance(TTL)
        assert await pair.two.step()
        assert pair.two.epoch == 2
        assert pair.two.previous_holder == "n0/run"
        assert not pair.one.presumed_held()
        assert not await pair.write(pair.one)
        assert await pair.write(pair.two)
        assert not await pair.one.step()

    async def test_released_lease_is_taken_at_once(self):
        pair = Pair()
        await pair.one.step()
        await pair.one.release()
        assert await pair.two.step()
        assert (pair.two.epoch, pair.two.previous_holder) == (2, "")

    async def test_only_one_of_two_concurrent_claims_succeeds(self):
        pair = Pair()
        assert sorted(await asyncio.gather(pair.one.step(), pair.two.step())) == [
            False,
            True,
        ]

    async def test_lost_claim_response_is_resolved_by_reading_the_row(self):
        pair = Pair()

        async def lose_response(when: str, operation: str) -> None:
            if (when, operation) == (AFTER, "transact"):
                raise EbonydealError(ErrorKind.STORE_IN_DOUBT, "response lost")

        pair.tables[0].hook = lose_response
        assert await pair.one.step()
        assert pair.one.epoch == 1

    async def test_lease_expires_during_an_outage_but_keeps_its_epoch(self):
        pair = Pair()
        await pair.one.step()

        async def down(_when: str, _operation: str) -> None:
            raise EbonydealError(ErrorKind.STORE_UNAVAILABLE, "down")

        pair.tables[0].hook = down
        await pair.clock.advance(TTL / 2)
        assert await pair.one.step()
        await pair.clock.advance(TTL / 2)
        assert not await pair.one.step()
        pair.tables[0].hook = pair.tables[1].hook
        assert await pair.one.step()
        assert pair.one.epoch == 1

    async def test_unexpected_errors_are_raised(self):
        pair = Pair()

        async def broken(_when: str, _operation: str) -> None:
            raise EbonydealError(ErrorKind.INTERNAL, "broken")

        pair.tables[0].hook = broken
        with pytest.raises(EbonydealError):
            await pair.one.step()
