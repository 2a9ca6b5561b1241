import pytest

from ebonydeal._internal.config import store
from ebonydeal._internal.config.topic import ConfigTopic
from ebonydeal._internal.errors import ErrorKind
from ebonydeal._internal.journal import attempts, owner, snapshots
from ebonydeal._internal.journal.appender import Appender, WriteOutcome
from ebonydeal._internal.journal.attempts import Attempts
from ebonydeal._internal.journal.dispatcher import Dispatcher
from ebonydeal._internal.journal.rows import snapshot_key
from tests.lib.matrix import Channel, Column, Row, Strike, When
from tests.lib.matrix_endpoints import Directory
from tests.lib.matrix_run import run_strikes

pytestmark = pytest.mark.fault_matrix


async def replay_once(tables, objects, shard):
    found = await tables.get(snapshot_key(shard))
    return await snapshots._replay_from(tables, objects, shard, found)


async def no_record(self, job, view):
    return None


async def own_row(self, key, token, if_absent):
    return WriteOutcome.DURABLE


async def no_drain(self, journal, timeout):
    return True


def broken(row, column, channel, when=When.BEFORE, victim=""):
    return run_strikes((Strike(row, column, channel, when, victim),)).broken


class TestBrokenRulesAreSeen:
    def test_a_replay_that_misses_trimmed_rows(self, monkeypatch):
        monkeypatch.setattr(owner, "replay", replay_once)
        found = broken(Row.PAUSED, Column.HAND_OVER, Channel.OBJECTS, When.AFTER, "get")
        assert any("covers2 has no end" in text for text in found)

    def test_dispatch_without_a_record(self, monkeypatch):
        monkeypatch.setattr(Attempts, "_grant", no_record)
        found = broken(Row.CRASH, Column.ACCEPT, Channel.PEER, When.AFTER)
        assert "note1 ran 2 times" in found

    def test_not_run_without_proof(self, monkeypatch):
        kinds = (*attempts.NOT_RUN_ERRORS, ErrorKind.ENDPOINT_FAILED)
        monkeypatch.setattr(attempts, "NOT_RUN_ERRORS", kinds)
        found = broken(Row.CRASH, Column.DISPATCH, Channel.HOST, When.AFTER, "note1")
        assert found == ["note1 ran 2 times"]

    def test_a_fenced_row_taken_for_an_own_one(self, monkeypatch):
        monkeypatch.setattr(Appender, "_read_back", own_row)
        found = broken(Row.PAUSED, Column.ACCEPT, Channel.PEER, When.AFTER)
        assert any("is lost" in text for text in found)

    def test_work_for_a_leaving_endpoint(self, monkeypatch):
        monkeypatch.setattr(Directory, "is_leaving", lambda self, view: False)
        found = broken(
            Row.NOTICE, Column.DISPATCH, Channel.ENDPOINT, When.BEFORE, "covers1"
        )
        assert any("while leaving" in text for text in found)

    def test_a_planned_stop_that_cuts_runs_off(self, monkeypatch):
        monkeypatch.setattr(Dispatcher, "drain", no_drain)
        found = broken(Row.NOTICE, Column.ACCEPT, Channel.PEER)
        assert "note2 ended as unknown" in found

    def test_a_commit_without_a_comparison(self, monkeypatch):
        real = store._transaction
        monkeypatch.setattr(store, "_transaction", lambda info: ([], real(info)[1]))
        found = broken(Row.PAUSED, Column.CONFIG_COMMIT, Channel.TABLE)
        assert any("history" in text for text in found)

    def test_a_node_that_takes_an_older_version(self, monkeypatch):
        def adopt(self, content):
            self._adopt(content, None)

        monkeypatch.setattr(ConfigTopic, "adopt_content", adopt)
        monkeypatch.setattr(ConfigTopic, "adopt_versions", lambda self, infos: None)
        found = broken(Row.TABLE_SLOW, Column.CONFIG_SPREAD, Channel.TABLE)
        assert any(" went from " in text for text in found)
