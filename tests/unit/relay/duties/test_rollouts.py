"""Roll-outs at holders of the lease that come and go, and writes that get lost."""

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
from ebonydeal._internal.relay.duties.rollout_book import RolloutBook
from ebonydeal._internal.relay.duties.rollout_run import RolloutRun, Totals
from ebonydeal._internal.relay.duties.rollouts import RolloutParts, Rollouts
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.routing.rollout.course import (
    Complete,
    Continue,
    Course,
    RollBack,
    Terms,
)
from ebonydeal._internal.routing.rollout.evidence import Standing
from ebonydeal._internal.routing.rollout.split import Split
from ebonydeal._internal.routing.rollout.tally import FAILED, category_of, empty
from tests.lib.clock import ManualClock
from tests.lib.relay_fakes import MemoryStore, word

ORDER = RolloutOrder("s", "v2", 20.0, 5)
LEASE = ("lease", "duties")


def member(name, version, revision=1):
    return Member(
        name, "s", "1:1", "z", 8, False, None, False, 0.0, revision, version=version
    )


class Seat:
    """What a holder is as the coordinator."""

    period = 0.5
    lease = SimpleNamespace(mine=True)

    def __init__(self, holder, relays, clock):
        self._holder = holder
        self._relays = relays
        self._clock = clock

    @property
    def holds(self):
        return self._holder.holds

    def heard_lately(self):
        return [relay.word(self._clock.now()) for relay in self._relays]


class Holder:
    """One holder of the lease: its roll-outs, and its renewals by condition."""

    def __init__(self, store, clock, view, relays):
        self.store = store
        self.view = view
        self.holds = True
        self.lease_version = None
        coordinator = Seat(self, relays, clock)
        parts = RolloutParts(
            coordinator, view, PlatformWire(), store, None, Metrics(), clock
        )
        self.rollouts = Rollouts(parts, Terms())
        self._relays = relays

    def take_lease(self):
        """Write the lease's row as a new holder does, then read what was kept."""
        asyncio.run(self._take())

    async def _take(self):
        await self.store.put(*LEASE, b"holder")
        self.lease_version = self.store.version
        await self.rollouts.kept.read()
        if not self.rollouts.kept.known:
            # What the follower of orders does when it is asked for them.
            self.view.orders_unchanged(self.store.version)
            await self.rollouts.kept.read()

    def renew(self):
        """Renew, with what is due; a holder that was replaced does nothing."""
        changes = [RowWrite(*LEASE, b"holder", self.lease_version)]
        changes += self.rollouts.kept.changes()
        result = asyncio.run(self.store.transact(changes))
        if not result.applied:
            self.holds = False
            self.rollouts.kept.lost()
            return False
        self.lease_version = self.store.tables[LEASE[0]][LEASE[1]].version
        self.rollouts.kept.wrote()
        return True

    def step(self):
        self.rollouts.step()
        gates = self.rollouts.gates()
        for relay in self._relays:
            relay.hears(gates)


