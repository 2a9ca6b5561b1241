"""The lease of the duties that one relay at a time has: the pure protocol.

The lease is one row of the platform's store, changed only under the condition
that it still has the version that was read. Nothing expires in the store: a
relay that wants the lease must have seen the row unchanged for the whole time
to live by its own steady clock. The holder counts the same time from before it
sent a renewal, so its right ends before another's begins. Safety doesn't rest
on these clocks but on the fencing number, which the same condition makes new
for each holder and each incarnation.
"""

import json
from dataclasses import dataclass
from typing import NamedTuple


class LeaseRow(NamedTuple):
    """What the row says; ``holder`` is empty after a release.

    ``relays`` is how many relays the holder knows of: all that start at once must
    take their parts of so many, before any of them has told how many there are.
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
    """Read the row, then call `on_read`."""


@dataclass(frozen=True)
class Sleep:
    """There is nothing to do for so many seconds."""

    seconds: float


Step = Write | Read | Sleep

# Renewals in one time to live: one may be lost and one late.
_RENEWALS = 3.0
# The holder's right ends this share of the time to live earlier, for the time
# between its last look at the clock and the arrival of what it sent.
_MARGIN = 0.1


class CoordinatorLease:
    """One relay's view of the lease.

    Parameters
    ----------
    node, incarnation, address : str
        Who asks; a relay that starts anew has another incarnation.
    ttl : float
        Time to live, seconds.
    """

    def __init__(self, node: str, incarnation: str, address: str, ttl: float) -> None:
        self._me = LeaseRow(node, incarnation, address, 0)
        self._ttl = ttl
        self._row: LeaseRow | None = None
        self._version = 0
        self._seen_at = 0.0
        self._known = False
        # Whether the row as known comes from another relay.
        self._told = False
        self._sent_at = 0.0
        self._until = 0.0
        self._renew_at = 0.0
        self.wanted = False
        # The row that this incarnation took the lease from; None if there was none.
        self.previous_row: LeaseRow | None = None
        # How many relays this one knows of, to be written with the row.
        self.relay_count = 0

    @property
    def row(self) -> LeaseRow | None:
        """The row as last seen."""
        return self._row

    @property
    def version(self) -> int:
        """The row's version as last seen."""
        return self._version

    def learn_holder(self, row: LeaseRow, version: int) -> None:
        """Take a newer holder's row from another relay.

        Only for finding the holder: it gives no right, and whoever wants the lease
        reads the row before it writes.
        """
        if row.fence > self.fence and version > self._version:
            self._row, self._version = row, version
            self._known = False
            self._told = True

    @property
    def fence(self) -> int:
        """The fencing number of the row as last seen; 0 without one."""
        return 0 if self._row is None else self._row.fence

    @property
    def node(self) -> str:
        """Name of this relay."""
        return self._me.holder

    @property
    def incarnation(self) -> str:
        """Name of this process."""
        return self._me.incarnation

    def set_address(self, address: str) -> None:
        """Take the address that others are told with the next write."""
        self._me = self._me._replace(address=address)

    @property
    def is_mine(self) -> bool:
        """Whether the row, as last seen, names this incarnation."""
        row = self._row
        return (
            row is not None
            and row.holder == self._me.holder
            and row.incarnation == self._me.incarnation
        )

    def holds(self, now: float) -> bool:
        """Return whether this relay may act on the duties now."""
        return self.is_mine and now < self._until - self._ttl * _MARGIN

    def next_step(self, now: float) -> Step:
        """Return what to do next."""
        if not self._known:
            if self._told and not self.wanted:
                # Hundreds of relays are told of a new holder: none has to read.
                return Sleep(self._ttl / _RENEWALS)
            return Read()
        if self.is_mine:
            if now < self._renew_at:
                return Sleep(self._renew_at - now)
            # Also when the right is over: while the row stands as it was,
            # nobody else had it, and after an outage of the store its last
            # holder is the one who knows most.
            return self._write(now, self.fence)
        if not self.wanted:
            return Sleep(self._ttl / _RENEWALS)
        if self._row is None:
            return self._write(now, 1)
        free = self._row.holder == ""
        # An earlier incarnation on this node is surely gone.
        own = self._row.holder == self._me.holder
        if free or own or now - self._seen_at >= self._ttl:
            return self._write(now, self.fence + 1)
        return Read()

    def _write(self, now: float, fence: int) -> Write:
        self._sent_at = now
        row = self._me._replace(fence=fence, relays=self.relay_count)
        return Write(row, self._version)

    def on_read(self, row: LeaseRow | None, version: int, now: float) -> None:
        """Take the row as it was read; version 0 where there is none."""
        changed = not self._known or version != self._version
        was_holder = self.is_mine
        previous_row = self._row
        self._row, self._version = row, version
        self._known = True
        self._told = False
        if changed:
            self._seen_at = now
        if self.is_mine and not was_holder:
            # A write whose answer was lost took effect: the right counts from
            # before it was sent.
            self.previous_row = previous_row
            self._until = self._sent_at + self._ttl
            self._renew_at = self._sent_at + self._ttl / _RENEWALS

    def on_written(self, row: LeaseRow, version: int) -> None:
        """Take a write that took effect."""
        if not self.is_mine:
            self.previous_row = self._row
        self._row, self._version = row, version
        self._seen_at = self._sent_at
        self._until = self._sent_at + self._ttl
        self._renew_at = self._sent_at + self._ttl / _RENEWALS
        if not self.is_mine:
            self._until = 0.0

    def on_write_in_doubt(self) -> None:
        """Note that a write may or may not have taken effect."""
        self._known = False
        self._told = False

    def renew_soon(self, now: float) -> None:
        """Renew now, for what is written with a renewal and can't wait."""
        self._renew_at = min(self._renew_at, now)

    def on_renewal_failed(self, now: float) -> None:
        """Note that a renewal did nothing; it is tried again soon."""
        self._renew_at = now + self._ttl / _RENEWALS / 4.0

    def release(self) -> Write | None:
        """Return the write by which a holder that stops frees the lease.

        It acts no more from now on: the write may take effect at any time.
        """
        if not self.is_mine:
            return None
        self._until = 0.0
        free = LeaseRow("", "", "", self.fence, self.relay_count)
        return Write(free, self._version)
