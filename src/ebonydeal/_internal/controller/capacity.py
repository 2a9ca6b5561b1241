"""How many instances a deployment should have, and where: the decisions joined."""

from collections import Counter
from collections.abc import Mapping, Sequence, Set
from typing import NamedTuple

from ebonydeal._internal.controller.deadline import (
    Backlog,
    DeadlineConfig,
    Market,
    choose_deadline_replicas,
)
from ebonydeal._internal.controller.deadline_replicas import (
    add_deadline_replicas,
    spare_replicas,
)
from ebonydeal._internal.controller.placement import (
    Placement,
    PlacementConfig,
    place,
)
from ebonydeal._internal.controller.values import OfferKey
from ebonydeal._internal.models.document import Deployment
from ebonydeal._internal.outside.interfaces import Offer


class CapacityConfig(NamedTuple):
    """What the document says of a deployment, as far as capacity needs it."""

    zones: frozenset[str]
    ceiling: float
    max_replicas: int
    deadline_work: bool
    recompute_weight: float

    @classmethod
    def from_deployment(cls, item: Deployment) -> "CapacityConfig":
        """Take the terms from the document."""
        return cls(
            zones=frozenset(place.zone for place in item.zones),
            ceiling=item.price_ceiling,
            max_replicas=item.max_replicas,
            deadline_work=item.deadline_work,
            recompute_weight=item.weights.recompute,
        )


def cheapest_price(offers: Mapping[OfferKey, Offer], reclaimable: bool) -> float | None:
    """Return the lowest price in one market, or None without offers."""
    prices = [
        offer.price_per_hour
        for key, offer in offers.items()
        if key.reclaimable is reclaimable
    ]
    return min(prices, default=None)


def decide_placement(
    target: int,
    capacity_config: CapacityConfig,
    offers: Mapping[OfferKey, Offer],
    current: Counter[OfferKey],
    blocked: Set[OfferKey],
    backlog: Sequence[Backlog],
    recent: tuple[float, ...],
    placement_config: PlacementConfig,
    deadline_config: DeadlineConfig,
    now: float,
) -> Placement:
    """Return where instances should run for the target and for deadline work.

    Parameters
    ----------
    target : int
        Replicas that serve, after the loss of any one zone.
    capacity_config : CapacityConfig
        From the document.
    offers, current, blocked
        As `placement.place`; offers in the deployment's zones only.
    backlog : sequence of Backlog
        Deadline work that waits.
    recent : tuple of float
        Cheapest reclaimable prices of the recent past.
    placement_config, deadline_config
        Constants.
    now : float
        Wall clock seconds.
    """
    placement = place(
        target,
        offers,
        current,
        blocked,
        capacity_config.ceiling,
        placement_config,
        capacity_config.recompute_weight,
        capacity_config.max_replicas,
    )
    if not capacity_config.deadline_work or not backlog:
        return placement
    market = _market(offers, blocked, recent)
    if market is None:
        return placement
    max_extra = capacity_config.max_replicas - target
    choice = choose_deadline_replicas(backlog, market, max_extra, deadline_config, now)
    extra = choice.replicas - spare_replicas(placement, target)
    return add_deadline_replicas(
        placement,
        extra,
        choice.price_limit,
        choice.on_demand_allowed,
        offers,
        current,
        blocked,
        capacity_config.ceiling,
        placement_config.keep_discount,
    )


def _market(
    offers: Mapping[OfferKey, Offer], blocked: Set[OfferKey], recent: tuple[float, ...]
) -> Market | None:
    """Return the market for one more replica, or None without any offer."""
    free = {key: offer for key, offer in offers.items() if key not in blocked}
    firm = cheapest_price(offers, reclaimable=False)
    now = cheapest_price(free, reclaimable=True)
    if now is None and firm is None:
        return None
    if now is None:
        return Market(firm or 0.0, firm or 0.0, recent)
    return Market(now, firm if firm is not None else now, recent)
