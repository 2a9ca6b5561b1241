"""Leadership of one deployment by a row in the table service.

Safety rests on the epoch: every write of a leader is conditioned on
``leases/{name}`` holding the leader's epoch, so that a holder that was paused
past its lease can change nothing. Time only decides when a takeover is tried,
and then the watcher's own monotonic clock since the row last changed, so that
clocks of different processes are never compared.
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
_LOOK_SHARE = 1 / 3


class Holder(NamedTuple):
    """Who asks for the lease; ``id`` is unique to one run of one process."""

    id: str
    address: str


def new_holder(node_id: str, address: str, rng: random.Random) -> Holder:
    """Return a holder id that is unique to this run of the process."""
    return Holder(f"{node_id}/{new_token('run', rng)}", address)


class RowObservation(NamedTuple):
    """When a version of the row was first seen, in own monotonic seconds."""

    version: int
    at: float


@dataclass(frozen=True)
class Claim:
    """Take the lease with this epoch if ``condition`` still holds."""

    epoch: int
    condition: Condition


@dataclass(frozen=True)
class Renew:
    """Write the held lease again."""

    epoch: int
    condition: Condition


@dataclass(frozen=True)
class Wait:
    """Another holder is active, or may be."""


LeaseStep = Claim | Renew | Wait


def next_lease_step(
    key: str,
    row: Row | None,
    holder_id: str,
    seen: RowObservation | None,
    now: float,
    ttl: float,
) -> LeaseStep:
    """Return what a process should do about the lease.

    Parameters
    ----------
    key : str
        Key of the lease row.
    row : Row or None
        The row as just read.
    holder_id : str
        Id of the asking process.
    seen : RowObservation or None
        When the present version was first seen.
    now, ttl : float
        Monotonic seconds, and seconds without a change until a takeover.
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
    """Takes, renews and gives back one lease.

    Parameters
    ----------
    name : str
        ``controller-{deployment}``.
    holder : Holder
        This process.
    tables : Tables
        Where the row is.
    clock : Clock
        Source of time.
    ttl : float
        Seconds without a renewal after which others may take over.
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
        self._look_at = 0.0

    def condition(self) -> FieldEquals:
        """Return the condition that every write of the leader carries."""
        return FieldEquals(self.key, "epoch", self.epoch)

    def presumed_held(self) -> bool:
        """Return whether this process may still act; a courtesy, not safety."""
        return self.epoch is not None and self._clock.now() < self._valid_until

    async def step(self) -> bool:
        """Look at the row and take, renew or leave the lease.

        Returns whether the lease is held. A lost answer is settled by reading
        the row back; while the table can't be reached the last word holds
        until it expires. A lease that was renewed less than a third of its time
        ago is left as it is: another's claim shows in the next write anyway.
        """
        if self._clock.now() < self._look_at:
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
        """Note that a conditioned write showed another epoch."""
        self.epoch = None
        self._seen = None
        self._look_at = 0.0

    async def release(self) -> None:
        """Clear the holder, so that the next one need not wait."""
        if self.epoch is None:
            return
        write = Put(self.key, self._value("", self.epoch))
        await self._tables.transact([self.condition()], [write])
        self.epoch = None

    async def _step(self) -> None:
        """Do one move; raises where the table can't be reached."""
        row = await self._tables.get(self.key)
        # Only now: a process paused during the read has seen nothing meanwhile.
        began = self._clock.now()
        self._sight(row, began)
        step = next_lease_step(
            self.key, row, self._holder.id, self._seen, began, self._ttl
        )
        match step:
            case Wait():
                self.epoch = None
                self._look_at = began + self._ttl * _LOOK_SHARE
            case Renew(epoch, condition):
                await self._write(epoch, condition, began)
            case Claim(epoch, condition):
                self.previous_holder = "" if row is None else str(row.value["holder"])
                self.epoch = None
                await self._write(epoch, condition, began)

    def _sight(self, row: Row | None, now: float) -> None:
        """Remember when this version of the row was first seen."""
        if row is None:
            self._seen = None
        elif self._seen is None or self._seen.version != row.version:
            self._seen = RowObservation(row.version, now)

    async def _write(self, epoch: int, condition: Condition, began: float) -> None:
        """Write the lease as ours; after a lost answer believe only the row."""
        write = Put(self.key, self._value(self._holder.id, epoch))
        try:
            applied = await self._tables.transact([condition], [write])
        except EbonydealError as exc:
            if exc.kind is not ErrorKind.STORE_IN_DOUBT:
                raise
            applied = await self._took_effect(epoch)
        if not applied:
            self.epoch = None
            return
        if self.epoch != epoch:
            self.held_since = began
        self.epoch = epoch
        self._valid_until = began + self._ttl
        self._look_at = began + self._ttl * _LOOK_SHARE

    async def _took_effect(self, epoch: int) -> bool:
        """Return whether the row names us with ``epoch``."""
        row = await self._tables.get(self.key)
        if row is None:
            return False
        return row.value["holder"] == self._holder.id and row.value["epoch"] == epoch

    def _value(self, holder: str, epoch: int) -> dict[str, object]:
        """Return the row's JSON object; ``until`` is for operators to read."""
        return {
            "holder": holder,
            "address": self._holder.address,
            "epoch": epoch,
            "until": self._clock.wall() + self._ttl,
        }
