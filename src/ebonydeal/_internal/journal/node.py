"""One process among the journal's owners: its lease, its shards, its view."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from mode import Service

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.journal.claims import Identity, ShardRow, claim_shard
from ebonydeal._internal.journal.leases import (
    JOURNAL_ROLE,
    LeaseWatch,
    LiveNode,
    NodeLease,
    read_leases,
    renewal_interval,
)
from ebonydeal._internal.journal.owner import ShardOwner
from ebonydeal._internal.journal.parts import OwnerParts
from ebonydeal._internal.journal.rows import NODES, SHARDS, node_key, shard_key
from ebonydeal._internal.journal.shards import FreeSince, HeldShard, plan, ranking
from ebonydeal._internal.models.places import Place
from ebonydeal._internal.observe.counters import Event, RetryReason
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.outside.interfaces import Delete, Put, Row, RowVersion
from ebonydeal._internal.utils.ids import shard_from_id

logger = get_logger("journal")

SCAN_ROWS = 1000
NODES_PER_READING = 50
JITTER = 0.2
MIN_GRACE_S = 1.0

Offer = Callable[[str, int], Awaitable[None]]


class View(NamedTuple):
    """The last reading of the rows that name nodes and owners."""

    nodes: dict[str, LiveNode]
    rows: dict[int, Row]


class JournalNode(Service):
    """Owns this process's lease and the owners of its shards.

    Parameters
    ----------
    me : Identity
        This process; its address may still change until the start.
    place : Place
        Where it is.
    parts : OwnerParts
        Shared by all owners.
    drain_seconds : float
        Longest graceful shutdown.
    offer : coroutine function, optional
        Tells the node at an address that a shard is free, so that it need not
        wait for its next reading. A lost offer costs that time only.
    """

    def __init__(
        self,
        me: Identity,
        place: Place,
        parts: OwnerParts,
        drain_seconds: float,
        offer: Offer | None = None,
    ) -> None:
        super().__init__()
        self.me = me
        self.owners: dict[int, ShardOwner] = {}
        self._place = place
        self._parts = parts
        self._cfg = parts.cfg
        self._clock = parts.clock
        self._drain_seconds = drain_seconds
        self._offer = offer
        self._watch = LeaseWatch(parts.cfg.lease_seconds)
        self._free_since = FreeSince()
        self._since: dict[int, float] = {}
        self._view = View({}, {})
        self._beat = 0
        self._moving: asyncio.Future | None = None
        self._leaving = False

    # --- callers -----------------------------------------------------------------
    def owner_of(self, request_id: str) -> ShardOwner:
        """Return the owner of a request's shard; raises WRONG_OWNER.

        The error names the right owner's address where it is known.
        """
        shard = shard_from_id(request_id)
        if shard is None or shard >= self._cfg.shards:
            raise EbonydealError(ErrorKind.NOT_FOUND, "no such request")
        owner = self.owners.get(shard)
        if owner is not None:
            return owner
        address = ""
        row = self._view.rows.get(shard)
        if row is not None and row.value.get("owner") != self.me.node_id:
            address = str(row.value.get("address", ""))
        raise EbonydealError(
            ErrorKind.WRONG_OWNER, f"shard {shard:04x} is not here", owner=address
        )

    @property
    def live_nodes(self) -> int:
        """How many journal nodes the last reading showed."""
        return len(self._view.nodes)

    # --- lease -------------------------------------------------------------------
    @Service.task
    async def _renew(self) -> None:
        """Renew this node's lease."""
        while not self.should_stop and not self._leaving:
            every = self._renew_every()
            try:
                await self.renew(every)
            except EbonydealError:
                self._parts.metrics.retried(RetryReason.STORE)
            await self._clock.sleep(self._jittered(every))

    def _renew_every(self) -> float:
        budget = self._cfg.lease_writes_per_s
        return renewal_interval(self._cfg.renew_seconds, len(self._view.nodes), budget)

    def _jittered(self, seconds: float) -> float:
        return seconds * self._parts.rng.uniform(1.0 - JITTER, 1.0 + JITTER)

    async def renew(self, every: float) -> None:
        """Write the lease row once."""
        self._beat += 1
        lease = NodeLease(
            address=self.me.address,
            region=self._place.region,
            zone=self._place.zone,
            incarnation=self.me.incarnation,
            roles=(JOURNAL_ROLE,),
            until=self._clock.wall() + self._cfg.lease_seconds,
            beat=self._beat,
            every=every,
        )
        key = node_key(self.me.node_id)
        self._parts.metrics.count(Event.TABLE_WRITES)
        await self._parts.tables.transact([], [Put(key, lease._asdict())])

    # --- shards --------------------------------------------------------------------
    @Service.task
    async def _watch_rows(self) -> None:
        """Read nodes and shards, and act on what they say."""
        while not self.should_stop and not self._leaving:
            try:
                await self.refresh_view()
                await self.apply_plan()
            except EbonydealError as exc:
                self._parts.metrics.retried(RetryReason.STORE)
                if exc.kind is ErrorKind.INTERNAL:
                    logger.error("Rows can't be read.", error=str(exc))
            await self._clock.sleep(self._jittered(self._read_every()))

    def _read_every(self) -> float:
        """Return seconds between readings: more nodes, fewer readings each."""
        nodes = len(self._view.nodes)
        return self._cfg.renew_seconds * max(1.0, nodes / NODES_PER_READING)

    async def refresh_view(self) -> None:
        """Read all node and shard rows."""
        nodes = await self._scan(NODES)
        shards = await self._scan(SHARDS)
        now = self._clock.now()
        leases = read_leases((row.key[len(NODES) :], row.value) for row in nodes)
        self._watch.observe(leases, now, self._read_every())
        rows = {int(row.key[len(SHARDS) :], 16): row for row in shards}
        self._view = View(self._watch.live(now), rows)
        self._parts.pacer.set_owners(len(self._view.nodes))

    async def _scan(self, prefix: str) -> list[Row]:
        """Return all rows of a prefix, a page at a time."""
        rows: list[Row] = []
        start = ""
        while True:
            self._parts.metrics.count(Event.TABLE_READS)
            page = await self._parts.tables.scan(prefix, start, SCAN_ROWS)
            rows += page
            if len(page) < SCAN_ROWS:
                return rows
            start = page[-1].key + "\0"

    async def apply_plan(self) -> None:
        """Claim and hand over what the present view asks for."""
        now = self._clock.now()
        held = {shard: HeldShard(shard, at) for shard, at in self._since.items()}
        rows = {
            shard: ShardRow.from_value(row.value)
            for shard, row in self._view.rows.items()
        }
        self._drop_outdated(rows)
        decided = plan(
            self.me.node_id,
            self._cfg.shards,
            rows,
            self._view.nodes,
            held,
            self._free_since,
            now,
            self._cfg.lease_seconds,
            self._cfg.settle_seconds,
            max(MIN_GRACE_S, 2 * self._read_every()),
        )
        seen = self._view.rows
        await asyncio.gather(
            *(self._claim(shard, seen.get(shard)) for shard in decided.claim)
        )
        if decided.hand_over is not None and self._moving is None:
            self._moving = self.add_future(self._move(decided.hand_over))

    async def _move(self, shard: int) -> None:
        """Let a better node have a shard; one at a time."""
        try:
            await self.hand_over(shard, self._drain_seconds)
        finally:
            self._moving = None

    def _drop_outdated(self, rows: dict[int, ShardRow]) -> None:
        """Stop serving shards whose row shows a higher epoch."""
        for shard, owner in list(self.owners.items()):
            row = rows.get(shard)
            if row is not None and row.epoch > owner.epoch:
                owner.stop_serving()

    async def _claim(self, shard: int, seen: Row | None) -> None:
        """Claim a shard whose row is as ``seen``, and start its owner."""
        parts = self._parts
        parts.metrics.count(Event.TABLE_WRITES)
        claim = await claim_shard(
            parts.tables, shard, seen, self.me, clock=self._clock, rng=parts.rng
        )
        if claim is None or self._leaving or shard in self.owners:
            return
        owner = ShardOwner(claim, parts, self._on_lost)
        self.owners[shard] = owner
        self._since[shard] = self._clock.now()
        await self.add_runtime_dependency(owner)
        parts.metrics.count(Event.TAKEOVERS)

    def _on_lost(self, shard: int) -> None:
        """Forget an owner that has been fenced or has released its shard."""
        owner = self.owners.pop(shard, None)
        self._since.pop(shard, None)
        if owner is not None and not self.should_stop:
            self.add_future(self._remove(owner))

    async def _remove(self, owner: ShardOwner) -> None:
        if owner in self._children:
            await self.remove_dependency(owner)

    async def hand_over(self, shard: int, limit: float) -> bool:
        """Finish a shard's runs and free it; return whether it is free."""
        owner = self.owners.get(shard)
        if owner is None or not await owner.hand_over(limit):
            return False
        await self._offer_to_best(shard)
        return True

    async def _offer_to_best(self, shard: int) -> None:
        """Tell the best other node that a shard is free."""
        others = {
            node_id: node
            for node_id, node in self._view.nodes.items()
            if node_id != self.me.node_id
        }
        if self._offer is None or not others:
            return
        best = others[ranking(shard, others)[0]]
        try:
            await self._offer(best.address, shard)
        except EbonydealError as exc:
            logger.info("An offer was not heard.", shard=shard, error=str(exc))

    async def accept_offer(self, shard: int) -> bool:
        """Claim a shard that its owner has freed; return whether it is here."""
        if shard in self.owners:
            return True
        if self._leaving or not 0 <= shard < self._cfg.shards:
            return False
        row = await self._parts.tables.get(shard_key(shard))
        if row is None or row.value.get("owner"):
            return False
        await self._claim(shard, row)
        return shard in self.owners

    async def leave(self) -> None:
        """Hand over all shards and end the lease: the graceful shutdown."""
        self._leaving = True
        owners = list(self.owners)
        logger.info("Handing over.", shards=len(owners))
        await asyncio.gather(
            *(self.hand_over(shard, self._drain_seconds) for shard in owners)
        )
        await self._end_lease()

    async def _end_lease(self) -> None:
        """Delete the lease row, unless another process has taken the id."""
        key = node_key(self.me.node_id)
        try:
            row = await self._parts.tables.get(key)
            if row is not None and row.value["incarnation"] == self.me.incarnation:
                await self._parts.tables.transact(
                    [RowVersion(key, row.version)], [Delete(key)]
                )
        except EbonydealError:
            logger.warning("The lease row was left to lapse.")

    async def on_stop(self) -> None:
        """Hand over before the owners stop."""
        if not self._leaving:
            await self.leave()
