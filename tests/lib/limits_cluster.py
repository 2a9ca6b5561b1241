"""Relays that share limits, in one process on a clock of their own.

Each has the lease, the coordinator, the exchange and the gate of a relay; calls
between them go through `Net`, which loses what faults say.
"""

import asyncio
from collections import defaultdict
from random import Random

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.forwarding import (
    ClientLimits,
    ForwardAccount,
    RouteTable,
)
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.relay.duties.coordinator import Coordinator, CoordinatorParts
from ebonydeal._internal.relay.limits.link import LimitsLink, Place
from ebonydeal._internal.relay.limits.messages import DELEGATE, RELEASE
from ebonydeal._internal.relay.peers.exchange import Exchange, ExchangeParts
from ebonydeal._internal.relay.peers.messages import EXCHANGE, GRANT, HOLDER
from ebonydeal._internal.relay.peers.roster import addresses_hash
from ebonydeal._internal.relay.requests.quota import QuotaLimiter
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.routing.duties.duty_lease import DutyLease
from ebonydeal._internal.routing.duties.usage_ledger import UsageLedger
from ebonydeal._internal.routing.limits.quota_bounds import QuotaBounds
from ebonydeal._internal.routing.placement.route_index import RouteIndex
from tests.lib.clock import ManualClock, settle
from tests.lib.relay_fakes import MemoryDuties, MemoryStore, word

LEASE_S = 3.0


class Net:
    """Carries calls between relays, and loses those to whom faults say.

    ``cut`` holds the names of relays that reach nobody and nobody reaches.
    """

    def __init__(self):
        self.nodes = {}
        self.cut = set()
        self.paused = set()

    def reaches(self, sender, address):
        node = self.nodes.get(address)
        if node is None or node.name in self.paused:
            return False
        return sender == node.name or not ({sender, node.name} & self.cut)


class _Client:
    """A relay's way to the others."""

    def __init__(self, net, name):
        self._net = net
        self._name = name

    async def call(self, address, path, message, _timeout):
        await asyncio.sleep(0)
        if not self._net.reaches(self._name, address):
            raise EbonydealError(ErrorKind.CONNECT_FAILED, f"{address}: no answer")
        return self._net.nodes[address].calls[path](message)


class _Store:
    """A relay's way to the platform's store."""

    def __init__(self, store, net, name):
        self._store = store
        self._net = net
        self._name = name

    @property
    def ahead(self):
        return self._store.ahead

    def _check(self):
        if self._name in self._net.cut:
            raise EbonydealError(ErrorKind.STORE_UNAVAILABLE, "cut off")

    async def rows(self, table, start=""):
        self._check()
        return await self._store.rows(table, start)

    async def transact(self, changes):
        self._check()
        return await self._store.transact(changes)


class LimitedRelay:
    """What of one relay admits requests."""

    def __init__(self, cluster, name, seed):
        self.name = name
        self.address = f"{name}:1"
        clock, rng = cluster.clock, Random(seed)
        view = RelayView(2.0)
        view.index = RouteIndex(cluster.table)
        store = _Store(cluster.store, cluster.net, name)
        incarnation = f"i{seed}"
        self.coordinator = Coordinator(
            CoordinatorParts(store, MemoryDuties(), view, clock, rng),
            DutyLease(name, incarnation, self.address, LEASE_S),
            UsageLedger(5.0, 10.0),
            cluster.bounds,
            True,
        )
        client = _Client(cluster.net, name)
        self.metrics = Metrics()
        self.limits = LimitsLink(
            self.coordinator.granter,
            client,
            clock,
            name,
            incarnation,
            self.metrics,
            Place(),
        )
        self.limits.address = lambda: self.address
        self.gate = QuotaLimiter(self.limits, clock, cluster.bounds, self.metrics)
        self.exchange = Exchange(
            ExchangeParts(
                self.coordinator,
                client,
                clock,
                rng,
                self._word,
                lambda reply, at: self.limits.heard(reply["limits"], at),
            ),
            (),
        )
        self._incarnation = incarnation
        self._clock = clock
        self.limits.coordinator = self.exchange
        self.coordinator.is_stand_in = lambda: self.limits.is_stand_in
        self.coordinator.has_stand_in = lambda: self.limits.has_stand_in
        self.coordinator.relays_before = lambda: self.exchange.relays_before
        self.coordinator.on_begin = self._announce
        self.calls = {
            EXCHANGE: self.coordinator.exchange,
            GRANT: self.coordinator.grant,
            DELEGATE: self.coordinator.delegate,
            RELEASE: self.coordinator.release_share,
            HOLDER: self.exchange.take_holder,
        }

    def _word(self, relays):
        return word(
            self.name,
            incarnation=self._incarnation,
            address=self.address,
            known=addresses_hash(relays),
            demand=self.gate.demand(self._clock.now()),
            limits=self.limits.word(),
        )

    def _announce(self):
        self.coordinator.add_future(self.exchange.announce())

    async def start(self):
        await self.coordinator.start()
        await self.exchange.start()
        await self.limits.start()
        self.coordinator.start_duties()
        self.exchange.reachable.set()

    async def stop(self):
        await self.limits.stop()
        await self.exchange.stop()
        await self.coordinator.stop()


