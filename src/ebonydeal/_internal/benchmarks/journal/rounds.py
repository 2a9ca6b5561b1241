"""Measurements of durable accepts, replay, takeover, and idle table load."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from ebonydeal._internal.benchmarks.journal.testbed import Testbed, bench_request
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
POLL_INTERVAL_S = 0.02
UNBOUNDED = 1e9


class Accepts(NamedTuple):
    """Result of one measurement of accepts.

    Attributes
    ----------
    name : str
        Name of the way of writing.
    accepted, refused : int
        Requests that were acknowledged as durable, and those that failed.
    rows_put, transactions : int
        Rows put into the table, and its write transactions.
    seconds : float
        Duration of the measurement.
    p50, p99 : float
        Seconds from the request to its acknowledgement.
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
        """Durable accepts per row put into the table."""
        return self.accepted / max(1, self.rows_put)


def one_request_per_write(cfg: JournalSettings) -> JournalSettings:
    """Return settings that write each request on its own, without a rate limit."""
    return cfg._replace(
        max_batch=1, writes_per_s=UNBOUNDED, urgent_writes_per_s=UNBOUNDED
    )


async def measure_accepts(
    name: str,
    cfg: JournalSettings,
    rate: float,
    seconds: float,
    latency: float,
    seed: int,
    urgent: bool = False,
) -> Accepts:
    """Send ``rate`` requests a second to random shards, and measure accepts."""
    testbed = Testbed(cfg, latency, seed)
    owners = await testbed.owners(PROCESSES)
    before = testbed.counts()
    waits: list[float] = []
    refused = 0

    async def accept_one(owner: ShardOwner, request_id: str) -> None:
        nonlocal refused
        asked_at = testbed.clock.now()
        try:
            await owner.accept(bench_request(request_id), urgent)
        except EbonydealError:
            refused += 1
        else:
            waits.append(testbed.clock.now() - asked_at)

    started = testbed.clock.now()
    tasks = []
    for number in range(int(rate * seconds)):
        await testbed.clock.sleep(
            max(0.0, started + number / rate - testbed.clock.now())
        )
        shard = testbed.rng.randrange(cfg.shards)
        request_id = f"r-{shard:04x}-{number}"
        tasks.append(asyncio.ensure_future(accept_one(owners[shard], request_id)))
    await asyncio.gather(*tasks)
    elapsed = testbed.clock.now() - started
    after = testbed.counts()
    await testbed.close()
    waits.sort()
    return Accepts(
        name,
        len(waits),
        refused,
        after.rows_put - before.rows_put,
        after.transactions - before.transactions,
        elapsed,
        waits[len(waits) // 2],
        waits[int(len(waits) * 0.99)],
    )


class Replay(NamedTuple):
    """Result of one replay; ``rows`` counts those since the shard began."""

    rows: int
    snapshot: bool
    rows_read: int
    seconds: float


async def measure_replays(
    cfg: JournalSettings, lengths: tuple[int, ...], latency: float, seed: int
) -> list[Replay]:
    """Replay shards of each length, without and with snapshots."""
    results = []
    for length in lengths:
        testbed = Testbed(cfg, 0.0, seed)
        claim = Claim(0, 1, "c")
        await testbed.tables.transact([], [Put(shard_key(0), {"epoch": 1})])
        for seq in range(length):
            await testbed.tables.transact([], [Put(journal_key(0, seq), _row(seq))])
        testbed.tables.faults.delay = testbed.objects.faults.delay = latency
        results.append(await _time_replay(testbed, length, snapshot=False))
        snapshot_seq = length - length % cfg.snapshot_rows
        if snapshot_seq:
            await _snapshot_at(testbed, claim, snapshot_seq)
            results.append(await _time_replay(testbed, length, snapshot=True))
    return results


def _row(seq: int) -> dict:
    records = [
        record_to_message(Accepted(bench_request(f"r-0000-{seq}-{number}")))
        for number in range(RECORDS_PER_ROW)
    ]
    return {"batch": f"b-{seq}", "epoch": 1, "records": records}


async def _snapshot_at(testbed: Testbed, claim: Claim, seq: int) -> None:
    """Snapshot the rows below ``seq`` and trim them, as an owner would."""
    replayed = await replay(testbed.tables, testbed.objects, 0)
    earlier_states = {
        request_id: state
        for request_id, state in replayed.states.items()
        if int(request_id.split("-")[2]) < seq
    }
    data = encode_states(earlier_states.values())
    await save_snapshot(testbed.tables, testbed.objects, claim, seq, data)
    await trim(testbed.tables, claim, seq)


async def _time_replay(testbed: Testbed, length: int, snapshot: bool) -> Replay:
    started = testbed.clock.now()
    replayed = await replay(testbed.tables, testbed.objects, 0)
    return Replay(length, snapshot, replayed.rows, testbed.clock.now() - started)


class Takeover(NamedTuple):
    """Seconds until another node served all shards of a stopped one."""

    how: str
    shards: int
    seconds: float


async def measure_takeover(
    cfg: JournalSettings, graceful: bool, latency: float, seed: int
) -> Takeover:
    """Stop one of two nodes and wait until the other serves all shards."""
    testbed = Testbed(cfg, latency, seed)
    first = await testbed.node("n-1")
    await _wait_until(testbed, lambda: _serving(first) == cfg.shards)
    second = await testbed.node("n-2")
    # The second node must hold its own lease before it may judge others.
    await testbed.clock.sleep(cfg.lease_seconds + cfg.renew_seconds)
    shard_count = _serving(first)
    started = testbed.clock.now()
    if graceful:
        await first.leave()
    else:
        first._leaving = True
        for owner in list(first.owners.values()):
            owner.stop_serving()
    await _wait_until(testbed, lambda: _serving(second) == cfg.shards)
    elapsed = testbed.clock.now() - started
    await testbed.close()
    return Takeover("planned stop" if graceful else "death", shard_count, elapsed)


def _serving(node: JournalNode) -> int:
    return sum(owner.serving for owner in node.owners.values())


async def _wait_until(testbed: Testbed, condition: Callable[[], bool]) -> None:
    while not condition():
        await testbed.clock.sleep(POLL_INTERVAL_S)


class Idle(NamedTuple):
    """Table calls a second of idle nodes."""

    nodes: int
    shards: int
    reads_per_s: float
    writes_per_s: float


async def measure_idle(
    cfg: JournalSettings, nodes: int, seconds: float, latency: float, seed: int
) -> Idle:
    """Wait until the nodes serve all shards, then count their table calls."""
    testbed = Testbed(cfg, latency, seed)
    started = [await testbed.node(f"n-{number}") for number in range(nodes)]
    await _wait_until(testbed, lambda: sum(map(_serving, started)) == cfg.shards)
    before = testbed.counts()
    await testbed.clock.sleep(seconds)
    after = testbed.counts()
    await testbed.close()
    return Idle(
        nodes,
        cfg.shards,
        (after.reads - before.reads) / seconds,
        (after.transactions - before.transactions) / seconds,
    )
