import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ebonydeal._internal.peers.exchange import GossipExchange
from ebonydeal._internal.peers.membership import (
    Member,
    Membership,
    MembershipTimeouts,
    MemberStatus,
)
from ebonydeal._internal.peers.peer_selector import PeerSelector
from ebonydeal._internal.peers.topics import MembersTopic

ALIVE, SUSPECT = MemberStatus.ALIVE, MemberStatus.SUSPECT
LEFT, DEAD = MemberStatus.LEFT, MemberStatus.DEAD
TIMEOUTS = MembershipTimeouts(period=1.0, min_suspicion=5.0, dead_retention=100.0)


def member(name: str, incarnation=1, heartbeat=0, status=ALIVE) -> Member:
    address = f"{name}:9200"
    return Member(name, incarnation, heartbeat, status, address, "r", "z", ("gateway",))


STATES = st.lists(
    st.builds(
        member,
        st.sampled_from("abc"),
        st.integers(1, 3),
        st.integers(0, 2),
        st.sampled_from([ALIVE, SUSPECT, DEAD, LEFT]),
    ),
    max_size=12,
)


def live_states(membership: Membership) -> dict:
    return {m.id: (m.order, m.address) for m in membership.live()}


class TestMerge:
    @given(STATES, st.randoms(use_true_random=False))
    def test_any_order_and_repeats_end_the_same(self, states, rng):
        first = [member(name) for name in "abc"]
        other = states + [rng.choice(states) for _ in states]
        rng.shuffle(other)
        views = []
        for received in (states, other):
            membership = Membership(member("me"), TIMEOUTS)
            for state in first + received:
                membership.merge(state, 0.0)
            views.append((live_states(membership), membership.hashes.root_hash()))
        assert views[0] == views[1]

    def test_restart_of_the_same_id_revives_a_dead_member(self):
        membership = Membership(member("me"), TIMEOUTS)
        membership.merge(member("a", 1), 0.0)
        membership.merge(member("a", 1, 0, DEAD), 0.0)
        assert membership.merge(member("a", 1), 0.0) is False
        assert membership.live() == []
        assert membership.merge(member("a", 2), 0.0) is True
        assert membership.live() == [member("a", 2)]

    def test_death_of_an_unknown_member_is_ignored(self):
        membership = Membership(member("me"), TIMEOUTS)
        assert membership.merge(member("a", 1, 0, DEAD), 0.0) is False
        assert membership.get("a") is None

    def test_wire_shape_round_trips(self):
        state = member("a", 3, 2, SUSPECT)
        assert Member.from_wire(state.to_wire()) == state

    @pytest.mark.parametrize(
        "bad",
        [
            None,
            [],
            ["a"],
            ["", 1, 0, 0, "", "", "", []],
            ["a", 1, 0, 4, "", "", "", []],
            ["a", 1, 0, -1, "", "", "", []],
            ["a", 1, 0, 0, "", "", "", [1]],
            ["a", "1", 0, 0, "", "", "", []],
        ],
    )
    def test_malformed_member_is_rejected(self, bad):
        assert Member.from_wire(bad) is None


