import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ebonydeal._internal.models.forwarding import ClientLimits, Member, RouteTable
from ebonydeal._internal.relay.view.view import RelayView

DRAIN_S = 2.0
LAST_RESORT_S = 1.3


def member(name="i1", revision=1, leaving=False, born=0):
    return Member(name, "s", "h:1", "z", 8, leaving, None, True, 0.0, revision, born)


def table(version):
    return RouteTable(version, (), {}, ClientLimits(1, 1, 1.0, 1.0), ())


def ids(view):
    return [m.endpoint_id for m in view.of_service("s")]


class TestConfiguration:
    def test_it_is_never_replaced_by_an_older_version(self):
        view = RelayView(DRAIN_S)
        assert view.apply_table(table(5), b"5", "store")
        assert not view.apply_table(table(3), b"3", "peer")
        assert not view.apply_table(table(5), b"x", "peer")
        assert (view.version, view.raw_table) == (5, b"5")


class TestMembers:
    def test_a_leaving_endpoint_gets_no_new_work(self):
        view = RelayView(DRAIN_S)
        view.put(member())
        view.put(member(revision=2, leaving=True))
        assert ids(view) == []

    def test_an_older_entry_from_a_peer_is_ignored(self):
        view = RelayView(DRAIN_S)
        view.put(member(revision=2, leaving=True))
        view.put(member(revision=1))
        assert ids(view) == []
        view.remove("i1", 3)
        view.put(member(revision=2))
        assert view.members == {}

    def test_a_removal_older_than_the_entry_is_ignored(self):
        view = RelayView(DRAIN_S)
        view.put(member(revision=5))
        view.remove("i1", 4)
        assert ids(view) == ["i1"]

    def test_a_missing_entry_that_returns_is_kept(self):
        view = RelayView(DRAIN_S)
        view.put(member())
        view.mark_missing("i1", 2, 11.0)
        view.put(member(revision=3))
        view.expire(12.0)
        assert ids(view) == ["i1"]

    def test_an_entry_missing_beyond_the_grace_time_is_removed(self):
        view = RelayView(DRAIN_S)
        view.put(member())
        view.members_version = 2
        view.mark_missing("i1", 2, 10.0)
        view.expire(9.99)
        assert ids(view) == ["i1"]
        view.expire(10.0)
        assert ids(view) == []

    def test_a_missing_entry_in_an_older_list_of_a_peer_stays_missing(self):
        view = RelayView(DRAIN_S)
        view.put(member())
        view.mark_missing("i1", 2, 10.0)
        view.put(member())
        view.expire(10.0)
        assert ids(view) == []

    def test_an_entry_written_after_a_later_change_returns(self):
        view = RelayView(DRAIN_S)
        view.put(member())
        view.mark_missing("i1", 2, 10.0)
        view.members_version = 5
        view.expire(10.0)
        view.put(member(revision=4))
        assert ids(view) == ["i1"]

    def test_a_missing_entry_of_a_leaving_endpoint_is_removed_at_once(self):
        view = RelayView(DRAIN_S)
        view.put(member(leaving=True))
        view.mark_missing("i1", 2, 11.0)
        assert view.members == {}

    def test_whole_list_with_and_without_grace(self):
        view = RelayView(DRAIN_S)
        view.replace([member("i1"), member("i2")], 2)
        view.replace([member("i1")], 3, missing_until=9.0)
        assert sorted(ids(view)) == ["i1", "i2"]
        view.replace([member("i1")], 4)
        assert ids(view) == ["i1"]


