"""Roll-outs while the lease changes hands and answers to writes get lost."""

import asyncio
import json
from types import SimpleNamespace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.models.rollouts import Phase, RolloutOrder
from ebonydeal._internal.models.shared import RowWrite
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.platform.wire import PlatformWire
from ebonydeal._internal.relay.duties.rollout_registry import RolloutRegistry
from ebonydeal._internal.relay.duties.rollout_run import RequestTotals, RolloutRun
from ebonydeal._internal.relay.duties.rollouts import RolloutParts, Rollouts
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.routing.rollout.evidence import EvidenceSummary
from ebonydeal._internal.routing.rollout.rollout_state import (
    Complete,
    Continue,
    RollBack,
    RolloutConfig,
    RolloutState,
)
from ebonydeal._internal.routing.rollout.tally import FAILED, category_of, empty_counts
from ebonydeal._internal.routing.rollout.traffic_split import TrafficSplit
from tests.lib.clock import ManualClock
from tests.lib.relay_fakes import MemoryStore, relay_report

ORDER = RolloutOrder("s", "v2", 20.0, 5)
LEASE = ("lease", "duties")


def member(name, version, revision=1):
    return Member(
        name, "s", "1:1", "z", 8, False, None, False, 0.0, revision, version=version
    )


class FakeCoordinator:
    """The coordinator as a lease holder's roll-outs see it."""

    period = 0.5
    warmed_up = True
    lease = SimpleNamespace(is_mine=True)

    def __init__(self, holder, relays, clock):
        self._holder = holder
        self._relays = relays
        self._clock = clock

    @property
    def holds(self):
        return self._holder.holds

    def live_reports(self):
        return [relay.report(self._clock.now()) for relay in self._relays]


class LeaseHolder:
    """A holder of the lease: its roll-outs, and its conditional renewals."""

    def __init__(self, store, clock, view, relays):
        self.store = store
        self.view = view
        self.holds = True
        self.lease_version = None
        coordinator = FakeCoordinator(self, relays, clock)
        parts = RolloutParts(
            coordinator, view, PlatformWire(), store, None, Metrics(), clock
        )
        self.rollouts = Rollouts(parts, RolloutConfig())
        self._relays = relays

    def take_lease(self):
        """Write the lease's row as a new holder does, then read the persisted rows."""
        asyncio.run(self._take())

    async def _take(self):
        await self.store.put(*LEASE, b"holder")
        self.lease_version = self.store.version
        await self.rollouts.store.read()
        if not self.rollouts.store.loaded:
            # The follower of orders does this on request.
            self.view.orders_unchanged(self.store.version)
            await self.rollouts.store.read()

    def renew(self):
        """Renew, with the writes that are due; fails for a holder that was replaced."""
        changes = [RowWrite(*LEASE, b"holder", self.lease_version)]
        changes += self.rollouts.store.changes()
        result = asyncio.run(self.store.transact(changes))
        if not result.applied:
            self.holds = False
            self.rollouts.store.lost()
            return False
        self.lease_version = self.store.tables[LEASE[0]][LEASE[1]].version
        self.rollouts.store.wrote()
        return True

    def step(self):
        self.rollouts.step()
        gates = self.rollouts.gates()
        for relay in self._relays:
            relay.apply(gates)


class Relay:
    """A relay that serves the requests of a quarter second in each step."""

    def __init__(self, name, clock, order=ORDER):
        self.name = name
        self.clock = clock
        self.split = TrafficSplit(name, 2.0)
        self.split.set_orders({"s": order})

    def apply(self, gates):
        if gates is not None:
            self.split.apply_gates(gates, self.clock.now())

    def report(self, now):
        return relay_report(self.name, rollouts=self.split.tallies(now))

    def serve(self, members, failing, count=20):
        """Serve requests; returns how many went to the new version."""
        over = 0
        now = self.clock.now()
        for _ in range(count):
            part = self.split.choose_version("s", "r", members, now)
            if not part.members:
                continue
            chosen = part.members[0]
            self.split.record_send("s", "r", chosen, first=True)
            over += chosen.version == ORDER.target_version
            bad = failing and chosen.version == ORDER.target_version
            category = FAILED if bad else category_of(0.1, 0.1)
            self.split._count("s", "r", chosen, category)
        return over


