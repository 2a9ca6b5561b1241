"""Relays that share limits, as a model: the real decisions, in steps of time.

In each step every relay that runs takes a step of the lease, tells its word, and lets
pass whatever it may. Faults come between steps. Calls are instant; what is lost of them
is told by `lose_words` and `lose_replies`.
"""

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.relay.limits.granter import Granter, Peer
from ebonydeal._internal.relay.limits.link import LimitsLink, Place
from ebonydeal._internal.routing.duties.duty_lease import DutyLease, Look, Rest, Write
from ebonydeal._internal.routing.duties.pace import Pace
from ebonydeal._internal.routing.limits.share_registry import NO_NAMES

LEASE_S = 3.0
PACE = Pace(0.5)


class ModelClock:
    def __init__(self):
        self.at = 100.0

    def now(self):
        return self.at


class _Coordinator:
    """What a relay's link sees of the coordinator."""

    def __init__(self, relay):
        self._relay = relay

    @property
    def coordinator_address(self):
        relay = self._relay
        if relay.lease.mine:
            return relay.name
        return relay.lease.row.address if relay.lease.row else None

    def report_now(self):
        self._relay.hastened = True


class ModelRelay:
    """One process of one relay."""

    def __init__(self, model, name, number):
        self.model, self.name = model, name
        self.incarnation = f"{name}-{number}"
        self.lease = DutyLease(name, self.incarnation, name, LEASE_S)
        clock = model.clock
        self.granter = Granter(
            self.lease, lambda: self.lease.holds(clock.now()), clock, model.bounds
        )
        self.granter.accounts = lambda: (model.account,)
        self.link = LimitsLink(
            self.granter, None, clock, name, self.incarnation, Metrics(), Place()
        )
        self.link.address = lambda: name
        self.link.coordinator = _Coordinator(self)
        self.last_ok = clock.now()
        self.counted = self.hastened = False
        self.heard = {}

    # --- lease ---------------------------------------------------------------
    def step_lease(self):
        model, now = self.model, self.model.clock.now()
        for _ in range(3):
            step = self.lease.next_step(now)
            match step:
                case Rest():
                    return
                case Look():
                    if not model.reaches_store(self.name):
                        return
                    self.lease.saw(*model.row, now)
                    if not self.lease.mine:
                        return
                case Write():
                    if not model.reaches_store(self.name):
                        self.lease.failed(now)
                        return
                    self._write(step, now)

    def _write(self, step, now):
        model = self.model
        if step.expected != model.row[1]:
            self.lease.saw(*model.row, now)
            return
        renews = self.lease.mine and step.row.fence == self.lease.fence
        wanted, startup = None, self.granter.startup.wanted
        if renews and self.granter.registry_fence == self.lease.fence:
            alive = {n for n, at in self.heard.items() if now - at <= 3.0}
            wanted = self.granter.registry.wanted(alive, now)
            self.granter.registry.writes(wanted)
            model.names = wanted
            if startup:
                model.startups = self.granter.startup.writes(now, 0.0)
        model.row = (step.row, model.row[1] + 1)
        if model.lose_answers:
            self.lease.in_doubt()
            return
        self.lease.wrote(step.row, model.row[1])
        if wanted is not None and startup:
            self.granter.startup.wrote()
        if wanted is not None and wanted != self.granter.registry.row:
            self.granter.refresh()
            self.granter.registry.wrote(now)
            self.granter.refresh()
            self.granter.broker.first = False
        if not renews:
            self._begin(now)

    def _begin(self, now):
        self.granter.refresh()
        self.granter.registry.load(self.model.names, now)
        self.granter.begin()
        self.granter.refresh()
        self.granter.startup.load(self.model.startups, now)
        self.granter.want_startup()

    @property
    def notices(self):
        return self.granter.notices

    def notices_of(self, own=False):
        now = self.model.clock.now()
        return [word.encode() for word in self.notices.limit_reports(now, own)]

    # --- words ---------------------------------------------------------------
    def tell(self):
        """Tell the coordinator, or a stand-in while there is none."""
        model, now = self.model, self.model.clock.now()
        if self.lease.mine and self.granter.registry_fence != self.lease.fence:
            if model.reaches_store(self.name):
                self._begin(now)
        target = self.name if self.lease.mine else None
        row = self.lease.row
        if target is None and row is not None:
            target = row.address
        if target and model.reaches(self.name, target):
            holder = model.running[target]
            reply = holder.hear(self) if not model.lose_words else None
            if reply is not None and not model.lose_replies:
                self.last_ok = now
                self.lease.wanted = not holder.lease.holds(now)
                self.link.heard(reply, now)
                self.notices.take_limits(holder.notices_of(), now)
                self._take_back()
                return
        if now - self.last_ok > PACE.lost_after:
            self.lease.wanted = True
        if not self.link.in_touch:
            self._tell_stand_in()

    def _take_back(self):
        """Take the share back from who had it before, as `LimitsLink` does."""
        link, model = self.link, self.model
        promised = self.granter.own.promised(model.clock.now())
        address = link._granter_address
        if promised is None or not address:
            return
        if address in (link.coordinator.coordinator_address, self.name):
            return
        if not model.reaches(self.name, address) or model.lose_words:
            return
        along = model.running[address].granter.release(self.name, self.incarnation)
        if model.lose_replies:
            return
        self.granter.own.released(promised)
        link._along, link._along_number = along, link._along_number + 1
        link._along_for = ""

    def _tell_stand_in(self):
        model = self.model
        address = self.link._stand_in()
        if address is None or not model.reaches(self.name, address):
            return
        for _ in range(2):
            other = model.running[address]
            word = self.link.word()
            reply = other.granter.hear(self.name, self.incarnation, word)
            if model.lose_replies or not self.link._delegate(reply, address):
                return

    def hear(self, relay):
        if not self.lease.mine:
            return None
        now = self.model.clock.now()
        self.heard[relay.name] = now
        word = relay.link.word()
        reply = self.granter.hear(relay.name, relay.incarnation, word, PACE.patience)
        account = self.model.account
        self.notices.take_limits(relay.notices_of(own=True), now)
        left = relay.link.balances.left(account.name, now)
        reply["grants"] = self.granter.advances({account.name: [account.rate, left]})
        if self.granter.decides:
            peers = [Peer(n, n, "", 0.0) for n in self.heard]
            reply["stand_ins"] = [p.address for p in self.granter.stand_ins(peers)]
            reply["stand_in"] = self.granter.stand_in_grants(
                relay.name, word["stand_in"]
            )
        return reply

    # --- requests ------------------------------------------------------------
    def admit_all(self, size):
        """Let pass what may be granted here and what lies here; return how much."""
        now, account = self.model.clock.now(), self.model.account
        passed = 0.0
        while self.link.balances.take(account.name, size, now):
            passed += size
        try:
            while self.granter.grant(account, size).amount >= size:
                passed += size
        except EbonydealError:
            pass
        return passed