class TestLastResort:
    def test_new_work_only_shortly_after_a_report_of_known_time(self):
        view = RelayView(DRAIN_S)
        view.put(member("i1"))
        view.put(member("i2"))
        view.put(member("i1", 2, leaving=True), observed_at=10.0)
        view.put(member("i2", 2, leaving=True))
        left = view.recently_leaving("s", 10.0 + LAST_RESORT_S - 0.1)
        assert [member.endpoint_id for member, _left in left] == ["i1"]
        assert round(left[0][1], 3) == 0.1
        assert view.recently_leaving("s", 10.1 + LAST_RESORT_S) == []
        assert view.recently_leaving("other", 10.0) == []

    def test_no_work_after_it_is_removed(self):
        view = RelayView(DRAIN_S)
        view.put(member("i1"))
        view.put(member("i1", 2, leaving=True), observed_at=10.0)
        view.remove("i1", 3)
        assert view.recently_leaving("s", 10.1) == []

    def test_no_work_in_the_last_moments_before_a_known_leave_time(self):
        view = RelayView(DRAIN_S)
        view.put(member("i1"))
        view.put(member("i1", 2, leaving=True), observed_at=10.0)
        view.set_leave_time("i1", 11.0)
        assert len(view.recently_leaving("s", 10.8)) == 1
        assert view.recently_leaving("s", 10.91) == []


class TestRestart:
    """A restarted endpoint must not inherit the state of its previous process."""

    def test_the_state_of_the_previous_process_is_dropped(self):
        view, restarted = RelayView(DRAIN_S), []
        view.on_restart = restarted.append
        view.put(member(born=10))
        view.put(member(revision=2, leaving=True, born=10), 5.0)
        view.set_leave_time("i1", 6.0)
        view.put(member(revision=3, born=20), 5.5)
        assert restarted == ["i1"]
        assert ids(view) == ["i1"]
        assert view.leaves_at("i1") is None
        assert view.leaving_age("i1", 5.5) is None

    def test_a_late_entry_of_the_previous_process_is_ignored(self):
        view = RelayView(DRAIN_S)
        view.put(member(born=20))
        view.put(member(revision=2, leaving=True, born=10), 5.0)
        assert ids(view) == ["i1"]
        view.remove("i1", 3)
        view.put(member(revision=4, born=10))
        assert view.members == {}
        view.put(member(revision=5, born=20))
        assert ids(view) == ["i1"]

    def test_a_late_entry_that_says_ready_does_not_bring_a_leaving_one_back(self):
        view = RelayView(DRAIN_S)
        view.put(member())
        view.put(member(revision=2, leaving=True), 5.0)
        view.set_leave_time("i1", 6.0)
        view.put(member(revision=3), 5.5)
        assert ids(view) == []
        assert (view.leaves_at("i1"), view.leaving_age("i1", 5.5)) == (6.0, 0.5)
        view.remove("i1", 4)
        view.put(member(revision=5), 6.5)
        assert ids(view) == []
        view.put(member(revision=6, born=10), 7.0)
        assert ids(view) == ["i1"]
        assert view.leaves_at("i1") is None


class TestUnreadable:
    """An entry that can't be decoded replaces that of an endpoint in use."""

    def test_no_new_work_until_the_entry_is_readable_again(self):
        view = RelayView(DRAIN_S)
        view.put(member())
        view.mark_unreadable("i1", 2)
        assert ids(view) == []
        # Its running requests continue.
        assert "i1" in view.members
        view.put(member(revision=3))
        assert ids(view) == ["i1"]

    def test_no_new_work_while_it_leaves_either(self):
        view = RelayView(DRAIN_S)
        view.put(member())
        view.put(member(revision=2, leaving=True), 5.0)
        assert view.recently_leaving("s", 5.1)
        view.mark_unreadable("i1", 3)
        assert view.recently_leaving("s", 5.1) == []

    def test_an_unreadable_entry_of_an_unknown_endpoint_adds_none(self):
        view = RelayView(DRAIN_S)
        view.mark_unreadable("i1", 2)
        assert view.members == {}


