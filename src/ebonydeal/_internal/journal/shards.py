"""Decides which shards a node should claim and which to hand over. Pure.

Shards are assigned by rendezvous hashing over live nodes, so that a node that
joins or leaves moves only its own shards. Safety doesn't depend on this module: if
two nodes decide differently, the compare-and-set of the claim admits only one.
"""

from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

from ebonydeal._internal.journal.claims import ShardRow
from ebonydeal._internal.journal.leases import LiveNode


class HeldShard(NamedTuple):
    """A shard that this node has served since ``since`` (own clock, seconds)."""

    shard: int
    since: float


class Plan(NamedTuple):
    """What to do now: shards to claim, and at most one to hand over."""

    claim: tuple[int, ...]
    hand_over: int | None


def ranking(shard: int, nodes: Mapping[str, LiveNode]) -> list[str]:
    """Return node ids by preference for ``shard``, best first."""
    return sorted(
        nodes,
        key=lambda node_id: (xxh3_64_intdigest(f"{node_id}|{shard}".encode()), node_id),
        reverse=True,
    )


class OwnerStatus(Enum):
    """Status of a shard's owner according to the rows."""

    ALIVE = "alive"
    FREE = "free"
    SILENT = "silent"


def owner_status(row: ShardRow | None, nodes: Mapping[str, LiveNode]) -> OwnerStatus:
    """Return whether a shard's owner is alive, gone (free), or has no live lease.

    An owner with an earlier incarnation of a live node has ended.
    """
    if row is None or not row.owner:
        return OwnerStatus.FREE
    holder = nodes.get(row.owner)
    if holder is None:
        return OwnerStatus.SILENT
    if holder.incarnation != row.incarnation:
        return OwnerStatus.FREE
    return OwnerStatus.ALIVE


class ClaimableSince:
    """Tracks since when this node has observed each shard as claimable."""

    def __init__(self) -> None:
        self._since: dict[int, float] = {}

    def observe(self, free: set[int], now: float) -> None:
        """Update the set of claimable shards."""
        self._since = {shard: self._since.get(shard, now) for shard in free}

    def seconds(self, shard: int, now: float) -> float:
        """Return for how many seconds a shard has been claimable."""
        return now - self._since.get(shard, now)


def plan(
    me: str,
    shards: int,
    rows: Mapping[int, ShardRow],
    nodes: Mapping[str, LiveNode],
    held: Mapping[int, HeldShard],
    claimable_since: ClaimableSince,
    now: float,
    lease_seconds: float,
    settle_seconds: float,
    grace_seconds: float,
) -> Plan:
    """Return what this node should do about all shards.

    Parameters
    ----------
    me : str
        This node's id; it must be among ``nodes`` to claim anything.
    shards : int
        Number of shards.
    rows : mapping of int to ShardRow
        Shard rows as last read.
    nodes : mapping of str to LiveNode
        Live nodes, this one included.
    held : mapping of int to HeldShard
        Shards this node serves.
    claimable_since : ClaimableSince
        Updated by this call.
    now : float
        Own clock, seconds.
    lease_seconds : float
        A silent owner's shard is claimed only when this node's own lease has
        been alive for this many seconds: after an outage of the table service
        all leases appear expired at first.
    settle_seconds : float
        A shard moves to a preferred node only when that node has been alive, and
        this node has served the shard, for this many seconds.
    grace_seconds : float
        The n-th node in the ranking (from 0) claims a shard after
        ``n * grace_seconds``, in case those before it fail to.
    """
    statuses = {
        shard: owner_status(rows.get(shard), nodes)
        for shard in range(shards)
        if shard not in held
    }
    if me not in nodes or now - nodes[me].since < lease_seconds:
        claimable = {
            shard for shard, status in statuses.items() if status is OwnerStatus.FREE
        }
    else:
        claimable = {
            shard
            for shard, status in statuses.items()
            if status is not OwnerStatus.ALIVE
        }
    claimable_since.observe(claimable, now)
    if me not in nodes:
        return Plan((), None)
    claim = tuple(
        shard
        for shard in sorted(claimable)
        if claimable_since.seconds(shard, now)
        >= ranking(shard, nodes).index(me) * grace_seconds
    )
    return Plan(claim, _to_hand_over(me, nodes, held, now, settle_seconds))


def _to_hand_over(
    me: str,
    nodes: Mapping[str, LiveNode],
    held: Mapping[int, HeldShard],
    now: float,
    settle_seconds: float,
) -> int | None:
    """Return the longest held shard that a settled other node ranks first for."""
    movable = []
    for item in held.values():
        best = ranking(item.shard, nodes)[0]
        if best == me or now - nodes[best].since < settle_seconds:
            continue
        if now - item.since >= settle_seconds:
            movable.append(item)
    if not movable:
        return None
    return min(movable, key=lambda item: (item.since, item.shard)).shard
