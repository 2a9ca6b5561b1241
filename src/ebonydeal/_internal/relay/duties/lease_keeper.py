"""Reads and writes the row of the coordinator lease, as its state machine decides."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Protocol

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.shared import NO_ROW, RowWrite
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.duties.usage_store import UsageStore
from ebonydeal._internal.relay.ports import SharedStore
from ebonydeal._internal.routing.duties.coordinator_lease import (
    CoordinatorLease,
    LeaseRow,
    Read,
    Sleep,
    Write,
)
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.supervised import SupervisedService, supervised_task

logger = get_logger("relay.lease")

LEASE_TABLE = "ebonydeal-lease"
_LEASE_KEY = "duties"
_READ_INTERVAL_S = 0.5
# Up to this many relays each read the row every half second. With more, each reads it
# less often, so that hundreds that lost the holder don't use up the store's reads.
_MAX_FREQUENT_READERS = 30
_MAX_SLEEP_S = 0.1
# Spreads the writes of relays that start, or lose the holder, at the same time.
_MAX_JITTER_S = 0.3
# Time for which other relays leave a free lease to the holder's standby, which may
# have noticed the loss of the holder a little later.
_STANDBY_HEAD_START_S = 1.5


class PersistedRow(Protocol):
    """A row that is written with the lease, and outlives its holder.

    Attributes
    ----------
    loaded : bool
        Whether the stored row was read; it isn't overwritten before that.
    """

    @property
    def loaded(self) -> bool:
        """See above."""

    def changes(self) -> list[RowWrite]:
        """Return the writes that are due, if any."""

    def wrote(self) -> None:
        """Note that the last changes took effect."""

    async def read(self) -> None:
        """Load what the previous holder stored."""

    def store_restored(self) -> None:
        """Note that the store may have lost the last writes of this row."""


class LeaseKeeper(SupervisedService):
    """The task that reads and writes the lease's row at one relay.

    Parameters
    ----------
    store : SharedStore
        The platform's store.
    usage : UsageStore
        Rows of usage that are written with a renewal.
    lease : CoordinatorLease
        State machine of the lease.
    clock, rng
        Time; jitter.
    on_first_gain : callable
        Called when the lease is gained for the first time.
    takeover_delay_s : float
        Seconds for which a free lease is left to others.
    """

    def __init__(
        self,
        store: SharedStore,
        usage: UsageStore,
        lease: CoordinatorLease,
        clock: Clock,
        rng: Random,
        on_first_gain: Callable[[], None],
        takeover_delay_s: float = 0.0,
    ) -> None:
        super().__init__()
        self._store = store
        self._usage = usage
        self.lease = lease
        self._clock = clock
        self._rng = rng
        self._on_first_gain = on_first_gain
        # Written with each renewal.
        self.persisted_rows: list[PersistedRow] = []
        self._takeover_delay_s = takeover_delay_s
        # Whether this relay takes a free lease without delay, as the last holder does:
        # relays that lost the holder have delegated their shares to this one.
        self.takes_precedence: Callable[[], bool] = lambda: False
        # Whether another relay takes precedence, so that this one waits longer.
        self.yields_to_standby: Callable[[], bool] = lambda: False
        self._takeover_delayed = False
        self.held_since: float | None = None
        self._stopping = False
        self._era: int | None = None
        # Set once other relays can reach this one.
        self.reachable = asyncio.Event()

    @property
    def holds(self) -> bool:
        """Whether this relay may act on the duties now."""
        return self.lease.holds(self._clock.now())

    @supervised_task
    async def _keep_lease(self) -> None:
        await self.reachable.wait()
        while not self.should_stop:
            held = self.holds
            try:
                await self._lease_step()
                self._observe_era()
                if self.holds and self.held_since is None:
                    await self._usage.read_open()
                await self._read_persisted_rows()
            except EbonydealError as exc:
                self._lease_failed(exc)
                await self._clock.sleep(_READ_INTERVAL_S * self._rng.uniform(0.5, 1))
            self._log_change(held)

    def _observe_era(self) -> None:
        """Take the lease anew, and write all rows again, after a restore."""
        era = self._store.era
        if era == self._era:
            return
        self.lease.observe_era(era, self._clock.now())
        if self._era is not None:
            for row in self.persisted_rows:
                row.store_restored()
        self._era = era

    async def _lease_step(self) -> None:
        """Take one step of the lease's protocol."""
        lease = self.lease
        if self._stopping:
            # It must not take the lease, but still reports its counts to the holder.
            if lease.wanted:
                await self._read()
            await self._clock.sleep(_READ_INTERVAL_S * self._rng.uniform(0.6, 1.4))
            return
        match lease.next_step(self._clock.now()):
            case Sleep(seconds=seconds):
                # Another relay holds it: the delay applies again when it is free.
                self._takeover_delayed = False
                await self._clock.sleep(min(_MAX_SLEEP_S, seconds))
            case Read():
                await self._read()
                if not lease.is_mine and not self._previous_process_held:
                    await self._clock.sleep(self._read_pause())
            case Write() as write:
                if not lease.is_mine and not self._takeover_delayed:
                    await self._delay_takeover()
                    return
                self._takeover_delayed = False
                await self._write(write)

    @property
    def _previous_process_held(self) -> bool:
        """Whether this node's previous process held the lease: nobody holds it now."""
        row = self.lease.row
        return row is not None and row.holder == self.lease.node

    def _read_pause(self) -> float:
        """Return the seconds until the row is read again.

        All relays that lost the holder read it. Beyond some tens, each reads it less
        often, and a new holder announces itself to them.
        """
        row = self.lease.row
        relays = 0 if row is None else row.relays
        slowdown = max(1.0, relays / _MAX_FREQUENT_READERS)
        return _READ_INTERVAL_S * slowdown * self._rng.uniform(0.6, 1.4)

    async def _delay_takeover(self) -> None:
        """Leave a free lease to larger instances and to the standby for a while."""
        if self._previous_process_held or self.takes_precedence():
            self._takeover_delayed = True
            return
        jitter = self._rng.uniform(0.0, _MAX_JITTER_S)
        delay = self._takeover_delay_s + (
            _STANDBY_HEAD_START_S if self.yields_to_standby() else 0.0
        )
        await self._clock.sleep(delay + jitter)
        self._takeover_delayed = True
        if delay:
            # Another relay may have taken it meanwhile.
            self.lease.on_write_in_doubt()

    async def _read(self) -> None:
        rows, _version = await self._store.rows(LEASE_TABLE)
        now = self._clock.now()
        for row in rows:
            if row.key == _LEASE_KEY and row.value is not None:
                self.lease.on_read(_decode_row(row.value), row.version, now)
                return
        self.lease.on_read(None, NO_ROW, now)

    async def _read_persisted_rows(self) -> None:
        """Read the rows of the previous holder, once this relay holds the lease."""
        for row in self.persisted_rows:
            if self.holds and not row.loaded:
                await row.read()

    def _change(self, write: Write) -> RowWrite:
        return RowWrite(LEASE_TABLE, _LEASE_KEY, write.row.encode(), write.expected)

    async def _write(self, write: Write) -> None:
        changes = [self._change(write)]
        renews = False
        if self.lease.is_mine and write.row.fence == self.lease.fence:
            # So that reported usage survives the loss of all processes.
            changes.append(self._usage.open_change())
            changes.extend(c for row in self.persisted_rows for c in row.changes())
            renews = True
        try:
            result = await self._store.transact(changes)
        except EbonydealError as exc:
            if exc.kind is ErrorKind.STORE_IN_DOUBT:
                self.lease.on_write_in_doubt()
            raise
        if result.applied:
            self.lease.on_written(write.row, result.version)
            if renews:
                for persisted in self.persisted_rows:
                    persisted.wrote()
            return
        now = self._clock.now()
        row = result.rows[0] if result.rows else None
        value = None if row is None or row.value is None else _decode_row(row.value)
        self.lease.on_read(value, NO_ROW if row is None else row.version, now)

    def _lease_failed(self, exc: EbonydealError) -> None:
        logger.warning("Store call for the lease failed.", reason=str(exc))
        self.lease.on_renewal_failed(self._clock.now())

    def _log_change(self, held: bool) -> None:
        """Log that the lease was gained or lost, and note since when it is held."""
        holds = self.holds
        if holds == held:
            return
        fence = self.lease.fence
        if not holds:
            logger.warning("Lease lost.", fence=fence)
            return
        logger.info("Lease gained.", fence=fence)
        if self.held_since is None:
            self._on_first_gain()
        self.held_since = self._clock.now()

    async def release(self) -> None:
        """Free the lease at a planned stop, so that another relay takes it at once."""
        self._stopping = True
        write = self.lease.release()
        if write is None:
            return
        changes = [self._change(write), self._usage.open_change()]
        changes.extend(c for row in self.persisted_rows for c in row.changes())
        try:
            await self._store.transact(changes)
        except EbonydealError as exc:
            logger.warning("Lease not released.", reason=str(exc))
            return
        logger.info("Lease released.", fence=write.row.fence)


def _decode_row(value: bytes) -> LeaseRow | None:
    """Return the lease's row, or None where it can't be decoded."""
    try:
        return LeaseRow.decode(value)
    except (ValueError, KeyError, TypeError, OverflowError, RecursionError) as exc:
        logger.error("Lease row can't be decoded.", reason=repr(exc))
        return None
