"""The instance list, read by a few processes and shared by all; pure.

At full size the list is megabytes, too much for every process to read repeatedly.
So each process makes a read with a probability of one in the number of readers, and
changes spread between the processes as records. Records of an endpoint are ordered
by its incarnation, then by the time of reading, so they may arrive late, twice and
in any order. Every process reads the list itself now and then, which corrects any
error.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple

from ebonydeal._internal.models.endpoints import (
    EndpointKind,
    EndpointState,
    EndpointView,
)
from ebonydeal._internal.models.places import Place
from ebonydeal._internal.utils.buckets import BucketHashes, bucket_of

GONE_TTL_S = 900.0
MAX_CLOCK_AHEAD_S = 60.0


class EndpointRecord(NamedTuple):
    """One endpoint as read from the instance list.

    Attributes
    ----------
    view : EndpointView
        Without a load report.
    gone : bool
        Whether the endpoint was missing from the list.
    at : float
        Wall clock seconds of the read.
    """

    view: EndpointView
    gone: bool
    at: float

    @property
    def order(self) -> tuple[int, float]:
        """Sort key: of two records of an endpoint, the higher one is the later one."""
        return (self.view.incarnation, self.at)

    def to_wire(self) -> list[Any]:
        """Return the wire shape."""
        view = self.view
        return [
            view.endpoint_id,
            view.incarnation,
            str(view.kind),
            view.address,
            view.place.region,
            view.place.zone,
            view.deployment,
            list(view.models),
            str(view.state),
            view.reclaimable,
            view.evict_per_hour,
            view.price_per_hour,
            self.gone,
            self.at,
        ]

    @classmethod
    def from_wire(cls, item: Any) -> "EndpointRecord | None":
        """Return the record of a wire shape, or None if it is malformed."""
        try:
            return cls._build(*item)
        except (TypeError, ValueError):
            return None

    @classmethod
    def _build(
        cls,
        endpoint_id: str,
        incarnation: int,
        kind: str,
        address: str,
        region: str,
        zone: str,
        deployment: str,
        models: list[str],
        state: str,
        reclaimable: bool,
        evict_per_hour: float,
        price_per_hour: float,
        gone: bool,
        at: float,
    ) -> "EndpointRecord":
        texts = (endpoint_id, address, region, zone, deployment, *models)
        if not endpoint_id or not all(isinstance(text, str) for text in texts):
            raise TypeError("an endpoint's id, names and address must be strings")
        view = EndpointView(
            endpoint_id=endpoint_id,
            incarnation=int(incarnation),
            kind=EndpointKind(kind),
            address=address,
            place=Place(region, zone),
            deployment=deployment,
            models=tuple(models),
            state=EndpointState(state),
            reclaimable=bool(reclaimable),
            evict_per_hour=float(evict_per_hour),
            price_per_hour=float(price_per_hour),
        )
        return cls(view, bool(gone), float(at))


class SharedInstanceList:
    """All records that a process holds, and their hashes for anti-entropy."""

    def __init__(self) -> None:
        self._records: dict[str, EndpointRecord] = {}
        self.hashes = BucketHashes()

    def views(self) -> list[EndpointView]:
        """Return the endpoints that are listed."""
        return [record.view for record in self._records.values() if not record.gone]

    def apply_list(
        self, listed: Iterable[EndpointView], now: float
    ) -> list[EndpointRecord]:
        """Apply a complete list that was requested at ``now``; return what changed.

        Records that other processes read after ``now`` remain.
        """
        fresh = {view.endpoint_id: view._replace(load=None) for view in listed}
        records = [EndpointRecord(view, False, now) for view in fresh.values()]
        records += [
            EndpointRecord(record.view, True, now)
            for endpoint_id, record in self._records.items()
            if endpoint_id not in fresh and not record.gone
        ]
        return [record for record in records if self.merge(record, now)]

    def merge(self, record: EndpointRecord, now: float) -> bool:
        """Merge one record; return whether its content is new."""
        endpoint_id = record.view.endpoint_id
        held = self._records.get(endpoint_id)
        if record.at > now + MAX_CLOCK_AHEAD_S:
            # A reader's clock that is ahead must not block updates of the endpoint.
            record = record._replace(at=now)
        if held is None and record.gone:
            return False
        if held is not None and record.order <= held.order:
            return False
        # The later time is stored even if nothing else changed: a record that was
        # read in between and arrives late must not undo this one.
        self._records[endpoint_id] = record
        if held is not None and _content(record) == _content(held):
            return False
        self.hashes.put(endpoint_id, repr(_content(record)))
        return True

    def in_buckets(self, buckets: Iterable[int]) -> list[EndpointRecord]:
        """Return the records in these hash buckets."""
        wanted = set(buckets)
        return [
            record
            for endpoint_id, record in self._records.items()
            if bucket_of(endpoint_id) in wanted
        ]

    def expire(self, now: float) -> None:
        """Drop endpoints that have been gone for longer than their TTL."""
        old = [
            endpoint_id
            for endpoint_id, record in self._records.items()
            if record.gone and now - record.at > GONE_TTL_S
        ]
        for endpoint_id in old:
            del self._records[endpoint_id]
            self.hashes.drop(endpoint_id)


def _content(record: EndpointRecord) -> tuple[EndpointView, bool]:
    """Return the content whose change is spread to other processes.

    It leaves out prices: a price change of one offer affects hundreds of entries,
    so each process takes prices from its own reads.
    """
    return record.view._replace(evict_per_hour=0.0, price_per_hour=0.0), record.gone


def should_read(readers: int, draw: float, reads: int = 1) -> bool:
    """Return whether this process reads the shared source now.

    Parameters
    ----------
    readers : int
        Processes that share the source, this one included.
    draw : float
        A random number from 0 to 1. If each reader draws once per period, ``reads``
        reads per period are made on average, however many readers there are.
    reads : int
        Reads per period by all readers together. Their times are random, so urgent
        data needs several: with one, 7 of 100 notices wait longer than 2.5 periods;
        with six, none of those that were tried.
    """
    return draw * max(1, readers) < reads
