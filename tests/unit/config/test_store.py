"""The store: atomic commits, one winner per version, recovery of lost responses."""

import random

import pytest
from returns.result import Failure, Success

from ebonydeal._internal.config.delta import ItemKey, join, split
from ebonydeal._internal.config.examples import example_document
from ebonydeal._internal.config.store import ConfigStore, Conflict
from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.outside.interfaces import Offer
from tests.lib.config_fakes import AutoAdvancingClock, FakeTables


@pytest.fixture
def tables():
    return FakeTables()


@pytest.fixture
def store(tables):
    return ConfigStore(tables, AutoAdvancingClock(), random.Random(1))


def edited(max_replicas, name="cadwaladr"):
    document = example_document(name)
    document["deployments"][0]["replicas"]["max"] = max_replicas
    return document


class TestPropose:
    async def test_first_version(self, store):
        assert await store.propose(edited(90), 0, "nia", "first") == Success(1)
        content = await store.load()
        assert content.version == 1
        assert content.items == split(example_document("cadwaladr"))

    async def test_one_change_writes_only_its_items(self, store, tables):
        await store.propose(edited(90), 0, "nia", "")
        tables.written.clear()
        assert await store.propose(edited(80), 1, "nia", "") == Success(2)
        assert tables.written == [
            "config/items/deployments/kitchen",
            "config/versions/000000000002",
            "config/head",
        ]

    async def test_removed_item_is_deleted(self, store, tables):
        await store.propose(edited(90), 0, "nia", "")
        document = edited(90)
        del document["deployments"][1]
        assert await store.propose(document, 1, "nia", "") == Success(2)
        assert "config/items/deployments/paperwork" not in tables.rows

    async def test_invalid_document_writes_nothing(self, store, tables):
        document = edited(90)
        document["deployments"][0]["zones"] = ["nowhere"]
        document["currency"] = "GBP"
        (problem,) = (await store.propose(document, 0, "nia", "")).failure()
        assert problem.where == "deployments[0].zones[0]"
        assert tables.written == []

    async def test_ceiling_below_every_offer_writes_nothing(self, store, tables):
        offers = [Offer("de-cymru-1", "m", True, 900.0, 0.0, 1)]
        refused = await store.propose(edited(90), 0, "nia", "", offers=offers)
        assert [p.where for p in refused.failure()] == [
            "deployments[0].price_ceiling_per_hour",
            "deployments[1].price_ceiling_per_hour",
        ]
        assert tables.written == []

    async def test_same_content_makes_no_new_version(self, store, tables):
        await store.propose(edited(90), 0, "nia", "")
        tables.written.clear()
        assert await store.propose(edited(90), 1, "nia", "") == Success(1)
        assert tables.written == []


class TestTwoOperators:
    async def test_second_operator_gets_the_changes(self, store):
        await store.propose(edited(90), 0, "nia", "")
        assert await store.propose(edited(80), 1, "nia", "fewer") == Success(2)
        conflict = (await store.propose(edited(70), 1, "rhys", "")).failure()
        assert isinstance(conflict, Conflict)
        assert (conflict.base, conflict.head) == (1, 2)
        assert [(v.by, v.note) for v in conflict.versions] == [("nia", "fewer")]
        assert [str(line) for line in conflict.differences] == [
            "~ deployments/kitchen replicas.max: 90 -> 80"
        ]

    async def test_base_version_that_does_not_exist_conflicts(self, store):
        conflict = (await store.propose(edited(90), 5, "nia", "")).failure()
        assert conflict == Conflict(5, 0, (), ())

    async def test_one_of_two_interleaved_proposals_wins(self, store, tables):
        await store.propose(edited(90), 0, "nia", "")
        outcomes = {}
        running = {
            "nia": store.propose(edited(80), 1, "nia", ""),
            "rhys": store.propose(edited(70), 1, "rhys", ""),
        }
        while running:
            for name, task in list(running.items()):
                try:
                    task.send(None)
                except StopIteration as stop:
                    outcomes[name] = stop.value
                    del running[name]
        winners = [name for name, end in outcomes.items() if end == Success(2)]
        losers = [name for name, end in outcomes.items() if isinstance(end, Failure)]
        assert (len(winners), len(losers)) == (1, 1)
        content = await store.load()
        max_replicas = content.items[ItemKey("deployments", "kitchen")]["replicas"][
            "max"
        ]
        assert max_replicas == {"nia": 80, "rhys": 70}[winners[0]]


# The first proposal only reads that there is no head; then it commits. A proposal
# with an id first checks whether it has already become a version.
READS = ["ok"]


