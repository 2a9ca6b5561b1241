"""Lease on the leadership of one deployment, a row in the table service.

Safety depends on the epoch: every write of a leader has the condition that
``leases/{name}`` holds the leader's epoch, so that a holder that was paused
until after its lease expired can change nothing. Time only decides when another
process attempts a takeover. It measures on its own monotonic clock how long the
row has been unchanged, so that clocks of different processes are never compared.
"""

import random
from dataclasses import dataclass
from typing import NamedTuple

from ebonydeal._internal.errors import EbonydealError, ErrorKind
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

LEASE_PREFIX = "leases/"
_RENEW_INTERVAL_SHARE = 1 / 3


class Holder(NamedTuple):
    """A process that wants the lease; ``id`` is unique to one run of it."""

    id: str
    address: str


def new_holder(node_id: str, address: str, rng: random.Random) -> Holder:
    """Return a holder with an id that is unique to this run of the process."""
    return Holder(f"{node_id}/{new_token('run', rng)}", address)


class RowObservation(NamedTuple):
    """When this process first read a version of the row, monotonic seconds."""

    version: int
    at: float


@dataclass(frozen=True)
class Claim:
    """Take the lease with ``epoch`` if ``condition`` still holds."""

    epoch: int
    condition: Condition


@dataclass(frozen=True)
class Renew:
    """Renew the held lease if ``condition`` still holds."""

    epoch: int
    condition: Condition


@dataclass(frozen=True)
class Wait:
    """Do nothing, as another holder is or may be active."""


LeaseStep = Claim | Renew | Wait


def next_lease_step(
    key: str,
    row: Row | None,
    holder_id: str,
    seen: RowObservation | None,
    now: float,
    ttl: float,
) -> LeaseStep:
    """Return the next step of a process that wants or holds the lease.

    Parameters
    ----------
    key : str
        Key of the lease row.
    row : Row or None
        The row as just read; None if it doesn't exist.
    holder_id : str
        Id of this process.
    seen : RowObservation or None
        When this process first read the current version.
    now, ttl : float
        Monotonic seconds, and seconds without a change before a takeover.
    """
    if row is None:
        return Claim(1, RowAbsent(key))
    condition = RowVersion(key, row.version)
    epoch = int(row.value["epoch"])
    if row.value["holder"] == holder_id:
        return Renew(epoch, condition)
    if not row.value["holder"]:
        return Claim(epoch + 1, condition)
    if seen is None or seen.version != row.version:
        return Wait()
    if now - seen.at < ttl:
        return Wait()
    return Claim(epoch + 1, condition)


class LeaseKeeper:
    """Takes, renews and releases one lease.

    Parameters
    ----------
    name : str
        ``controller-{deployment}``.
    holder : Holder
        This process.
    tables : Tables
        Contains the lease row.
    clock : Clock
        Source of time.
    ttl : float
        Seconds without a renewal after which another process may take over.
    """

    def __init__(
        self, name: str, holder: Holder, tables: Tables, clock: Clock, ttl: float
    ) -> None:
        self.key = LEASE_PREFIX + name
        self.epoch: int | None = None
        self.previous_holder = ""
        self.held_since = 0.0
        self._holder = holder
        self._tables = tables
        self._clock = clock
        self._ttl = ttl
        self._seen: RowObservation | None = None
        self._valid_until = 0.0
        self._next_read_at = 0.0

    def condition(self) -> FieldEquals:
        """Return the condition that every write of the leader must include."""
        return FieldEquals(self.key, "epoch", self.epoch)

    def presumed_held(self) -> bool:
        """Return whether the lease is likely held; safety doesn't depend on this."""
        return self.epoch is not None and self._clock.now() < self._valid_until

    async def step(self) -> bool:
        """Read the row, then take or renew the lease or wait; return if it is held.

        If the response to a write is lost, the row is read again. While the
        table is unreachable, the lease counts as held until it expires. A lease
        that was renewed less than a third of its TTL ago is not read: if another
        process has taken it, the next conditional write fails anyway.
        """
        if self._clock.now() < self._next_read_at:
            return self.presumed_held()
        try:
            await self._step()
        except EbonydealError as exc:
            if exc.kind not in (
                ErrorKind.STORE_UNAVAILABLE,
                ErrorKind.STORE_IN_DOUBT,
            ):
                raise
        return self.presumed_held()

    def mark_lost(self) -> None:
        """Drop the lease after a sign that another process has taken it."""
        self.epoch = None
        self._seen = None
        self._next_read_at = 0.0

    async def release(self) -> None:
        """Clear the holder, so that the next one needn't wait for the expiry."""
        if self.epoch is None:
            return
        write = Put(self.key, self._value("", self.epoch))
        await self._tables.transact([self.condition()], [write])
        self.epoch = None

    async def _step(self) -> None:
        """Do one step; raises if the table is unreachable."""
        row = await self._tables.get(self.key)
        # Taken after the read: a process that was paused during the read must not
        # count the pause as time in which the row was unchanged.
        read_at = self._clock.now()
        self._observe(row, read_at)
        step = next_lease_step(
            self.key, row, self._holder.id, self._seen, read_at, self._ttl
        )
        match step:
            case Wait():
                self.epoch = None
                self._next_read_at = read_at + self._ttl * _RENEW_INTERVAL_SHARE
            case Renew(epoch, condition):
                await self._write(epoch, condition, read_at)
            case Claim(epoch, condition):
                self.previous_holder = "" if row is None else str(row.value["holder"])
                self.epoch = None
                await self._write(epoch, condition, read_at)

    def _observe(self, row: Row | None, now: float) -> None:
        """Keep the time at which this version of the row was first read."""
        if row is None:
            self._seen = None
        elif self._seen is None or self._seen.version != row.version:
            self._seen = RowObservation(row.version, now)

    async def _write(self, epoch: int, condition: Condition, read_at: float) -> None:
        """Write this process as holder; if the response is lost, read the row again."""
        write = Put(self.key, self._value(self._holder.id, epoch))
        try:
            applied = await self._tables.transact([condition], [write])
        except EbonydealError as exc:
            if exc.kind is not ErrorKind.STORE_IN_DOUBT:
                raise
            applied = await self._is_written(epoch)
        if not applied:
            self.epoch = None
            return
        if self.epoch != epoch:
            self.held_since = read_at
        self.epoch = epoch
        self._valid_until = read_at + self._ttl
        self._next_read_at = read_at + self._ttl * _RENEW_INTERVAL_SHARE

    async def _is_written(self, epoch: int) -> bool:
        """Return whether the row names this process as holder with ``epoch``."""
        row = await self._tables.get(self.key)
        if row is None:
            return False
        return row.value["holder"] == self._holder.id and row.value["epoch"] == epoch

    def _value(self, holder: str, epoch: int) -> dict[str, object]:
        """Return the row's JSON object; ``until`` is only information for operators."""
        return {
            "holder": holder,
            "address": self._holder.address,
            "epoch": epoch,
            "until": self._clock.wall() + self._ttl,
        }
