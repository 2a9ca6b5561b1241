"""Node leases, and which of them look alive to this process.

No clock of another instance is trusted: a lease is alive while its row keeps
changing, measured on this process's own clock. Pure: time is an argument.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple

JOURNAL_ROLE = "journal"
SILENT_RENEWALS = 3
MISSED_READINGS = 2.5


class NodeLease(NamedTuple):
    """Content of ``nodes/{id}``.

    Attributes
    ----------
    address : str
        ``host:port`` of the journal listener.
    region, zone : str
        Where the node is.
    incarnation : int
        Grows with each start of the node.
    roles : tuple of str
        Programs in this process.
    until : float
        Wall clock seconds, for people who read the row.
    beat : int
        Grows with each renewal.
    every : float
        Seconds between renewals.
    """

    address: str
    region: str
    zone: str
    incarnation: int
    roles: tuple[str, ...]
    until: float
    beat: int
    every: float

    @classmethod
    def from_value(cls, value: dict[str, Any]) -> "NodeLease":
        """Build from the row's value; raises KeyError or ValueError."""
        return cls(
            address=str(value["address"]),
            region=str(value.get("region", "")),
            zone=str(value.get("zone", "")),
            incarnation=int(value["incarnation"]),
            roles=tuple(value.get("roles", ())),
            until=float(value.get("until", 0.0)),
            beat=int(value.get("beat", 0)),
            every=float(value.get("every", 0.0)),
        )


class LiveNode(NamedTuple):
    """A node whose lease is alive, and since when without a break."""

    node_id: str
    address: str
    incarnation: int
    since: float


class _Seen(NamedTuple):
    """What was last seen of a lease, and when it last changed."""

    lease: NodeLease
    changed_at: float
    since: float


class LeaseWatch:
    """Remembers when each lease last changed.

    A lease that is seen for the first time counts as just changed, so that a
    process that has just started waits out a whole lease before it takes over.
    """

    def __init__(self, lease_seconds: float) -> None:
        self._lease_seconds = lease_seconds
        self._seen: dict[str, _Seen] = {}
        self._read_at: float | None = None

    def observe(
        self, leases: dict[str, NodeLease], now: float, every: float = 0.0
    ) -> None:
        """Take a reading of all lease rows; those that are gone are released.

        Time in which nothing could be read (an outage, a pause of this process)
        is no silence of the others: they get that time again. ``every`` is the
        planned time between readings, seconds.
        """
        gap = 0.0 if self._read_at is None else now - self._read_at
        self._read_at = now
        if gap > max(self._lease_seconds / 2, MISSED_READINGS * every):
            self._seen = {
                node_id: seen._replace(changed_at=seen.changed_at + gap)
                for node_id, seen in self._seen.items()
            }
        self._seen = {
            node_id: self._next(self._seen.get(node_id), lease, now)
            for node_id, lease in leases.items()
        }

    def _next(self, seen: _Seen | None, lease: NodeLease, now: float) -> _Seen:
        if seen is None or seen.lease.incarnation != lease.incarnation:
            return _Seen(lease, now, now)
        if seen.lease.beat == lease.beat:
            return seen
        since = seen.since if self._is_alive(seen, now) else now
        return _Seen(lease, now, since)

    def _is_alive(self, seen: _Seen, now: float) -> bool:
        silence = max(self._lease_seconds, SILENT_RENEWALS * seen.lease.every)
        return now - seen.changed_at < silence

    def live(self, now: float, role: str = JOURNAL_ROLE) -> dict[str, LiveNode]:
        """Return the nodes with ``role`` whose lease is alive, by id."""
        return {
            node_id: LiveNode(
                node_id, seen.lease.address, seen.lease.incarnation, seen.since
            )
            for node_id, seen in self._seen.items()
            if role in seen.lease.roles and self._is_alive(seen, now)
        }


def renewal_interval(base: float, nodes: int, writes_per_s: float) -> float:
    """Return seconds between renewals so that all nodes keep to a write rate."""
    return max(base, nodes / max(writes_per_s, 1e-9))


def read_leases(values: Iterable[tuple[str, dict[str, Any]]]) -> dict[str, NodeLease]:
    """Return (node id, value) pairs as leases; unreadable ones are left out."""
    leases = {}
    for node_id, value in values:
        try:
            leases[node_id] = NodeLease.from_value(value)
        except (KeyError, TypeError, ValueError):
            continue
    return leases
