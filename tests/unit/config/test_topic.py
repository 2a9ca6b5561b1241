"""Gossip of the configuration: deltas, complete contents in parts, malformed data."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonydeal._internal.config.delta import compute_delta, split
from ebonydeal._internal.config.examples import example_document
from ebonydeal._internal.config.rows import Content, VersionInfo
from ebonydeal._internal.config.topic import MAX_RECENT_VERSIONS, ConfigTopic
from ebonydeal._internal.observe.counters import Event, Metrics

PART = {"whole", "start", "total", "items"}
anything = st.recursive(
    st.none() | st.text(max_size=3) | st.integers() | st.floats(),
    lambda inner: st.lists(inner, max_size=3),
    max_leaves=5,
)


def version_infos(count):
    infos = []
    old = {}
    for version in range(1, count + 1):
        document = example_document("palermo")
        document["deployments"][0]["replicas"]["max"] = 100 + version
        new = split(document)
        delta = compute_delta(old, new)
        infos.append(VersionInfo(version, "nia", 1.0, "", f"p{version}", delta))
        old = new
    return infos


def topic(count=0, limit=64 * 1024):
    made = ConfigTopic(Metrics(), lambda document, info: None, limit)
    made.adopt_versions(version_infos(count))
    return made


def max_replicas(config_topic):
    return config_topic.document.deployments["luggage"].max_replicas


def exchange(source, target):
    """Run one round; return whether anything was sent."""
    payload = source.payload_for(target.digest())
    if payload is not None:
        target.receive(payload)
    return payload is not None


class TestSpread:
    def test_missing_versions_are_sent(self):
        source, target = topic(5), topic(3)
        assert set(source.payload_for(target.digest())) == {"versions"}
        assert exchange(source, target)
        assert (target.document.version, max_replicas(target)) == (5, 105)
        assert not exchange(source, target)

    def test_pushed_versions_are_adopted(self):
        target = topic(3)
        target.receive([info.to_row() for info in version_infos(5)])
        assert (target.document.version, max_replicas(target)) == (5, 105)

    def test_nothing_is_sent_to_an_equal_or_newer_peer(self):
        assert topic(3).payload_for(topic(5).digest()) is None
        assert topic(3).payload_for(topic(3).digest()) is None

    def test_versions_are_split_at_the_size_limit(self):
        source, target = topic(6, limit=1500), topic(1)
        rounds = 0
        while exchange(source, target):
            rounds += 1
        assert rounds > 1
        assert target.content == source.content

    def test_new_node_gets_the_complete_content_in_parts(self):
        source, target = topic(MAX_RECENT_VERSIONS + 5, limit=600), topic()
        parts = 0
        while exchange(source, target):
            parts += 1
        assert parts > 3
        assert target.content == source.content

    def test_parts_restart_with_a_newer_version(self):
        old = topic(MAX_RECENT_VERSIONS + 5, limit=600)
        new = topic(MAX_RECENT_VERSIONS + 6, limit=600)
        target = topic()
        exchange(old, target)
        while exchange(new, target):
            pass
        assert target.content == new.content

    def test_repeated_part_is_ignored(self):
        source, target = topic(MAX_RECENT_VERSIONS + 5, limit=600), topic()
        first = source.payload_for(target.digest())
        target.receive(first)
        target.receive(first)
        while exchange(source, target):
            pass
        assert target.content == source.content


class TestNeverOlder:
    def test_older_version_is_ignored_and_counted(self):
        target = topic(5)
        target.receive({"versions": [info.to_row() for info in version_infos(3)]})
        target.adopt_content(Content(2, {}))
        assert (target.document.version, max_replicas(target)) == (5, 105)
        assert target._metrics.value("events", Event.CONFIG_OLDER_IGNORED) == 4

    def test_version_after_a_gap_is_not_adopted(self):
        target = topic(2)
        target.receive({"versions": [version_infos(4)[3].to_row()]})
        assert target.document.version == 2


class TestMalformedData:
    @pytest.mark.parametrize(
        "payload",
        [
            {},
            {"versions": [{}]},
            {"versions": "x"},
            {"whole": 9, "items": []},
            {"whole": 9, "start": 0, "total": 1, "items": [[1]]},
            {"whole": 9, "start": 0, "total": 1, "items": [["a", "b", 3]]},
            {"whole": 9, "start": 0, "total": 1, "items": [["accounts", "b", {}]]},
        ],
    )
    def test_malformed_payload_is_dropped(self, payload):
        target = topic(2)
        target.receive(payload)
        assert (target.document.version, max_replicas(target)) == (2, 102)

    @given(
        st.dictionaries(st.sampled_from(["version", "partial"]), anything) | anything
    )
    def test_malformed_digest_gets_none_or_a_valid_payload(self, peer_digest):
        payload = topic(2).payload_for(peer_digest)
        assert payload is None or set(payload) in ({"versions"}, PART)

    @given(st.dictionaries(st.sampled_from([*PART, "versions"]), anything) | anything)
    def test_random_payload_changes_nothing(self, payload):
        target = topic(2)
        target.receive(payload)
        assert (target.document.version, max_replicas(target)) == (2, 102)