class Relay:
    """A relay with the requests of a quarter second in each step."""

    def __init__(self, name, clock, order=ORDER):
        self.name = name
        self.clock = clock
        self.split = Split(name, 2.0)
        self.split.ordered({"s": order})

    def hears(self, gates):
        if gates is not None:
            self.split.told(gates, self.clock.now())

    def word(self, now):
        return word(self.name, rollouts=self.split.tallies(now))

    def serves(self, members, failing, count=20):
        """Serve requests; returns how many went to the new version."""
        over = 0
        now = self.clock.now()
        for _ in range(count):
            part = self.split.part("s", "r", members, now)
            if not part.members:
                continue
            chosen = part.members[0]
            self.split.sent("s", "r", chosen, first=True)
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
    view.take_orders({"s": ORDER}, 50, "test")
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
        first = Holder(store, clock, view, relays)
        first.take_lease()
        for _ in range(20):
            clock._now += 0.25
            for relay in relays:
                relay.serves(listed, failing)
            first.step()
            first.renew()
        second = Holder(store, clock, view, relays)
        return clock, listed, store, relays, first, second

    def test_goes_on_with_what_was_spent_and_the_orders_end(self):
        clock, _listed, _store, relays, first, second = self.play()
        second.take_lease()
        before = first.rollouts._book.runs["s"].course
        after = second.rollouts._book.runs["s"].course
        assert after.until == before.until
        # It is written once a second; relays tell the rest again.
        a_second = 4 * 20 * len(relays)
        assert 0 < before.requests - after.requests <= a_second
        for relay in relays:
            assert f"{relay.name}/i" in second.rollouts._book.runs["s"].kept

    def test_what_was_counted_before_isnt_counted_again_nor_a_rate(self):
        clock, _listed, _store, _relays, first, second = self.play()
        second.take_lease()
        for _ in range(3):
            clock._now += 0.25
            second.step()
        before = first.rollouts._book.runs["s"].course
        after = second.rollouts._book.runs["s"].course
        assert (after.requests, after.exposed) == (before.requests, before.exposed)
        assert sum(after._rates.values()) == 0.0

    def test_a_holder_that_was_replaced_writes_no_verdict(self):
        clock, listed, store, relays, first, second = self.play()
        second.take_lease()
        first.rollouts._end(
            first.rollouts._book.runs["s"], RollBack("late", Standing())
        )
        assert not first.renew()
        assert status(store) == "running"

    def test_a_verdict_that_relays_act_on_stands(self):
        clock, listed, store, relays, first, second = self.play()
        run = first.rollouts._book.runs["s"]
        first.rollouts._end(run, RollBack("test", Standing()))
        # Told to one relay only, and never written.
        relays[1].hears(first.rollouts.gates())
        second.take_lease()
        second.step()
        second.renew()
        assert status(store) == "rolled_back"

    def test_the_status_is_enough_where_nothing_else_was_kept(self):
        clock, listed, store, relays, first, second = self.play()
        first.rollouts._end(first.rollouts._book.runs["s"], Complete(0))
        first.renew()
        del store.tables["ebonydeal-rollouts"]
        for relay in relays:
            relay.split = Split(relay.name, 2.0)
        second.take_lease()
        second.step()
        assert second.rollouts._book.runs["s"].course.phase is Phase.COMPLETED

    def test_what_wasnt_written_is_written_with_the_next_renewal(self):
        clock, _listed, store, _relays, first, _second = self.play()
        first.rollouts.kept.changed()
        assert first.rollouts.kept.changes()
        # No answer came.
        assert first.rollouts.kept.changes()
        first.rollouts.kept.wrote()
        assert not first.rollouts.kept.changes()

    def test_orders_that_it_hasnt_read_are_not_taken_for_withdrawn(self):
        clock, _listed, store, relays, first, second = self.play()
        told = RelayView(2.0)
        asked = []
        told.on_waiting = lambda: asked.append(True)
        second = Holder(store, clock, told, relays)
        asyncio.run(second.rollouts.kept.read())
        assert not second.rollouts.kept.known and asked and told.waits_for_orders
        assert second.rollouts.gates() is None
        told.take_orders({"s": ORDER}, store.version, "test")
        asyncio.run(second.rollouts.kept.read())
        second.step()
        assert second.rollouts._book.runs["s"].course.phase is Phase.RUNNING

    def test_garbage_in_the_row_is_told_and_left(self):
        clock, listed, store, relays, first, second = self.play()
        asyncio.run(store.put("ebonydeal-rollouts", "memory", b"no row of ours"))
        second.take_lease()
        second.step()
        assert second.rollouts.kept.known
        assert second.rollouts._book.runs["s"].course.order == ORDER


class TestBook:
    def book(self, **more):
        found = RolloutBook(Terms())
        found.begin(ORDER, {"v1"}, 0.0)
        return found

    def test_a_version_given_up_midway_gets_nothing(self):
        book = self.book()
        book.begin(ORDER._replace(target_version="v3", revision=6), set(), 1.0)
        assert book.barred_of("s") == {"v2"}

    def test_one_that_is_ordered_again_may_get_requests(self):
        book = self.book()
        book.end(book.runs["s"], RollBack("bad", Standing()))
        assert book.barred_of("s") == {"v2"}
        book.begin(ORDER._replace(revision=6), set(), 1.0)
        assert not book.barred_of("s")

    def test_back_to_the_services_own_version(self):
        book = self.book()
        run = book.begin(ORDER._replace(target_version="v1", revision=6), set(), 1.0)
        assert run.course.phase is Phase.COMPLETED
        assert book.barred_of("s") == {"v2"}

    def test_memory_survives_the_way_to_the_store(self):
        book = self.book()
        book.runs["s"].kept["n1/i"] = Totals(100, 4)
        kept = json.loads(json.dumps(book.to_memory(ahead=1000.0)))
        again = RolloutBook(Terms())
        again.take_memory(kept, ahead=990.0, now=15.0)
        run = again.runs["s"]
        # The other process's clock is ten seconds ahead of the first one's.
        assert run.course.until == 30.0 and run.course.requests == 100
        assert again.own == {"s": {"v1"}} and not run.status_due


