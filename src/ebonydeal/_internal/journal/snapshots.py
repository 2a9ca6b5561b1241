"""Snapshots of a shard's state, replay from them, and trim below them.

Order matters: the object is stored, then the snapshot row is moved by a
transaction conditioned on the epoch, and only then are rows trimmed. The row is
also conditioned on its own version, so that an older write of the same owner
that lands late can't move it back behind a trim.
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

PAGE_ROWS = 200
_FORMAT = 1


class SnapshotRow(NamedTuple):
    """Content of ``snapshots/{s}``: rows from ``seq`` on are not in it."""

    epoch: int
    seq: int
    object: str

    @classmethod
    def from_value(cls, value: dict[str, Any]) -> "SnapshotRow":
        """Build from the row's value; raises KeyError or ValueError."""
        return cls(int(value["epoch"]), int(value["seq"]), str(value["object"]))


_NO_SNAPSHOT = SnapshotRow(0, 0, "")


class Replayed(NamedTuple):
    """What a new owner starts from.

    Attributes
    ----------
    states : dict
        Request id to state.
    seq : int
        Number of the next row.
    snapshot_seq : int
        First row that is not in the snapshot.
    rows : int
        Rows that were read after the snapshot.
    snapshot : str
        Object of the snapshot; empty for none.
    """

    states: dict[str, RequestState]
    seq: int
    snapshot_seq: int
    rows: int
    snapshot: str = ""


class _File(NamedTuple):
    """Content of a snapshot object; new fields go to the end, with defaults."""

    format: int
    requests: list[RequestState]


_DECODER = msgspec.json.Decoder(_File)


def encode_states(states: Iterable[RequestState]) -> bytes:
    """Return a snapshot's bytes."""
    return msgspec.json.encode(_File(_FORMAT, list(states)))


def decode_states(data: bytes) -> dict[str, RequestState]:
    """Return request id to state; raises INTERNAL on garbage."""
    try:
        found = _DECODER.decode(data)
    except msgspec.MsgspecError as exc:
        raise EbonydealError(
            ErrorKind.INTERNAL, f"a snapshot can't be read: {exc}"
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
            ErrorKind.INTERNAL, f"row {row.key} can't be read: {exc!r}"
        ) from exc
    apply_all(states, records)


async def _load(objects: Objects, snapshot: SnapshotRow) -> dict[str, RequestState]:
    """Return the snapshot's states."""
    if not snapshot.object:
        return {}
    data = await objects.get(snapshot.object)
    if data is None:
        raise EbonydealError(
            ErrorKind.STORE_UNAVAILABLE, f"snapshot {snapshot.object} is not there"
        )
    return decode_states(data)


async def replay(tables: Tables, objects: Objects, shard: int) -> Replayed:
    """Read a shard that has just been claimed.

    Rows below the snapshot are never read: a write that landed late may have
    filled a trimmed row again. A snapshot that is the same before and after the
    rows were read shows that none of them was trimmed meanwhile by a later
    owner; else the whole reading begins anew. Raises the stores' errors; the
    caller repeats.
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
        rows = await tables.scan(journal_prefix(shard), start, PAGE_ROWS)
        for row in rows:
            number = seq_of(row.key)
            if number != seq:
                logger.error("A row is missing.", shard=shard, seq=seq)
            _fold_row(states, row)
            seq = number + 1
        count += len(rows)
        if len(rows) < PAGE_ROWS:
            return Replayed(states, seq, snapshot.seq, count, snapshot.object)


async def save_snapshot(
    tables: Tables, objects: Objects, claim: Claim, seq: int, data: bytes
) -> str | None:
    """Store a snapshot that holds all rows below ``seq``.

    Returns the name of the object it replaced ("" for none), or None when it was
    not made because the row has changed. Raises the stores' errors; a repeat
    with the same or a later ``seq`` is safe.
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
    """Delete rows below ``seq``, which a durable snapshot holds; return how many.

    Raises the stores' errors; repeating is safe.
    """
    count = 0
    while True:
        rows = await tables.scan(journal_prefix(claim.shard), "", PAGE_ROWS)
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
