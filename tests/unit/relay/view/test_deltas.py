"""Whatever deltas are lost, the next reply must bring a relay up to date."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.relay.view.deltas import (
    DeltaReceiver,
    apply_missing,
    batch_interval,
    delta_since,
    missing_message,
)
from ebonydeal._internal.relay.view.view import RelayView
from tests.lib.clock import ManualClock

IDS = st.sampled_from(["i1", "i2", "i3", "i4"])


def member(name, revision, leaving=False):
    return Member(name, "s", "h:1", "z", 8, leaving, None, True, 0.0, revision)


def listed(view):
    return {m.endpoint_id: m.leaving for m in view.members.values()}


class ReceivingRelay:
    """A relay that receives deltas, and reports its mark to the coordinator."""

    def __init__(self):
        self.view = RelayView(2.0)
        self.receiver = DeltaReceiver(self.view, ManualClock(10.0))

    def exchange(self, view, fence):
        delta = delta_since(view, list(self.receiver.last_mark), fence, 10.0)
        if delta is not None:
            self.receiver.receive(delta)
        return delta


class TestBatches:
    def test_the_interval_grows_with_the_number_of_relays(self):
        assert batch_interval(0) == batch_interval(9) == 0.05
        assert batch_interval(9) < batch_interval(60) < batch_interval(350) == 0.2


class TestDeltas:
    def test_the_first_delta_of_a_coordinator_is_a_snapshot(self):
        view, relay = RelayView(2.0), ReceivingRelay()
        view.put(member("i1", 1))
        relay.view.put(member("old", 0))
        assert relay.exchange(view, 1)["whole"]
        assert listed(relay.view) == {"i1": False}

    def test_later_deltas_have_only_what_changed(self):
        view, relay = RelayView(2.0), ReceivingRelay()
        view.put(member("i1", 1))
        view.put(member("i2", 2))
        relay.exchange(view, 1)
        view.put(member("i1", 3, leaving=True))
        delta = relay.exchange(view, 1)
        assert [item[0] for item in delta["put"]] == ["i1"]
        assert listed(relay.view) == {"i1": True, "i2": False}
        assert relay.exchange(view, 1) is None

    def test_a_missing_entry_expires_at_relays_without_their_coordinator(self):
        view, relay = RelayView(2.0), ReceivingRelay()
        view.put(member("i1", 1))
        view.put(member("i2", 2))
        relay.exchange(view, 1)
        view.mark_missing("i1", 3, 11.9)
        view.put(member("i3", 4))
        view.members_version = 4
        relay.exchange(view, 1)
        # The relay goes on from the coordinator's version, after the removal.
        assert relay.view.members_version == 4
        relay.view.expire(11.8)
        assert sorted(listed(relay.view)) == ["i1", "i2", "i3"]
        relay.view.expire(11.9)
        assert sorted(listed(relay.view)) == ["i2", "i3"]

    def test_an_entry_that_is_missing_and_returns_stays(self):
        view, relay = RelayView(2.0), ReceivingRelay()
        view.put(member("i1", 1))
        relay.exchange(view, 1)
        view.mark_missing("i1", 3, 11.9)
        relay.exchange(view, 1)
        view.put(member("i1", 4))
        relay.exchange(view, 1)
        relay.view.expire(11.9)
        assert listed(relay.view) == {"i1": False}

    def test_deltas_of_a_previous_coordinator_are_ignored(self):
        old, new, relay = RelayView(2.0), RelayView(2.0), ReceivingRelay()
        old.put(member("i1", 1))
        relay.exchange(old, 1)
        new.put(member("i1", 2, leaving=True))
        relay.exchange(new, 2)
        old.put(member("i2", 9))
        relay.receiver.receive(delta_since(old, [1, 1], 1, 10.0))
        assert listed(relay.view) == {"i1": True}

    def test_a_pushed_delta_of_a_new_coordinator_waits_for_a_snapshot(self):
        view, relay = RelayView(2.0), ReceivingRelay()
        view.put(member("i1", 1))
        view.put(member("i2", 2))
        relay.receiver.receive(delta_since(view, [7, 1], 7, 10.0))
        assert listed(relay.view) == {}
        relay.exchange(view, 7)
        assert listed(relay.view) == {"i1": False, "i2": False}

    def test_a_snapshot_older_than_the_known_list_removes_nothing(self):
        view, relay = RelayView(2.0), ReceivingRelay()
        view.put(member("i1", 1))
        relay.view.put(member("i2", 50))
        relay.view.members_version = 60
        relay.exchange(view, 1)
        assert listed(relay.view) == {"i1": False, "i2": False}

    def test_after_too_many_changes_a_snapshot_is_sent(self):
        view, relay = RelayView(2.0), ReceivingRelay()
        view.put(member("i1", 1))
        relay.exchange(view, 1)
        for revision in range(2, 1200):
            view.put(member("i2", revision))
        assert relay.exchange(view, 1)["whole"]
        assert listed(relay.view) == listed(view)


class TestLeaving:
    def test_the_leave_time_is_sent_as_time_left(self):
        view, relay = RelayView(2.0), ReceivingRelay()
        view.put(member("i1", 1))
        relay.exchange(view, 1)
        view.put(member("i1", 2, leaving=True))
        view.set_leave_time("i1", 11.25)
        relay.exchange(view, 1)
        assert relay.view.leaves_at("i1") == 11.25

    def test_new_work_ends_by_the_endpoints_report_not_by_the_delta(self):
        view, relay = RelayView(2.0), ReceivingRelay()
        view.put(member("i1", 1))
        relay.exchange(view, 1)
        view.put(member("i1", 2, leaving=True), observed_at=9.0)
        relay.exchange(view, 1)
        here = relay.view.recently_leaving("s", 10.0)
        assert here == view.recently_leaving("s", 10.0) != []
        assert relay.view.recently_leaving("s", 10.4) == []

    def test_a_leaving_endpoint_of_unknown_age_gets_no_new_work(self):
        view, relay = RelayView(2.0), ReceivingRelay()
        view.put(member("i1", 1))
        relay.exchange(view, 1)
        view.put(member("i1", 2, leaving=True))
        relay.exchange(view, 1)
        assert relay.view.recently_leaving("s", 10.0) == []

    def test_a_leave_time_learned_later_is_sent_too(self):
        view, relay = RelayView(2.0), ReceivingRelay()
        view.put(member("i1", 1, leaving=True))
        relay.exchange(view, 1)
        assert relay.view.leaves_at("i1") is None
        view.set_leave_time("i1", 11.25)
        relay.exchange(view, 1)
        assert relay.view.leaves_at("i1") == 11.25


class DeltaMachine(RuleBasedStateMachine):
    """The list changes, deltas are pushed or lost, coordinators come and go."""

    def __init__(self):
        super().__init__()
        self.revision = 0
        self.fence = 1
        self.truth = RelayView(2.0)
        self.relay = ReceivingRelay()

    def _next(self):
        self.revision += 1
        self.truth.members_version = self.revision
        return self.revision

    @rule(name=IDS, leaving=st.booleans())
    def put(self, name, leaving):
        self.truth.put(member(name, self._next(), leaving))

    @rule(name=IDS)
    def remove(self, name):
        self.truth.remove(name, self._next())

    @rule(name=IDS)
    def miss(self, name):
        self.truth.mark_missing(name, self._next(), 11.0)

    @rule()
    def missing_entries_expire(self):
        self.truth.expire(11.0)

    @rule(arrives=st.booleans())
    def push(self, arrives):
        delta = delta_since(
            self.truth, list(self.relay.receiver.last_mark), self.fence, 10.0
        )
        if arrives and delta is not None:
            self.relay.receiver.receive(delta)

    @rule()
    def coordinator_changes(self):
        """Another relay, with the same list but its own count of changes."""
        other = RelayView(2.0)
        other.replace(self.truth.members.values(), self.revision)
        apply_missing(other, missing_message(self.truth, self.truth.members, 10.0), 10)
        self.truth = other
        self.fence += 1

    @rule()
    def exchange(self):
        self.relay.exchange(self.truth, self.fence)
        assert listed(self.relay.view) == listed(self.truth)
        assert {name: self.relay.view.missing(name) for name in self.truth.members} == {
            name: self.truth.missing(name) for name in self.truth.members
        }

    @invariant()
    def never_newer_than_the_truth(self):
        assert self.relay.view.members_version <= self.revision


TestDeltaMachine = DeltaMachine.TestCase
TestDeltaMachine.settings = settings(
    max_examples=150, stateful_step_count=30, derandomize=True, deadline=None
)
