"""The instance list, read by a few processes and shared by all; pure.

At full size the whole list is megabytes, too much for every process to read
again and again. So each look is made with a probability of one in the number of
readers, and what changed spreads between the processes as facts. A fact is
ordered by its endpoint's incarnation, then by when it was read; facts may arrive
late, twice and in any order, and every process reads the list itself now and
then, which corrects whatever went wrong.
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
    """What the list said of one endpoint.

    Attributes
    ----------
    view : EndpointView
        Without a load report.
    gone : bool
        Whether the endpoint was missing from the list.
    at : float
        Wall clock seconds of the reading.
    """

    view: EndpointView
    gone: bool
    at: float

    @property
    def order(self) -> tuple[int, float]:
        """What decides which of two facts is the later one."""
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
        """Return the fact of a wire shape, or None for garbage."""
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
            raise TypeError("text expected")
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
    """All facts that a process holds, and their hashes for anti-entropy."""

    def __init__(self) -> None:
        self._facts: dict[str, EndpointRecord] = {}
        self.hashes = BucketHashes()

    def views(self) -> list[EndpointView]:
        """Return the endpoints that are listed."""
        return [fact.view for fact in self._facts.values() if not fact.gone]

    def apply_list(
        self, listed: Iterable[EndpointView], now: float
    ) -> list[EndpointRecord]:
        """Take in a whole list that was asked for at ``now``; return what is news.

        Facts that were read by others after ``now`` stand.
        """
        fresh = {view.endpoint_id: view._replace(load=None) for view in listed}
        facts = [EndpointRecord(view, False, now) for view in fresh.values()]
        facts += [
            EndpointRecord(fact.view, True, now)
            for endpoint_id, fact in self._facts.items()
            if endpoint_id not in fresh and not fact.gone
        ]
        return [fact for fact in facts if self.merge(fact, now)]

    def merge(self, fact: EndpointRecord, now: float) -> bool:
        """Take in one fact; return whether it changes what is held."""
        endpoint_id = fact.view.endpoint_id
        held = self._facts.get(endpoint_id)
        if fact.at > now + MAX_CLOCK_AHEAD_S:
            # A reader's fast clock must not freeze an endpoint's entry.
            fact = fact._replace(at=now)
        if held is None and fact.gone:
            return False
        if held is not None and fact.order <= held.order:
            return False
        # The later time is kept even where nothing else changed: a fact that
        # was read in between and arrives late must not undo this one.
        self._facts[endpoint_id] = fact
        if held is not None and _content(fact) == _content(held):
            return False
        self.hashes.put(endpoint_id, repr(_content(fact)))
        return True

    def in_buckets(self, buckets: Iterable[int]) -> list[EndpointRecord]:
        """Return the facts in some hash buckets."""
        wanted = set(buckets)
        return [
            fact
            for endpoint_id, fact in self._facts.items()
            if bucket_of(endpoint_id) in wanted
        ]

    def expire(self, now: float) -> None:
        """Drop endpoints that are gone for long."""
        old = [
            endpoint_id
            for endpoint_id, fact in self._facts.items()
            if fact.gone and now - fact.at > GONE_TTL_S
        ]
        for endpoint_id in old:
            del self._facts[endpoint_id]
            self.hashes.drop(endpoint_id)


def _content(fact: EndpointRecord) -> tuple[EndpointView, bool]:
    """Return what makes a fact news.

    The price of one offer stands on hundreds of entries: each process takes it
    from its own readings rather than from its peers.
    """
    return fact.view._replace(evict_per_hour=0.0, price_per_hour=0.0), fact.gone


def should_read(readers: int, draw: float, reads: int = 1) -> bool:
    """Return whether this process makes the present look at a shared source.

    Parameters
    ----------
    readers : int
        Processes that share the source, this one included.
    draw : float
        A random number from 0 to 1. With each reader drawing once a period,
        ``reads`` looks a period are made on average, whoever comes and goes.
    looks : int
        Looks a period by all readers together. They fall at random, so what
        mustn't wait needs several: with one, 7 of 100 notices wait longer than
        2.5 periods; with six, none of those that were tried.
    """
    return draw * max(1, readers) < reads
