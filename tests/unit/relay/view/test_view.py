import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ebonydeal._internal.models.forwarding import ClientLimits, Member, RouteTable
from ebonydeal._internal.relay.view.view import LAPSE_GRACE_S, RelayView

DRAIN_S = 2.0
LAST_RESORT_S = 1.3


def member(name="i1", revision=1, leaving=False, born=0):
    return Member(name, "s", "h:1", "z", 8, leaving, None, True, 0.0, revision, born)


def table(version):
    return RouteTable(version, (), {}, ClientLimits(1, 1, 1.0, 1.0), ())


def ids(view):
    return [m.endpoint_id for m in view.of_service("s")]


class TestConfiguration:
    def test_never_goes_back(self):
        view = RelayView(DRAIN_S)
        assert view.take_table(table(5), b"5", "store")
        assert not view.take_table(table(3), b"3", "peer")
        assert not view.take_table(table(5), b"x", "peer")
        assert (view.version, view.raw_table) == (5, b"5")


class TestMembers:
    def test_one_that_leaves_gets_no_new_work(self):
        view = RelayView(DRAIN_S)
        view.put(member())
        view.put(member(revision=2, leaving=True))
        assert ids(view) == []

    def test_older_news_of_a_peer_change_nothing(self):
        view = RelayView(DRAIN_S)
        view.put(member(revision=2, leaving=True))
        view.put(member(revision=1))
        assert ids(view) == []
        view.remove("i1", 3)
        view.put(member(revision=2))
        assert view.members == {}

    def test_a_removal_that_is_older_than_the_entry_is_ignored(self):
        view = RelayView(DRAIN_S)
        view.put(member(revision=5))
        view.remove("i1", 4)
        assert ids(view) == ["i1"]

    def test_a_lapse_is_forgiven_when_the_entry_returns(self):
        view = RelayView(DRAIN_S)
        view.put(member())
        view.lapse("i1", 2, 10.0)
        view.put(member(revision=3))
        view.expire(10.0 + LAPSE_GRACE_S + 1)
        assert ids(view) == ["i1"]

    def test_a_lapsed_entry_that_stays_away_is_gone(self):
        view = RelayView(DRAIN_S)
        view.put(member())
        view.members_version = 2
        view.lapse("i1", 2, 10.0)
        view.expire(10.0 + LAPSE_GRACE_S - 0.01)
        assert ids(view) == ["i1"]
        view.expire(10.0 + LAPSE_GRACE_S)
        assert ids(view) == []

    def test_a_lapse_of_one_that_leaves_is_its_end(self):
        view = RelayView(DRAIN_S)
        view.put(member(leaving=True))
        view.lapse("i1", 2, 10.0)
        assert view.members == {}

    def test_whole_list_with_and_without_grace(self):
        view = RelayView(DRAIN_S)
        view.replace([member("i1"), member("i2")], 2, 1.0, False)
        view.replace([member("i1")], 3, 2.0, True)
        assert sorted(ids(view)) == ["i1", "i2"]
        view.replace([member("i1")], 4, 3.0, False)
        assert ids(view) == ["i1"]


class TestLastResort:
    def test_only_shortly_after_its_word_and_only_when_heard_live(self):
        view = RelayView(DRAIN_S)
        view.put(member("i1"))
        view.put(member("i2"))
        view.put(member("i1", 2, leaving=True), heard_at=10.0)
        view.put(member("i2", 2, leaving=True))
        left = view.leaving_of("s", 10.0 + LAST_RESORT_S - 0.1)
        assert [member.endpoint_id for member, _left in left] == ["i1"]
        assert round(left[0][1], 3) == 0.1
        assert view.leaving_of("s", 10.1 + LAST_RESORT_S) == []
        assert view.leaving_of("other", 10.0) == []

    def test_not_after_it_is_gone(self):
        view = RelayView(DRAIN_S)
        view.put(member("i1"))
        view.put(member("i1", 2, leaving=True), heard_at=10.0)
        view.remove("i1", 3)
        assert view.leaving_of("s", 10.1) == []

    def test_not_in_the_last_moments_of_one_that_said_when_it_goes(self):
        view = RelayView(DRAIN_S)
        view.put(member("i1"))
        view.put(member("i1", 2, leaving=True), heard_at=10.0)
        view.expect_leave("i1", 11.0)
        assert len(view.leaving_of("s", 10.8)) == 1
        assert view.leaving_of("s", 10.91) == []


class TestStartedAgain:
    """An endpoint that starts again under its id is another endpoint."""

    def test_what_was_known_of_the_one_before_goes(self):
        view, restarted = RelayView(DRAIN_S), []
        view.on_restart = restarted.append
        view.put(member(born=10))
        view.put(member(revision=2, leaving=True, born=10), 5.0)
        view.expect_leave("i1", 6.0)
        view.put(member(revision=3, born=20), 5.5)
        assert restarted == ["i1"]
        assert ids(view) == ["i1"]
        assert view.leaves_at("i1") is None
        assert view.leaving_age("i1", 5.5) is None

    def test_a_late_word_of_the_one_before_changes_nothing(self):
        view = RelayView(DRAIN_S)
        view.put(member(born=20))
        view.put(member(revision=2, leaving=True, born=10), 5.0)
        assert ids(view) == ["i1"]
        view.remove("i1", 3)
        view.put(member(revision=4, born=10))
        assert view.members == {}
        view.put(member(revision=5, born=20))
        assert ids(view) == ["i1"]

    def test_one_that_stays_after_all_has_no_time_to_go(self):
        view = RelayView(DRAIN_S)
        view.put(member())
        view.put(member(revision=2, leaving=True), 5.0)
        view.expect_leave("i1", 6.0)
        view.put(member(revision=3), 5.5)
        assert view.leaves_at("i1") is None
        assert view.leaving_of("s", 5.6) == []
        assert ids(view) == ["i1"]


