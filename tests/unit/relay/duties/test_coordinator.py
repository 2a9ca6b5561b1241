"""What a new coordinator grants while some relays never asked it."""

from random import Random
from types import SimpleNamespace

import pytest

from ebonydeal._internal.relay.duties.coordinator import Coordinator, CoordinatorParts
from ebonydeal._internal.relay.peers.exchange import Exchange, ExchangeParts
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.routing.duties.duty_lease import DutyLease, LeaseRow
from ebonydeal._internal.routing.duties.usage_ledger import UsageLedger
from ebonydeal._internal.routing.limits.quota_broker import QuotaBounds
from tests.lib.clock import ManualClock
from tests.lib.relay_fakes import word


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
    coordinator.relays_before = lambda: 9
    coordinator._begin()
    return coordinator


class TestCount:
    def test_a_relay_that_heard_of_nobody_takes_a_small_part(self):
        exchange = self.starting(None)
        assert exchange.relay_count >= 9
        assert not exchange.counted

    def test_one_that_starts_takes_its_part_of_as_many_as_there_were(self):
        exchange = self.starting(LeaseRow("n1", "i", "n1:1", 4, 195))
        assert exchange.relay_count == 195
        assert exchange.relays_before == 195

    def test_the_holder_writes_how_many_there_are(self, taken_over):
        for node in range(6):
            taken_over.exchange(word(f"n{node}"))
        # Three more were told of by the one before, and may still serve.
        assert taken_over.lease.relays == 9

    def starting(self, row):
        """Return the exchange of a relay that has read the lease and heard nobody."""
        coordinator = SimpleNamespace(lease=SimpleNamespace(row=row))
        parts = ExchangeParts(
            coordinator, None, ManualClock(100.0), Random(1), dict, print
        )
        return Exchange(parts, ("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"))


class TestPart:
    def test_relays_that_went_with_the_last_coordinator_keep_theirs(self, taken_over):
        for node in range(6):
            taken_over.exchange(word(f"n{node}"))
        assert taken_over._broker.part == pytest.approx(6 / 9)

    async def test_until_they_can_no_longer_serve(self, taken_over):
        await taken_over._parts.clock.advance(16.0)
        for node in range(6):
            taken_over.exchange(word(f"n{node}"))
        assert taken_over._broker.part == 1.0

    def test_all_that_ask_share_the_whole(self, taken_over):
        for node in range(9):
            taken_over.exchange(word(f"n{node}"))
        assert taken_over._broker.part == 1.0
