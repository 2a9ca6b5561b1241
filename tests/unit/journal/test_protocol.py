import asyncio
import random

import pytest

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.journal.appender import Appender
from ebonydeal._internal.journal.claims import (
    Identity,
    claim_shard,
    release_shard,
)
from ebonydeal._internal.journal.pacing import Budget, Pacer
from ebonydeal._internal.journal.rows import journal_key, shard_key, snapshot_key
from ebonydeal._internal.journal.snapshots import (
    encode_states,
    replay,
    save_snapshot,
    trim,
)
from ebonydeal._internal.models.records import Accepted
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.standin.faults import Fault
from tests.lib.clock import settle
from tests.lib.journal_fakes import FAST, World, make_request


def accepted(number):
    return Accepted(make_request(f"r-0000-{number}"))


async def claim(world, name="n-1"):
    seen = await world.tables.get(shard_key(0))
    me = Identity(name, f"{name}:1", 1)
    return await claim_shard(
        world.tables, 0, seen, me, clock=world.clock, rng=world.rng
    )


class Writer:
    """A running appender and the rows it acknowledged."""

    def __init__(self, world, claimed, seq=0, cfg=FAST):
        self.rows = []
        self.appender = Appender(
            world.tables,
            0,
            claimed.epoch,
            seq,
            on_durable=lambda seq, records: self.rows.append((seq, len(records))),
            pacer=Pacer(Budget(1e12, 1e12), 0.0),
            cfg=cfg,
            clock=world.clock,
            rng=random.Random(claimed.epoch),
            metrics=Metrics(),
        )
        self.task = asyncio.ensure_future(self.appender.run())

    def append(self, *numbers, **options):
        records = [accepted(number) for number in numbers]
        return asyncio.ensure_future(self.appender.append(records, **options))


@pytest.fixture
async def world():
    return World()


@pytest.fixture
async def writer(world):
    writer = Writer(world, await claim(world))
    yield writer
    writer.task.cancel()
    await settle()


async def keys(world):
    return [row.key for row in await world.tables.scan("journal/")]


def error_kind(task):
    return task.exception().kind


class TestAppend:
    async def test_waiting_records_share_one_row(self, world, writer):
        appends = [writer.append(number) for number in range(5)]
        await settle()
        assert all(append.done() for append in appends)
        assert writer.rows == [(0, 5)]

    async def test_fenced_owner_writes_nothing(self, world, writer):
        await claim(world, "n-2")
        append = writer.append(1)
        await settle()
        assert error_kind(append) is ErrorKind.FENCED
        assert await keys(world) == []

    async def test_row_of_another_owner_is_not_overwritten(self, world, writer):
        row = {"batch": "b-other", "epoch": 1, "records": []}
        world.tables.rows._put(journal_key(0, 0), row)
        world.tables.rows._values[journal_key(0, 0)] = b'{"batch":"b-other"}'
        append = writer.append(1)
        await settle()
        assert error_kind(append) is ErrorKind.FENCED
        found = await world.tables.get(journal_key(0, 0))
        assert found.value["batch"] == "b-other"

    async def test_write_with_lost_reply_is_recognized_by_its_batch_id(
        self, world, writer
    ):
        world.tables.faults.writes.append(Fault.LOST_ANSWER)
        append = writer.append(1)
        await settle()
        assert append.done() and append.exception() is None
        assert writer.rows == [(0, 1)]

    @pytest.mark.parametrize("fault", [Fault.LOST_REQUEST, Fault.LATE])
    async def test_write_in_doubt_retries_the_same_row(self, world, writer, fault):
        world.tables.faults.writes.append(fault)
        first = writer.append(1)
        await settle()
        assert not first.done()
        second = writer.append(2)
        await world.clock.advance(1.0)
        assert first.done() and second.done()
        world.tables.apply_late_writes()
        assert writer.rows == [(0, 1), (1, 1)]
        assert await keys(world) == [journal_key(0, 0), journal_key(0, 1)]

    async def test_write_applied_late_is_acknowledged_once(self, world, writer):
        world.tables.faults.writes.append(Fault.LATE)
        append = writer.append(1)
        await settle()
        world.tables.apply_late_writes()
        await world.clock.advance(1.0)
        assert append.done() and append.exception() is None
        assert writer.rows == [(0, 1)]

    async def test_refused_append_stores_nothing(self, world, writer):
        world.tables.faults.down = True
        append = writer.append(1, retain=False)
        held = writer.append(2)
        await settle()
        assert error_kind(append) is ErrorKind.JOURNAL_UNAVAILABLE
        world.tables.faults.down = False
        await world.clock.advance(5.0)
        assert held.done()
        states = (await replay(world.tables, world.objects, 0)).states
        assert set(states) == {"r-0000-2"}

    async def test_append_in_doubt_is_never_reported_as_not_run(self, world, writer):
        world.tables.faults.writes.extend([Fault.LATE] + [Fault.REFUSED] * 9)
        append = writer.append(1, retain=False, max_wait=1.0)
        await world.clock.advance(2.0)
        assert error_kind(append) is ErrorKind.STORE_IN_DOUBT
        await world.clock.advance(60.0)
        assert writer.rows == [(0, 1)]

    async def test_unsent_records_are_withdrawn_after_max_wait(self, world, writer):
        world.tables.faults.writes.extend([Fault.LATE] + [Fault.REFUSED] * 9)
        writer.append(1)
        await settle()
        append = writer.append(2, retain=False, max_wait=0.5)
        await world.clock.advance(0.6)
        assert error_kind(append) is ErrorKind.JOURNAL_UNAVAILABLE
        await world.clock.advance(60.0)
        states = (await replay(world.tables, world.objects, 0)).states
        assert set(states) == {"r-0000-1"}

    async def test_append_beyond_max_pending_is_refused(self, world):
        writer = Writer(world, await claim(world), cfg=FAST._replace(max_pending=2))
        writer.task.cancel()
        waiting = writer.append(1, 2)
        await asyncio.sleep(0)
        with pytest.raises(EbonydealError) as caught:
            await writer.appender.append([accepted(3)], retain=False)
        assert caught.value.kind is ErrorKind.JOURNAL_BEHIND
        waiting.cancel()

    async def test_row_holds_at_most_max_batch_records(self, world):
        writer = Writer(world, await claim(world), cfg=FAST._replace(max_batch=2))
        for number in range(5):
            writer.append(number)
        await settle()
        assert writer.rows == [(0, 2), (1, 2), (2, 1)]
        writer.task.cancel()


