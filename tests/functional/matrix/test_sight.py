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


async def skip_dispatch_record(self, job, view):
    return None


async def treat_row_as_own(self, key, token, if_absent):
    return WriteOutcome.DURABLE


async def skip_drain(self, journal, timeout):
    return True


def find_broken(row, column, channel, when=When.BEFORE, victim=""):
    return run_strikes((Strike(row, column, channel, when, victim),)).broken


class TestBrokenRulesAreDetected:
    def test_detects_a_replay_that_misses_trimmed_rows(self, monkeypatch):
        monkeypatch.setattr(owner, "replay", replay_once)
        found = find_broken(
            Row.PAUSED, Column.HAND_OVER, Channel.OBJECTS, When.AFTER, "get"
        )
        assert any("covers2 is not final" in text for text in found)

    def test_detects_dispatch_without_a_record(self, monkeypatch):
        monkeypatch.setattr(Attempts, "_grant", skip_dispatch_record)
        found = find_broken(Row.CRASH, Column.ACCEPT, Channel.PEER, When.AFTER)
        assert "note1 ran 2 times" in found

    def test_detects_not_run_without_proof(self, monkeypatch):
        kinds = (*attempts.NOT_RUN_ERRORS, ErrorKind.ENDPOINT_FAILED)
        monkeypatch.setattr(attempts, "NOT_RUN_ERRORS", kinds)
        found = find_broken(
            Row.CRASH, Column.DISPATCH, Channel.HOST, When.AFTER, "note1"
        )
        assert found == ["note1 ran 2 times"]

    def test_detects_a_foreign_row_treated_as_own(self, monkeypatch):
        monkeypatch.setattr(Appender, "_read_back", treat_row_as_own)
        found = find_broken(Row.PAUSED, Column.ACCEPT, Channel.PEER, When.AFTER)
        assert any("is lost" in text for text in found)

    def test_detects_requests_to_a_leaving_endpoint(self, monkeypatch):
        monkeypatch.setattr(Directory, "is_leaving", lambda self, view: False)
        found = find_broken(
            Row.NOTICE, Column.DISPATCH, Channel.ENDPOINT, When.BEFORE, "covers1"
        )
        assert any("while leaving" in text for text in found)

    def test_detects_a_planned_stop_that_interrupts_runs(self, monkeypatch):
        monkeypatch.setattr(Dispatcher, "drain", skip_drain)
        found = find_broken(Row.NOTICE, Column.ACCEPT, Channel.PEER)
        assert "note2 ended as unknown" in found

    def test_detects_a_commit_without_a_comparison(self, monkeypatch):
        real = store._transaction
        monkeypatch.setattr(store, "_transaction", lambda info: ([], real(info)[1]))
        found = find_broken(Row.PAUSED, Column.CONFIG_COMMIT, Channel.TABLE)
        assert any("history" in text for text in found)

    def test_detects_a_node_that_applies_an_older_version(self, monkeypatch):
        def adopt(self, content):
            self._adopt(content, None)

        monkeypatch.setattr(ConfigTopic, "adopt_content", adopt)
        monkeypatch.setattr(ConfigTopic, "adopt_versions", lambda self, infos: None)
        found = find_broken(Row.TABLE_SLOW, Column.CONFIG_SPREAD, Channel.TABLE)
        assert any(" went from " in text for text in found)
