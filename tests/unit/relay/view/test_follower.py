"""Followers of the endpoint list: pushes during failed polls, unreadable entries."""

import asyncio
import json
from random import Random
from types import SimpleNamespace

from ebonydeal._internal.errors import EbonydealError, ErrorKind, NoReplyError
from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.models.shared import RowChanges, SharedRow
from ebonydeal._internal.observe.counters import Event, Metrics, Timing
from ebonydeal._internal.platform.wire import PlatformWire
from ebonydeal._internal.relay.view.config_follower import ConfigTableFollower
from ebonydeal._internal.relay.view.members_follower import MembersFollower
from ebonydeal._internal.relay.view.view import RelayView
from tests.lib.clock import ManualClock

LISTED = Member("i1", "s", "i1:1", "z", 8, False, None, True, 0.0, 3)
WIRE = SimpleNamespace(members_table="members", member=lambda _row: LISTED)
GONE = SharedRow("i1", None, 9)
NO_REPLY = NoReplyError(ErrorKind.STORE_UNAVAILABLE, "no reply", True)


class Store:
    """Lists one endpoint, fails once, then returns its removal."""

    def __init__(self):
        self.polls = 0

    async def rows(self, _table):
        return [SharedRow("i1", b"x", 3)], 5

    async def changes(self, _table, _after, _wait, _reply_timeout):
        self.polls += 1
        if self.polls == 1:
            raise EbonydealError(ErrorKind.STORE_UNAVAILABLE, "away")
        if self.polls == 2:
            return RowChanges((GONE,), 9)
        await asyncio.Future()


class TestPushes:
    async def play(self, pushed):
        """Return the members after a poll failed and a later one returned a removal.

        If ``pushed``, the coordinator pushes changes for a second in between.
        """
        clock = ManualClock(100.0)
        view = RelayView(2.0)
        store = Store()
        follower = MembersFollower(store, WIRE, view, clock, Random(1), Metrics())
        follower.receives_pushes = lambda: (
            pushed and store.polls == 1 and clock.now() < 101.0
        )
        async with asyncio.timeout(10):
            await follower.start()
            for _ in range(15):
                await clock.advance(0.1)
            await follower.stop()
        assert store.polls >= 2
        return view.members

    async def test_an_endpoint_removed_after_pushes_is_dropped_at_once(self):
        assert "i1" not in await self.play(pushed=True)

    async def test_an_endpoint_removed_right_after_an_outage_is_kept_for_now(self):
        assert "i1" in await self.play(pushed=False)


class ReadableStore:
    """Lists one endpoint; replies to long polls only at their end, or never."""

    def __init__(self, clock):
        self.clock, self.silent, self.waits = clock, False, []

    async def rows(self, _table):
        return [SharedRow("i1", b"x", 3)], 5

    async def changes(self, _table, _after, wait, reply_timeout):
        self.waits.append(wait)
        if self.silent:
            await self.clock.sleep(wait + reply_timeout)
            raise NO_REPLY
        await self.clock.sleep(wait)
        return RowChanges((), 5)


class TestReadSince:
    def setup_method(self):
        self.clock = ManualClock(100.0)
        self.store = ReadableStore(self.clock)
        self.follower = MembersFollower(
            self.store, WIRE, RelayView(2.0), self.clock, Random(1), Metrics()
        )

    async def read(self, timeout=10.0):
        """Return whether the list was read until now."""
        now = self.clock.now()
        task = asyncio.ensure_future(self.follower.read_since(now, timeout))
        for _ in range(4):
            await self.clock.advance(0.05)
        return await task

    async def test_interrupts_a_long_poll(self):
        await self.follower.start()
        await self.clock.advance(0.5)
        assert await self.read()
        assert self.store.waits[1] == 0.0
        await self.follower.stop()

    async def test_reads_the_store_though_the_coordinator_pushes(self):
        self.follower.receives_pushes = lambda: True
        await self.follower.start()
        await self.clock.advance(0.5)
        assert self.store.waits == []
        assert await self.read()
        assert self.store.waits == [0.0]
        await self.follower.stop()

    async def test_fails_if_the_store_does_not_reply(self):
        await self.follower.start()
        await self.clock.advance(0.5)
        self.store.silent = True
        assert not await self.read(timeout=0.05)
        await self.follower.stop()

    async def test_reply_shows_changes_until_its_request_only(self):
        """It may be read long after the store sent it, as by a suspended relay."""
        await self.follower.start()
        await self.clock.advance(1.0)
        assert self.follower.read_until == 100.0
        await self.follower.stop()


