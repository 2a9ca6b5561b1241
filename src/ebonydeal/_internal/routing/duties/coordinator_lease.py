"""The lease of the coordinator role, held by one relay at a time: protocol without I/O.

The lease is one row of the platform's store, written only on condition that its
version is still the one that was read. Nothing expires in the store: a relay
that wants the lease must have seen the row unchanged for the whole TTL, measured
by its own monotonic clock. The holder measures the TTL from before it sent a
renewal, so its lease ends before another relay can take it. Safety doesn't
depend on these clocks but on the fencing token: the condition of the write makes it
different for each holder and each incarnation.

A store that comes back from a copy may have lost the last takeovers and their tokens.
So the era of the store is part of each token: in a new era, every holder takes the
lease anew, under a token that is higher than all of the eras before.
"""

import json
from dataclasses import dataclass
from typing import NamedTuple


class LeaseRow(NamedTuple):
    """The stored row; ``holder`` is empty after a release.

    ``relays`` is the number of relays that the holder knows. Relays that start at the
    same time compute their shares from it, as none of them can report a number yet.
    """

    holder: str
    incarnation: str
    address: str
    fence: int
    relays: int = 0

    def encode(self) -> bytes:
        """Return the row's value."""
        return json.dumps(self._asdict()).encode()

    @classmethod
    def decode(cls, value: bytes) -> "LeaseRow":
        """Build from a row's value; raises ValueError, KeyError or TypeError."""
        message = json.loads(value)
        return cls(
            str(message["holder"]),
            str(message["incarnation"]),
            str(message["address"]),
            int(message["fence"]),
            int(message.get("relays", 0)),
        )


@dataclass(frozen=True)
class Write:
    """Write ``row`` if the stored version is ``expected``; then call `on_written`."""

    row: LeaseRow
    expected: int


@dataclass(frozen=True)
class Read:
    """Read the row, then call `CoordinatorLease.on_read`."""


@dataclass(frozen=True)
class Sleep:
    """Nothing to do for ``seconds``."""

    seconds: float


Step = Write | Read | Sleep

# One renewal in a TTL may be lost and another one late.
_RENEWALS_PER_TTL = 3.0
# The holder stops acting this fraction of the TTL early, to cover the time between
# its last reading of the clock and the arrival of what it sent.
_EXPIRY_MARGIN = 0.1
# Bits of a fencing token below the era: more than there are takeovers in one era.
_TAKEOVER_BITS = 20
_TAKEOVER_MASK = 2**_TAKEOVER_BITS - 1
_UNKNOWN_ERA = -1


def _highest_fence_before(era: int) -> int:
    """Return the highest fencing token of earlier eras; 0 for a store without eras."""
    return max(0, era) << _TAKEOVER_BITS


