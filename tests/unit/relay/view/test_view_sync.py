"""A relay gets a configuration that it can't read from relays that have it."""

import asyncio
from base64 import b64encode
from random import Random
from types import SimpleNamespace
from zlib import compress

import pytest

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.platform.wire import PlatformWire
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.relay.view.view_sync import ViewSync
from tests.lib.clock import ManualClock
from tests.lib.relay_fakes import document

OWN, COORDINATOR, OTHER = "n1:1", "n2:1", "n3:1"


class Relays:
    """The other relays: those in ``newer`` have version 2, others don't reply."""

    def __init__(self, newer):
        self._newer = newer
        self.asked = []

    async def call(self, address, _path, message, _timeout):
        self.asked.append(address)
        if address not in self._newer:
            raise EbonydealError(ErrorKind.STORE_IN_DOUBT, "no response")
        if message["config"] >= 2:
            return {}
        return {"config": b64encode(compress(document(2))).decode("ascii")}


class TestNewerConfiguration:
    @pytest.fixture
    def make_sync(self):
        self.clock, self.view = ManualClock(100.0), RelayView(2.0)
        self.view.apply_table(PlatformWire().table(row(1)), document(1), "store")

        def make(relays, is_mine=False, failing_since=None):
            exchange = SimpleNamespace(
                coordinator_address=OWN if is_mine else COORDINATOR,
                lease=SimpleNamespace(is_mine=is_mine),
            )
            suspects = SimpleNamespace(fingerprint="", merge=lambda *_: None)
            return ViewSync(
                exchange,
                lambda: [COORDINATOR, OTHER],
                relays,
                PlatformWire(),
                self.view,
                suspects,
                None,
                (SimpleNamespace(failing_since=failing_since),),
                self.clock,
                Random(1),
            )

        return make

    async def run(self, sync, seconds):
        async with asyncio.timeout(10):
            await sync.start()
            await self.clock.advance(seconds)
            await sync.stop()

    async def test_is_fetched_as_soon_as_it_is_known(self, make_sync):
        relays = Relays({COORDINATOR})
        sync = make_sync(relays)
        sync.request_config(2)
        await self.run(sync, 0.15)
        assert self.view.version == 2
        assert relays.asked == [COORDINATOR]

    async def test_is_not_fetched_if_it_is_read_meanwhile(self, make_sync):
        relays = Relays({COORDINATOR})
        sync = make_sync(relays)
        sync.request_config(2)
        self.view.apply_table(PlatformWire().table(row(2)), document(2), "store")
        await self.run(sync, 1.0)
        assert relays.asked == []

    async def test_is_fetched_from_another_relay_if_the_coordinator_is_lost(
        self, make_sync
    ):
        relays = Relays({OTHER})
        sync = make_sync(relays)
        sync.request_config(2)
        await self.run(sync, 0.15)
        assert self.view.version == 2
        assert relays.asked == [COORDINATOR, OTHER]

    async def test_a_coordinator_without_the_store_asks_others_and_not_itself(
        self, make_sync
    ):
        relays = Relays({COORDINATOR, OTHER})
        sync = make_sync(relays, is_mine=True, failing_since=90.0)
        await self.run(sync, 0.5)
        assert self.view.version == 2
        assert OWN not in relays.asked


def row(version):
    return SimpleNamespace(key="config", value=document(version), version=version)
