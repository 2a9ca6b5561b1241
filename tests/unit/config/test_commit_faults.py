"""A proposal takes effect at most once under each fault at each table call."""

import random

import pytest
from returns.result import Success

from ebonydeal._internal.config.examples import example_document
from ebonydeal._internal.config.store import ConfigStore
from ebonydeal._internal.errors import EbonydealError, ErrorKind
from tests.lib.config_fakes import AutoAdvancingClock, FakeTables

FAULTS = ["down", "lost", "late"]
# Table calls of a proposal with an id: own version, head, commit. From the second
# version on, the items and the head are read before the commit.
CALLS = {0: 3, 1: 5}
POINTS = [
    (base, step, fault)
    for base, calls in CALLS.items()
    for step in range(calls)
    for fault in FAULTS
]


def edited(max_replicas):
    document = example_document("cadwaladr")
    document["deployments"][0]["replicas"]["max"] = max_replicas
    return document


async def prepared(base):
    tables = FakeTables()
    store = ConfigStore(tables, AutoAdvancingClock(), random.Random(1))
    for version in range(base):
        await store.propose(edited(90 + version), version, "nia", "")
    tables.calls.clear()
    tables.written.clear()
    return tables, store


async def attempt(store, base):
    """Return the outcome as a version, or the error's kind."""
    try:
        result = await store.propose(edited(50), base, "rhys", "", proposal="p-1")
    except EbonydealError as exc:
        return exc.kind
    return result.unwrap()


class TestCalls:
    @pytest.mark.parametrize("base", CALLS)
    async def test_number_of_table_calls_of_a_proposal(self, base):
        tables, store = await prepared(base)
        assert await attempt(store, base) == base + 1
        assert len(tables.calls) == CALLS[base]


class TestOneFault:
    @pytest.mark.parametrize(("base", "step", "fault"), POINTS)
    async def test_outcome_is_true_and_commit_happens_once(self, base, step, fault):
        tables, store = await prepared(base)
        tables.faults = ["ok"] * step + [fault]
        outcome = await attempt(store, base)
        if step == CALLS[base] - 1:
            assert outcome == base + 1
        else:
            assert outcome == ErrorKind.STORE_UNAVAILABLE
            assert tables.written == []
        tables.apply_late_writes()
        assert await attempt(store, base) == base + 1
        assert tables.written.count("config/head") == 1

    @pytest.mark.parametrize("base", CALLS)
    @pytest.mark.parametrize("fault", FAULTS)
    async def test_commit_fault_followed_by_an_outage(self, base, fault):
        tables, store = await prepared(base)
        tables.write_faults = [fault, *["down"] * 30]
        outcome = await attempt(store, base)
        known = fault == "down"
        assert outcome == (
            ErrorKind.STORE_UNAVAILABLE if known else ErrorKind.STORE_IN_DOUBT
        )
        tables.write_faults = []
        tables.apply_late_writes()
        assert await attempt(store, base) == base + 1
        assert tables.written.count("config/head") == 1


class TestPairsOfFaults:
    @pytest.mark.parametrize("first", FAULTS)
    @pytest.mark.parametrize("second", FAULTS)
    @pytest.mark.parametrize("reading", ["ok", "down"])
    async def test_two_faults_at_the_commit(self, first, second, reading):
        tables, store = await prepared(1)
        tables.faults = ["ok"] * 4 + [first, second, reading]
        assert await attempt(store, 1) == 2
        tables.apply_late_writes()
        assert await store.load() == await store.load(2)
        assert tables.written.count("config/head") == 1

    @pytest.mark.parametrize("fault", FAULTS)
    async def test_conflict_if_another_wins_after_the_fault(self, fault):
        tables, store = await prepared(1)
        task = store.propose(edited(50), 1, "rhys", "", proposal="p-1")
        for _ in range(5):
            task.send(None)
        tables.faults = [fault]
        task.send(None)  # hits the fault; the next step is another attempt
        other = ConfigStore(tables, AutoAdvancingClock(), random.Random(2))
        other_won = await other.propose(edited(70), 1, "nia", "") == Success(2)
        assert other_won == (fault != "lost")
        tables.apply_late_writes()
        with pytest.raises(StopIteration) as stop:
            while True:
                task.send(None)
        if other_won:
            conflict = stop.value.value.failure()
            assert [info.by for info in conflict.versions] == ["nia"]
        else:
            assert stop.value.value == Success(2)