class EndpointMachine(RuleBasedStateMachine):
    """An endpoint that restarts, with late entries and outages of the store."""

    def __init__(self):
        super().__init__()
        self.view = RelayView(DRAIN_S)
        self.view.on_restart = lambda _id: self.restarts.append(self.now)
        self.restarts = []
        self.now = 0.0
        self.revision = 0
        self.born = 1
        self.newest = 0
        self.written_entries = []

    def _write(self, born, leaving):
        self.revision += 1
        written = member("i1", self.revision, leaving, born)
        self.written_entries.append(written)
        return written

    @rule()
    def endpoint_restarts(self):
        self.born += 1
        self.view.put(self._write(self.born, False), self.now)
        self.newest = self.born

    @rule(leaving=st.booleans())
    def is_listed(self, leaving):
        self.view.put(self._write(self.born, leaving), self.now)
        self.newest = max(self.newest, self.born)

    @rule(back=st.integers(1, 3), leaving=st.booleans())
    def a_late_entry_of_an_older_start(self, back, leaving):
        if self.born - back >= 1:
            self.view.put(self._write(self.born - back, leaving), self.now)
            self.newest = max(self.newest, self.born - back)

    @rule(data=st.data())
    def a_peer_sends_an_old_entry(self, data):
        if self.written_entries:
            self.view.put(data.draw(st.sampled_from(self.written_entries)), self.now)

    @rule()
    def entry_is_unreadable(self):
        self.revision += 1
        self.view.mark_unreadable("i1", self.revision)

    @rule(grace=st.booleans())
    def list_without_it(self, grace):
        self.revision += 1
        self.view.replace([], self.revision, self.now + 1.9 if grace else None)

    @rule(seconds=st.floats(0.0, 3.0))
    def time_passes(self, seconds):
        self.now += seconds
        self.view.expire(self.now)

    @invariant()
    def only_the_newest_start_is_known(self):
        known = self.view.members.get("i1")
        if known is not None:
            assert known.incarnation == self.newest
            assert known.revision <= self.revision

    @invariant()
    def only_a_leaving_endpoint_has_leave_times(self):
        known = self.view.members.get("i1")
        if known is None or not known.leaving:
            assert self.view.leaving_age("i1", self.now) is None
            assert self.view.leaves_at("i1") is None


TestEndpointMachine = EndpointMachine.TestCase


class TestOwnReport:
    """A process that reports that it leaves gets no work, whatever the list says."""

    @pytest.fixture
    def own_reports(self):
        """When processes reported that they leave, by process."""
        return {}

    @pytest.fixture
    def view(self, own_reports):
        view = RelayView(2.0)
        view.own_leaving_since = own_reports.get
        view.put(member())
        return view

    def test_it_gets_new_work_only_at_first(self, view, own_reports):
        own_reports[member().process] = 10.0
        view.process_leaving(member().process)
        assert not view.of_service("s")
        assert [m.endpoint_id for m, _left in view.recently_leaving("s", 10.5)] == [
            "i1"
        ]
        assert not view.recently_leaving("s", 11.5)

    def test_a_newer_entry_of_the_list_does_not_undo_the_report(
        self, view, own_reports
    ):
        own_reports[member().process] = 10.0
        view.process_leaving(member().process)
        view.put(member(revision=2))
        assert not view.of_service("s")

    def test_the_earlier_of_both_reports_counts(self, view, own_reports):
        view.put(member(revision=2, leaving=True), observed_at=9.5)
        own_reports[member().process] = 10.0
        view.process_leaving(member().process)
        assert view.leaving_age("i1", 10.5) == 1.0

    def test_a_leaving_endpoint_of_unknown_age_gets_no_work(self, view, own_reports):
        view.put(member("i2", leaving=True))
        own_reports[member("i2").process] = 10.0
        view.process_leaving(member("i2").process)
        assert not view.recently_leaving("s", 10.1)
        view.put(member("i2", revision=2, leaving=True))
        assert not view.recently_leaving("s", 10.1)

    def test_a_report_before_the_first_entry_counts(self, view, own_reports):
        own_reports[member("i2").process] = 10.0
        view.process_leaving(member("i2").process)
        view.put(member("i2"))
        assert [m.endpoint_id for m in view.of_service("s")] == ["i1"]

    def test_the_report_does_not_apply_to_a_restarted_process(self, view, own_reports):
        own_reports[member().process] = 10.0
        view.process_leaving(member().process)
        view.put(member(revision=2, born=5))
        assert len(view.of_service("s")) == 1
