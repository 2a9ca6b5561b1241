"""A commit takes effect once under every fault of the simulated tables."""

import random

import pytest

from ebonydeal._internal.config.examples import example_document
from ebonydeal._internal.config.store import ConfigStore
from ebonydeal._internal.standin.faults import Fault
from ebonydeal._internal.standin.memory import MemoryTables
from tests.lib.config_fakes import AutoAdvancingClock


def document(max_replicas):
    changed = example_document("palermo")
    changed["deployments"][0]["replicas"]["max"] = max_replicas
    return changed


@pytest.fixture
def tables():
    return MemoryTables(AutoAdvancingClock())


@pytest.fixture
def store(tables):
    return ConfigStore(tables, AutoAdvancingClock(), random.Random(1))


class TestCommitFaults:
    @pytest.mark.parametrize("first", Fault)
    @pytest.mark.parametrize("second", Fault)
    async def test_version_is_accepted_once(self, tables, store, first, second):
        await store.propose(document(75), 0, "nia", "")
        tables.faults.writes.extend([first, second])
        assert (await store.propose(document(80), 1, "nia", "")).unwrap() == 2
        tables.apply_late_writes()
        assert (await store.load()).version == 2
        assert (await store.load()) == (await store.load(2))

    @pytest.mark.parametrize("fault", Fault)
    async def test_late_write_does_not_restore_an_old_version(
        self, tables, store, fault
    ):
        await store.propose(document(75), 0, "nia", "")
        tables.faults.writes.append(fault)
        await store.propose(document(80), 1, "nia", "")
        tables.faults.writes.clear()
        await store.propose(document(85), 2, "nia", "")
        await store.propose(document(75), 3, "nia", "")
        tables.apply_late_writes()
        content = await store.load()
        assert content == await store.load(4)
        assert [info.version for info in await store.history()] == [4, 3, 2, 1]
