"""Which shards a node should claim and which it should hand over. Pure.

Assignment is by rendezvous hashing over live nodes, so that a node that comes or
goes moves only its own shards. Nothing here is needed for safety: two nodes that
decide differently meet in the claim's compare-and-set.
"""

from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

from ebonydeal._internal.journal.claims import ShardRow
from ebonydeal._internal.journal.leases import LiveNode


class HeldShard(NamedTuple):
    """A shard this node serves, since ``since`` on its own clock."""

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
    """What the rows say of a shard's owner."""

    ALIVE = "alive"
    FREE = "free"
    SILENT = "silent"


def owner_status(row: ShardRow | None, nodes: Mapping[str, LiveNode]) -> OwnerStatus:
    """Return whether a shard is owned, known to be free, or its owner is silent.

    An owner of an earlier incarnation of a live node has died.
    """
    if row is None or not row.owner:
        return OwnerStatus.FREE
    holder = nodes.get(row.owner)
    if holder is None:
        return OwnerStatus.SILENT
    if holder.incarnation != row.incarnation:
        return OwnerStatus.FREE
    return OwnerStatus.ALIVE


class FreeSince:
    """Remembers since when each shard has been free, for this observer."""

    def __init__(self) -> None:
        self._since: dict[int, float] = {}

    def observe(self, free: set[int], now: float) -> None:
        """Take the present free shards."""
        self._since = {shard: self._since.get(shard, now) for shard in free}

    def seconds(self, shard: int, now: float) -> float:
        """Return how long a shard has been free."""
        return now - self._since.get(shard, now)


def plan(
    me: str,
    shards: int,
    rows: Mapping[int, ShardRow],
    nodes: Mapping[str, LiveNode],
    held: Mapping[int, HeldShard],
    free_since: FreeSince,
    now: float,
    lease: float,
    settle: float,
    grace: float,
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
    free_since : FreeSince
        Updated with this reading.
    now : float
        Own clock, seconds.
    lease : float
        A silent owner's shard is claimed only when this node's own lease has
        been alive for so long: after an outage of the table service all leases
        look lapsed at first.
    settle : float
        A shard moves to a better node only when that node has been up, and the
        shard has been here, for so many seconds.
    grace : float
        The n-th in the ranking claims a free shard after ``n * grace`` seconds,
        should those before it fail to.
    """
    found = {
        shard: owner_status(rows.get(shard), nodes)
        for shard in range(shards)
        if shard not in held
    }
    if me not in nodes or now - nodes[me].since < lease:
        wanted = {shard for shard, word in found.items() if word is OwnerStatus.FREE}
    else:
        wanted = {
            shard for shard, word in found.items() if word is not OwnerStatus.ALIVE
        }
    free_since.observe(wanted, now)
    if me not in nodes:
        return Plan((), None)
    claim = tuple(
        shard
        for shard in sorted(wanted)
        if free_since.seconds(shard, now) >= ranking(shard, nodes).index(me) * grace
    )
    return Plan(claim, _to_hand_over(me, nodes, held, now, settle))


def _to_hand_over(
    me: str,
    nodes: Mapping[str, LiveNode],
    held: Mapping[int, HeldShard],
    now: float,
    settle: float,
) -> int | None:
    """Return the longest held shard that belongs to a settled other node."""
    moves = []
    for item in held.values():
        best = ranking(item.shard, nodes)[0]
        if best == me or now - nodes[best].since < settle:
            continue
        if now - item.since >= settle:
            moves.append(item)
    if not moves:
        return None
    return min(moves, key=lambda item: (item.since, item.shard)).shard