def world(relays=3):
    clock = ManualClock(100.0)
    view = RelayView(2.0)
    listed = [member(f"a{n}", "v1") for n in range(4)]
    for one in listed:
        view.put(one)
    view.apply_orders({"s": ORDER}, 50, "test")
    for number in range(4):
        listed.append(member(f"b{number}", "v2", revision=10))
        view.put(listed[-1])
    store = MemoryStore()
    return clock, view, listed, store, [Relay(f"n{n}", clock) for n in range(relays)]


def status(store):
    row = store.tables.get("status", {}).get("rollout/s")
    return None if row is None else json.loads(row.value)["state"]


class TestTakeover:
    def play(self, failing=False):
        clock, view, listed, store, relays = world()
        first = LeaseHolder(store, clock, view, relays)
        first.take_lease()
        for _ in range(20):
            clock._now += 0.25
            for relay in relays:
                relay.serve(listed, failing)
            first.step()
            first.renew()
        second = LeaseHolder(store, clock, view, relays)
        return clock, listed, store, relays, first, second

    def test_continues_with_the_exposure_and_the_deadline(self):
        clock, _listed, _store, relays, first, second = self.play()
        second.take_lease()
        before = first.rollouts._registry.runs["s"].state
        after = second.rollouts._registry.runs["s"].state
        assert after.deadline == before.deadline
        # Totals are written once a second; relays report the rest again.
        per_second = 4 * 20 * len(relays)
        assert 0 < before.requests - after.requests <= per_second
        for relay in relays:
            assert f"{relay.name}/i" in second.rollouts._registry.runs["s"].inherited

    def test_requests_counted_before_count_neither_again_nor_as_a_rate(self):
        clock, _listed, _store, _relays, first, second = self.play()
        second.take_lease()
        for _ in range(3):
            clock._now += 0.25
            second.step()
        before = first.rollouts._registry.runs["s"].state
        after = second.rollouts._registry.runs["s"].state
        assert (after.requests, after.exposed) == (before.requests, before.exposed)
        assert sum(after._rates.values()) == 0.0

    def test_a_replaced_lease_holder_writes_no_verdict(self):
        clock, listed, store, relays, first, second = self.play()
        second.take_lease()
        first.rollouts._finish(
            first.rollouts._registry.runs["s"], RollBack("late", EvidenceSummary())
        )
        assert not first.renew()
        assert status(store) == "running"

    def test_a_verdict_that_a_relay_applied_is_final(self):
        clock, listed, store, relays, first, second = self.play()
        run = first.rollouts._registry.runs["s"]
        first.rollouts._finish(run, RollBack("test", EvidenceSummary()))
        # Sent to one relay only, and never written.
        relays[1].apply(first.rollouts.gates())
        second.take_lease()
        second.step()
        second.renew()
        assert status(store) == "rolled_back"

    def test_the_status_is_enough_if_the_row_is_missing(self):
        clock, listed, store, relays, first, second = self.play()
        first.rollouts._finish(first.rollouts._registry.runs["s"], Complete(0))
        first.renew()
        del store.tables["ebonydeal-rollouts"]
        for relay in relays:
            relay.split = TrafficSplit(relay.name, 2.0)
        second.take_lease()
        second.step()
        assert second.rollouts._registry.runs["s"].state.phase is Phase.COMPLETED

    def test_a_write_without_an_answer_is_repeated(self):
        clock, _listed, store, _relays, first, _second = self.play()
        first.rollouts.store.changed()
        assert first.rollouts.store.changes()
        # The write got no answer.
        assert first.rollouts.store.changes()
        first.rollouts.store.wrote()
        assert not first.rollouts.store.changes()

    def test_orders_that_it_hasnt_read_arent_treated_as_withdrawn(self):
        clock, _listed, store, relays, first, second = self.play()
        behind = RelayView(2.0)
        requests = []
        behind.on_orders_needed = lambda: requests.append(True)
        second = LeaseHolder(store, clock, behind, relays)
        asyncio.run(second.rollouts.store.read())
        assert not second.rollouts.store.loaded and requests and behind.waits_for_orders
        assert second.rollouts.gates() is None
        behind.apply_orders({"s": ORDER}, store.version, "test")
        asyncio.run(second.rollouts.store.read())
        second.step()
        assert second.rollouts._registry.runs["s"].state.phase is Phase.RUNNING

    def test_an_invalid_row_is_ignored(self):
        clock, listed, store, relays, first, second = self.play()
        asyncio.run(store.put("ebonydeal-rollouts", "memory", b"no row of ours"))
        second.take_lease()
        second.step()
        assert second.rollouts.store.loaded
        assert second.rollouts._registry.runs["s"].state.order == ORDER


