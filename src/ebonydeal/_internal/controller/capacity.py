"""Combines the decisions on how many instances a deployment has, and where."""

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
    """Settings of a deployment in the document that capacity depends on."""

    zones: frozenset[str]
    ceiling: float
    max_replicas: int
    deadline_work: bool
    recompute_weight: float

    @classmethod
    def from_deployment(cls, item: Deployment) -> "CapacityConfig":
        """Read the settings from the document."""
        return cls(
            zones=frozenset(place.zone for place in item.zones),
            ceiling=item.price_ceiling,
            max_replicas=item.max_replicas,
            deadline_work=item.deadline_work,
            recompute_weight=item.weights.recompute,
        )


def cheapest_price(offers: Mapping[OfferKey, Offer], reclaimable: bool) -> float | None:
    """Return the lowest reclaimable or on-demand price, or None without offers."""
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
    """Return where instances should run to serve requests and deadline work.

    Parameters
    ----------
    target : int
        Replicas that must remain after the loss of any one zone.
    capacity_config : CapacityConfig
        From the document.
    offers, current, blocked
        As for `placement.place`; only offers in the deployment's zones.
    backlog : sequence of Backlog
        Waiting deadline work.
    recent : tuple of float
        Recent cheapest reclaimable prices.
    placement_config, deadline_config
        Parameters of the two decisions.
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
    added = choice.replicas - spare_replicas(placement, target)
    return add_deadline_replicas(
        placement,
        added,
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
    """Return the prices of one more replica, or None without any offer."""
    available = {key: offer for key, offer in offers.items() if key not in blocked}
    on_demand = cheapest_price(offers, reclaimable=False)
    reclaimable = cheapest_price(available, reclaimable=True)
    if reclaimable is None and on_demand is None:
        return None
    if reclaimable is None:
        return Market(on_demand or 0.0, on_demand or 0.0, recent)
    return Market(
        reclaimable, on_demand if on_demand is not None else reclaimable, recent
    )
