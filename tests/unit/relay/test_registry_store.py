"""The names of relays with shares, as a holder of the lease finds and keeps them."""

import pytest

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.relay.limits.granter import Granter
from ebonydeal._internal.relay.limits.registry_store import (
    SHARES_TABLE,
    RegistryStore,
)
from ebonydeal._internal.routing.duties.duty_lease import DutyLease, LeaseRow
from ebonydeal._internal.routing.limits.quota_bounds import QuotaBounds
from ebonydeal._internal.routing.limits.share_registry import (
    NO_NAMES,
    SHARE_KEPT_S,
    RegistryRow,
)
from tests.lib.clock import ManualClock
from tests.lib.limits_cluster import limited
from tests.lib.relay_fakes import MemoryStore

AB = RegistryRow(2, frozenset("ab"))


class Holder:
    def __init__(self, fence=4):
        self.clock, self.store = ManualClock(100.0), MemoryStore()
        self.lease = DutyLease("a", "i", "a:1", 3.0)
        self.lease.wrote(LeaseRow("a", "i", "a:1", fence), 1)
        self.granter = Granter(
            self.lease, lambda: True, self.clock, QuotaBounds(4.0, 0.1, 0.0)
        )
        self.alive = {"a", "b"}
        self.rows = RegistryStore(
            self.store, self.granter, self.lease, self.clock, lambda: self.alive
        )

    async def write(self):
        """Write what has changed; return the row then."""
        changes = self.rows.changes()
        if changes:
            await self.store.transact(changes)
            self.rows.wrote()
        return self.granter.registry.row

    async def pass_time(self, seconds):
        await self.clock.advance(seconds)
        for name in self.alive & self.granter.registry.row.names:
            self.granter.registry.heard(name, self.clock.now())


@pytest.fixture
def holder():
    return Holder()


class TestFound:
    async def test_nothing_is_written_before_it_was_read(self, holder):
        assert holder.rows.changes() == []
        assert not holder.rows.loaded
        await holder.rows.read()
        assert holder.rows.loaded

    async def test_it_is_read_again_under_another_fencing_number(self, holder):
        await holder.rows.read()
        holder.lease.wrote(LeaseRow("a", "i", "a:1", 9), 2)
        assert not holder.rows.loaded
        assert holder.rows.changes() == []

    @pytest.mark.parametrize(
        "value",
        [b"{", b"[]", b'{"shares": 2}', b"null", b'{"names": [], "shares": 1e999}'],
    )
    async def test_what_can_t_be_read_names_nobody(self, holder, value):
        await holder.store.put(SHARES_TABLE, "names", value)
        await holder.rows.read()
        assert holder.granter.registry.row == NO_NAMES

    async def test_what_one_wrote_the_next_reads(self, holder):
        await holder.store.put(SHARES_TABLE, "names", AB.encode())
        await holder.rows.read()
        assert holder.granter.registry.row == AB


class TestNames:
    async def test_the_first_are_written_when_no_other_came_for_a_while(self, holder):
        await holder.rows.read()
        assert await holder.write() == NO_NAMES
        await holder.clock.advance(2.0)
        holder.alive = {"a", "b", "c"}
        assert await holder.write() == NO_NAMES
        await holder.clock.advance(3.1)
        assert await holder.write() == RegistryRow(3, frozenset("abc"))
        assert holder.granter.registry.weight("a") == pytest.approx(1 / 3)

    async def test_a_new_one_waits_until_larger_shares_are_over(self, holder):
        await holder.store.put(SHARES_TABLE, "names", AB.encode())
        await holder.rows.read()
        holder.alive = {"a", "b", "c"}
        assert await holder.write() == RegistryRow(3, AB.names)
        assert holder.granter.registry.weight("c") == 0.0
        await holder.pass_time(SHARE_KEPT_S - 1.0)
        assert (await holder.write()).names == AB.names
        await holder.pass_time(1.1)
        assert await holder.write() == RegistryRow(3, frozenset("abc"))

    async def test_one_that_is_silent_goes_when_its_share_is_over(self, holder):
        await holder.store.put(SHARES_TABLE, "names", AB.encode())
        await holder.rows.read()
        holder.alive = {"a"}
        await holder.pass_time(1.0)
        await holder.pass_time(SHARE_KEPT_S - 1.0)
        assert (await holder.write()).names == AB.names
        await holder.pass_time(1.1)
        assert await holder.write() == RegistryRow(1, frozenset("a"))

    async def test_nobody_goes_while_none_of_them_was_heard(self, holder):
        await holder.store.put(SHARES_TABLE, "names", AB.encode())
        await holder.rows.read()
        holder.alive = {"new"}
        await holder.pass_time(SHARE_KEPT_S * 3)
        assert (await holder.write()).names >= AB.names
        assert holder.granter.share(holder.clock.now()) == 0.0


class TestStartup:
    """Both relays had shares under the holder before: this one has none yet."""

    @pytest.fixture
    async def starting(self, holder):
        await holder.store.put(SHARES_TABLE, "names", AB.encode())
        return holder

    def grants(self, holder):
        try:
            return holder.granter.grant(limited(60.0), 1.0).amount >= 1.0
        except EbonydealError:
            return False

    async def test_is_granted_once_it_lies_in_the_store(self, starting):
        await starting.rows.read()
        assert not self.grants(starting)
        await starting.write()
        assert self.grants(starting)

    async def test_that_a_renewal_under_way_lacks_waits_for_the_next(self, starting):
        await starting.rows.read()
        starting.granter.startup.wanted = False
        starting.rows.changes()
        starting.granter.startup.wanted = True
        starting.rows.wrote()
        assert not self.grants(starting)
        await starting.write()
        assert self.grants(starting)

    @pytest.mark.parametrize("value", [b"{", b"5", b'["x"]', b"null"])
    async def test_of_times_that_cant_be_read_is_none(self, starting, value):
        await starting.store.put(SHARES_TABLE, "startup", value)
        await starting.rows.read()
        await starting.write()
        assert not self.grants(starting)
