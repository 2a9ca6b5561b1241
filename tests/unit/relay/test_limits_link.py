"""Whom a relay asks for amounts, and when it takes its share back."""

import pytest

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.relay.limits.granter import Granter
from ebonydeal._internal.relay.limits.link import LimitsLink, Place
from ebonydeal._internal.relay.limits.messages import RELEASE
from ebonydeal._internal.relay.peers.messages import GRANT
from ebonydeal._internal.routing.duties.duty_lease import DutyLease
from ebonydeal._internal.routing.limits.quota_bounds import QuotaBounds
from tests.lib.clock import ManualClock
from tests.lib.limits_cluster import limited

ACCOUNT = limited(60.0)
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
    """Return a holder's answer."""
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
        lease = DutyLease("n1", "i1", "n1:1", 3.0)
        self.granter = Granter(
            lease, lambda: False, self.clock, QuotaBounds(4.0, 0.1, 0.0)
        )
        self.granter.accounts = lambda: (ACCOUNT,)
        self.peers, self.metrics = Peers(), Metrics()
        self.link = LimitsLink(
            self.granter, self.peers, self.clock, "n1", "i1", self.metrics, Place()
        )
        self.link.address = lambda: "n1:1"
        self.link.coordinator = self.coordinator = Coordinator()

    def paths(self):
        return [(address, path) for address, path, _message in self.peers.calls]


@pytest.fixture
def relay():
    """A relay that has just heard the coordinator."""
    relay = Relay()
    relay.link.heard(reply(), 100.0)
    return relay


class TestAsked:
    async def test_the_coordinator_first(self, relay):
        relay.coordinator.replies = [amount(1.0)]
        assert (await relay.link.grant(ACCOUNT, 1.0)).amount == 1.0
        assert relay.peers.calls == []

    async def test_the_stand_in_where_it_gives_no_answer(self, relay):
        relay.coordinator.replies = [NO_ANSWER]
        relay.peers.replies[GRANT] = amount(1.0)
        assert (await relay.link.grant(ACCOUNT, 1.0)).amount == 1.0
        assert relay.paths() == [("n2:1", GRANT)]

    async def test_not_again_for_a_while(self, relay):
        relay.coordinator.replies = [NO_ANSWER]
        relay.peers.replies[GRANT] = amount(1.0)
        await relay.link.grant(ACCOUNT, 1.0)
        await relay.link.grant(ACCOUNT, 1.0)
        assert len(relay.coordinator.asked) == 1

    async def test_the_next_stand_in_where_the_first_is_gone(self, relay):
        relay.coordinator.replies = [NO_ANSWER]
        with pytest.raises(EbonydealError):
            await relay.link.grant(ACCOUNT, 1.0)
        relay.peers.replies[GRANT] = amount(1.0)
        assert (await relay.link.grant(ACCOUNT, 1.0)).amount == 1.0
        assert relay.paths() == [("n2:1", GRANT), ("n3:1", GRANT)]

    async def test_nobody_is_told_so_with_the_time_that_a_share_comes_back(self, relay):
        relay.coordinator.replies = [NO_ANSWER]
        with pytest.raises(EbonydealError) as caught:
            await relay.link.grant(ACCOUNT, 1.0)
        assert caught.value.kind is ErrorKind.LIMIT_UNAVAILABLE
        assert caught.value.retry_after == pytest.approx(1.4)

    async def test_a_part_of_the_burst_that_the_stand_in_has(self, relay):
        relay.coordinator.replies = [amount(0.0, 0.5, 4.0), amount(6.0)]
        relay.peers.replies[GRANT] = amount(4.0)
        assert (await relay.link.grant(ACCOUNT, 10.0)).amount == 10.0
        assert relay.coordinator.asked == [10.0, 6.0]
        assert relay.peers.calls[0][2]["spare"]
        assert relay.link.balances.left("acme", 100.0) == 0.0

    async def test_what_it_spared_is_kept_where_the_rest_is_refused(self, relay):
        relay.coordinator.replies = [amount(0.0, 0.5, 4.0), amount(0.0, 0.5, 1.0)]
        relay.peers.replies[GRANT] = amount(4.0)
        assert (await relay.link.grant(ACCOUNT, 10.0)).wait == 0.5
        assert relay.link.balances.left("acme", 100.0) == 4.0

    async def test_one_that_has_nothing_to_spare_not_for_each_request(self, relay):
        relay.coordinator.replies = [amount(0.0, 0.5, 4.0)] * 3
        relay.peers.replies[GRANT] = amount(0.0, 1.0)
        for _ in range(3):
            await relay.link.grant(ACCOUNT, 10.0)
        assert len(relay.peers.calls) == 1


class TestReleaseBefore:
    async def test_its_coordinator_grants_without_shares(self):
        relay = Relay()
        relay.link.heard_before_shares({"acme": 2.0}, 100.0)
        assert relay.link.balances.left("acme", 100.0) == 2.0
        relay.coordinator.replies = [{"amount": 1.0, "wait": 0.0}]
        assert (await relay.link.grant(ACCOUNT, 1.0)).amount == 1.0
        assert relay.link.word()["granter"] == ""


class TestOwnShare:
    async def test_is_used_when_the_promise_is_over(self, relay):
        relay.coordinator.replies = [NO_ANSWER]
        await relay.clock.advance(1.5)
        relay.granter.refresh()
        await relay.clock.advance(4.0)
        relay.granter.refresh()
        assert relay.granter.share(relay.clock.now()) == 0.25
        assert (await relay.link.grant(ACCOUNT, 1.0)).amount == 1.0

    def test_is_over_some_time_after_the_last_word(self, relay):
        assert relay.granter.share(129.9) == 0.25
        assert relay.granter.share(130.1) == 0.0


class TestTakenBack:
    async def test_when_another_holder_is_found(self, relay):
        relay.coordinator.coordinator_address = "n5:1"
        relay.peers.replies[RELEASE] = {"along": {"acme": 3.0}}
        relay.link.heard(reply("i5"), 100.2)
        assert relay.granter.own.promised(100.2).granter == "i0"
        await relay.link._take_back()
        assert relay.paths() == [("n0:1", RELEASE)]
        relay.link.heard(reply("i5"), 100.3)
        word = relay.link.word()
        assert (word["granter"], word["along"]) == ("i5", {"acme": 3.0})
        # The new one was told its own word, and what came along.
        relay.link.heard(reply("i5"), 100.4)
        assert relay.link.word()["along"] == {}

    async def test_what_came_along_goes_to_one_granter(self, relay):
        relay.coordinator.coordinator_address = "n5:1"
        relay.peers.replies[RELEASE] = {"along": {"acme": 3.0}}
        relay.link.heard(reply("i5"), 100.2)
        await relay.link._take_back()
        assert relay.link.word()["along"] == {}
        relay.link.heard(reply("i5"), 100.3)
        assert relay.link.word()["along"] == {"acme": 3.0}
        # Its answer is lost, and another one is found.
        await relay.clock.advance(2.0)
        relay.link.heard(reply("i6"), 102.0)
        assert relay.link.word()["along"] == {}

    async def test_not_before_its_time_where_who_has_it_gives_no_answer(self, relay):
        relay.coordinator.coordinator_address = "n5:1"
        relay.link.heard(reply("i5"), 100.2)
        await relay.link._take_back()
        relay.link.heard(reply("i5"), 100.4)
        assert relay.link.word()["granter"] == "i0"
        await relay.clock.advance(1.5)
        relay.link.heard(reply("i5"), 101.4)
        assert relay.link.word()["granter"] == "i5"