class TestSuspicion:
    def test_suspect_is_removed_only_after_the_timeout(self):
        membership = Membership(member("me"), TIMEOUTS)
        membership.merge(member("a"), 0.0)
        assert membership.record_unreachable("a", 1.0) is True
        assert membership.record_unreachable("a", 2.0) is False
        assert membership.tick(1.0 + membership.suspicion_timeout() - 0.01) == []
        assert membership.live() == [member("a", 1, 0, SUSPECT)]
        dead = membership.tick(1.0 + membership.suspicion_timeout())
        assert dead == [member("a", 1, 0, DEAD)]
        assert membership.live() == []

    def test_suspect_refutes_by_a_higher_heartbeat(self):
        me = Membership(member("me"), TIMEOUTS)
        other = Membership(member("a"), TIMEOUTS)
        other.merge(me.own, 0.0)
        other.record_unreachable("me", 0.0)
        assert me.merge(other.get("me"), 0.0) is True
        assert me.own == member("me", 1, 1)
        other.merge(me.own, 0.0)
        assert other.live() == [member("me", 1, 1)]
        assert other.tick(100.0) == []

    def test_own_incarnation_rises_above_a_higher_received_one(self):
        me = Membership(member("me", 5), TIMEOUTS)
        assert me.merge(member("me", 9, 4), 0.0) is True
        assert me.own.order == (10, 0, int(ALIVE))

    def test_leaving_process_does_not_refute(self):
        me = Membership(member("me"), TIMEOUTS)
        me.leave(0.0)
        assert me.merge(member("me", 1, 0, DEAD), 0.0) is False
        assert me.own.status is LEFT

    def test_dead_members_are_forgotten_after_their_retention(self):
        membership = Membership(member("me"), TIMEOUTS)
        membership.merge(member("a"), 0.0)
        membership.merge(member("a", 1, 0, DEAD), 0.0)
        membership.tick(99.9)
        assert membership.dead_members() == [member("a", 1, 0, DEAD)]
        membership.tick(100.0)
        assert membership.get("a") is None

    def test_suspicion_timeout_grows_with_the_group_size(self):
        membership = Membership(member("me"), TIMEOUTS)
        assert membership.suspicion_timeout() == 5.0
        for number in range(350):
            membership.merge(member(f"n{number}"), 0.0)
        assert 16.0 < membership.suspicion_timeout() < 18.0


class TestUpdates:
    def test_change_is_sent_a_bounded_number_of_times(self):
        membership = Membership(member("me"), TIMEOUTS)
        for number in range(30):
            membership.merge(member(f"n{number}"), 0.0)
        sent: list[str] = []
        for _ in range(100):
            batch = membership.updates()
            assert len(batch) <= 8
            sent += [item.id for item in batch]
        assert set(sent) == {"me", *(f"n{n}" for n in range(30))}
        assert max(sent.count(name) for name in set(sent)) == 10


class TestPeerSelector:
    def test_seeds_are_first_and_dead_members_are_tried_again(self):
        membership = Membership(member("me"), TIMEOUTS)
        targets = PeerSelector("10.0.0.1, 10.0.0.2:7", 9200)
        rng = random.Random(1)
        found = {targets.choose(membership, rng).address for _ in range(20)}
        assert found == {"10.0.0.1:9200", "10.0.0.2:7"}
        membership.merge(member("a"), 0.0)
        membership.merge(member("b"), 0.0)
        membership.merge(member("b", 1, 0, DEAD), 0.0)
        found = [targets.choose(membership, rng) for _ in range(400)]
        assert found.count(("a:9200", "a")) == 350
        assert {item.address for item in found if not item.member_id} == {
            "10.0.0.1:9200",
            "10.0.0.2:7",
            "b:9200",
        }

    def test_own_address_is_never_a_target(self):
        membership = Membership(member("me"), TIMEOUTS)
        targets = PeerSelector("me:9200", 9200)
        targets.set_listed([("me", "me")])
        assert targets.choose(membership, random.Random(1)) is None


class RoundClock:
    """Clock that stands still within a round."""

    def __init__(self) -> None:
        self.seconds = 0.0

    def now(self) -> float:
        return self.seconds

    def wall(self) -> float:
        return self.seconds

    async def sleep(self, seconds: float) -> None:
        raise NotImplementedError


