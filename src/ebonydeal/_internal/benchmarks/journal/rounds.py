"""The rounds: durable accepts, replay, takeover, and idle table load."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from ebonydeal._internal.benchmarks.journal.rig import Rig, bench_request
from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.journal.claims import Claim
from ebonydeal._internal.journal.node import JournalNode
from ebonydeal._internal.journal.owner import ShardOwner
from ebonydeal._internal.journal.rows import journal_key, shard_key
from ebonydeal._internal.journal.snapshots import (
    encode_states,
    replay,
    save_snapshot,
    trim,
)
from ebonydeal._internal.models.records import Accepted, record_to_message
from ebonydeal._internal.outside.interfaces import Put
from ebonydeal._internal.settings.journal import JournalSettings

PROCESSES = 9
RECORDS_PER_ROW = 20
POLL_S = 0.02
UNBOUNDED = 1e9


class Accepts(NamedTuple):
    """One round of accepts.

    Attributes
    ----------
    name : str
        Which way of writing.
    accepted, refused : int
        Requests that were acknowledged as durable, and others.
    rows_put, transactions : int
        What they cost at the table.
    seconds : float
        Length of the round.
    p50, p99 : float
        Seconds from asking to the acknowledgement.
    """

    name: str
    accepted: int
    refused: int
    rows_put: int
    transactions: int
    seconds: float
    p50: float
    p99: float

    @property
    def per_write(self) -> float:
        """Durable accepts for each row that was put."""
        return self.accepted / max(1, self.rows_put)


def one_a_request(cfg: JournalSettings) -> JournalSettings:
    """Return settings that write each request on its own, as fast as they come."""
    return cfg._replace(
        max_batch=1, writes_per_s=UNBOUNDED, urgent_writes_per_s=UNBOUNDED
    )


async def accepts(
    name: str,
    cfg: JournalSettings,
    rate: float,
    seconds: float,
    latency: float,
    seed: int,
    urgent: bool = False,
) -> Accepts:
    """Offer ``rate`` accepts a second, spread over all shards."""
    rig = Rig(cfg, latency, seed)
    owners = await rig.owners(PROCESSES)
    before = rig.counts()
    waits: list[float] = []
    refused = 0

    async def one(owner: ShardOwner, request_id: str) -> None:
        nonlocal refused
        asked = rig.clock.now()
        try:
            await owner.accept(bench_request(request_id), urgent)
        except EbonydealError:
            refused += 1
        else:
            waits.append(rig.clock.now() - asked)

    started = rig.clock.now()
    tasks = []
    for number in range(int(rate * seconds)):
        await rig.clock.sleep(max(0.0, started + number / rate - rig.clock.now()))
        shard = rig.rng.randrange(cfg.shards)
        request_id = f"r-{shard:04x}-{number}"
        tasks.append(asyncio.ensure_future(one(owners[shard], request_id)))
    await asyncio.gather(*tasks)
    took = rig.clock.now() - started
    after = rig.counts()
    await rig.close()
    waits.sort()
    return Accepts(
        name,
        len(waits),
        refused,
        after.rows_put - before.rows_put,
        after.transactions - before.transactions,
        took,
        waits[len(waits) // 2],
        waits[int(len(waits) * 0.99)],
    )


class Replay(NamedTuple):
    """One replay: rows since the shard began, and how long it took."""

    rows: int
    snapshot: bool
    rows_read: int
    seconds: float


async def replays(
    cfg: JournalSettings, lengths: tuple[int, ...], latency: float, seed: int
) -> list[Replay]:
    """Replay shards of each length, without and with snapshots."""
    results = []
    for length in lengths:
        rig = Rig(cfg, 0.0, seed)
        claim = Claim(0, 1, "c")
        await rig.tables.transact([], [Put(shard_key(0), {"epoch": 1})])
        for seq in range(length):
            await rig.tables.transact([], [Put(journal_key(0, seq), _row(seq))])
        rig.tables.faults.delay = rig.objects.faults.delay = latency
        results.append(await _timed(rig, length, snapshot=False))
        kept = length - length % cfg.snapshot_rows
        if kept:
            await _snapshot_at(rig, claim, kept)
            results.append(await _timed(rig, length, snapshot=True))
    return results


def _row(seq: int) -> dict:
    records = [
        record_to_message(Accepted(bench_request(f"r-0000-{seq}-{number}")))
        for number in range(RECORDS_PER_ROW)
    ]
    return {"batch": f"b-{seq}", "epoch": 1, "records": records}


async def _snapshot_at(rig: Rig, claim: Claim, seq: int) -> None:
    """Snapshot the rows below ``seq``, as an owner would have."""
    found = await replay(rig.tables, rig.objects, 0)
    early = {
        request_id: state
        for request_id, state in found.states.items()
        if int(request_id.split("-")[2]) < seq
    }
    data = encode_states(early.values())
    await save_snapshot(rig.tables, rig.objects, claim, seq, data)
    await trim(rig.tables, claim, seq)


async def _timed(rig: Rig, length: int, snapshot: bool) -> Replay:
    started = rig.clock.now()
    found = await replay(rig.tables, rig.objects, 0)
    return Replay(length, snapshot, found.rows, rig.clock.now() - started)


class Takeover(NamedTuple):
    """Seconds until another node served all shards of one that ended."""

    how: str
    shards: int
    seconds: float


async def takeover(
    cfg: JournalSettings, graceful: bool, latency: float, seed: int
) -> Takeover:
    """End one of two nodes and wait for the other to serve everything."""
    rig = Rig(cfg, latency, seed)
    first = await rig.node("n-1")
    await _until(rig, lambda: _serving(first) == cfg.shards)
    second = await rig.node("n-2")
    # The second node's own lease must be settled before it may judge others.
    await rig.clock.sleep(cfg.lease_seconds + cfg.renew_seconds)
    left = _serving(first)
    started = rig.clock.now()
    if graceful:
        await first.leave()
    else:
        first._leaving = True
        for owner in list(first.owners.values()):
            owner.stop_serving()
    await _until(rig, lambda: _serving(second) == cfg.shards)
    took = rig.clock.now() - started
    await rig.close()
    return Takeover("planned stop" if graceful else "death", left, took)


def _serving(node: JournalNode) -> int:
    return sum(owner.serving for owner in node.owners.values())


async def _until(rig: Rig, done: Callable[[], bool]) -> None:
    while not done():
        await rig.clock.sleep(POLL_S)


class Idle(NamedTuple):
    """Table calls a second of idle nodes."""

    nodes: int
    shards: int
    reads_per_s: float
    writes_per_s: float


async def idle(
    cfg: JournalSettings, nodes: int, seconds: float, latency: float, seed: int
) -> Idle:
    """Let nodes settle, then count their table calls."""
    rig = Rig(cfg, latency, seed)
    started = [await rig.node(f"n-{number}") for number in range(nodes)]
    await _until(rig, lambda: sum(map(_serving, started)) == cfg.shards)
    before = rig.counts()
    await rig.clock.sleep(seconds)
    after = rig.counts()
    await rig.close()
    return Idle(
        nodes,
        cfg.shards,
        (after.reads - before.reads) / seconds,
        (after.transactions - before.transactions) / seconds,
    )