class TestSnapshot:
    @pytest.fixture
    async def filled(self, world):
        claimed = await claim(world)
        writer = Writer(world, claimed)
        for number in range(3):
            await writer.append(number)
        yield claimed, writer
        writer.task.cancel()

    async def save(self, world, claimed):
        found = await replay(world.tables, world.objects, 0)
        data = encode_states(found.states.values())
        done = await save_snapshot(
            world.tables, world.objects, claimed, found.seq, data
        )
        return found.seq, done

    async def test_replay_from_a_snapshot_equals_replay_from_rows(self, world, filled):
        before = await replay(world.tables, world.objects, 0)
        seq, _ = await self.save(world, filled[0])
        assert await trim(world.tables, filled[0], seq) == 3
        after = await replay(world.tables, world.objects, 0)
        assert (after.states, after.seq, after.rows) == (before.states, 3, 0)

    async def test_late_duplicate_of_a_trimmed_row_is_ignored(self, world, filled):
        claimed, writer = filled
        world.tables.faults.writes.append(Fault.DUPLICATE)
        await writer.append(3)
        seq, _ = await self.save(world, claimed)
        await trim(world.tables, claimed, seq)
        await writer.append(4)
        before = await replay(world.tables, world.objects, 0)
        assert world.tables.apply_late_writes() == [True]
        after = await replay(world.tables, world.objects, 0)
        assert (after.states, after.seq) == (before.states, before.seq)
        assert after.rows == 1

    async def test_late_write_cannot_move_the_snapshot_back(self, world, filled):
        claimed, writer = filled
        await self.save(world, claimed)
        await writer.append(3)
        world.tables.faults.writes.append(Fault.LATE)
        with pytest.raises(EbonydealError):
            await self.save(world, claimed)
        await writer.append(4)
        seq, done = await self.save(world, claimed)
        assert done
        await trim(world.tables, claimed, seq)
        assert world.tables.apply_late_writes() == [False]
        found = await replay(world.tables, world.objects, 0)
        assert len(found.states) == 5

    async def test_fenced_owner_saves_no_snapshot_and_trims_nothing(
        self, world, filled
    ):
        claimed, _ = filled
        await claim(world, "n-2")
        assert (await self.save(world, claimed))[1] is None
        assert await world.tables.get(snapshot_key(0)) is None
        assert await trim(world.tables, claimed, 3) == 0
        assert len(await keys(world)) == 3

    async def test_snapshot_row_is_not_written_before_its_object(self, world, filled):
        world.objects.faults.down = True
        with pytest.raises(EbonydealError):
            await self.save(world, filled[0])
        assert await world.tables.get(snapshot_key(0)) is None


class TestClaim:
    @pytest.mark.parametrize("claimed_before", [False, True])
    async def test_one_of_two_concurrent_claims_wins(self, world, claimed_before):
        if claimed_before:
            await claim(world)
        seen = await world.tables.get(shard_key(0))
        claims = [
            claim_shard(
                world.tables,
                0,
                seen,
                Identity(name, "", 1),
                clock=world.clock,
                rng=world.rng,
            )
            for name in ("n-1", "n-1")
        ]
        won = [item for item in await asyncio.gather(*claims) if item is not None]
        assert [item.epoch for item in won] == [2 if claimed_before else 1]

    async def test_claim_with_lost_reply_is_recognized_by_its_token(self, world):
        world.tables.faults.writes.append(Fault.LOST_ANSWER)
        task = asyncio.ensure_future(claim(world))
        await world.clock.advance(1.0)
        claimed = await task
        row = await world.tables.get(shard_key(0))
        assert (claimed.epoch, claimed.token) == (1, row.value["claim"])

    async def test_late_claim_loses_against_the_next(self, world):
        first = await claim(world)
        world.tables.faults.writes.extend([Fault.LATE] + [Fault.REFUSED] * 4)
        task = asyncio.ensure_future(claim(world, "n-2"))
        await world.clock.advance(5.0)
        assert await task is None
        third = await claim(world, "n-3")
        assert world.tables.apply_late_writes() == [False]
        assert (first.epoch, third.epoch) == (1, 2)

    async def test_a_released_shard_has_no_owner(self, world):
        first = await claim(world)
        assert await release_shard(world.tables, first, world.clock)
        row = await world.tables.get(shard_key(0))
        assert (row.value["owner"], row.value["epoch"]) == ("", 2)
        second = await claim(world, "n-2")
        assert second.epoch == 3

    async def test_fenced_owner_releases_nothing(self, world):
        first = await claim(world)
        second = await claim(world, "n-2")
        assert not await release_shard(world.tables, first, world.clock)
        row = await world.tables.get(shard_key(0))
        assert (row.value["owner"], row.value["epoch"]) == ("n-2", second.epoch)
