"""Which relays have a share of all limits, as decided by the lease holder.

The names of these relays are stored before any of them learns its share. A relay
that takes over the lease therefore knows which relays may admit on their own, and
grants only from the remaining shares. All shares add up to at most one, whatever share
counts relays know:

- a share is one of ``shares``, of which there are never fewer than names;
- a name is added only after all shares announced with a smaller count have expired.
"""

import json
from collections.abc import Set
from typing import NamedTuple

# A relay that doesn't reach the coordinator keeps its share for this long. For the same
# time the share of a lost relay isn't granted, and new names aren't added.
SHARE_TTL_S = 30.0
# The first names are stored after no further relay has appeared for this long.
_SETTLE_TIME_S = 3.0
_NEVER = float("-inf")


class RegistryRow(NamedTuple):
    """The stored row: into how many shares limits are split, and who has one."""

    shares: int
    names: frozenset[str]

    def encode(self) -> bytes:
        """Return the row's value."""
        return json.dumps({"shares": self.shares, "names": sorted(self.names)}).encode()

    @classmethod
    def decode(cls, value: bytes) -> "RegistryRow":
        """Build from a row's value; raises ValueError, KeyError or TypeError."""
        message = json.loads(value)
        names = frozenset(str(name) for name in message["names"])
        return cls(max(int(message["shares"]), len(names)), names)

    def merged(self, other: "RegistryRow") -> "RegistryRow":
        """Return a row with the names of both, and no larger share than either's."""
        names = self.names | other.names
        return RegistryRow(max(self.shares, other.shares, len(names)), names)


EMPTY_ROW = RegistryRow(0, frozenset())


class ShareRegistry:
    """The relays with shares, as one lease holder knows them."""

    def __init__(self) -> None:
        self.row = EMPTY_ROW
        self._pending = EMPTY_ROW
        # When the share count was raised or loaded.
        self._count_raised_at = _NEVER
        self._delegated_at: dict[str, float] = {}
        self._first_delegated_at = _NEVER
        # How many relays are alive, and since when that number is unchanged.
        self._alive_count: tuple[int, float] = (0, _NEVER)

    def load(self, row: RegistryRow, now: float) -> None:
        """Start as lease holder from the stored row."""
        self.__init__()  # type: ignore[misc]
        self.row = self._pending = row
        self._count_raised_at = now

    def record_delegation(self, node: str, now: float) -> None:
        """Note that a relay delegated its share to this holder."""
        self._delegated_at[node] = now
        if node in self.row.names and self._first_delegated_at == _NEVER:
            # Before the first delegation, another granter may hold and renew the shares
            # of all names.
            self._first_delegated_at = now

    def _is_expired(self, name: str, now: float) -> bool:
        """Return whether a name's share has expired, if it wasn't renewed here."""
        if self._first_delegated_at == _NEVER:
            return False
        last = max(self._delegated_at.get(name, _NEVER), self._first_delegated_at)
        return now - last >= SHARE_TTL_S

    def next_row(self, alive: Set[str], now: float) -> RegistryRow:
        """Return the row to be stored, given the relays that are alive."""
        row = self.row
        known = row.names | alive
        self._delegated_at = {
            n: at for n, at in self._delegated_at.items() if n in known
        }
        unexpired = {name for name in row.names if not self._is_expired(name, now)}
        new = set(alive) - unexpired
        if not row.names:
            if self._alive_count[0] != len(alive):
                self._alive_count = (len(alive), now)
            if not alive or now - self._alive_count[1] < _SETTLE_TIME_S:
                return row
            return RegistryRow(len(alive), frozenset(alive))
        count = len(unexpired) + len(new)
        ready = row.shares >= count and now - self._count_raised_at >= SHARE_TTL_S
        if new and not ready:
            return RegistryRow(max(count, row.shares), frozenset(unexpired))
        return RegistryRow(count, frozenset(unexpired | new))

    def begin_write(self, row: RegistryRow) -> None:
        """Note that a row is being written to the store."""
        self._pending = row

    def confirm_write(self, now: float) -> None:
        """Note that the row is stored."""
        if self._pending.shares > self.row.shares or not self.row.names:
            self._count_raised_at = now
        self.row = self._pending

    def weight(self, node: str) -> float:
        """Return a relay's share as a fraction, 0 if it has none."""
        if node not in self.row.names:
            return 0.0
        return 1.0 / max(self.row.shares, self._pending.shares)

    def grantable_fraction(self, delegated: Set[str], now: float) -> float:
        """Return the fraction of all shares that the lease holder may grant from."""
        names = self.row.names
        if not names:
            return 1.0
        elsewhere = sum(
            name not in delegated and not self._is_expired(name, now) for name in names
        )
        return 1.0 - elsewhere / len(names)
