"""Which relays have a share of all limits, as the holder of the lease decides it.

The names lie in the platform's store before any of them is told: so a holder that takes
over knows who may admit on its own, and counts only the rest as its own to grant. The
shares of all names add up to one at most, whatever numbers relays were told:

- a share is one of ``shares``, which are never less than there are names;
- a new name is added only when all shares that were told of fewer are over.
"""

import json
from collections.abc import Set
from typing import NamedTuple

# A relay without a word of a coordinator has its share for so long. As long no share
# of a lost relay is granted: new names, which are alike, wait for the same time.
SHARE_TTL_S = 30.0
# The first names are written when no other has come for this long.
_SETTLED_S = 3.0
_NEVER = float("-inf")


class RegistryRow(NamedTuple):
    """What lies in the store: into how many shares limits are split, and whose."""

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


EMPTY_ROW = RegistryRow(0, frozenset())


class ShareRegistry:
    """The names, as one holder of the lease keeps them."""

    def __init__(self) -> None:
        self.row = EMPTY_ROW
        self._pending = EMPTY_ROW
        self._counted_at = _NEVER
        self._heard: dict[str, float] = {}
        self._first_heard = _NEVER
        self._newest: tuple[int, float] = (0, _NEVER)

    def load(self, row: RegistryRow, now: float) -> None:
        """Begin as holder with what lies in the store."""
        self.__init__()  # type: ignore[misc]
        self.row = self._pending = row
        self._counted_at = now

    def heard(self, node: str, now: float) -> None:
        """Note that a relay delegated its share here."""
        self._heard[node] = now
        if node in self.row.names and self._first_heard == _NEVER:
            # Until then another granter may have the word of every name, and
            # prolong their shares.
            self._first_heard = now

    def _is_over(self, name: str, now: float) -> bool:
        """Return whether a name's share has ended, if it wasn't prolonged here."""
        if self._first_heard == _NEVER:
            return False
        last = max(self._heard.get(name, _NEVER), self._first_heard)
        return now - last >= SHARE_TTL_S

    def wanted(self, alive: Set[str], now: float) -> RegistryRow:
        """Return what should lie in the store, with these relays alive."""
        row = self.row
        known = row.names | alive
        self._heard = {n: at for n, at in self._heard.items() if n in known}
        kept = {name for name in row.names if not self._is_over(name, now)}
        new = set(alive) - kept
        if not row.names:
            if self._newest[0] != len(alive):
                self._newest = (len(alive), now)
            if not alive or now - self._newest[1] < _SETTLED_S:
                return row
            return RegistryRow(len(alive), frozenset(alive))
        count = len(kept) + len(new)
        ready = row.shares >= count and now - self._counted_at >= SHARE_TTL_S
        if new and not ready:
            return RegistryRow(max(count, row.shares), frozenset(kept))
        return RegistryRow(count, frozenset(kept | new))

    def writes(self, row: RegistryRow) -> None:
        """Note that a row is on its way to the store."""
        self._pending = row

    def wrote(self, now: float) -> None:
        """Note that it lies there."""
        if self._pending.shares > self.row.shares or not self.row.names:
            self._counted_at = now
        self.row = self._pending

    def weight(self, node: str) -> float:
        """Return a relay's share, 0 where it has none."""
        if node not in self.row.names:
            return 0.0
        return 1.0 / max(self.row.shares, self._pending.shares)

    def granted_here(self, delegated: Set[str], now: float) -> float:
        """Return the part of all shares that the holder may grant from."""
        names = self.row.names
        if not names:
            return 1.0
        elsewhere = sum(
            name not in delegated and not self._is_over(name, now) for name in names
        )
        return 1.0 - elsewhere / len(names)
