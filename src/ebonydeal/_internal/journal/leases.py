"""Node leases, and which of them are alive as observed by this process.

Clocks of other instances are not trusted: a lease is alive while its row keeps
changing, measured on this process's clock. Pure: time is an argument.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple

JOURNAL_ROLE = "journal"
MAX_MISSED_RENEWALS = 3
GAP_READ_INTERVALS = 2.5


class NodeLease(NamedTuple):
    """Content of ``nodes/{id}``.

    Attributes
    ----------
    address : str
        ``host:port`` of the journal listener.
    region, zone : str
        Location of the node.
    incarnation : int
        Increases with each start of the node.
    roles : tuple of str
        Programs in the node's process.
    until : float
        End of the lease, wall clock seconds; informational only.
    beat : int
        Increases with each renewal.
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
    """A node whose lease has been alive without interruption since ``since``."""

    node_id: str
    address: str
    incarnation: int
    since: float


class _ObservedLease(NamedTuple):
    """Last observed content of a lease, and when it last changed."""

    lease: NodeLease
    changed_at: float
    since: float


class LeaseWatch:
    """Tracks when each lease last changed.

    A lease that is observed for the first time counts as just changed, so a process
    that has just started waits for a whole lease period before it takes over.
    """

    def __init__(self, lease_seconds: float) -> None:
        self._lease_seconds = lease_seconds
        self._observed: dict[str, _ObservedLease] = {}
        self._read_at: float | None = None

    def observe(
        self, leases: dict[str, NodeLease], now: float, read_interval: float = 0.0
    ) -> None:
        """Record a read of all lease rows; a deleted row ends its lease.

        Time in which this process read nothing (an outage, or a pause of this
        process) does not count against the leases. ``read_interval`` is the
        planned time between reads, seconds.
        """
        gap = 0.0 if self._read_at is None else now - self._read_at
        self._read_at = now
        if gap > max(self._lease_seconds / 2, GAP_READ_INTERVALS * read_interval):
            self._observed = {
                node_id: seen._replace(changed_at=seen.changed_at + gap)
                for node_id, seen in self._observed.items()
            }
        self._observed = {
            node_id: self._observe_one(self._observed.get(node_id), lease, now)
            for node_id, lease in leases.items()
        }

    def _observe_one(
        self, seen: _ObservedLease | None, lease: NodeLease, now: float
    ) -> _ObservedLease:
        if seen is None or seen.lease.incarnation != lease.incarnation:
            return _ObservedLease(lease, now, now)
        if seen.lease.beat == lease.beat:
            return seen
        since = seen.since if self._is_alive(seen, now) else now
        return _ObservedLease(lease, now, since)

    def _is_alive(self, seen: _ObservedLease, now: float) -> bool:
        timeout = max(self._lease_seconds, MAX_MISSED_RENEWALS * seen.lease.every)
        return now - seen.changed_at < timeout

    def live(self, now: float, role: str = JOURNAL_ROLE) -> dict[str, LiveNode]:
        """Return the nodes with ``role`` whose lease is alive, by id."""
        return {
            node_id: LiveNode(
                node_id, seen.lease.address, seen.lease.incarnation, seen.since
            )
            for node_id, seen in self._observed.items()
            if role in seen.lease.roles and self._is_alive(seen, now)
        }


def renewal_interval(base: float, nodes: int, writes_per_s: float) -> float:
    """Return seconds between renewals that keep all nodes within a write rate."""
    return max(base, nodes / max(writes_per_s, 1e-9))


def read_leases(values: Iterable[tuple[str, dict[str, Any]]]) -> dict[str, NodeLease]:
    """Parse (node id, value) pairs as leases, skipping malformed ones."""
    leases = {}
    for node_id, value in values:
        try:
            leases[node_id] = NodeLease.from_value(value)
        except (KeyError, TypeError, ValueError):
            continue
    return leases