class DeadConnectionStore:
    """Its open connection delivers nothing after the first poll; new ones work.

    A poll without a reply is given up after the time that the caller allows.
    """

    def __init__(self, clock):
        self._clock = clock
        self.waits = []

    async def rows(self, _table):
        return [SharedRow("i1", b"x", 3)], 5

    async def changes(self, _table, _after, wait, reply_timeout):
        self.waits.append(wait)
        if len(self.waits) == 2:
            await self._clock.sleep(wait + reply_timeout)
            raise NO_REPLY
        await self._clock.sleep(wait)
        return RowChanges((), 5)


class TestLostPolls:
    """Entries that are removed while polls get no reply."""

    async def members_after(self, *failures, seconds=1.0, pushed=False):
        """Return the members after polls failed and the next returned a removal.

        If ``pushed``, the coordinator pushes changes until just before the first poll.
        """
        clock = ManualClock(100.0)
        results = [*failures, RowChanges((GONE,), 9)]

        class FailingStore(Store):
            async def changes(self, *_args):
                if not results:
                    await asyncio.Future()
                result = results.pop(0)
                if isinstance(result, Exception):
                    await clock.sleep(getattr(result, "lasts_s", 0.0))
                    raise result
                return result

        view = RelayView(2.0)
        follower = MembersFollower(
            FailingStore(), WIRE, view, clock, Random(1), Metrics()
        )
        follower.receives_pushes = lambda: pushed and clock.now() < 100.1
        async with asyncio.timeout(10):
            await follower.start()
            await clock.advance(seconds)
            await follower.stop()
        assert results == []
        return view.members

    async def test_after_one_without_a_reply_an_endpoint_is_dropped_at_once(self):
        assert "i1" not in await self.members_after(NO_REPLY)

    async def test_after_one_at_once_on_a_new_connection_it_is_kept_for_now(self):
        """As at the end of an outage, when pushes have just stopped."""
        lost = NoReplyError(ErrorKind.STORE_UNAVAILABLE, "no reply", False)
        assert "i1" in await self.members_after(lost, pushed=True)

    async def test_after_two_without_a_reply_it_is_kept_for_now(self):
        assert "i1" in await self.members_after(NO_REPLY, NO_REPLY)

    async def test_after_a_long_last_failure_it_is_dropped_before_the_drain_time(self):
        """The store may have been back since that call began."""

        class SlowlyFailing(EbonydealError):
            lasts_s = 4.0

        refused = EbonydealError(ErrorKind.STORE_UNAVAILABLE, "503")
        slow = SlowlyFailing(ErrorKind.STORE_UNAVAILABLE, "no reply")
        # Entries should be back after 1.9 s, the drain time is 2 s.
        assert "i1" not in await self.members_after(refused, slow, seconds=6.0)

    async def test_after_a_refusal_it_is_kept_for_now(self):
        refused = EbonydealError(ErrorKind.STORE_UNAVAILABLE, "503")
        assert "i1" in await self.members_after(refused)


class TestLateRead:
    async def test_a_change_read_late_permits_no_last_requests(self):
        clock, view = ManualClock(100.0), RelayView(2.0)
        follower = MembersFollower(
            None, PlatformWire(), view, clock, Random(1), Metrics()
        )
        await follower.apply_snapshot([entry("i1", 1), entry("i2", 2)], 2, False)
        leaving = entry("i1", 3, state="draining")
        await follower.apply_changes((leaving,), 3, False, late=True)
        leaving = entry("i2", 4, state="draining")
        await follower.apply_changes((leaving,), 4, False)
        last = [m.endpoint_id for m, _left in view.recently_leaving("s", 100.0)]
        assert last == ["i2"]


class TestDeadConnection:
    async def run_follower(self, seconds, pushed=lambda _now: False):
        clock = ManualClock(100.0)
        store = DeadConnectionStore(clock)
        view = RelayView(2.0)
        follower = MembersFollower(store, WIRE, view, clock, Random(1), Metrics())
        follower.receives_pushes = lambda: pushed(clock.now() - 100.0)
        async with asyncio.timeout(10):
            await follower.start()
            await clock.advance(seconds)
            await follower.stop()
        return store.waits, follower

    async def test_is_noticed_soon_after_the_end_of_the_poll(self):
        waits, follower = await self.run_follower(2.0 + 2.0 + 0.5 + 0.25)
        # The third poll only asks whether the store answers.
        assert waits[:3] == [2.0, 2.0, 0.0]
        assert follower.failing_since is None

    async def test_is_noticed_at_once_when_pushes_end(self):
        waits, _follower = await self.run_follower(
            4.0, pushed=lambda elapsed: 1.0 < elapsed < 3.0
        )
        assert waits[:3] == [2.0, 0.0, 0.0]


