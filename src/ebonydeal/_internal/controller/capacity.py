"""How many instances a deployment should have, and where: the decisions joined."""

from collections import Counter
from collections.abc import Mapping, Sequence, Set
from typing import NamedTuple

from ebonydeal._internal.controller.deadline import (
    Backlog,
    DeadlinePolicy,
    Market,
    choose,
)
from ebonydeal._internal.controller.extra import add_extra, spare
from ebonydeal._internal.controller.placement import (
    Placement,
    PlacementPolicy,
    place,
)
from ebonydeal._internal.controller.values import OfferKey
from ebonydeal._internal.models.document import Deployment
from ebonydeal._internal.outside.interfaces import Offer


class Terms(NamedTuple):
    """What the document says of a deployment, as far as capacity needs it."""

    zones: frozenset[str]
    ceiling: float
    most: int
    deadline_work: bool
    recompute_weight: float

    @classmethod
    def from_deployment(cls, item: Deployment) -> "Terms":
        """Take the terms from the document."""
        return cls(
            zones=frozenset(place.zone for place in item.zones),
            ceiling=item.price_ceiling,
            most=item.max_replicas,
            deadline_work=item.deadline_work,
            recompute_weight=item.weights.recompute,
        )


def cheapest(offers: Mapping[OfferKey, Offer], reclaimable: bool) -> float | None:
    """Return the lowest price in one market, or None without offers."""
    prices = [
        offer.price_per_hour
        for key, offer in offers.items()
        if key.reclaimable is reclaimable
    ]
    return min(prices, default=None)


def decide_placement(
    target: int,
    terms: Terms,
    offers: Mapping[OfferKey, Offer],
    current: Counter[OfferKey],
    blocked: Set[OfferKey],
    backlog: Sequence[Backlog],
    recent: tuple[float, ...],
    placement_policy: PlacementPolicy,
    deadline_policy: DeadlinePolicy,
    now: float,
) -> Placement:
    """Return where instances should run for the target and for deadline work.

    Parameters
    ----------
    target : int
        Replicas that serve, after the loss of any one zone.
    terms : Terms
        From the document.
    offers, current, blocked
        As `placement.place`; offers in the deployment's zones only.
    backlog : sequence of Backlog
        Deadline work that waits.
    recent : tuple of float
        Cheapest reclaimable prices of the recent past.
    placement_policy, deadline_policy
        Constants.
    now : float
        Wall clock seconds.
    """
    placement = place(
        target,
        offers,
        current,
        blocked,
        terms.ceiling,
        placement_policy,
        terms.recompute_weight,
        terms.most,
    )
    if not terms.deadline_work or not backlog:
        return placement
    market = _market(offers, blocked, recent)
    if market is None:
        return placement
    most = terms.most - target
    choice = choose(backlog, market, most, deadline_policy, now)
    extra = choice.replicas - spare(placement, target)
    return add_extra(
        placement,
        extra,
        choice.price_limit,
        choice.firm,
        offers,
        current,
        blocked,
        terms.ceiling,
        placement_policy.keep_discount,
    )


def _market(
    offers: Mapping[OfferKey, Offer], blocked: Set[OfferKey], recent: tuple[float, ...]
) -> Market | None:
    """Return the market for one more replica, or None without any offer."""
    free = {key: offer for key, offer in offers.items() if key not in blocked}
    firm = cheapest(offers, reclaimable=False)
    now = cheapest(free, reclaimable=True)
    if now is None and firm is None:
        return None
    if now is None:
        return Market(firm or 0.0, firm or 0.0, recent)
    return Market(now, firm if firm is not None else now, recent)