class TestLostResponses:
    async def test_applied_commit_with_a_lost_response_succeeds(self, store, tables):
        tables.faults = [*READS, "lost"]
        assert await store.propose(edited(90), 0, "nia", "") == Success(1)
        assert tables.written.count("config/head") == 1

    async def test_commit_that_is_applied_late_takes_effect_once(self, store, tables):
        tables.faults = [*READS, "late"]
        assert await store.propose(edited(90), 0, "nia", "") == Success(1)
        tables.apply_late_writes()
        assert tables.written.count("config/head") == 1
        assert tables.rows["config/head"].value == {"version": 1}

    async def test_lost_response_then_failed_read_back_succeeds(self, store, tables):
        tables.faults = [*READS, "lost", "ok", "down"]
        assert await store.propose(edited(90), 0, "nia", "") == Success(1)
        assert tables.written.count("config/head") == 1

    async def test_unapplied_commit_in_an_outage_is_unavailable(self, store, tables):
        tables.faults = [*READS, *["down"] * 20]
        with pytest.raises(EbonydealError) as caught:
            await store.propose(edited(90), 0, "nia", "")
        assert caught.value.kind == ErrorKind.STORE_UNAVAILABLE
        assert tables.rows == {}

    @pytest.mark.parametrize("fault", ["lost", "late"])
    async def test_commit_in_doubt_is_not_reported_as_rejected(
        self, store, tables, fault
    ):
        tables.faults = ["ok", *READS, fault, *["down"] * 20]
        with pytest.raises(EbonydealError) as caught:
            await store.propose(edited(90), 0, "nia", "", proposal="p-1")
        assert caught.value.kind == ErrorKind.STORE_IN_DOUBT
        tables.faults = []
        tables.apply_late_writes()
        again = await store.propose(edited(90), 0, "nia", "", proposal="p-1")
        assert again == Success(1)
        assert tables.written.count("config/head") == 1

    async def test_repeat_after_later_versions_returns_its_own(self, store, tables):
        await store.propose(edited(90), 0, "nia", "", proposal="p-1")
        await store.propose(edited(80), 1, "rhys", "")
        again = await store.propose(edited(90), 0, "nia", "", proposal="p-1")
        assert again == Success(1)
        assert tables.rows["config/head"].value == {"version": 2}

    async def test_same_id_with_other_content_is_another_proposal(self, store):
        await store.propose(edited(90), 0, "nia", "", proposal="p-1")
        other = await store.propose(edited(70), 0, "nia", "", proposal="p-1")
        assert isinstance(other.failure(), Conflict)

    async def test_conflict_if_another_wins_while_in_doubt(self, store, tables):
        tables.faults = [*READS, "late"]
        task = store.propose(edited(90), 0, "nia", "")
        for _ in range(2):
            task.send(None)
        other = ConfigStore(tables, AutoAdvancingClock(), random.Random(2))
        task.send(None)
        assert await other.propose(edited(70), 0, "rhys", "") == Success(1)
        tables.apply_late_writes()
        with pytest.raises(StopIteration) as stop:
            while True:
                task.send(None)
        conflict = stop.value.value.failure()
        assert [v.by for v in conflict.versions] == ["rhys"]


class TestHistory:
    async def test_diff_load_and_roll_forward(self, store):
        for version, max_replicas in enumerate((90, 80, 70)):
            await store.propose(
                edited(max_replicas), version, "nia", f"most {max_replicas}"
            )
        infos = await store.history()
        assert [(v.version, v.note) for v in infos] == [
            (3, "most 70"),
            (2, "most 80"),
            (1, "most 90"),
        ]
        assert [str(line) for line in await store.diff(3, 1)] == [
            "~ deployments/kitchen replicas.max: 70 -> 90"
        ]
        assert await store.roll_forward(1, 3, "rhys") == Success(4)
        assert (await store.load()).items == (await store.load(1)).items
        assert (await store.history(1))[0].note == "content of version 1"

    @pytest.mark.parametrize("version", [-1, 2, 99])
    async def test_version_that_does_not_exist_is_not_found(self, store, version):
        await store.propose(edited(90), 0, "nia", "")
        with pytest.raises(EbonydealError) as caught:
            await store.load(version)
        assert caught.value.kind == ErrorKind.NOT_FOUND

    async def test_torn_read_is_repeated(self, store, tables):
        await store.propose(edited(90), 0, "nia", "")
        task = store.load()
        task.send(None)  # about to read the head
        task.send(None)  # about to scan
        await store.propose(edited(80), 1, "nia", "")
        with pytest.raises(StopIteration) as stop:
            while True:
                task.send(None)
        content = stop.value.value
        assert content.version == 2
        assert join(content.items)["deployments"][0]["replicas"]["max"] == 80
