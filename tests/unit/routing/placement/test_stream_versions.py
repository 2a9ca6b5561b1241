"""Which version began a stream, and which versions a service has had."""

from ebonydeal._internal.routing.placement.stream_versions import (
    StreamStart,
    StreamStarts,
    VersionHistory,
)

LIFETIME_S = 10.0


def start(request_id="r1", version="v1", until=20.0, service="s"):
    return StreamStart(request_id, service, version, until)


class TestStreamStarts:
    def test_keeps_the_version_that_began_the_stream(self):
        starts = StreamStarts()
        starts.record(start(version="v1"))
        starts.record(start(version="v2"))
        assert starts.version("r1", 1.0) == "v1"

    def test_is_kept_for_longer_once_resumed(self):
        starts = StreamStarts()
        starts.record(start(until=20.0))
        starts.record(start(until=30.0))
        starts.record(start(until=25.0))
        assert starts.version("r1", 29.0) == "v1"
        assert starts.version("r1", 30.0) is None

    def test_forgets_streams_that_have_ended(self):
        starts = StreamStarts()
        starts.record(start("r1", until=20.0))
        starts.record(start("r2", until=30.0))
        starts.expire(25.0)
        assert starts.of_services({"s"}, 0.0) == [start("r2", until=30.0)]

    def test_forgets_the_oldest_where_there_are_too_many(self):
        starts = StreamStarts(max_starts=2)
        for request_id in ("r1", "r2", "r1", "r3"):
            starts.record(start(request_id))
        known = [starts.version(request_id, 1.0) for request_id in ("r1", "r2", "r3")]
        assert known == ["v1", None, "v1"]

    def test_lists_streams_of_some_services(self):
        starts = StreamStarts()
        starts.record(start("r1", service="s"))
        starts.record(start("r2", service="t"))
        assert starts.of_services({"t"}, 1.0) == [start("r2", service="t")]


def followed(history, listed, begin, end):
    """Update at each second."""
    for now in range(begin, end):
        history.update(listed, float(now))


class TestVersionHistory:
    def test_sole_version_is_known_after_a_lifetime(self):
        history = VersionHistory(LIFETIME_S)
        followed(history, {"s": ["v1"]}, 0, 10)
        assert history.sole_version("s", 9.5) is None
        followed(history, {"s": ["v1"]}, 10, 12)
        assert history.sole_version("s", 11.0) == "v1"

    def test_version_that_is_gone_counts_for_a_lifetime(self):
        history = VersionHistory(LIFETIME_S)
        followed(history, {"s": ["v1", "v2"]}, 0, 21)
        followed(history, {"s": ["v2"]}, 21, 31)
        assert history.versions("s", 30.0) == {"v1", "v2"}
        assert history.sole_version("s", 30.0) is None
        followed(history, {"s": ["v2"]}, 31, 33)
        assert history.sole_version("s", 32.0) == "v2"

    def test_suspended_relay_may_have_missed_a_version(self):
        history = VersionHistory(LIFETIME_S)
        followed(history, {"s": ["v1"]}, 0, 20)
        assert history.sole_version("s", 25.0) is None
        followed(history, {"s": ["v1"]}, 25, 30)
        assert history.sole_version("s", 29.0) is None

    def test_changes_since_a_suspension_close_the_gap(self):
        history = VersionHistory(LIFETIME_S)
        followed(history, {"s": ["v1"]}, 0, 20)
        history.update({"s": ["v1"]}, 25.0, is_continuous=True)
        assert history.sole_version("s", 25.0) == "v1"

    def test_look_at_a_list_that_was_not_read_since_is_no_news(self):
        history = VersionHistory(LIFETIME_S)
        for now in range(20):
            history.update({"s": ["v1"]}, float(now), min(now, 15.0))
        assert history.read_until == 15.0
        assert history.sole_version("s", 19.0) is None
        assert history.is_gapless(19.0)

    def test_restart_after_which_a_lifetime_is_unknown(self):
        history = VersionHistory(LIFETIME_S)
        followed(history, {"s": ["v1"]}, 0, 20)
        history.restart()
        assert not history.is_gapless(28.0)
        assert history.is_gapless(29.0)

    def test_second_version_is_reported_once(self):
        history = VersionHistory(LIFETIME_S)
        assert history.update({"s": ["v1"], "t": ["v1"]}, 0.0) == set()
        assert history.update({"s": ["v1", "v2"], "t": ["v1"]}, 1.0) == {"s"}
        assert history.update({"s": ["v1", "v2"], "t": ["v1"]}, 2.0) == set()

    def test_version_that_the_list_does_not_show_yet_counts(self):
        history = VersionHistory(LIFETIME_S)
        followed(history, {"s": ["v1"]}, 0, 20)
        assert history.note("s", ["v2"], 19.0)
        assert history.sole_version("s", 19.0) is None

    def test_restored_versions_count_for_a_lifetime(self):
        history = VersionHistory(LIFETIME_S)
        history.restore({"s": ["v1"]}, 0.0)
        followed(history, {"s": ["v2"]}, 0, 10)
        assert history.sole_version("s", 9.5) is None
        followed(history, {"s": ["v2"]}, 10, 13)
        assert history.sole_version("s", 12.0) == "v2"

    def test_restored_version_that_is_still_the_only_one_is_known_at_once(self):
        history = VersionHistory(LIFETIME_S)
        history.restore({"s": ["v1"]}, 100.0)
        history.update({"s": ["v1"]}, 100.1)
        assert history.sole_version("s", 100.2) == "v1"

    def test_unknown_service_has_no_version(self):
        assert VersionHistory(LIFETIME_S).sole_version("s", 1.0) is None