class TestWithheld:
    """An entry that can't be read stands over one that is in use."""

    def test_no_new_work_until_it_can_be_read_again(self):
        view = RelayView(DRAIN_S)
        view.put(member())
        view.withhold("i1", 2)
        assert ids(view) == []
        # What runs there goes on.
        assert "i1" in view.members
        view.put(member(revision=3))
        assert ids(view) == ["i1"]

    def test_no_last_work_either_while_it_leaves(self):
        view = RelayView(DRAIN_S)
        view.put(member())
        view.put(member(revision=2, leaving=True), 5.0)
        assert view.leaving_of("s", 5.1)
        view.withhold("i1", 3)
        assert view.leaving_of("s", 5.1) == []

    def test_one_that_nobody_knows_is_none(self):
        view = RelayView(DRAIN_S)
        view.withhold("i1", 2)
        assert view.members == {}


class Endpoint(RuleBasedStateMachine):
    """One id that is started again, with words that come late and an outage."""

    def __init__(self):
        super().__init__()
        self.view = RelayView(DRAIN_S)
        self.view.on_restart = lambda _id: self.restarts.append(self.now)
        self.restarts = []
        self.now = 0.0
        self.revision = 0
        self.born = 1
        self.newest = 0
        self.told = []

    def _write(self, born, leaving):
        self.revision += 1
        written = member("i1", self.revision, leaving, born)
        self.told.append(written)
        return written

    @rule()
    def starts_again(self):
        self.born += 1
        self.view.put(self._write(self.born, False), self.now)
        self.newest = self.born

    @rule(leaving=st.booleans())
    def tells(self, leaving):
        self.view.put(self._write(self.born, leaving), self.now)
        self.newest = max(self.newest, self.born)

    @rule(back=st.integers(1, 3), leaving=st.booleans())
    def an_old_word_comes_late(self, back, leaving):
        if self.born - back >= 1:
            self.view.put(self._write(self.born - back, leaving), self.now)
            self.newest = max(self.newest, self.born - back)

    @rule(data=st.data())
    def a_peer_tells_what_was(self, data):
        if self.told:
            self.view.put(data.draw(st.sampled_from(self.told)), self.now)

    @rule()
    def can_not_be_read(self):
        self.revision += 1
        self.view.withhold("i1", self.revision)

    @rule(grace=st.booleans())
    def the_list_lacks_it(self, grace):
        self.revision += 1
        self.view.replace([], self.revision, self.now, grace)

    @rule(seconds=st.floats(0.0, 3.0))
    def time_goes_on(self, seconds):
        self.now += seconds
        self.view.expire(self.now)

    @invariant()
    def none_before_the_newest_is_known(self):
        known = self.view.members.get("i1")
        if known is not None:
            assert known.incarnation == self.newest
            assert known.revision <= self.revision

    @invariant()
    def marks_of_leaving_are_of_one_that_leaves(self):
        known = self.view.members.get("i1")
        if known is None or not known.leaving:
            assert self.view.leaving_age("i1", self.now) is None
            assert self.view.leaves_at("i1") is None


TestEndpointMachine = Endpoint.TestCase


class TestSaidItself:
    """A process that says that it leaves does, whatever the list has."""

    @pytest.fixture
    def said(self):
        """What was said, by process, with when."""
        return {}

    @pytest.fixture
    def view(self, said):
        view = RelayView(2.0)
        view.said_leaving = said.get
        view.put(member())
        return view

    def test_it_gets_no_new_work_but_at_first(self, view, said):
        said[member().process] = 10.0
        view.leaves(member().process)
        assert not view.of_service("s")
        assert [m.endpoint_id for m, _left in view.leaving_of("s", 10.5)] == ["i1"]
        assert not view.leaving_of("s", 11.5)

    def test_a_newer_word_of_the_list_doesnt_bring_it_back(self, view, said):
        said[member().process] = 10.0
        view.leaves(member().process)
        view.put(member(revision=2))
        assert not view.of_service("s")

    def test_the_earlier_of_both_words_counts(self, view, said):
        view.put(member(revision=2, leaving=True), heard_at=9.5)
        said[member().process] = 10.0
        view.leaves(member().process)
        assert view.leaving_age("i1", 10.5) == 1.0

    def test_one_whose_leaving_is_of_unknown_age_gets_nothing(self, view, said):
        view.put(member("i2", leaving=True))
        said[member("i2").process] = 10.0
        view.leaves(member("i2").process)
        assert not view.leaving_of("s", 10.1)
        view.put(member("i2", revision=2, leaving=True))
        assert not view.leaving_of("s", 10.1)

    def test_it_counts_also_before_it_is_listed(self, view, said):
        said[member("i2").process] = 10.0
        view.leaves(member("i2").process)
        view.put(member("i2"))
        assert [m.endpoint_id for m in view.of_service("s")] == ["i1"]

    def test_not_for_a_process_that_starts_anew(self, view, said):
        said[member().process] = 10.0
        view.leaves(member().process)
        view.put(member(revision=2, born=5))
        assert len(view.of_service("s")) == 1
