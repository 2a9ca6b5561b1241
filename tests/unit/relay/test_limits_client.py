"""Which granters a relay asks for amounts, and when it gets its share back."""

import pytest

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.relay.limits.client import LimitsClient, RelayPlacement
from ebonydeal._internal.relay.limits.granter import Granter
from ebonydeal._internal.relay.limits.messages import RELEASE
from ebonydeal._internal.relay.peers.messages import GRANT
from ebonydeal._internal.routing.duties.coordinator_lease import CoordinatorLease
from ebonydeal._internal.routing.limits.quota_bounds import QuotaBounds
from tests.lib.clock import ManualClock
from tests.lib.limits_cluster import limited_account

ACCOUNT = limited_account(60.0)
NO_ANSWER = EbonydealError(ErrorKind.CONNECT_FAILED, "gone")


def amount(got, wait=0.0, short=0.0):
    return {"amount": got, "wait": wait, "short": short}


class Coordinator:
    coordinator_address = "n0:1"

    def __init__(self):
        self.replies = []
        self.asked = []
        self.hastened = 0

    async def grant(self, _account, need):
        self.asked.append(need)
        reply = self.replies.pop(0)
        if isinstance(reply, Exception):
            raise reply
        return reply

    def report_now(self):
        self.hastened += 1


class Peers:
    """Other relays' answers, by path."""

    def __init__(self):
        self.replies = {}
        self.calls = []

    async def call(self, address, path, message, _timeout):
        self.calls.append((address, path, message))
        reply = self.replies.get(path, NO_ANSWER)
        if isinstance(reply, Exception):
            raise reply
        return reply


def reply(granter="i0", **more):
    """Return a lease holder's reply."""
    return {
        "granter": granter,
        "until": 101.4,
        "seconds": 1.4,
        "weight": 0.25,
        "kept_s": 30.0,
        "grants": {},
        "stand_ins": ["n2:1", "n3:1"],
        "stand_in": None,
        **more,
    }


class Relay:
    def __init__(self):
        self.clock = ManualClock(100.0)
        lease = CoordinatorLease("n1", "i1", "n1:1", 3.0)
        self.granter = Granter(
            lease, lambda: False, self.clock, QuotaBounds(4.0, 0.1, 0.0)
        )
        self.granter.accounts = lambda: (ACCOUNT,)
        self.peers, self.metrics = Peers(), Metrics()
        self.client = LimitsClient(
            self.granter,
            self.peers,
            self.clock,
            "n1",
            "i1",
            self.metrics,
            RelayPlacement(),
        )
        self.client.address = lambda: "n1:1"
        self.client.coordinator = self.coordinator = Coordinator()

    def paths(self):
        return [(address, path) for address, path, _message in self.peers.calls]


@pytest.fixture
def relay():
    """A relay that has just got a reply from the coordinator."""
    relay = Relay()
    relay.client.on_reply(reply(), 100.0)
    return relay


class TestGrant:
    async def test_coordinator_is_asked_first(self, relay):
        relay.coordinator.replies = [amount(1.0)]
        assert (await relay.client.grant(ACCOUNT, 1.0)).amount == 1.0
        assert relay.peers.calls == []

    async def test_standby_is_asked_if_the_coordinator_does_not_answer(self, relay):
        relay.coordinator.replies = [NO_ANSWER]
        relay.peers.replies[GRANT] = amount(1.0)
        assert (await relay.client.grant(ACCOUNT, 1.0)).amount == 1.0
        assert relay.paths() == [("n2:1", GRANT)]

    async def test_unreachable_coordinator_is_not_asked_for_each_request(self, relay):
        relay.coordinator.replies = [NO_ANSWER]
        relay.peers.replies[GRANT] = amount(1.0)
        await relay.client.grant(ACCOUNT, 1.0)
        await relay.client.grant(ACCOUNT, 1.0)
        assert len(relay.coordinator.asked) == 1

    async def test_second_standby_is_asked_if_the_first_is_gone(self, relay):
        relay.coordinator.replies = [NO_ANSWER]
        with pytest.raises(EbonydealError):
            await relay.client.grant(ACCOUNT, 1.0)
        relay.peers.replies[GRANT] = amount(1.0)
        assert (await relay.client.grant(ACCOUNT, 1.0)).amount == 1.0
        assert relay.paths() == [("n2:1", GRANT), ("n3:1", GRANT)]

    async def test_without_granter_the_error_says_when_the_share_is_free(self, relay):
        relay.coordinator.replies = [NO_ANSWER]
        with pytest.raises(EbonydealError) as caught:
            await relay.client.grant(ACCOUNT, 1.0)
        assert caught.value.kind is ErrorKind.LIMIT_UNAVAILABLE
        assert caught.value.retry_after == pytest.approx(1.4)

    async def test_standby_supplies_what_the_coordinator_lacks(self, relay):
        relay.coordinator.replies = [amount(0.0, 0.5, 4.0), amount(6.0)]
        relay.peers.replies[GRANT] = amount(4.0)
        assert (await relay.client.grant(ACCOUNT, 10.0)).amount == 10.0
        assert relay.coordinator.asked == [10.0, 6.0]
        assert relay.peers.calls[0][2]["spare"]
        assert relay.client.balances.left("acme", 100.0) == 0.0

    async def test_amount_from_the_standby_is_kept_if_the_rest_is_refused(self, relay):
        relay.coordinator.replies = [amount(0.0, 0.5, 4.0), amount(0.0, 0.5, 1.0)]
        relay.peers.replies[GRANT] = amount(4.0)
        assert (await relay.client.grant(ACCOUNT, 10.0)).wait == 0.5
        assert relay.client.balances.left("acme", 100.0) == 4.0

    async def test_standby_without_spare_is_not_asked_for_each_request(self, relay):
        relay.coordinator.replies = [amount(0.0, 0.5, 4.0)] * 3
        relay.peers.replies[GRANT] = amount(0.0, 1.0)
        for _ in range(3):
            await relay.client.grant(ACCOUNT, 10.0)
        assert len(relay.peers.calls) == 1