class TestRegistry:
    def registry(self, **more):
        found = RolloutRegistry(RolloutConfig())
        found.start(ORDER, {"v1"}, 0.0)
        return found

    def test_a_version_replaced_by_a_newer_order_is_barred(self):
        registry = self.registry()
        registry.start(ORDER._replace(target_version="v3", revision=6), set(), 1.0)
        assert registry.barred_versions("s") == {"v2"}

    def test_a_version_that_is_ordered_again_isnt_barred(self):
        registry = self.registry()
        registry.finish(registry.runs["s"], RollBack("bad", EvidenceSummary()))
        assert registry.barred_versions("s") == {"v2"}
        registry.start(ORDER._replace(revision=6), set(), 1.0)
        assert not registry.barred_versions("s")

    def test_an_order_for_the_current_version_completes_at_once(self):
        registry = self.registry()
        run = registry.start(
            ORDER._replace(target_version="v1", revision=6), set(), 1.0
        )
        assert run.state.phase is Phase.COMPLETED
        assert registry.barred_versions("s") == {"v2"}

    def test_a_stored_roll_out_can_be_loaded(self):
        registry = self.registry()
        registry.runs["s"].inherited["n1/i"] = RequestTotals(100, 4)
        stored = json.loads(json.dumps(registry.to_stored(clock_ahead_s=1000.0)))
        again = RolloutRegistry(RolloutConfig())
        again.load_stored(stored, clock_ahead_s=990.0, now=15.0)
        run = again.runs["s"]
        # The second process's clock is ten seconds ahead of the first one's.
        assert run.state.deadline == 30.0 and run.state.requests == 100
        assert again.current == {"s": {"v1"}} and not run.status_due


class TestRun:
    def test_reports_of_another_order_are_ignored(self):
        relay = Relay("n1", ManualClock(1.0), ORDER._replace(revision=4))
        relay.serve([member("a", "v1")], False)
        run = RolloutRun(RolloutState(ORDER, 20.0))
        run.add_reports(
            [relay.report(1.0), relay_report("n2"), {"node": "n3"}], False, 1.0
        )
        assert run.state.requests == 0

    def test_the_counts_of_a_lost_relay_stay(self):
        relay = Relay("n1", ManualClock(1.0))
        relay.serve([member("a", "v1")], False)
        run = RolloutRun(RolloutState(ORDER, 20.0))
        run.add_reports([relay.report(1.0)], False, 1.0)
        run.add_reports([], False, 2.0)
        assert run.state.requests == 20
        assert run.totals() == {"n1/i": RequestTotals(20, 0)}

    def test_answers_count_once(self):
        relay = Relay("n1", ManualClock(1.0))
        run = RolloutRun(RolloutState(ORDER, 20.0))
        relay.split._count("s", "r", member("b", "v2"), FAILED)
        for now in (1.0, 1.2, 1.4):
            run.add_reports([relay.report(now)], False, now)
        assert sum(run.reported["n1/i"].new["r"]["b"]) == 1
        assert run.state.evidence.answers <= 1
        assert run.reported["n1/i"].old.get("r", empty_counts()) == empty_counts()


