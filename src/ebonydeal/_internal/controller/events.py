"""The event trail: why instances came and went, and at what cost.

An event is a row that is written in the same transaction as the change that it
explains, so that the trail can't disagree with the instances' rows. The trail
of a deployment is a ring of fixed size: event ``n`` is written over event
``n - size``.
"""

from enum import StrEnum
from typing import Any, NamedTuple

from ebonydeal._internal.outside.interfaces import Put, Row, Tables

TRAIL_PREFIX = "trail/"
TRAIL_ROWS = 512
SPEND_PREFIX = "spend/"
_PAGE = 1000


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
        Counts the events of a deployment.
    at : float
        Wall clock seconds.
    kind : TrailKind
        What happened.
    deployment, zone, machine_class : str
        To what.
    reclaimable : bool
        Market.
    token, instance_id : str
        Which instance.
    replaces : str
        Token of the instance that this one replaces, or empty.
    price_per_hour : float
        At the time of the event.
    why : str
        One sentence for operators.
    epoch : int
        Lease epoch of the leader that did it.
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
        """Build from a table row; raises KeyError or ValueError on garbage."""
        fields = {name: row.value[name] for name in cls._fields}
        fields["kind"] = TrailKind(fields["kind"])
        return cls(**fields)


class SpendRow(NamedTuple):
    """What a deployment costs now and has cost, ``spend/{deployment}``.

    Attributes
    ----------
    deployment : str
        Whose spend it is.
    per_hour, ceiling : float
        Present cost and its limit, an hour.
    on_demand_per_hour : float
        What the same instances would cost on-demand; 0.0 where not offered.
    total : float
        Spent since the first record.
    replicas, ready, target : int
        Instances that are paid, that serve, and that are needed.
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
        """Return the write that records it."""
        return Put(SPEND_PREFIX + self.deployment, dict(self._asdict()))

    @classmethod
    def from_value(cls, value: dict[str, Any]) -> "SpendRow":
        """Build from a row's value; raises KeyError on garbage."""
        return cls(**{name: value[name] for name in cls._fields})


async def read_trail(tables: Tables, deployment: str) -> list[TrailEvent]:
    """Return a deployment's trail, oldest first; all deployments' if empty.

    A deployment's trail has at most ``TRAIL_ROWS`` entries.
    """
    prefix = TRAIL_PREFIX + (f"{deployment}:" if deployment else "")
    events: list[TrailEvent] = []
    start = ""
    while True:
        rows = await tables.scan(prefix, start, _PAGE)
        events.extend(TrailEvent.from_row(row) for row in rows)
        if len(rows) < _PAGE:
            break
        start = rows[-1].key + "\0"
    return sorted(events, key=lambda event: (event.at, event.deployment, event.number))


async def read_spend(tables: Tables) -> list[SpendRow]:
    """Return every deployment's spend, by name."""
    rows = await tables.scan(SPEND_PREFIX, "", _PAGE)
    return [SpendRow.from_value(row.value) for row in rows]
