from ebonydeal._internal.models.forwarding import ClientLimits, Member, RouteTable
from ebonydeal._internal.relay.view import LAPSE_GRACE_S, RelayView

DRAIN_S = 2.0
LAST_RESORT_S = 1.3


def member(name="i1", revision=1, leaving=False):
    return Member(name, "s", "h:1", "z", 8, leaving, None, True, 0.0, revision)


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
