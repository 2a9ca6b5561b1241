"""Claims and releases a shard by compare-and-set on its row.

Safety depends on these transactions alone: each claim raises the epoch, and every
write of an owner is conditional on its epoch. Clocks only decide when to try.
"""

import random
from typing import Any, NamedTuple

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.journal.rows import shard_key
from ebonydeal._internal.outside.interfaces import (
    Condition,
    FieldEquals,
    Put,
    Row,
    RowAbsent,
    RowVersion,
    Tables,
)
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.ids import new_token

_MAX_TRIES = 5
_RETRY_DELAY_S = 0.2


class Identity(NamedTuple):
    """The claiming node: one start of its process.

    Attributes
    ----------
    node_id : str
        Node id from the settings.
    address : str
        ``host:port`` of the journal listener.
    incarnation : int
        Increases with each start of the node.
    """

    node_id: str
    address: str
    incarnation: int


class Claim(NamedTuple):
    """A claim that took effect."""

    shard: int
    epoch: int
    token: str


class ShardRow(NamedTuple):
    """Content of a shard's row; ``owner`` is empty after a release."""

    owner: str
    address: str
    epoch: int
    incarnation: int
    claim: str

    @classmethod
    def from_value(cls, value: dict[str, Any]) -> "ShardRow":
        """Build from the row's value; raises INTERNAL on invalid content."""
        try:
            return cls(
                owner=str(value["owner"]),
                address=str(value["address"]),
                epoch=int(value["epoch"]),
                incarnation=int(value.get("incarnation", 0)),
                claim=str(value.get("claim", "")),
            )
        except (KeyError, TypeError, ValueError) as exc:
            raise EbonydealError(
                ErrorKind.INTERNAL, f"a shard row is malformed: {exc!r}"
            ) from exc


async def claim_shard(
    tables: Tables,
    shard: int,
    seen: Row | None,
    me: Identity,
    *,
    clock: Clock,
    rng: random.Random,
) -> Claim | None:
    """Claim a shard whose row is still as ``seen``; return None if that failed.

    The row is read back and compared with this claim's token, since a reply may be
    lost. A claim given up while in doubt may still take effect: its row then names
    an owner that doesn't know of it, and is claimed again with a higher epoch.
    """
    epoch = 1 if seen is None else ShardRow.from_value(seen.value).epoch + 1
    claim = Claim(shard, epoch, new_token("c", rng))
    row = ShardRow(me.node_id, me.address, epoch, me.incarnation, claim.token)
    key = shard_key(shard)
    condition: Condition = RowAbsent(key)
    if seen is not None:
        condition = RowVersion(key, seen.version)
    for _ in range(_MAX_TRIES):
        try:
            await tables.transact([condition], [Put(key, row._asdict())])
            now = await tables.get(key)
        except EbonydealError:
            await clock.sleep(_RETRY_DELAY_S)
            continue
        if now is not None and now.value.get("claim") == claim.token:
            return claim
        if now is not None and (seen is None or now.version != seen.version):
            return None
    return None


async def release_shard(tables: Tables, claim: Claim, clock: Clock) -> bool:
    """Free a shard so that the next owner need not wait; return whether it is free.

    The epoch is raised too, so that no late write of the old epoch takes effect.
    """
    key = shard_key(claim.shard)
    free = ShardRow("", "", claim.epoch + 1, 0, claim.token)
    for _ in range(_MAX_TRIES):
        try:
            if await tables.transact(
                [FieldEquals(key, "epoch", claim.epoch)], [Put(key, free._asdict())]
            ):
                return True
            row = await tables.get(key)
            return row is not None and row.value.get("claim") == claim.token
        except EbonydealError:
            await clock.sleep(_RETRY_DELAY_S)
    return False
