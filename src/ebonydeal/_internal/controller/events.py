"""The event trail: why instances were started and released, and at what cost.

An event is a row that is written in the same transaction as the change that it
explains, so that the trail can't disagree with the instances' rows. The trail
of a deployment is a ring buffer: event ``n`` overwrites event
``n - TRAIL_ROWS``.
"""

from enum import StrEnum
from typing import Any, NamedTuple

from ebonydeal._internal.outside.interfaces import Put, Row, Tables

TRAIL_PREFIX = "trail/"
TRAIL_ROWS = 512
SPEND_PREFIX = "spend/"
_MAX_PAGE_ROWS = 1000


class TrailKind(StrEnum):
    """What happened to an instance."""

    STARTED = "started"
    REFUSED = "refused"
    READY = "ready"
    DRAINING = "draining"
    LOST = "lost"
    GONE = "gone"
    ORPHAN = "orphan"
    CEILING_HELD = "ceiling_held"
    TAKEN_OVER = "taken_over"


class TrailEvent(NamedTuple):
    """One entry of the trail.

    Attributes
    ----------
    number : int
        Sequence number within the deployment.
    at : float
        Wall clock seconds.
    kind : TrailKind
        What happened.
    deployment, zone, machine_class : str
        Of the instance.
    reclaimable : bool
        Whether the instance is reclaimable rather than on-demand.
    token, instance_id : str
        Identify the instance.
    replaces : str
        Token of the instance that this one replaces; empty if none.
    price_per_hour : float
        At the time of the event.
    why : str
        Reason, for operators.
    epoch : int
        Lease epoch of the leader that made the change.
    """

    number: int
    at: float
    kind: TrailKind
    deployment: str
    zone: str
    machine_class: str
    reclaimable: bool
    token: str
    instance_id: str
    replaces: str
    price_per_hour: float
    why: str
    epoch: int

    def to_put(self) -> Put:
        """Return the write that records the event."""
        slot = self.number % TRAIL_ROWS
        key = f"{TRAIL_PREFIX}{self.deployment}:{slot:04d}"
        return Put(key, {**self._asdict(), "kind": str(self.kind)})

    @classmethod
    def from_row(cls, row: Row) -> "TrailEvent":
        """Build from a table row; raises KeyError or ValueError if malformed."""
        fields = {name: row.value[name] for name in cls._fields}
        fields["kind"] = TrailKind(fields["kind"])
        return cls(**fields)


class SpendRow(NamedTuple):
    """Current and total cost of a deployment, ``spend/{deployment}``.

    Attributes
    ----------
    deployment : str
        Name.
    per_hour, ceiling : float
        Current cost per hour, and its limit.
    on_demand_per_hour : float
        Cost of the same instances on-demand; 0.0 for those not offered.
    total : float
        Cost since the first record.
    replicas, ready, target : int
        Instances that are paid for, instances that are ready, and replicas needed.
    at : float
        Wall clock seconds.
    """

    deployment: str
    per_hour: float
    ceiling: float
    on_demand_per_hour: float
    total: float
    replicas: int
    ready: int
    target: int
    at: float

    def to_put(self) -> Put:
        """Return the write that records the row."""
        return Put(SPEND_PREFIX + self.deployment, dict(self._asdict()))

    @classmethod
    def from_value(cls, value: dict[str, Any]) -> "SpendRow":
        """Build from a row's value; raises KeyError if malformed."""
        return cls(**{name: value[name] for name in cls._fields})


async def read_trail(tables: Tables, deployment: str) -> list[TrailEvent]:
    """Return the trail, oldest first; of all deployments if the name is empty.

    A deployment's trail has at most ``TRAIL_ROWS`` entries.
    """
    prefix = TRAIL_PREFIX + (f"{deployment}:" if deployment else "")
    events: list[TrailEvent] = []
    start = ""
    while True:
        rows = await tables.scan(prefix, start, _MAX_PAGE_ROWS)
        events.extend(TrailEvent.from_row(row) for row in rows)
        if len(rows) < _MAX_PAGE_ROWS:
            break
        start = rows[-1].key + "\0"
    return sorted(events, key=lambda event: (event.at, event.deployment, event.number))


async def read_spend(tables: Tables) -> list[SpendRow]:
    """Return the spend of all deployments, in the order of their names."""
    rows = await tables.scan(SPEND_PREFIX, "", _MAX_PAGE_ROWS)
    return [SpendRow.from_value(row.value) for row in rows]
