"""Simulates many nodes in one process, with the real messages, without sockets."""

import json
import random
from typing import Any

from ebonydeal._internal.benchmarks.event_scheduler import EventScheduler
from ebonydeal._internal.directory.marks import MarkSet
from ebonydeal._internal.directory.sharing import SharedInstanceList
from ebonydeal._internal.models.endpoints import LeavingMark
from ebonydeal._internal.peers.demand import DemandTopic
from ebonydeal._internal.peers.endpoints_topic import EndpointsTopic
from ebonydeal._internal.peers.exchange import GossipExchange
from ebonydeal._internal.peers.membership import (
    Member,
    Membership,
    MembershipTimeouts,
    MemberStatus,
)
from ebonydeal._internal.peers.peer_selector import PeerSelector
from ebonydeal._internal.peers.service import (
    CALL_TIMEOUT_S,
    MAX_PUSH_ATTEMPTS,
    PUSH_BATCH_INTERVAL_S,
    REQUEST_HEADER_BYTES,
    RESPONSE_HEADER_BYTES,
    push_target_count,
)
from ebonydeal._internal.peers.topics import MarksTopic, MembersTopic, mark_to_wire
from ebonydeal._internal.routing.limits.demand import Demand, DemandReport

PERIOD_S = 1.0
HOP_S = 0.01
ACCOUNTS = 5
_JITTER = (0.7, 1.3)


class _ModelClock:
    """Clock of the simulated time, for topics."""

    def __init__(self, scheduler: EventScheduler) -> None:
        self._scheduler = scheduler

    def now(self) -> float:
        return self._scheduler.now

    def wall(self) -> float:
        return self._scheduler.now

    async def sleep(self, seconds: float) -> None:
        raise NotImplementedError("the model has no tasks")


def _member(number: int) -> Member:
    """Return a member with realistic values."""
    return Member(
        id=f"node-{number:04d}",
        incarnation=1_700_000_000_000 + number,
        heartbeat=0,
        status=MemberStatus.ALIVE,
        address=f"10.0.{number // 250}.{number % 250}:9200",
        region="region",
        zone=f"zone-{number % 3}",
        roles=("gateway",),
    )


class SimulatedNode:
    """Gossip state of one process, and the bytes that it has sent."""

    def __init__(self, number: int, network: "SimulatedNetwork") -> None:
        self.network = network
        self.rng = random.Random(f"{network.seed}-{number}")
        self.bytes_out = 0
        own = network.members[number]
        others = (member for member in network.members if member is not own)
        timeouts = MembershipTimeouts(period=PERIOD_S)
        self.membership = Membership(own, timeouts, known=others)
        self.targets = PeerSelector("10.0.0.0:9200", 9200)
        self.marks = MarkSet()
        self.marked_at: dict[str, float] = {}
        self.exchange = GossipExchange(self.membership)
        self.exchange.register(
            MembersTopic(self.membership, _ModelClock(network.scheduler))
        )
        self.exchange.register(MarksTopic(self.marks, self.mark))
        self.exchange.register(EndpointsTopic(SharedInstanceList(), lambda _: None))
        if network.with_demand:
            self.exchange.register(DemandTopic(self._report, lambda _: None))

    def mark(self, mark: LeavingMark) -> bool:
        """Merge a mark; push it to other nodes if it is new."""
        is_new = self.marks.merge(mark, self.network.scheduler.now)
        if is_new:
            self.marked_at[mark.endpoint_id or mark.zone] = self.network.scheduler.now
            self.network.scheduler.at(
                self.network.scheduler.now + PUSH_BATCH_INTERVAL_S, self._push, mark
            )
        return is_new

    def round(self) -> None:
        """Run one gossip round, and schedule the next one."""
        network = self.network
        network.scheduler.at(
            network.scheduler.now + PERIOD_S * self.rng.uniform(*_JITTER), self.round
        )
        self.membership.tick(network.scheduler.now)
        target = self.targets.choose(self.membership, self.rng)
        if target is None:
            return
        peer = network.by_address[target.address]
        answer = self._call(peer, self.exchange.build_request(), opening=True)
        if answer is None:
            self.membership.record_unreachable(target.member_id, network.scheduler.now)
            return
        closing = self.exchange.handle_response(
            answer, target.member_id, network.scheduler.now
        )
        if closing is not None:
            self.exchange.apply_payloads(self._call(peer, closing, opening=False) or {})

    def _call(
        self, peer: "SimulatedNode", message: dict[str, Any], *, opening: bool
    ) -> dict[str, Any] | None:
        """Send a message and return the answer; None if either is lost."""
        self.bytes_out += len(json.dumps(message)) + REQUEST_HEADER_BYTES
        if self.network.is_lost():
            return None
        now = self.network.scheduler.now
        handle = peer.exchange.handle_request if opening else peer.exchange.handle_push
        reply = handle(json.loads(json.dumps(message)), now)
        peer.bytes_out += len(json.dumps(reply)) + RESPONSE_HEADER_BYTES
        return None if self.network.is_lost() else reply

    def _push(self, mark: LeavingMark) -> None:
        live = self.membership.live()
        self.rng.shuffle(live)
        target_count = push_target_count(len(live))
        for member in live[:target_count]:
            self._push_to(member, live[target_count:], mark, MAX_PUSH_ATTEMPTS)

    def _push_to(
        self, member: Member, spare: list[Member], mark: LeavingMark, attempts_left: int
    ) -> None:
        """Push to one peer; if that fails, push to another after a timeout."""
        message = self.exchange.build_push({"marks": [mark_to_wire(mark)]})
        peer = self.network.by_address[member.address]
        if (
            self._call(peer, message, opening=False) is None
            and spare
            and attempts_left > 1
        ):
            other = self.rng.choice(spare)
            later = self.network.scheduler.now + CALL_TIMEOUT_S
            self.network.scheduler.at(
                later, self._push_to, other, spare, mark, attempts_left - 1
            )

    def _report(self) -> DemandReport:
        now = self.network.scheduler.now
        demand = Demand(123.4 + now % 7, 45_678.0, 321.0, 300.0)
        names = [f"account-{n}" for n in range(ACCOUNTS)]
        seq = int(now * 1000)
        return DemandReport(self.membership.own.id, seq, dict.fromkeys(names, demand))


class SimulatedNetwork:
    """All nodes; messages are delivered without delay."""

    def __init__(
        self, count: int, seed: int, *, loss: float = 0.0, with_demand: bool = True
    ) -> None:
        self.seed = seed
        self.scheduler = EventScheduler()
        self.loss = 0.0
        self.with_demand = with_demand
        self.settled_loss = loss
        self.rng = random.Random(seed)
        self.members = [_member(number) for number in range(count)]
        self.nodes = [SimulatedNode(number, self) for number in range(count)]
        self.by_address = {node.membership.own.address: node for node in self.nodes}
        for node in self.nodes:
            self.scheduler.at(self.rng.uniform(0.0, PERIOD_S), node.round)

    def is_lost(self) -> bool:
        """Return whether the next message is lost."""
        return self.loss > 0.0 and self.rng.random() < self.loss

    def settle(self, seconds: float) -> None:
        """Run the first rounds; then start to lose messages and to count bytes."""
        self.scheduler.run(until=seconds)
        self.loss = self.settled_loss
        for node in self.nodes:
            node.bytes_out = 0

    def bytes_per_s(self, seconds: float) -> list[float]:
        """Return each node's bytes sent a second, over the last ``seconds``."""
        return [node.bytes_out / seconds for node in self.nodes]
