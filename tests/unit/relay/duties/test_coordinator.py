"""What a new coordinator grants while some relays never asked it."""

from random import Random
from types import SimpleNamespace

import pytest

from ebonydeal._internal.relay.duties.coordinator import Coordinator, CoordinatorParts
from ebonydeal._internal.relay.peers.exchange import Exchange, ExchangeParts
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.routing.duties.duty_lease import DutyLease, LeaseRow
from ebonydeal._internal.routing.duties.usage_ledger import UsageLedger
from ebonydeal._internal.routing.limits.quota_bounds import QuotaBounds
from ebonydeal._internal.routing.limits.share_registry import (
    SHARE_KEPT_S,
    RegistryRow,
)
from tests.lib.clock import ManualClock
from tests.lib.relay_fakes import relay_report


@pytest.fixture
def taken_over():
    """A coordinator that has just taken over, one of nine relays."""
    parts = CoordinatorParts(
        SimpleNamespace(),
        SimpleNamespace(),
        RelayView(2.0),
        ManualClock(100.0),
        Random(1),
    )
    coordinator = Coordinator(
        parts,
        DutyLease("n0", "i", "n0:1", 3.0),
        UsageLedger(5.0, 10.0),
        QuotaBounds(8.0, 0.1, 110_000.0),
        True,
    )
    coordinator.previous_relay_count = lambda: 9
    coordinator._begin()
    return coordinator


class TestCount:
    def test_a_relay_that_heard_of_nobody_takes_a_small_part(self):
        exchange = self.starting(None)
        assert exchange.relay_count >= 9
        assert not exchange.count_known

    def test_one_that_starts_takes_its_part_of_as_many_as_there_were(self):
        exchange = self.starting(LeaseRow("n1", "i", "n1:1", 4, 195))
        assert exchange.relay_count == 195
        assert exchange.previous_relay_count == 195

    def test_the_holder_writes_how_many_there_are(self, taken_over):
        for node in range(6):
            taken_over.exchange(relay_report(f"n{node}"))
        # Three more were told of by the one before, and may still serve.
        assert taken_over.lease.relays == 9

    def starting(self, row):
        """Return the exchange of a relay that has read the lease and heard nobody."""
        coordinator = SimpleNamespace(lease=SimpleNamespace(row=row))
        parts = ExchangeParts(
            coordinator, None, ManualClock(100.0), Random(1), dict, print
        )
        return Exchange(parts, ("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"))


NAMES = frozenset(f"n{number}" for number in range(9))


class TestPart:
    """Nine relays had shares under the coordinator before."""

    @pytest.fixture
    def holder(self, taken_over):
        lease, granter = taken_over.lease, taken_over.granter
        lease.saw(LeaseRow("n8", "i", "n8:1", 4, 9), 1, 100.0)
        lease.wrote(LeaseRow("n0", "i", "n0:1", 5), 2)
        taken_over._keeper.lease._until = 1e9
        granter.registry.load(RegistryRow(9, NAMES), 100.0)
        granter.begin()
        return taken_over

    def tell(self, holder, count):
        """Let relays delegate their shares: the second word is on the first answer."""
        for node in [f"n{number}" for number in range(count)]:
            reply = holder.exchange(self.word(node))["limits"]
            promised = {key: reply[key] for key in ("granter", "until", "seconds")}
            holder.exchange(self.word(node, free=False, **promised))

    def word(self, node, **limits):
        told = relay_report(node)
        return {**told, "limits": {**told["limits"], "weight": 1 / 9, **limits}}

    def share(self, holder):
        return holder.granter.share(holder._parts.clock.now())

    def test_relays_that_went_with_the_last_coordinator_keep_theirs(self, holder):
        self.tell(holder, 6)
        assert self.share(holder) == pytest.approx(6 / 9)

    def test_one_counts_when_it_has_promised(self, holder):
        holder.exchange(self.word("n1"))
        assert self.share(holder) == 0.0

    async def test_until_their_shares_are_over(self, holder):
        self.tell(holder, 6)
        await holder._parts.clock.advance(SHARE_KEPT_S - 0.1)
        self.tell(holder, 6)
        assert self.share(holder) == pytest.approx(6 / 9)
        await holder._parts.clock.advance(0.2)
        assert self.share(holder) == 1.0

    def test_all_that_delegate_make_the_whole(self, holder):
        self.tell(holder, 9)
        assert self.share(holder) == pytest.approx(1.0)

    def test_who_holds_no_lease_takes_no_shares(self, taken_over):
        assert taken_over.exchange(relay_report("n1"))["limits"] is None

    def test_a_relay_of_the_release_before_is_heard_without(self, holder):
        told = relay_report("n1")
        del told["limits"]
        reply = holder.exchange(told)
        assert reply["limits"] is None
        assert reply["grants"] == {}
