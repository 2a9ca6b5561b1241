"""A follower that is told by another relay while its own polls fail."""

import asyncio
from random import Random
from types import SimpleNamespace

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.models.shared import Changes, SharedRow
from ebonydeal._internal.relay.follower import MembersFollower
from ebonydeal._internal.relay.view import RelayView
from tests.lib.clock import ManualClock

LISTED = Member("i1", "s", "i1:1", "z", 8, False, None, True, 0.0, 3)
WIRE = SimpleNamespace(members_table="members", member=lambda _row: LISTED)
GONE = SharedRow("i1", None, 9)


class Store:
    """Lists one endpoint, fails once, then tells that it is gone."""

    def __init__(self):
        self.polls = 0

    async def rows(self, _table):
        return [SharedRow("i1", b"x", 3)], 5

    async def changes(self, _table, _after, _wait):
        self.polls += 1
        if self.polls == 1:
            raise EbonydealError(ErrorKind.STORE_UNAVAILABLE, "away")
        if self.polls == 2:
            return Changes((GONE,), 9)
        await asyncio.Future()


class TestFed:
    async def play(self, fed):
        """Return what is known after a poll failed and a later one told of a leave.

        Where ``fed``, another relay tells this one for a second in between.
        """
        clock = ManualClock(100.0)
        view = RelayView(2.0)
        store = Store()
        follower = MembersFollower(store, WIRE, view, clock, Random(1))
        follower.fed = lambda: fed and store.polls == 1 and clock.now() < 101.0
        async with asyncio.timeout(10):
            await follower.start()
            for _ in range(15):
                await clock.advance(0.1)
            await follower.stop()
        assert store.polls >= 2
        return view.members

    async def test_what_leaves_after_another_relay_told_us_has_left(self):
        assert "i1" not in await self.play(fed=True)

    async def test_what_is_missing_right_after_an_outage_may_have_lapsed(self):
        assert "i1" in await self.play(fed=False)
