import asyncio

import pytest

from ebonydeal._internal.benchmarks.spend.world import AFTER
from ebonydeal._internal.controller.lease import Holder, LeaseKeeper
from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.outside.interfaces import Put
from tests.lib.clock import ManualClock
from tests.lib.controller_fakes import HookedTables, RowsData

TTL = 10.0


class Pair:
    """Two processes that want one lease."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.data = RowsData()
        self.tables = [HookedTables(self.data), HookedTables(self.data)]
        self.one, self.two = (
            LeaseKeeper("x", Holder(f"n{i}/run", ""), self.tables[i], self.clock, TTL)
            for i in range(2)
        )

    async def write(self, lease: LeaseKeeper) -> bool:
        condition = lease.condition()
        return await self.tables[0].transact([condition], [Put("k", {})])


class TestLease:
    async def test_one_holds_and_renews_while_the_other_waits(self):
        pair = Pair()
        assert await pair.one.step()
        for _ in range(20):
            await pair.clock.advance(4.0)
            assert await pair.one.step()
            assert not await pair.two.step()
        assert pair.one.epoch == 1

    async def test_a_silent_holder_is_followed_and_then_can_write_nothing(self):
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

    async def test_a_lease_given_back_is_taken_at_once(self):
        pair = Pair()
        await pair.one.step()
        await pair.one.release()
        assert await pair.two.step()
        assert (pair.two.epoch, pair.two.previous_holder) == (2, "")

    async def test_only_one_of_two_claims_takes_effect(self):
        pair = Pair()
        assert sorted(await asyncio.gather(pair.one.step(), pair.two.step())) == [
            False,
            True,
        ]

    async def test_a_claim_whose_answer_is_lost_is_read_back(self):
        pair = Pair()

        async def lose(when: str, operation: str) -> None:
            if (when, operation) == (AFTER, "transact"):
                raise EbonydealError(ErrorKind.STORE_IN_DOUBT, "lost")

        pair.tables[0].hook = lose
        assert await pair.one.step()
        assert pair.one.epoch == 1

    async def test_an_outage_ends_the_belief_but_not_the_epoch(self):
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

    async def test_other_failures_are_not_swallowed(self):
        pair = Pair()

        async def broken(_when: str, _operation: str) -> None:
            raise EbonydealError(ErrorKind.INTERNAL, "broken")

        pair.tables[0].hook = broken
        with pytest.raises(EbonydealError):
            await pair.one.step()
