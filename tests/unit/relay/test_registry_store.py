"""How a lease holder reads and writes the names of the relays with shares."""

import pytest

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.relay.limits.granter import Granter
from ebonydeal._internal.relay.limits.registry_store import (
    SHARES_TABLE,
    RegistryStore,
)
from ebonydeal._internal.routing.duties.coordinator_lease import (
    CoordinatorLease,
    LeaseRow,
)
from ebonydeal._internal.routing.limits.quota_bounds import QuotaBounds
from ebonydeal._internal.routing.limits.share_registry import (
    EMPTY_ROW,
    SHARE_TTL_S,
    RegistryRow,
)
from tests.lib.clock import ManualClock
from tests.lib.limits_cluster import limited_account
from tests.lib.relay_fakes import MemoryStore

AB = RegistryRow(2, frozenset("ab"))


class LeaseHolder:
    def __init__(self, fence=4):
        self.clock, self.store = ManualClock(100.0), MemoryStore()
        self.lease = CoordinatorLease("a", "i", "a:1", 3.0)
        self.lease.on_written(LeaseRow("a", "i", "a:1", fence), 1)
        self.granter = Granter(
            self.lease, lambda: True, self.clock, QuotaBounds(4.0, 0.1, 0.0)
        )
        self.alive = {"a", "b"}
        self.registry_store = RegistryStore(
            self.store, self.granter, self.lease, self.clock, lambda: self.alive
        )

    async def write(self):
        """Write pending changes; return the registry's row after that."""
        changes = self.registry_store.changes()
        if changes:
            await self.store.transact(changes)
            self.registry_store.wrote()
        return self.granter.registry.row

    async def advance(self, seconds):
        await self.clock.advance(seconds)
        for name in self.alive & self.granter.registry.row.names:
            self.granter.registry.record_delegation(name, self.clock.now())


@pytest.fixture
def holder():
    return LeaseHolder()


class TestRead:
    async def test_nothing_is_written_before_the_rows_were_read(self, holder):
        assert holder.registry_store.changes() == []
        assert not holder.registry_store.loaded
        await holder.registry_store.read()
        assert holder.registry_store.loaded

    async def test_rows_are_read_again_under_another_fencing_token(self, holder):
        await holder.registry_store.read()
        holder.lease.on_written(LeaseRow("a", "i", "a:1", 9), 2)
        assert not holder.registry_store.loaded
        assert holder.registry_store.changes() == []

    @pytest.mark.parametrize(
        "value",
        [b"{", b"[]", b'{"shares": 2}', b"null", b'{"names": [], "shares": 1e999}'],
    )
    async def test_unreadable_row_counts_as_empty(self, holder, value):
        await holder.store.put(SHARES_TABLE, "names", value)
        await holder.registry_store.read()
        assert holder.granter.registry.row == EMPTY_ROW

    async def test_written_row_is_read_by_the_next_holder(self, holder):
        await holder.store.put(SHARES_TABLE, "names", AB.encode())
        await holder.registry_store.read()
        assert holder.granter.registry.row == AB


class TestNames:
    async def test_first_names_are_written_once_no_relay_is_added(self, holder):
        await holder.registry_store.read()
        assert await holder.write() == EMPTY_ROW
        await holder.clock.advance(2.0)
        holder.alive = {"a", "b", "c"}
        assert await holder.write() == EMPTY_ROW
        await holder.clock.advance(3.1)
        assert await holder.write() == RegistryRow(3, frozenset("abc"))
        assert holder.granter.registry.weight("a") == pytest.approx(1 / 3)

    async def test_new_name_waits_until_larger_shares_have_expired(self, holder):
        await holder.store.put(SHARES_TABLE, "names", AB.encode())
        await holder.registry_store.read()
        holder.alive = {"a", "b", "c"}
        assert await holder.write() == RegistryRow(3, AB.names)
        assert holder.granter.registry.weight("c") == 0.0
        await holder.advance(SHARE_TTL_S - 1.0)
        assert (await holder.write()).names == AB.names
        await holder.advance(1.1)
        assert await holder.write() == RegistryRow(3, frozenset("abc"))

    async def test_silent_relay_is_removed_when_its_share_has_expired(self, holder):
        await holder.store.put(SHARES_TABLE, "names", AB.encode())
        await holder.registry_store.read()
        holder.alive = {"a"}
        await holder.advance(1.0)
        await holder.advance(SHARE_TTL_S - 1.0)
        assert (await holder.write()).names == AB.names
        await holder.advance(1.1)
        assert await holder.write() == RegistryRow(1, frozenset("a"))

    async def test_no_name_is_removed_before_any_delegated_its_share(self, holder):
        await holder.store.put(SHARES_TABLE, "names", AB.encode())
        await holder.registry_store.read()
        holder.alive = {"new"}
        await holder.advance(SHARE_TTL_S * 3)
        assert (await holder.write()).names >= AB.names
        assert holder.granter.share(holder.clock.now()) == 0.0


class TestStartup:
    """Both relays had shares under the previous holder; the new one has none yet."""

    @pytest.fixture
    async def new_holder(self, holder):
        await holder.store.put(SHARES_TABLE, "names", AB.encode())
        return holder

    def grants(self, holder):
        try:
            return holder.granter.grant(limited_account(60.0), 1.0).amount >= 1.0
        except EbonydealError:
            return False

    async def test_grant_starts_only_after_it_is_stored(self, new_holder):
        await new_holder.registry_store.read()
        assert not self.grants(new_holder)
        await new_holder.write()
        assert self.grants(new_holder)

    async def test_grant_missing_in_a_renewal_waits_for_the_next(self, new_holder):
        await new_holder.registry_store.read()
        new_holder.granter.startup.is_requested = False
        new_holder.registry_store.changes()
        new_holder.granter.startup.is_requested = True
        new_holder.registry_store.wrote()
        assert not self.grants(new_holder)
        await new_holder.write()
        assert self.grants(new_holder)

    @pytest.mark.parametrize("value", [b"{", b"5", b'["x"]', b"null"])
    async def test_unreadable_times_allow_no_grant(self, new_holder, value):
        await new_holder.store.put(SHARES_TABLE, "startup", value)
        await new_holder.registry_store.read()
        await new_holder.write()
        assert not self.grants(new_holder)