class TestPreviousRelease:
    async def test_coordinator_without_shares_grants(self):
        relay = Relay()
        relay.client.on_legacy_reply({"acme": 2.0}, 100.0)
        assert relay.client.balances.left("acme", 100.0) == 2.0
        relay.coordinator.replies = [{"amount": 1.0, "wait": 0.0}]
        assert (await relay.client.grant(ACCOUNT, 1.0)).amount == 1.0
        assert relay.client.share_report()["granter"] == ""


class TestOwnShare:
    async def test_is_used_when_the_delegation_has_expired(self, relay):
        relay.coordinator.replies = [NO_ANSWER]
        await relay.clock.advance(1.5)
        relay.granter.refresh()
        await relay.clock.advance(4.0)
        relay.granter.refresh()
        assert relay.granter.share(relay.clock.now()) == 0.25
        assert (await relay.client.grant(ACCOUNT, 1.0)).amount == 1.0

    def test_expires_after_the_last_reply(self, relay):
        assert relay.granter.share(129.9) == 0.25
        assert relay.granter.share(130.1) == 0.0


class TestReclaimShare:
    async def test_when_another_lease_holder_is_found(self, relay):
        relay.coordinator.coordinator_address = "n5:1"
        relay.peers.replies[RELEASE] = {"along": {"acme": 3.0}}
        relay.client.on_reply(reply("i5"), 100.2)
        assert relay.granter.own_share.accepted_offer(100.2).granter == "i0"
        await relay.client._reclaim_share()
        assert relay.paths() == [("n0:1", RELEASE)]
        relay.client.on_reply(reply("i5"), 100.3)
        report = relay.client.share_report()
        assert (report["granter"], report["along"]) == ("i5", {"acme": 3.0})
        # The new holder got its own offer back, and the transferred amounts.
        relay.client.on_reply(reply("i5"), 100.4)
        assert relay.client.share_report()["along"] == {}

    async def test_transferred_amounts_go_to_one_granter_only(self, relay):
        relay.coordinator.coordinator_address = "n5:1"
        relay.peers.replies[RELEASE] = {"along": {"acme": 3.0}}
        relay.client.on_reply(reply("i5"), 100.2)
        await relay.client._reclaim_share()
        assert relay.client.share_report()["along"] == {}
        relay.client.on_reply(reply("i5"), 100.3)
        assert relay.client.share_report()["along"] == {"acme": 3.0}
        # Its reply is lost, and another lease holder is found.
        await relay.clock.advance(2.0)
        relay.client.on_reply(reply("i6"), 102.0)
        assert relay.client.share_report()["along"] == {}

    async def test_waits_for_expiry_if_the_granter_does_not_answer(self, relay):
        relay.coordinator.coordinator_address = "n5:1"
        relay.client.on_reply(reply("i5"), 100.2)
        await relay.client._reclaim_share()
        relay.client.on_reply(reply("i5"), 100.4)
        assert relay.client.share_report()["granter"] == "i0"
        await relay.clock.advance(1.5)
        relay.client.on_reply(reply("i5"), 101.4)
        assert relay.client.share_report()["granter"] == "i5"
