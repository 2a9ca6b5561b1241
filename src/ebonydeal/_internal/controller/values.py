"""Values that the controller's decisions and tasks share."""

from collections.abc import Iterable
from enum import StrEnum
from typing import Any, NamedTuple

from ebonydeal._internal.outside.interfaces import CloudInstance, Offer, Put, Row

ROW_PREFIX = "instances/"
TAG_MANAGER = "managed_by"
TAG_DEPLOYMENT = "deployment"
TAG_FENCE = "fence"
TAG_WHY = "why"
MANAGER = "ebonydeal"


class OfferKey(NamedTuple):
    """What is bought: a machine class in a zone, in one of two markets."""

    zone: str
    machine_class: str
    reclaimable: bool

    @classmethod
    def of(cls, item: "Offer | CloudInstance | InstanceRow") -> "OfferKey":
        """Return the key of an offer, an instance or a row."""
        return cls(item.zone, item.machine_class, item.reclaimable)


class InstanceState(StrEnum):
    """Life of an instance as its row records it; it never goes backwards."""

    STARTING = "starting"
    WARMING = "warming"
    READY = "ready"
    DRAINING = "draining"
    RELEASING = "releasing"


LIVE_STATES = frozenset(
    {InstanceState.STARTING, InstanceState.WARMING, InstanceState.READY}
)


class InstanceRow(NamedTuple):
    """The durable record of one instance, ``instances/{token}``.

    Attributes
    ----------
    token : str
        Idempotency token of the start; ``{deployment}:{unique}``.
    deployment, zone, machine_class : str
        What it was started for, and where.
    reclaimable : bool
        Market.
    state : InstanceState
        Last recorded state.
    price_per_hour : float
        Price when it was started, in the document's currency.
    instance_id : str
        The cloud's id; empty until the start is known to have taken effect.
    epoch : int
        Lease epoch of the last writer.
    at : float
        Wall clock seconds of the last change of state.
    why : str
        Why it has this state, for operators.
    replaces : str
        Token of the instance that it replaces, or empty.
    drain_until : float
        Wall clock seconds at which a drain ends at the latest; 0.0 if none.
    revision : int
        Grows by one with each write, so that a write which lands late can't
        undo a newer one.
    """

    token: str
    deployment: str
    zone: str
    machine_class: str
    reclaimable: bool
    state: InstanceState
    price_per_hour: float
    instance_id: str
    epoch: int
    at: float
    why: str
    replaces: str = ""
    drain_until: float = 0.0
    revision: int = 1

    @property
    def key(self) -> str:
        """Key of the row; it names the deployment also for foreign tokens."""
        prefix = row_prefix(self.deployment)
        return prefix + self.token.removeprefix(f"{self.deployment}:")

    def to_put(self) -> Put:
        """Return the write that records it."""
        value: dict[str, Any] = {**self._asdict(), "state": str(self.state)}
        return Put(self.key, value)

    @classmethod
    def from_row(cls, row: Row) -> "InstanceRow":
        """Build from a table row; raises KeyError or ValueError on garbage."""
        fields = {name: row.value[name] for name in cls._fields}
        fields["state"] = InstanceState(fields["state"])
        return cls(**fields)


def row_prefix(deployment: str) -> str:
    """Return the prefix of a deployment's rows."""
    return f"{ROW_PREFIX}{deployment}:"


def offers_by_key(offers: Iterable[Offer]) -> dict[OfferKey, Offer]:
    """Return the cheapest offer of each (zone, class, market)."""
    best: dict[OfferKey, Offer] = {}
    for offer in offers:
        key = OfferKey.of(offer)
        known = best.get(key)
        if known is None or offer.price_per_hour < known.price_per_hour:
            best[key] = offer
    return best


def is_managed(instance: CloudInstance) -> bool:
    """Return whether a controller started this instance."""
    return instance.tags.get(TAG_MANAGER) == MANAGER


def tagged_deployment(instance: CloudInstance) -> str | None:
    """Return the deployment that an instance is tagged with, or None."""
    return instance.tags.get(TAG_DEPLOYMENT)