class TestRun:
    def test_words_of_another_order_are_left_out(self):
        relay = Relay("n1", ManualClock(1.0), ORDER._replace(revision=4))
        relay.serves([member("a", "v1")], False)
        run = RolloutRun(Course(ORDER, 20.0))
        run.hear([relay.word(1.0), word("n2"), {"node": "n3"}], False, 1.0)
        assert run.course.requests == 0

    def test_a_lost_relays_counts_stay(self):
        relay = Relay("n1", ManualClock(1.0))
        relay.serves([member("a", "v1")], False)
        run = RolloutRun(Course(ORDER, 20.0))
        run.hear([relay.word(1.0)], False, 1.0)
        run.hear([], False, 2.0)
        assert run.course.requests == 20
        assert run.totals() == {"n1/i": Totals(20, 0)}

    def test_answers_count_once(self):
        relay = Relay("n1", ManualClock(1.0))
        run = RolloutRun(Course(ORDER, 20.0))
        relay.split._count("s", "r", member("b", "v2"), FAILED)
        for now in (1.0, 1.2, 1.4):
            run.hear([relay.word(now)], False, now)
        assert sum(run.told["n1/i"].new["r"]["b"]) == 1
        assert run.course.evidence.answers <= 1
        assert run.told["n1/i"].old.get("r", empty()) == empty()


class Holders(RuleBasedStateMachine):
    """Holders are lost, paused and replaced, writes get lost, relays start anew.

    Whatever comes: one verdict, and a bad version within its bound.
    """

    @initialize(failing=st.booleans())
    def begin(self, failing):
        self.failing = failing
        self.clock, self.view, self.listed, self.store, self.relays = world()
        self.holder = Holder(self.store, self.clock, self.view, self.relays)
        self.holder.take_lease()
        self.old_holders = []
        self.requests = self.exposed = 0
        self.deaf = set()

    @rule(steps=st.integers(1, 8))
    def serve(self, steps):
        for _ in range(steps):
            self.clock._now += 0.25
            for relay in self.relays:
                self.requests += 20
                over = relay.serves(self.listed, self.failing)
                if self.clock.now() <= 120.0:
                    self.exposed += over
            if self.holder.holds:
                hearing = [r for r in self.relays if r.name not in self.deaf]
                self.holder.rollouts.step()
                gates = self.holder.rollouts.gates()
                for relay in hearing:
                    relay.hears(gates)

    @precondition(lambda self: self.holder.holds)
    @rule()
    def renew(self):
        self.holder.renew()

    @precondition(lambda self: self.holder.holds)
    @rule()
    def write_takes_effect_unheard(self):
        changes = [RowWrite(*LEASE, b"holder", self.holder.lease_version)]
        changes += self.holder.rollouts.kept.changes()
        asyncio.run(self.store.transact(changes))
        self.holder.lease_version = self.store.tables[LEASE[0]][LEASE[1]].version

    @rule()
    def another_takes_over(self):
        self.old_holders.append(self.holder)
        self.holder = Holder(self.store, self.clock, self.view, self.relays)
        self.holder.take_lease()

    @precondition(lambda self: self.old_holders)
    @rule()
    def one_that_was_paused_wakes(self):
        old = self.old_holders.pop()
        assert not old.renew()

    @rule(which=st.integers(0, 2))
    def a_relay_is_cut_off(self, which):
        self.deaf = {f"n{which}"}

    @rule()
    def all_hear_again(self):
        self.deaf = set()

    @rule(which=st.integers(0, 2))
    def a_relay_starts_anew(self, which):
        name = f"n{which}"
        self.relays[which].split = Split(name, 2.0)
        self.relays[which].split.ordered({"s": ORDER})

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
    def a_bad_version_gets_little(self):
        if self.failing:
            # What a relay that started anew counted before is known to nobody else.
            assert self.exposed <= 0.1 * self.requests + 50


TestHolders = Holders.TestCase
TestHolders.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=30, deadline=None
)


class TestGates:
    def test_nothing_is_told_before_what_was_kept_is_read(self):
        clock, view, _listed, store, relays = world()
        holder = Holder(store, clock, view, relays)
        assert holder.rollouts.gates() is None
        holder.take_lease()
        holder.step()
        gate = holder.rollouts.gates()[0]
        assert (gate.service, gate.target_version, gate.phase) == (
            "s",
            "v2",
            Phase.RUNNING,
        )
        assert isinstance(holder.rollouts._book.runs["s"].verdict, Continue)