class Net:
    """Memberships that run rounds in one process, with losses and partitions."""

    def __init__(self, count: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.clock = RoundClock()
        self.nodes = [Membership(member(f"n{n}"), TIMEOUTS) for n in range(count)]
        self.exchanges = [self.exchange(node) for node in self.nodes]
        self.targets = [PeerSelector("n0:9200", 9200) for _ in self.nodes]
        self.by_address = {node.own.address: i for i, node in enumerate(self.nodes)}
        self.side = [0] * count
        self.loss = 0.0

    def exchange(self, node: Membership) -> GossipExchange:
        exchange = GossipExchange(node)
        exchange.register(MembersTopic(node, self.clock))
        return exchange

    def reachable(self, a: int, b: int) -> bool:
        return self.side[a] == self.side[b] and self.rng.random() >= self.loss

    def round(self, a: int) -> None:
        now = self.clock.now()
        self.nodes[a].tick(now)
        target = self.targets[a].choose(self.nodes[a], self.rng)
        if target is None:
            return
        b = self.by_address[target.address]
        if not self.reachable(a, b):
            self.nodes[a].record_unreachable(target.member_id, now)
            return
        ours, theirs = self.exchanges[a], self.exchanges[b]
        response = theirs.handle_request(ours.build_request(), now)
        push = ours.handle_response(response, target.member_id, now)
        if push is not None:
            ours.apply_payloads(theirs.handle_push(push, now))

    def run(self, seconds: int) -> None:
        for _ in range(seconds):
            for a in range(len(self.nodes)):
                if self.side[a] >= 0:
                    self.round(a)
            self.clock.seconds += 1.0

    def live(self, a: int) -> set[str]:
        return {m.id for m in self.nodes[a].live() if m.status is ALIVE}


class TestConvergence:
    @pytest.mark.parametrize("seed", range(5))
    def test_partition_heals(self, seed):
        net = Net(12, seed)
        net.run(15)
        everyone = {f"n{n}" for n in range(12)}
        assert all(net.live(a) == everyone - {f"n{a}"} for a in range(12))
        net.side = [0] * 7 + [1] * 5
        net.run(60)
        assert net.live(1) == {f"n{n}" for n in range(7)} - {"n1"}
        assert net.live(11) == {f"n{n}" for n in range(7, 12)} - {"n11"}
        net.side = [0] * 12
        net.run(40)
        assert all(net.live(a) == everyone - {f"n{a}"} for a in range(12))

    @pytest.mark.parametrize("seed", range(5))
    def test_dead_node_alone_is_removed_everywhere(self, seed):
        net = Net(12, seed)
        net.loss = 0.1
        net.run(20)
        net.side[4] = -1
        net.run(60)
        net.loss = 0.0
        net.run(20)
        everyone = {f"n{n}" for n in range(12)} - {"n4"}
        for a in set(range(12)) - {4}:
            assert net.live(a) == everyone - {f"n{a}"}
            assert net.nodes[a].get("n4").status is DEAD

    def test_restart_reaches_all(self):
        net = Net(8, 3)
        net.run(15)
        net.nodes[5] = Membership(member("n5", incarnation=2), TIMEOUTS)
        net.exchanges[5] = net.exchange(net.nodes[5])
        net.run(15)
        for a in set(range(8)) - {5}:
            assert net.nodes[a].get("n5") == member("n5", incarnation=2)

    @given(
        st.integers(0, 1000),
        st.lists(
            st.tuples(
                st.lists(st.integers(0, 2), min_size=7, max_size=7),
                st.sampled_from([0.0, 0.1, 0.3]),
                st.integers(1, 40),
            ),
            max_size=3,
        ),
    )
    @settings(max_examples=40)
    def test_any_partitions_and_losses_heal(self, seed, phases):
        net = Net(7, seed)
        for sides, loss, seconds in phases:
            net.side, net.loss = sides, loss
            net.run(seconds)
        net.side, net.loss = [0] * 7, 0.0
        net.run(60)
        everyone = {f"n{n}" for n in range(7)}
        assert [net.live(a) for a in range(7)] == [
            everyone - {f"n{a}"} for a in range(7)
        ]
        assert len({node.hashes.root_hash() for node in net.nodes}) == 1