class CoordinatorLease:
    """One relay's view of the lease.

    Parameters
    ----------
    node, incarnation, address : str
        This relay; a restarted relay has a new incarnation.
    ttl : float
        Time to live of the lease, seconds.
    """

    def __init__(self, node: str, incarnation: str, address: str, ttl: float) -> None:
        self._me = LeaseRow(node, incarnation, address, 0)
        self._ttl = ttl
        self._row: LeaseRow | None = None
        self._version = 0
        self._changed_at = 0.0
        # Whether the row was read from the store since the last write in doubt.
        self._known = False
        # Whether the row comes from another relay.
        self._is_learned = False
        self._sent_at = 0.0
        self._until = 0.0
        self._renew_at = 0.0
        self.wanted = False
        # The row that this incarnation took the lease from; None if there was none.
        self.previous_row: LeaseRow | None = None
        # The number of relays that this one knows, to be written with the row.
        self.relay_count = 0
        self._era = _UNKNOWN_ERA
        # Until when a relay may act under a token that the store has forgotten.
        self._retake_at = 0.0

    @property
    def row(self) -> LeaseRow | None:
        """The last known row."""
        return self._row

    @property
    def version(self) -> int:
        """The last known version of the row."""
        return self._version

    def learn_holder(self, row: LeaseRow, version: int) -> None:
        """Apply a newer holder's row from another relay.

        It serves only to find the holder: it doesn't permit this relay to act, and a
        relay that wants the lease reads the row before it writes.
        """
        if row.fence > self.fence and version > self._version:
            self._row, self._version = row, version
            self._known = False
            self._is_learned = True

    @property
    def fence(self) -> int:
        """The fencing token of the last known row; 0 if there is none."""
        return 0 if self._row is None else self._row.fence

    @property
    def is_first(self) -> bool:
        """Whether this relay holds the lease, and none held it before."""
        takeovers = self.fence & _TAKEOVER_MASK
        return self.is_mine and self.previous_row is None and takeovers == 1

    @property
    def is_first_in_era(self) -> bool:
        """Whether this relay is the first holder since the store came back.

        Also at the first start, where the store states an era.
        """
        return self._era > 0 and self.is_mine and self.fence & _TAKEOVER_MASK == 1

    @property
    def node(self) -> str:
        """Name of this relay."""
        return self._me.holder

    @property
    def incarnation(self) -> str:
        """Identifier of this process."""
        return self._me.incarnation

    def observe_era(self, era: int, now: float) -> None:
        """Note the era of the store; the row must be read again in a new one.

        The holder takes the lease at once. Another relay may have lost its takeover,
        and acts for the rest of its TTL.
        """
        if era <= self._era:
            return
        # One that has just started doesn't know the era before, and may be the first
        # one to notice a restore.
        self._retake_at = now if self.holds(now) else now + self._ttl
        self._era = era
        if self._is_outdated:
            self._known = False
            self._is_learned = False
            self._until = 0.0

    @property
    def _is_outdated(self) -> bool:
        """Whether the last known row was written before the store was restored.

        No row at all may be one that the store has lost.
        """
        return self._era > 0 and self.fence <= _highest_fence_before(self._era)

    def set_address(self, address: str) -> None:
        """Set the address that the next write publishes."""
        self._me = self._me._replace(address=address)

    @property
    def is_mine(self) -> bool:
        """Whether the last known row names this incarnation."""
        row = self._row
        return (
            row is not None
            and row.holder == self._me.holder
            and row.incarnation == self._me.incarnation
        )

    def holds(self, now: float) -> bool:
        """Return whether this relay may act as coordinator now."""
        if not self.is_mine or self._is_outdated:
            return False
        return now < self._until - self._ttl * _EXPIRY_MARGIN

    def next_step(self, now: float) -> Step:
        """Return what to do next."""
        if not self._known:
            if self._is_learned and not self.wanted:
                # A new holder notifies all relays, so hundreds needn't read the row.
                return Sleep(self._ttl / _RENEWALS_PER_TTL)
            return Read()
        if self._is_outdated and (self.is_mine or self.wanted):
            return self._step_after_restore(now)
        if self.is_mine:
            if now < self._renew_at:
                return Sleep(self._renew_at - now)
            # Renew an expired lease, too: while the row is unchanged no other
            # relay has held it, and after an outage of the store the last
            # holder has the most complete state.
            return self._write(now, self.fence)
        if not self.wanted:
            return Sleep(self._ttl / _RENEWALS_PER_TTL)
        if self._row is None:
            return self._write(now, 1)
        free = self._row.holder == ""
        # The previous incarnation on this node has certainly ended.
        own = self._row.holder == self._me.holder
        if free or own or now - self._changed_at >= self._ttl:
            return self._write(now, self.fence + 1)
        return Read()

    def _step_after_restore(self, now: float) -> Step:
        """Return what to do with a row that was written before a restore."""
        if now < self._retake_at:
            return Sleep(self._retake_at - now)
        free_or_own = self._row is None or self._row.holder in ("", self._me.holder)
        if free_or_own or now - self._changed_at >= self._ttl:
            return self._write(now, _highest_fence_before(self._era) + 1)
        return Read()

    def _write(self, now: float, fence: int) -> Write:
        self._sent_at = now
        return Write(
            self._me._replace(fence=fence, relays=self.relay_count), self._version
        )

    def on_read(self, row: LeaseRow | None, version: int, now: float) -> None:
        """Apply the row that was read; version 0 if there is none."""
        changed = not self._known or version != self._version
        was_holder = self.is_mine
        previous_row = self._row
        self._row, self._version = row, version
        self._known = True
        self._is_learned = False
        if changed:
            self._changed_at = now
        if self.is_mine and not was_holder:
            # A write whose answer was lost took effect: the lease counts from
            # before it was sent.
            self.previous_row = previous_row
            self._until = self._sent_at + self._ttl
            self._renew_at = self._sent_at + self._ttl / _RENEWALS_PER_TTL

    def on_written(self, row: LeaseRow, version: int) -> None:
        """Apply the row of a write that took effect."""
        if not self.is_mine:
            self.previous_row = self._row
        self._row, self._version = row, version
        self._changed_at = self._sent_at
        self._until = self._sent_at + self._ttl
        self._renew_at = self._sent_at + self._ttl / _RENEWALS_PER_TTL
        if not self.is_mine:
            self._until = 0.0

    def on_write_in_doubt(self) -> None:
        """Note that a write may or may not have taken effect."""
        self._known = False
        self._is_learned = False

    def renew_soon(self, now: float) -> None:
        """Renew now, because something written with a renewal can't wait."""
        self._renew_at = min(self._renew_at, now)

    def on_renewal_failed(self, now: float) -> None:
        """Note that a renewal failed; it is retried soon."""
        self._renew_at = now + self._ttl / _RENEWALS_PER_TTL / 4.0

    def release(self) -> Write | None:
        """Return the write by which a stopping holder frees the lease.

        It no longer acts from now on: the write may take effect at any time.
        """
        if not self.is_mine:
            return None
        self._until = 0.0
        free = LeaseRow("", "", "", self.fence, self.relay_count)
        return Write(free, self._version)