class Cluster:
    """Some relays, one store, and one account that clients press.

    Parameters
    ----------
    relays : int
        How many.
    account : ForwardAccount
        Whose limit is pressed.
    bounds : QuotaBounds
        What is tolerated.
    """

    def __init__(self, relays, account, bounds, seed=1):
        self.clock = ManualClock(1000.0)
        self.net = Net()
        self.store = MemoryStore()
        self.bounds = bounds
        self.account = account
        limits = ClientLimits(16384, 10**6, 3.0, 15.0)
        self.table = RouteTable(1, (), (), limits, (account,))
        self._names = [f"n{number}" for number in range(relays)]
        self._seeds = seed * 1000
        self.rng = Random(seed)
        self.relays = {}
        # When requests passed, and how much each counts.
        self.admitted = []
        self.refused = defaultdict(int)

    async def start(self, *names):
        """Start relays; without names, all that aren't up."""
        for name in names or self._names:
            if name in self.relays:
                continue
            self._seeds += 1
            relay = LimitedRelay(self, name, self._seeds)
            self.relays[name] = self.net.nodes[relay.address] = relay
            await relay.start()

    async def kill(self, *names):
        """End relays; without names, all."""
        for name in names or list(self.relays):
            relay = self.relays.pop(name)
            self.net.nodes.pop(relay.address, None)
            await relay.stop()

    @property
    def holder(self):
        """Name of the relay that holds the lease."""
        for name, relay in self.relays.items():
            if relay.coordinator.holds:
                return name
        return None

    def others(self, share):
        """Return the names of some relays, the holder first."""
        first = self.holder
        rest = sorted(name for name in self.relays if name != first)
        count = round(len(self.relays) * share)
        return ([first] if first else []) + rest[: count - 1]

    async def press(self, seconds, rate, amount=lambda rng: 1.0):
        """Let clients ask at all relays evenly, so many times a second."""
        end = self.clock.now() + seconds
        asking = []
        while self.clock.now() < end:
            await self.clock.advance(1.0 / rate)
            names = [n for n in self.relays if n not in self.net.paused]
            if names:
                relay = self.relays[self.rng.choice(names)]
                asking.append(asyncio.ensure_future(self._ask(relay, amount)))
        await settle()
        await asyncio.gather(*asking)

    async def _ask(self, relay, amount):
        size = amount(self.rng)
        try:
            await relay.gate.admit(self.account, size, 0.0)
        except EbonydealError as exc:
            assert exc.kind in (ErrorKind.RATE_LIMITED, ErrorKind.LIMIT_UNAVAILABLE)
            self.refused[int(self.clock.now())] += 1
        else:
            self.admitted.append((self.clock.now(), size))

    def allowed(self):
        """The most that may pass in any window."""
        limit = self.account.rate * self.bounds.window + self.account.burst
        slack = self.bounds.slack if self.account.in_tokens else 0.0
        return limit * (1.0 + self.bounds.overshoot) + slack

    def fullest(self):
        """Return the most that passed in any window."""
        most = total = begin = 0
        for at, size in self.admitted:
            total += size
            while self.admitted[begin][0] < at - self.bounds.window:
                total -= self.admitted[begin][1]
                begin += 1
            most = max(most, total)
        return most


def limited(rate, burst=None, in_tokens=False):
    """Return an account with a limit."""
    return ForwardAccount("acme", (), None, rate, burst or rate, in_tokens, 200.0)


def tolerated(window=4.0, overshoot=0.1, slack=0.0):
    return QuotaBounds(window, overshoot, slack)
