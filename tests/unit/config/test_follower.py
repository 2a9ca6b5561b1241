"""The follower polls, survives outages and never adopts an older version."""

import random

import pytest

from ebonydeal._internal.config.examples import example_document
from ebonydeal._internal.config.follower import ConfigFollower, poll_interval
from ebonydeal._internal.config.store import ConfigStore
from ebonydeal._internal.models.document import EMPTY_DOCUMENT
from ebonydeal._internal.observe.counters import Event, Metrics, RetryReason, Timing
from ebonydeal._internal.settings.config import ConfigSettings
from tests.lib.clock import ManualClock
from tests.lib.config_fakes import AutoAdvancingClock, FakeTables


@pytest.fixture
def tables():
    return FakeTables()


@pytest.fixture
def metrics():
    return Metrics()


@pytest.fixture
def follower(tables, metrics):
    return ConfigFollower(tables, metrics, AutoAdvancingClock(), random.Random(1))


async def accept(tables, version, max_replicas):
    document = example_document("palermo")
    document["deployments"][0]["replicas"]["max"] = max_replicas
    store = ConfigStore(tables, AutoAdvancingClock(), random.Random(version))
    return (await store.propose(document, version - 1, "nia", "")).unwrap()


class TestRefresh:
    async def test_empty_before_the_first(self, follower):
        await follower.refresh()
        assert follower.document == EMPTY_DOCUMENT

    async def test_callbacks_see_each_version_in_order(self, follower, tables):
        seen = []
        follower.on_change(lambda document: seen.append(document.version))
        await accept(tables, 1, 80)
        await follower.refresh()
        await accept(tables, 2, 81)
        await accept(tables, 3, 82)
        await follower.refresh()
        assert seen == [1, 2, 3]
        assert follower.document.deployments["luggage"].max_replicas == 82

    async def test_failing_callback_does_not_stop_others(self, follower, tables):
        seen = []

        def failing(document):
            raise RuntimeError("a bug elsewhere")

        follower.on_change(failing)
        follower.on_change(lambda document: seen.append(document.version))
        await accept(tables, 1, 80)
        await follower.refresh()
        assert seen == [1]

    async def test_poll_without_a_change_is_one_read(self, follower, tables):
        await accept(tables, 1, 80)
        await follower.refresh()
        tables.calls.clear()
        await follower.refresh()
        assert tables.calls == ["get"]

    async def test_follower_far_behind_reads_the_complete_content(
        self, follower, tables
    ):
        await accept(tables, 1, 50)
        await follower.refresh()
        for version in range(2, 60):
            await accept(tables, version, 50 + version)
        tables.calls.clear()
        await follower.refresh()
        assert follower.document.version == 59
        assert len(tables.calls) == 4

    async def test_last_version_is_kept_in_an_outage(self, follower, tables, metrics):
        await accept(tables, 1, 80)
        await follower.refresh()
        tables.down = True
        assert not await follower.try_refresh()
        assert follower.document.version == 1
        assert metrics.value("retries", RetryReason.STORE) == 1

    async def test_peers_deliver_a_version_during_an_outage(self, follower, tables):
        await accept(tables, 1, 80)
        await follower.refresh()
        other = ConfigFollower(
            tables, Metrics(), AutoAdvancingClock(), random.Random(2)
        )
        await accept(tables, 2, 81)
        await other.refresh()
        tables.down = True
        follower.topic.receive(other.topic.payload_for(follower.topic.digest()))
        assert follower.document == other.document
        assert follower.document.version == 2

    async def test_older_version_in_the_table_is_ignored(
        self, follower, tables, metrics
    ):
        await accept(tables, 1, 80)
        old = dict(tables.rows)
        await accept(tables, 2, 81)
        await follower.refresh()
        tables.rows = old
        await follower.refresh()
        assert follower.document.version == 2
        assert metrics.value("events", Event.CONFIG_OLDER_IGNORED) == 1

    async def test_spread_is_measured_from_acceptance(self, tables, metrics):
        clock = AutoAdvancingClock()
        follower = ConfigFollower(tables, metrics, clock, random.Random(1))
        await accept(tables, 1, 80)
        await follower.refresh()
        await accept(tables, 2, 81)
        clock.time = 1_004.0
        await follower.refresh()
        assert metrics.quantile(Timing.CONFIG_SPREAD, 50) == pytest.approx(4, rel=0.02)

    async def test_malformed_rows_do_not_raise(self, follower, tables):
        await accept(tables, 1, 80)
        key = "config/items/deployments/luggage"
        tables.rows[key] = tables.rows[key]._replace(value={"version": 1})
        assert not await follower.try_refresh()
        assert follower.document == EMPTY_DOCUMENT


class TestPolling:
    async def test_new_version_is_adopted_within_an_interval(self, tables, metrics):
        clock = ManualClock()
        follower = ConfigFollower(tables, metrics, clock, random.Random(1))
        await follower.start()
        await accept(tables, 1, 80)
        await clock.advance(1.25)
        assert follower.document.version == 1
        await follower.stop()

    def test_interval_grows_with_the_number_of_processes(self):
        cfg = ConfigSettings()
        assert poll_interval(cfg, 9) == 1.0
        assert 350 / poll_interval(cfg, 350) == 200.0
