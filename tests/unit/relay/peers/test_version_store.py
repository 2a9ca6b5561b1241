"""The versions that services have had outlive all relays."""

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.relay.peers.version_store import VERSIONS_TABLE, VersionStore
from tests.lib.relay_fakes import MemoryStore


class Relay:
    """One relay's part of the row."""

    def __init__(self, store, noted):
        self.store, self.noted, self.restored = store, noted, None
        self.row = VersionStore(store, lambda: self.noted, self._restore)

    def _restore(self, versions):
        self.restored = versions

    async def renew(self):
        changes = self.row.changes()
        if changes:
            await self.store.transact(changes)
            self.row.wrote()
        return len(changes)


class TestVersionStore:
    async def test_versions_are_restored_at_a_relay_that_starts(self):
        store = MemoryStore()
        first = Relay(store, {"s": ["v1", "v2"]})
        await first.row.read()
        await first.renew()
        late = Relay(store, {})
        await late.row.read()
        assert late.restored == {"s": ["v1", "v2"]}

    async def test_nothing_is_restored_without_a_row(self):
        late = Relay(MemoryStore(), {})
        await late.row.read()
        assert late.row.loaded and late.restored is None

    async def test_they_are_written_only_when_they_have_changed(self):
        relay = Relay(MemoryStore(), {"s": ["v1"]})
        await relay.row.read()
        written = [await relay.renew(), await relay.renew()]
        relay.noted = {"s": ["v1", "v2"]}
        written += [await relay.renew(), await relay.renew()]
        assert written == [1, 0, 1, 0]

    async def test_a_write_that_failed_is_made_again(self):
        relay = Relay(MemoryStore(), {"s": ["v1"]})
        await relay.row.read()
        assert relay.row.changes()
        assert relay.row.changes()

    async def test_they_are_written_again_after_a_restore_of_the_store(self):
        relay = Relay(MemoryStore(), {"s": ["v1"]})
        await relay.row.read()
        await relay.renew()
        relay.row.store_restored()
        assert await relay.renew() == 1

    async def test_the_row_is_not_overwritten_before_it_was_read(self):
        store = MemoryStore()
        relay = Relay(store, {"s": ["v2"]})
        await store.go_down()
        try:
            await relay.row.read()
        except EbonydealError:
            pass
        assert relay.row.changes() == []

    async def test_an_unreadable_row_restores_nothing_and_is_replaced(self):
        store = MemoryStore()
        await store.put(VERSIONS_TABLE, "services", b"odd")
        relay = Relay(store, {"s": ["v1"]})
        await relay.row.read()
        assert relay.restored is None
        assert await relay.renew() == 1
