"""News of endpoints: whatever is lost, the next exchange brings a relay up to date."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.relay.view.deltas import (
    DeltaReceiver,
    batch_interval,
    delta_since,
)
from ebonydeal._internal.relay.view.view import RelayView
from tests.lib.clock import ManualClock

IDS = st.sampled_from(["i1", "i2", "i3", "i4"])


def member(name, revision, leaving=False):
    return Member(name, "s", "h:1", "z", 8, leaving, None, True, 0.0, revision)


def listed(view):
    return {m.endpoint_id: m.leaving for m in view.members.values()}


class Listening:
    """A relay that hears news, and what it tells the coordinator of them."""

    def __init__(self):
        self.view = RelayView(2.0)
        self.taker = DeltaReceiver(self.view, ManualClock(10.0))

    def exchange(self, view, fence):
        news = delta_since(view, list(self.taker.last_mark), fence, 10.0)
        if news is not None:
            self.taker.receive(news)
        return news


class TestGroups:
    def test_few_relays_hear_at_once_and_many_in_longer_groups(self):
        assert batch_interval(0) == batch_interval(9) == 0.05
        assert batch_interval(9) < batch_interval(60) < batch_interval(350) == 0.2


class TestNews:
    def test_first_word_of_a_coordinator_is_the_whole_list(self):
        view, relay = RelayView(2.0), Listening()
        view.put(member("i1", 1))
        relay.view.put(member("old", 0))
        assert relay.exchange(view, 1)["whole"]
        assert listed(relay.view) == {"i1": False}

    def test_then_only_what_changed(self):
        view, relay = RelayView(2.0), Listening()
        view.put(member("i1", 1))
        view.put(member("i2", 2))
        relay.exchange(view, 1)
        view.put(member("i1", 3, leaving=True))
        news = relay.exchange(view, 1)
        assert [item[0] for item in news["put"]] == ["i1"]
        assert listed(relay.view) == {"i1": True, "i2": False}
        assert relay.exchange(view, 1) is None

    def test_news_of_a_coordinator_of_before_are_left_out(self):
        old, new, relay = RelayView(2.0), RelayView(2.0), Listening()
        old.put(member("i1", 1))
        relay.exchange(old, 1)
        new.put(member("i1", 2, leaving=True))
        relay.exchange(new, 2)
        old.put(member("i2", 9))
        relay.taker.receive(delta_since(old, [1, 1], 1, 10.0))
        assert listed(relay.view) == {"i1": True}

    def test_pushed_changes_of_an_unknown_coordinator_wait_for_the_exchange(self):
        view, relay = RelayView(2.0), Listening()
        view.put(member("i1", 1))
        view.put(member("i2", 2))
        relay.taker.receive(delta_since(view, [7, 1], 7, 10.0))
        assert listed(relay.view) == {}
        relay.exchange(view, 7)
        assert listed(relay.view) == {"i1": False, "i2": False}

    def test_a_list_that_is_older_than_what_is_known_removes_nothing(self):
        view, relay = RelayView(2.0), Listening()
        view.put(member("i1", 1))
        relay.view.put(member("i2", 50))
        relay.view.members_version = 60
        relay.exchange(view, 1)
        assert listed(relay.view) == {"i1": False, "i2": False}

    def test_when_too_much_changed_the_whole_list_is_told(self):
        view, relay = RelayView(2.0), Listening()
        view.put(member("i1", 1))
        relay.exchange(view, 1)
        for revision in range(2, 1200):
            view.put(member("i2", revision))
        assert relay.exchange(view, 1)["whole"]
        assert listed(relay.view) == listed(view)


class TestLeaving:
    def test_when_an_endpoint_goes_is_told_as_time_left(self):
        view, relay = RelayView(2.0), Listening()
        view.put(member("i1", 1))
        relay.exchange(view, 1)
        view.put(member("i1", 2, leaving=True))
        view.set_leave_time("i1", 11.25)
        relay.exchange(view, 1)
        assert relay.view.leaves_at("i1") == 11.25

    def test_new_work_ends_by_the_word_not_by_the_news_of_it(self):
        view, relay = RelayView(2.0), Listening()
        view.put(member("i1", 1))
        relay.exchange(view, 1)
        view.put(member("i1", 2, leaving=True), observed_at=9.0)
        relay.exchange(view, 1)
        here = relay.view.recently_leaving("s", 10.0)
        assert here == view.recently_leaving("s", 10.0) != []
        assert relay.view.recently_leaving("s", 10.4) == []

    def test_without_the_time_of_its_word_it_gets_none(self):
        view, relay = RelayView(2.0), Listening()
        view.put(member("i1", 1))
        relay.exchange(view, 1)
        view.put(member("i1", 2, leaving=True))
        relay.exchange(view, 1)
        assert relay.view.recently_leaving("s", 10.0) == []

    def test_also_when_that_becomes_known_later(self):
        view, relay = RelayView(2.0), Listening()
        view.put(member("i1", 1, leaving=True))
        relay.exchange(view, 1)
        assert relay.view.leaves_at("i1") is None
        view.set_leave_time("i1", 11.25)
        relay.exchange(view, 1)
        assert relay.view.leaves_at("i1") == 11.25


class NewsMachine(RuleBasedStateMachine):
    """The list changes, news are pushed or lost, coordinators come and go."""

    def __init__(self):
        super().__init__()
        self.revision = 0
        self.fence = 1
        self.truth = RelayView(2.0)
        self.relay = Listening()

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

    @rule(arrives=st.booleans())
    def push(self, arrives):
        news = delta_since(
            self.truth, list(self.relay.taker.last_mark), self.fence, 10.0
        )
        if arrives and news is not None:
            self.relay.taker.receive(news)

    @rule()
    def coordinator_changes(self):
        """Another relay, with the same list but a count of its own."""
        other = RelayView(2.0)
        other.replace(self.truth.members.values(), self.revision, 10.0, False)
        self.truth = other
        self.fence += 1

    @rule()
    def exchange(self):
        self.relay.exchange(self.truth, self.fence)
        assert listed(self.relay.view) == listed(self.truth)

    @invariant()
    def never_newer_than_the_truth(self):
        assert self.relay.view.members_version <= self.revision


TestNewsMachine = NewsMachine.TestCase
TestNewsMachine.settings = settings(
    max_examples=150, stateful_step_count=30, derandomize=True, deadline=None
)