class Model:
    """The relays, the store's rows, and what is harmed."""

    def __init__(self, names, account, bounds, size, step=0.4):
        self.clock = ModelClock()
        self.account, self.bounds, self.size, self.step = account, bounds, size, step
        self.names, self.row = NO_NAMES, (None, 0)
        # When new holders granted before they had shares, as the store has it.
        self.startups = []
        self.running, self.paused, self.cut = {}, set(), set()
        self.store_away = self.lose_words = self.lose_replies = False
        self.lose_answers = False
        self.calm = False
        self._starts = 0
        self.passed = []
        for name in names:
            self.start(name)

    def start(self, name):
        if name not in self.running:
            self._starts += 1
            self.running[name] = ModelRelay(self, name, self._starts)
            self.started(name)

    def started(self, _name):
        """Note that a process is new."""

    def kill(self, name):
        self.running.pop(name, None)
        self.paused.discard(name)

    def reaches_store(self, name):
        return not self.store_away and name not in self.cut

    def reaches(self, sender, receiver):
        if sender == receiver:
            return receiver in self.running
        up = receiver in self.running and receiver not in self.paused
        return up and not ({sender, receiver} & self.cut)

    def play(self, seconds):
        """Let time pass, and check after each step that no share is used twice."""
        for _ in range(round(seconds / self.step)):
            self.clock.at += self.step
            for name, relay in list(self.running.items()):
                if name not in self.paused:
                    relay.step_lease()
                    relay.tell()
            for name, relay in list(self.running.items()):
                if name not in self.paused:
                    relay.granter.refresh()
            self.check_shares()
            if not self.calm:
                self._press()

    def check_shares(self):
        now = self.clock.now()
        shares = {n: r.granter.share(now) for n, r in self.running.items()}
        assert sum(shares.values()) <= 1.0 + 1e-9, shares

    def _press(self):
        for name, relay in self.running.items():
            if name not in self.paused:
                if amount := relay.admit_all(self.size):
                    self.passed.append((self.clock.now(), amount))

    def check_limit(self):
        allowed = self.bounds.limit(self.account) + self.bounds.tolerated(self.account)
        assert self.fullest() <= allowed + 1e-6, (self.fullest(), allowed)

    def fullest(self):
        most = total = begin = 0
        for at, amount in self.passed:
            total += amount
            while self.passed[begin][0] < at - self.bounds.window:
                total -= self.passed[begin][1]
                begin += 1
            most = max(most, total)
        return most
