"""Keeps the lease of the duties: reads and writes its row as the protocol says."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Protocol

from mode import Service

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.shared import NO_ROW, RowWrite
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.duties.usage_store import UsageStore
from ebonydeal._internal.relay.ports import SharedStore
from ebonydeal._internal.routing.duties.duty_lease import (
    DutyLease,
    LeaseRow,
    Look,
    Rest,
    Write,
)
from ebonydeal._internal.utils.clock import Clock

logger = get_logger("relay.lease")

LEASE_TABLE = "ebonydeal-lease"
_LEASE_KEY = "duties"
_LOOK_S = 0.5
# So many relays read the row every half second; of more each reads it seldomer, so that
# hundreds that miss their holder don't take the store's reads up.
_LOOKERS = 30
_REST_S = 0.1
# Relays that start, or miss the holder, together write the row one after the other.
_JITTER_S = 0.3
# So long a free lease is left to the relay that stands in for its holder: it may have
# missed the holder a little later.
_LAST_S = 1.5


class KeptRow(Protocol):
    """A row that is written with the lease, and outlives its holder.

    Attributes
    ----------
    known : bool
        Whether what lies in the store was read: nothing is written over before.
    """

    @property
    def known(self) -> bool:
        """See above."""

    def changes(self) -> list[RowWrite]:
        """Return the writes that are due, if any."""

    def wrote(self) -> None:
        """Note that the last changes took effect."""

    async def read(self) -> None:
        """Take what the holder before kept."""


class LeaseKeeper(Service):
    """The task that owns the lease's row at one relay.

    Parameters
    ----------
    store : SharedStore
        The platform's store.
    usage : UsageStore
        Rows of usage that are written with a renewal.
    lease : DutyLease
        The protocol of the lease.
    clock, rng
        Time; jitter.
    first : callable
        Called when the lease is gained for the first time.
    stands_back : float
        Seconds for which a free lease is left to others.
    """

    def __init__(
        self,
        store: SharedStore,
        usage: UsageStore,
        lease: DutyLease,
        clock: Clock,
        rng: Random,
        first: Callable[[], None],
        stands_back: float = 0.0,
    ) -> None:
        super().__init__()
        self._store = store
        self._usage = usage
        self.lease = lease
        self._clock = clock
        self._rng = rng
        self._first = first
        # Written with the renewals.
        self.kept: list[KeptRow] = []
        self._stands_back = stands_back
        # Whether this relay takes a free lease before others, like one that was the
        # holder: it has the shares of the relays that missed the holder.
        self.goes_first: Callable[[], bool] = lambda: False
        # Whether another such relay is there, and is left time to.
        self.goes_last: Callable[[], bool] = lambda: False
        self._stood_back = False
        self.held_since: float | None = None
        self._stopping = False
        # Set once other relays can reach this one.
        self.reachable = asyncio.Event()

    @property
    def holds(self) -> bool:
        """Whether this relay may act on the duties now."""
        return self.lease.holds(self._clock.now())

    @Service.task
    async def _keep_lease(self) -> None:
        await self.reachable.wait()
        while not self.should_stop:
            held = self.holds
            try:
                await self._lease_step()
                if self.holds and self.held_since is None:
                    await self._usage.read_open()
                await self._read_kept()
            except EbonydealError as exc:
                self._lease_failed(exc)
                await self._clock.sleep(_LOOK_S * self._rng.uniform(0.5, 1))
            self._note_change(held)

    async def _lease_step(self) -> None:
        """Take one step of the lease's protocol."""
        lease = self.lease
        if self._stopping:
            # It takes no lease, but still has to tell the holder its counts.
            if lease.wanted:
                await self._look()
            await self._clock.sleep(_LOOK_S * self._rng.uniform(0.6, 1.4))
            return
        match lease.next_step(self._clock.now()):
            case Rest(seconds=seconds):
                # Another holds it: the next time that it is free is another time.
                self._stood_back = False
                await self._clock.sleep(min(_REST_S, seconds))
            case Look():
                await self._look()
                if not lease.mine and not self._was_holder:
                    await self._clock.sleep(self._look_pause())
            case Write() as write:
                if not lease.mine and not self._stood_back:
                    await self._stand_back()
                    return
                self._stood_back = False
                await self._write(write)

    @property
    def _was_holder(self) -> bool:
        """Whether the process before this one held the lease: nobody holds it now."""
        row = self.lease.row
        return row is not None and row.holder == self.lease.node

    def _look_pause(self) -> float:
        """Return the seconds until the row is read again.

        All that miss their holder read it: beyond some tens each reads it seldomer, and
        hears of a new holder from that one itself.
        """
        row = self.lease.row
        relays = 0 if row is None else row.relays
        crowd = max(1.0, relays / _LOOKERS)
        return _LOOK_S * crowd * self._rng.uniform(0.6, 1.4)

    async def _stand_back(self) -> None:
        """Leave a free lease to larger instances, and to who comes first."""
        if self._was_holder or self.goes_first():
            self._stood_back = True
            return
        jitter = self._rng.uniform(0.0, _JITTER_S)
        back = self._stands_back + (_LAST_S if self.goes_last() else 0.0)
        await self._clock.sleep(back + jitter)
        self._stood_back = True
        if back:
            # Another may have it by now.
            self.lease.in_doubt()

    async def _look(self) -> None:
        rows, _version = await self._store.rows(LEASE_TABLE)
        now = self._clock.now()
        for row in rows:
            if row.key == _LEASE_KEY and row.value is not None:
                self.lease.saw(_decoded(row.value), row.version, now)
                return
        self.lease.saw(None, NO_ROW, now)

    async def _read_kept(self) -> None:
        """Read what the holder before kept, once this relay holds the lease."""
        for kept in self.kept:
            if self.holds and not kept.known:
                await kept.read()

    def _change(self, write: Write) -> RowWrite:
        return RowWrite(LEASE_TABLE, _LEASE_KEY, write.row.encode(), write.expected)

    async def _write(self, write: Write) -> None:
        changes = [self._change(write)]
        renews = False
        if self.lease.mine and write.row.fence == self.lease.fence:
            # With the renewal, what was told of usage outlives all processes.
            changes.append(self._usage.open_change())
            changes.extend(c for kept in self.kept for c in kept.changes())
            renews = True
        try:
            result = await self._store.transact(changes)
        except EbonydealError as exc:
            if exc.kind is ErrorKind.STORE_IN_DOUBT:
                self.lease.in_doubt()
            raise
        if result.applied:
            self.lease.wrote(write.row, result.version)
            if renews:
                for kept in self.kept:
                    kept.wrote()
            return
        now = self._clock.now()
        row = result.rows[0] if result.rows else None
        value = None if row is None or row.value is None else _decoded(row.value)
        self.lease.saw(value, NO_ROW if row is None else row.version, now)

    def _lease_failed(self, exc: EbonydealError) -> None:
        logger.warning("Lease: store call failed.", reason=str(exc))
        self.lease.failed(self._clock.now())

    def _note_change(self, held: bool) -> None:
        """Log the lease gained or lost, and start afresh."""
        holds = self.holds
        if holds == held:
            return
        fence = self.lease.fence
        if not holds:
            logger.warning("Lease lost.", fence=fence)
            return
        logger.info("Lease gained.", fence=fence)
        if self.held_since is None:
            self._first()
        self.held_since = self._clock.now()

    async def release(self) -> None:
        """Free the lease at a planned stop, so that another takes it at once."""
        self._stopping = True
        write = self.lease.release()
        if write is None:
            return
        changes = [self._change(write), self._usage.open_change()]
        changes.extend(c for kept in self.kept for c in kept.changes())
        try:
            await self._store.transact(changes)
        except EbonydealError as exc:
            logger.warning("Lease not released.", reason=str(exc))
            return
        logger.info("Lease released.", fence=write.row.fence)


def _decoded(value: bytes) -> LeaseRow | None:
    """Return the lease's row; one that can't be read counts as none."""
    try:
        return LeaseRow.decode(value)
    except (ValueError, KeyError, TypeError, OverflowError, RecursionError) as exc:
        logger.error("The lease's row can't be read.", reason=repr(exc))
        return None
