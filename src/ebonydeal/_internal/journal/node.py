"""One journal process: its lease, its shards, and its view of the other nodes."""

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
from ebonydeal._internal.journal.rows import (
    NODES_PREFIX,
    SHARDS_PREFIX,
    node_key,
    shard_key,
)
from ebonydeal._internal.journal.shards import ClaimableSince, HeldShard, plan, ranking
from ebonydeal._internal.models.places import Place
from ebonydeal._internal.observe.counters import Event, RetryReason
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.outside.interfaces import Delete, Put, Row, RowVersion
from ebonydeal._internal.utils.ids import shard_from_id

logger = get_logger("journal")

SCAN_PAGE_ROWS = 1000
NODES_PER_READ = 50
JITTER_FRACTION = 0.2
MIN_CLAIM_GRACE_S = 1.0

Offer = Callable[[str, int], Awaitable[None]]


class ClusterView(NamedTuple):
    """Node and shard rows as last read."""

    nodes: dict[str, LiveNode]
    rows: dict[int, Row]


class JournalNode(Service):
    """Holds this process's lease and the owners of its shards.

    Parameters
    ----------
    me : Identity
        This process; its address may change until the start.
    place : Place
        Location of this process.
    parts : OwnerParts
        Shared by all owners.
    drain_seconds : float
        Maximum duration of a graceful shutdown.
    offer : coroutine function, optional
        Notifies the node at an address that a shard is free, so that it need
        not wait for its next read. A lost offer costs only that time.
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
        self._claimable_since = ClaimableSince()
        self._since: dict[int, float] = {}
        self._view = ClusterView({}, {})
        self._beat = 0
        self._handing_over: asyncio.Future | None = None
        self._leaving = False

    # --- callers -----------------------------------------------------------------
    def owner_of(self, request_id: str) -> ShardOwner:
        """Return the owner of a request's shard; raises WRONG_OWNER.

        The error contains the owner's address if it is known.
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
            ErrorKind.WRONG_OWNER,
            f"shard {shard:04x} is not owned by this node",
            owner=address,
        )

    @property
    def live_nodes(self) -> int:
        """Number of live journal nodes at the last read."""
        return len(self._view.nodes)

    # --- lease -------------------------------------------------------------------
    @Service.task
    async def _renew(self) -> None:
        """Renew this node's lease."""
        while not self.should_stop and not self._leaving:
            interval = self._renewal_interval()
            try:
                await self.renew(interval)
            except EbonydealError:
                self._parts.metrics.count_retry(RetryReason.STORE)
            await self._clock.sleep(self._jittered(interval))

    def _renewal_interval(self) -> float:
        budget = self._cfg.lease_writes_per_s
        return renewal_interval(self._cfg.renew_seconds, len(self._view.nodes), budget)

    def _jittered(self, seconds: float) -> float:
        return seconds * self._parts.rng.uniform(
            1.0 - JITTER_FRACTION, 1.0 + JITTER_FRACTION
        )

    async def renew(self, interval: float) -> None:
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
            every=interval,
        )
        key = node_key(self.me.node_id)
        self._parts.metrics.count(Event.TABLE_WRITES)
        await self._parts.tables.transact([], [Put(key, lease._asdict())])

    # --- shards --------------------------------------------------------------------
    @Service.task
    async def _watch_rows(self) -> None:
        """Read node and shard rows at intervals and apply the resulting plan."""
        while not self.should_stop and not self._leaving:
            try:
                await self.refresh_view()
                await self.apply_plan()
            except EbonydealError as exc:
                self._parts.metrics.count_retry(RetryReason.STORE)
                if exc.kind is ErrorKind.INTERNAL:
                    logger.error("Node or shard rows are malformed.", error=str(exc))
            await self._clock.sleep(self._jittered(self._read_interval()))

    def _read_interval(self) -> float:
        """Return seconds between reads, which grow with the number of nodes."""
        nodes = len(self._view.nodes)
        return self._cfg.renew_seconds * max(1.0, nodes / NODES_PER_READ)

    async def refresh_view(self) -> None:
        """Read all node and shard rows."""
        nodes = await self._scan(NODES_PREFIX)
        shards = await self._scan(SHARDS_PREFIX)
        now = self._clock.now()
        leases = read_leases((row.key[len(NODES_PREFIX) :], row.value) for row in nodes)
        self._watch.observe(leases, now, self._read_interval())
        rows = {int(row.key[len(SHARDS_PREFIX) :], 16): row for row in shards}
        self._view = ClusterView(self._watch.live(now), rows)
        self._parts.pacer.set_owners(len(self._view.nodes))

    async def _scan(self, prefix: str) -> list[Row]:
        """Return all rows with a prefix, reading page by page."""
        rows: list[Row] = []
        start = ""
        while True:
            self._parts.metrics.count(Event.TABLE_READS)
            page = await self._parts.tables.scan(prefix, start, SCAN_PAGE_ROWS)
            rows += page
            if len(page) < SCAN_PAGE_ROWS:
                return rows
            start = page[-1].key + "\0"

    async def apply_plan(self) -> None:
        """Claim and hand over shards as the current view requires."""
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
            self._claimable_since,
            now,
            self._cfg.lease_seconds,
            self._cfg.settle_seconds,
            max(MIN_CLAIM_GRACE_S, 2 * self._read_interval()),
        )
        seen = self._view.rows
        await asyncio.gather(
            *(self._claim(shard, seen.get(shard)) for shard in decided.claim)
        )
        if decided.hand_over is not None and self._handing_over is None:
            self._handing_over = self.add_future(self._hand_over_one(decided.hand_over))

    async def _hand_over_one(self, shard: int) -> None:
        """Hand over one shard to a preferred node; only one at a time."""
        try:
            await self.hand_over(shard, self._drain_seconds)
        finally:
            self._handing_over = None

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
        """Remove an owner that has been fenced or has released its shard."""
        owner = self.owners.pop(shard, None)
        self._since.pop(shard, None)
        if owner is not None and not self.should_stop:
            self.add_future(self._remove(owner))

    async def _remove(self, owner: ShardOwner) -> None:
        if owner in self._children:
            await self.remove_dependency(owner)

    async def hand_over(self, shard: int, timeout: float) -> bool:
        """Finish a shard's runs and release it; return whether it is free."""
        owner = self.owners.get(shard)
        if owner is None or not await owner.hand_over(timeout):
            return False
        await self._offer_to_best(shard)
        return True

    async def _offer_to_best(self, shard: int) -> None:
        """Offer a free shard to the node that ranks highest for it."""
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
            logger.info("Offer of a free shard failed.", shard=shard, error=str(exc))

    async def accept_offer(self, shard: int) -> bool:
        """Claim a shard that its owner released; return whether it is owned here."""
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
        """Shut down gracefully: hand over all shards and end the lease."""
        self._leaving = True
        owners = list(self.owners)
        logger.info("Handing over all shards.", shards=len(owners))
        await asyncio.gather(
            *(self.hand_over(shard, self._drain_seconds) for shard in owners)
        )
        await self._end_lease()

    async def _end_lease(self) -> None:
        """Delete the lease row, unless another process uses the node id now."""
        key = node_key(self.me.node_id)
        try:
            row = await self._parts.tables.get(key)
            if row is not None and row.value["incarnation"] == self.me.incarnation:
                await self._parts.tables.transact(
                    [RowVersion(key, row.version)], [Delete(key)]
                )
        except EbonydealError:
            logger.warning("Deleting the lease row failed; the lease will expire.")

    async def on_stop(self) -> None:
        """Hand over before the owners stop."""
        if not self._leaving:
            await self.leave()