class TestConfigurationPolls:
    async def test_without_replies_of_a_coordinator_a_long_poll_is_replaced(self):
        clock = ManualClock(100.0)
        waits = []

        class SilentStore:
            async def rows(self, _table):
                return [], 5

            async def changes(self, _table, _after, wait, _reply_timeout):
                waits.append(wait)
                await clock.sleep(wait)
                return RowChanges((), 5)

        follower = ConfigTableFollower(
            SilentStore(), PlatformWire(), RelayView(2.0), clock, Random(1), Metrics()
        )
        follower.hears_version = lambda: clock.now() < 110.0
        async with asyncio.timeout(10):
            await follower.start()
            await clock.advance(9.9)
            assert waits == [28.0]
            await clock.advance(1.1)
            await follower.stop()
        assert waits == [28.0, 0.0, 2.0]


class TestConfirmedAge:
    """How long ago a relay was last known to have the newest configuration."""

    def setup_method(self):
        self.clock, self.metrics = ManualClock(100.0), Metrics()
        self.follower = ConfigTableFollower(
            None, PlatformWire(), RelayView(2.0), self.clock, Random(1), self.metrics
        )

    async def test_counts_from_the_latest_confirmation(self):
        assert self.follower.confirmed_age is None
        self.follower.confirm(98.0)
        self.follower.confirm(97.0)
        await self.clock.advance(1.0)
        assert self.follower.confirmed_age == 3.0

    async def test_is_recorded_at_each_confirmation(self):
        for at in (98.0, 99.0, 103.0):
            self.follower.confirm(at)
        longest = self.metrics.quantile(Timing.CONFIG_AGE, 100.0)
        assert round(longest, 1) == 4.0

    async def test_pushes_confirm_the_list_but_not_the_configuration(self):
        members = MembersFollower(
            None, WIRE, RelayView(2.0), self.clock, Random(1), self.metrics
        )
        for follower in (members, self.follower):
            follower.note_pushed()
        assert members.confirmed_age == 0.0
        assert self.follower.confirmed_age is None


def entry(key, version, **fields):
    document = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "z",
        "max_slots": 8,
        "state": "ready",
        **fields,
    }
    return SharedRow(key, json.dumps(document).encode(), version)


class TestUnreadable:
    """An entry that can't be decoded must not affect other endpoints."""

    def setup_method(self):
        self.view = RelayView(2.0)
        self.metrics = Metrics()
        wire, clock = PlatformWire(), ManualClock(100.0)
        self.follower = MembersFollower(
            None, wire, self.view, clock, Random(1), self.metrics
        )

    def ready(self):
        return sorted(m.endpoint_id for m in self.view.of_service("s"))

    async def test_its_known_endpoint_gets_no_new_work_until_it_is_readable(self):
        await self.follower.apply_snapshot([entry("i1", 1), entry("i2", 2)], 2, False)
        await self.follower.apply_changes((entry("i1", 3, state="odd"),), 3, False)
        assert self.ready() == ["i2"]
        await self.follower.apply_changes((entry("i1", 4),), 4, False)
        assert self.ready() == ["i1", "i2"]
        assert self.metrics.events()[Event.ENTRIES_UNREADABLE] == 1

    async def test_in_a_whole_list_its_endpoint_is_kept_without_new_work(self):
        await self.follower.apply_snapshot([entry("i1", 1), entry("i2", 2)], 2, False)
        rows = [entry("i1", 3, max_slots=1e999), entry("i2", 2)]
        await self.follower.apply_snapshot(rows, 3, False)
        assert self.ready() == ["i2"]
        assert "i1" in self.view.members

    async def test_one_of_an_unknown_endpoint_is_ignored(self):
        rows = [entry("i1", 1), SharedRow("x", b"\xff\x00", 2), entry("i3", 3)]
        await self.follower.apply_snapshot(rows, 3, False)
        assert self.ready() == ["i1", "i3"]
