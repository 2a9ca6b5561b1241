"""Changes are read in time after the store was silent for longer than calls wait.

A relay that still waits for a call that was lost before the store's return, or pauses
for long after it, uses an old configuration or an old list of endpoints meanwhile.
"""

import asyncio
import json
from random import Random

import pytest

from ebonydeal._internal.errors import ErrorKind, NoReplyError
from ebonydeal._internal.models.shared import RowChanges, SharedRow
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.platform.wire import PlatformWire
from ebonydeal._internal.relay.view.config_follower import ConfigTableFollower
from ebonydeal._internal.relay.view.members_follower import MembersFollower
from ebonydeal._internal.relay.view.view import RelayView
from tests.lib.clock import ManualClock
from tests.lib.relay_fakes import document

# The users' bound: the time after the store's return after which a relay counts as in
# touch again.
CONTACT_S = 3.0
SILENT_FROM = 101.0
ENDPOINT = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "max_slots": 8,
    "state": "ready",
}


class SilentStore:
    """Gives no reply to calls from `SILENT_FROM` to ``back_at``; changes at its return.

    Calls take ``delay`` seconds otherwise.
    """

    def __init__(self, clock, back_at, delay=0.0):
        self._clock = clock
        self._back_at = back_at
        self._delay = delay
        self.read_at = None

    def _changed(self, table):
        if table == "op":
            return SharedRow("config", document(2), 9)
        return SharedRow("i1", json.dumps(ENDPOINT).encode(), 9)

    async def rows(self, _table):
        return [], 5

    async def changes(self, table, after, wait, reply_timeout):
        began_at = self._clock.now()
        answered_at = began_at + wait + self._delay
        is_lost = began_at < self._back_at and answered_at > SILENT_FROM
        if is_lost or self._delay > reply_timeout:
            await self._clock.sleep(wait + reply_timeout)
            raise NoReplyError(ErrorKind.STORE_UNAVAILABLE, "no reply", False)
        if began_at < self._back_at or after >= 9:
            await self._clock.sleep(wait + self._delay)
            return RowChanges((), after)
        await self._clock.sleep(self._delay)
        self.read_at = self.read_at or self._clock.now()
        return RowChanges((self._changed(table),), 9)


async def read_after(kind, silent_s, seed, delay=0.0, seconds=40.0):
    """Return how long after the store's return a change was read; None if never."""
    clock = ManualClock(100.0)
    back_at = SILENT_FROM + silent_s
    store = SilentStore(clock, back_at, delay)
    follower = kind(
        store, PlatformWire(), RelayView(2.0), clock, Random(seed), Metrics()
    )
    # No coordinator is heard while the store is silent for all.
    follower.hears_version = lambda: False
    async with asyncio.timeout(20):
        await follower.start()
        await clock.advance(silent_s + seconds)
        await follower.stop()
    return None if store.read_at is None else store.read_at - back_at


@pytest.mark.parametrize("kind", [ConfigTableFollower, MembersFollower])
class TestReadAfterSilence:
    async def test_of_any_length(self, kind):
        late = {
            (silent_s, seed): await read_after(kind, silent_s, seed)
            for silent_s in (3.0, 5.5, 7.0, 8.5, 10.0, 12.5)
            for seed in range(12)
        }
        assert None not in late.values()
        assert max(late.values()) <= CONTACT_S

    async def test_calls_of_a_store_that_refuses_them_are_not_repeated(self, kind):
        """A second call, with a longer timeout, finds out nothing there."""
        clock, calls = ManualClock(100.0), []

        class RefusingStore:
            async def rows(self, _table):
                return [], 5

            async def changes(self, _table, _after, wait, reply_timeout):
                calls.append((wait, reply_timeout))
                raise NoReplyError(ErrorKind.STORE_UNAVAILABLE, "reset", False)

        follower = kind(
            RefusingStore(), PlatformWire(), RelayView(2.0), clock, Random(1), Metrics()
        )
        async with asyncio.timeout(20):
            await follower.start()
            await clock.advance(10.0)
            await follower.stop()
        assert len(calls) > 5
        assert max(reply_timeout for _wait, reply_timeout in calls) <= 1.0

    async def test_also_from_a_store_that_replies_slowly(self, kind):
        """It takes longer than a poll waits at first, so that must be learned."""
        assert await read_after(kind, 2.0, 1, delay=1.8) is not None
