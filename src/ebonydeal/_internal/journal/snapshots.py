"""Snapshots of a shard's state, replay from them, and trimming of older rows.

Order matters: the object is stored, then the snapshot row is updated by a
transaction conditional on the epoch, and only then are rows trimmed. The update is
also conditional on the row's version, so that an older write of the same owner
that takes effect late can't move the snapshot back below trimmed rows.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.journal.claims import Claim
from ebonydeal._internal.journal.fold import RequestState, apply_all
from ebonydeal._internal.journal.rows import (
    journal_key,
    journal_prefix,
    seq_of,
    shard_key,
    snapshot_key,
    snapshot_object,
)
from ebonydeal._internal.models.records import record_from_message
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.outside.interfaces import (
    Condition,
    Delete,
    FieldEquals,
    Objects,
    Put,
    Row,
    RowAbsent,
    RowVersion,
    Tables,
)

logger = get_logger("journal")

SCAN_PAGE_ROWS = 200
_FORMAT = 1


class SnapshotRow(NamedTuple):
    """Content of ``snapshots/{s}``; the snapshot has all rows below ``seq``."""

    epoch: int
    seq: int
    object: str

    @classmethod
    def from_value(cls, value: dict[str, Any]) -> "SnapshotRow":
        """Build from the row's value; raises KeyError or ValueError."""
        return cls(int(value["epoch"]), int(value["seq"]), str(value["object"]))


_NO_SNAPSHOT = SnapshotRow(0, 0, "")


class Replayed(NamedTuple):
    """State that a new owner starts from.

    Attributes
    ----------
    states : dict
        Request id to state.
    seq : int
        Number of the next row.
    snapshot_seq : int
        First row that is not in the snapshot.
    rows : int
        Number of rows read after the snapshot.
    snapshot : str
        Object name of the snapshot; empty for none.
    """

    states: dict[str, RequestState]
    seq: int
    snapshot_seq: int
    rows: int
    snapshot: str = ""


class _SnapshotFile(NamedTuple):
    """Content of a snapshot object; new fields go to the end, with defaults."""

    format: int
    requests: list[RequestState]


_DECODER = msgspec.json.Decoder(_SnapshotFile)


def encode_states(states: Iterable[RequestState]) -> bytes:
    """Return a snapshot's bytes."""
    return msgspec.json.encode(_SnapshotFile(_FORMAT, list(states)))


def decode_states(data: bytes) -> dict[str, RequestState]:
    """Return request id to state; raises INTERNAL on malformed data."""
    try:
        found = _DECODER.decode(data)
    except msgspec.MsgspecError as exc:
        raise EbonydealError(
            ErrorKind.INTERNAL, f"a snapshot is malformed: {exc}"
        ) from exc
    if found.format != _FORMAT:
        raise EbonydealError(
            ErrorKind.INTERNAL, f"a snapshot has the unknown format {found.format}"
        )
    return {state.request.request_id: state for state in found.requests}


def _fold_row(states: dict[str, RequestState], row: Row) -> None:
    try:
        records = [record_from_message(item) for item in row.value["records"]]
    except (KeyError, TypeError, ValueError) as exc:
        raise EbonydealError(
            ErrorKind.INTERNAL, f"row {row.key} is malformed: {exc!r}"
        ) from exc
    apply_all(states, records)


async def _load(objects: Objects, snapshot: SnapshotRow) -> dict[str, RequestState]:
    """Return the snapshot's states."""
    if not snapshot.object:
        return {}
    data = await objects.get(snapshot.object)
    if data is None:
        raise EbonydealError(
            ErrorKind.STORE_UNAVAILABLE, f"snapshot {snapshot.object} is missing"
        )
    return decode_states(data)


async def replay(tables: Tables, objects: Objects, shard: int) -> Replayed:
    """Read the state of a shard that has just been claimed.

    Rows below the snapshot are never read: a late write may have recreated a
    trimmed row. If the snapshot row is the same before and after the rows were
    read, no later owner has trimmed any of them meanwhile; otherwise the replay
    starts over. Raises the stores' errors; the caller retries.
    """
    before = await tables.get(snapshot_key(shard))
    while True:
        replayed = await _replay_from(tables, objects, shard, before)
        after = await tables.get(snapshot_key(shard))
        if after == before:
            return replayed
        before = after


async def _replay_from(
    tables: Tables, objects: Objects, shard: int, found: Row | None
) -> Replayed:
    """Read a snapshot and the rows after it."""
    snapshot = _NO_SNAPSHOT
    if found is not None:
        snapshot = SnapshotRow.from_value(found.value)
    states = await _load(objects, snapshot)
    seq = snapshot.seq
    count = 0
    while True:
        start = journal_key(shard, seq)
        rows = await tables.scan(journal_prefix(shard), start, SCAN_PAGE_ROWS)
        for row in rows:
            number = seq_of(row.key)
            if number != seq:
                logger.error("Journal row is missing.", shard=shard, seq=seq)
            _fold_row(states, row)
            seq = number + 1
        count += len(rows)
        if len(rows) < SCAN_PAGE_ROWS:
            return Replayed(states, seq, snapshot.seq, count, snapshot.object)


async def save_snapshot(
    tables: Tables, objects: Objects, claim: Claim, seq: int, data: bytes
) -> str | None:
    """Store a snapshot that holds all rows below ``seq``.

    Returns the name of the object it replaced ("" for none), or None if the row
    or the epoch has changed and no snapshot was made. Raises the stores' errors;
    repeating with the same or a later ``seq`` is safe.
    """
    name = snapshot_object(claim.shard, claim.epoch, seq)
    await objects.put(name, data)
    key = snapshot_key(claim.shard)
    before = await tables.get(key)
    replaced = ""
    condition: Condition = RowAbsent(key)
    if before is not None:
        replaced = SnapshotRow.from_value(before.value).object
        if replaced == name:
            return ""
        condition = RowVersion(key, before.version)
    applied = await tables.transact(
        [FieldEquals(shard_key(claim.shard), "epoch", claim.epoch), condition],
        [Put(key, SnapshotRow(claim.epoch, seq, name)._asdict())],
    )
    if applied:
        return replaced
    return None


async def trim(tables: Tables, claim: Claim, seq: int) -> int:
    """Delete rows below ``seq`` that a durable snapshot holds; return how many.

    Raises the stores' errors; repeating is safe.
    """
    count = 0
    while True:
        rows = await tables.scan(journal_prefix(claim.shard), "", SCAN_PAGE_ROWS)
        old = [row.key for row in rows if seq_of(row.key) < seq]
        if not old:
            return count
        applied = await tables.transact(
            [FieldEquals(shard_key(claim.shard), "epoch", claim.epoch)],
            [Delete(key) for key in old],
        )
        if not applied:
            return count
        count += len(old)
