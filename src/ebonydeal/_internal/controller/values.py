"""Types and constants that the modules of the controller share."""

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
    """A machine class in a zone, reclaimable or on-demand (the two markets)."""

    zone: str
    machine_class: str
    reclaimable: bool

    @classmethod
    def of(cls, item: "Offer | CloudInstance | InstanceRow") -> "OfferKey":
        """Return the key of an offer, an instance or a row."""
        return cls(item.zone, item.machine_class, item.reclaimable)


class InstanceState(StrEnum):
    """State of an instance as recorded in its row; it never moves backwards."""

    STARTING = "starting"
    WARMING = "warming"
    READY = "ready"
    DRAINING = "draining"
    RELEASING = "releasing"


LIVE_STATES = frozenset(
    {InstanceState.STARTING, InstanceState.WARMING, InstanceState.READY}
)


class InstanceRow(NamedTuple):
    """The durable row of one instance, ``instances/{token}``.

    Attributes
    ----------
    token : str
        Idempotency token of the start; ``{deployment}:{unique}``.
    deployment, zone, machine_class : str
        Deployment, zone and machine class.
    reclaimable : bool
        Whether the instance is reclaimable rather than on-demand.
    state : InstanceState
        Last recorded state.
    price_per_hour : float
        Price per hour at the start, in the document's currency.
    instance_id : str
        The cloud's id; empty until the start is known to have succeeded.
    epoch : int
        Lease epoch of the last writer.
    at : float
        Wall clock seconds of the last change of state.
    why : str
        Reason for the state, for operators.
    replaces : str
        Token of the instance that it replaces; empty if none.
    drain_until : float
        Deadline of the drain, wall clock seconds; 0.0 if none.
    revision : int
        Incremented by each write, so that a late write can't overwrite a newer
        one.
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
        """Key of the row; contains the deployment even if the token doesn't."""
        prefix = row_prefix(self.deployment)
        return prefix + self.token.removeprefix(f"{self.deployment}:")

    def to_put(self) -> Put:
        """Return the write that records the row."""
        value: dict[str, Any] = {**self._asdict(), "state": str(self.state)}
        return Put(self.key, value)

    @classmethod
    def from_row(cls, row: Row) -> "InstanceRow":
        """Build from a table row; raises KeyError or ValueError if malformed."""
        fields = {name: row.value[name] for name in cls._fields}
        fields["state"] = InstanceState(fields["state"])
        return cls(**fields)


def row_prefix(deployment: str) -> str:
    """Return the prefix of a deployment's rows."""
    return f"{ROW_PREFIX}{deployment}:"


def offers_by_key(offers: Iterable[Offer]) -> dict[OfferKey, Offer]:
    """Return the cheapest offer of each (zone, class, market)."""
    cheapest: dict[OfferKey, Offer] = {}
    for offer in offers:
        key = OfferKey.of(offer)
        known = cheapest.get(key)
        if known is None or offer.price_per_hour < known.price_per_hour:
            cheapest[key] = offer
    return cheapest


def is_managed(instance: CloudInstance) -> bool:
    """Return whether a controller started this instance."""
    return instance.tags.get(TAG_MANAGER) == MANAGER


def tagged_deployment(instance: CloudInstance) -> str | None:
    """Return the deployment that an instance is tagged with; None if none."""
    return instance.tags.get(TAG_DEPLOYMENT)