class LeaseChanges(RuleBasedStateMachine):
    """Holders are lost, suspended and replaced, answers get lost, relays restart.

    In any order: one verdict, and a bad version stays within its bound.
    """

    @initialize(failing=st.booleans())
    def begin(self, failing):
        self.failing = failing
        self.clock, self.view, self.listed, self.store, self.relays = world()
        self.holder = LeaseHolder(self.store, self.clock, self.view, self.relays)
        self.holder.take_lease()
        self.old_holders = []
        self.requests = self.exposed = 0
        self.cut_off = set()

    @rule(steps=st.integers(1, 8))
    def serve(self, steps):
        for _ in range(steps):
            self.clock._now += 0.25
            for relay in self.relays:
                self.requests += 20
                over = relay.serve(self.listed, self.failing)
                if self.clock.now() <= 120.0:
                    self.exposed += over
            if self.holder.holds:
                connected = [r for r in self.relays if r.name not in self.cut_off]
                self.holder.rollouts.step()
                gates = self.holder.rollouts.gates()
                for relay in connected:
                    relay.apply(gates)

    @precondition(lambda self: self.holder.holds)
    @rule()
    def renew(self):
        self.holder.renew()

    @precondition(lambda self: self.holder.holds)
    @rule()
    def write_takes_effect_without_answer(self):
        changes = [RowWrite(*LEASE, b"holder", self.holder.lease_version)]
        changes += self.holder.rollouts.store.changes()
        asyncio.run(self.store.transact(changes))
        self.holder.lease_version = self.store.tables[LEASE[0]][LEASE[1]].version

    @rule()
    def another_takes_over(self):
        self.old_holders.append(self.holder)
        self.holder = LeaseHolder(self.store, self.clock, self.view, self.relays)
        self.holder.take_lease()

    @precondition(lambda self: self.old_holders)
    @rule()
    def a_suspended_holder_resumes(self):
        old = self.old_holders.pop()
        assert not old.renew()

    @rule(which=st.integers(0, 2))
    def a_relay_is_cut_off(self, which):
        self.cut_off = {f"n{which}"}

    @rule()
    def all_are_connected_again(self):
        self.cut_off = set()

    @rule(which=st.integers(0, 2))
    def a_relay_restarts(self, which):
        name = f"n{which}"
        self.relays[which].split = TrafficSplit(name, 2.0)
        self.relays[which].split.set_orders({"s": ORDER})

    @invariant()
    def one_verdict(self):
        found = [
            json.loads(row.value)["state"]
            for table, row in self.store.log
            if table == "status"
        ]
        final = [state for state in found if state != "running"]
        assert len(set(final)) <= 1
        if final:
            assert found.index(final[0]) + len(final) == len(found)

    @invariant()
    def a_bad_version_stays_within_its_bound(self):
        if self.failing:
            # What a relay counted before its restart may be lost.
            assert self.exposed <= 0.1 * self.requests + 50


TestLeaseChanges = LeaseChanges.TestCase
TestLeaseChanges.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=30, deadline=None
)


class TestGates:
    def test_no_gate_is_sent_before_the_persisted_row_is_read(self):
        clock, view, _listed, store, relays = world()
        holder = LeaseHolder(store, clock, view, relays)
        assert holder.rollouts.gates() is None
        holder.take_lease()
        holder.step()
        gate = holder.rollouts.gates()[0]
        assert (gate.service, gate.target_version, gate.phase) == (
            "s",
            "v2",
            Phase.RUNNING,
        )
        assert isinstance(holder.rollouts._registry.runs["s"].verdict, Continue)
