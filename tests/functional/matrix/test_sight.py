import pytest

from ebonydeal._internal.config import store
from ebonydeal._internal.config.topic import ConfigTopic
from ebonydeal._internal.errors import ErrorKind
from ebonydeal._internal.journal import attempts
from ebonydeal._internal.journal.appender import Appender, Verdict
from ebonydeal._internal.journal.attempts import Attempts
from ebonydeal._internal.journal.bodies import Bodies
from ebonydeal._internal.journal.dispatcher import Dispatcher
from ebonydeal._internal.journal.rows import bodies_prefix, snapshots_prefix
from tests.lib.matrix import Channel, Column, Row, Strike, When
from tests.lib.matrix_endpoints import Directory
from tests.lib.matrix_run import run_strikes

pytestmark = pytest.mark.fault_matrix


async def all_objects(self):
    bodies = await self._objects.names(bodies_prefix(self._shard))
    return bodies + await self._objects.names(snapshots_prefix(self._shard))


async def no_record(self, job, view):
    return None


async def own_row(self, key, token, if_absent):
    return Verdict.DURABLE


async def no_drain(self, book, limit):
    return True


def broken(row, column, channel, when=When.BEFORE, victim=""):
    return run_strikes((Strike(row, column, channel, when, victim),)).broken


class TestBrokenRulesAreSeen:
    def test_a_stale_owner_sweeps_what_is_in_use(self, monkeypatch):
        monkeypatch.setattr(Bodies, "former", all_objects)
        found = broken(
            Row.PAUSED, Column.HAND_OVER, Channel.OBJECTS, When.BEFORE, "names"
        )
        assert "covers1 has no end" in found

    def test_dispatch_without_a_record(self, monkeypatch):
        monkeypatch.setattr(Attempts, "_grant", no_record)
        found = broken(Row.CRASH, Column.ACCEPT, Channel.PEER, When.AFTER)
        assert "note1 ran 2 times" in found

    def test_not_run_without_proof(self, monkeypatch):
        kinds = (*attempts.PROOFS, ErrorKind.ENDPOINT_FAILED)
        monkeypatch.setattr(attempts, "PROOFS", kinds)
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
        found = broken(Row.CRASH, Column.HAND_OVER, Channel.OBJECTS, When.BEFORE, "get")
        assert found != []

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
