"""Adds replicas for deadline work to the placement that holds the target."""

import math
from collections import Counter
from collections.abc import Mapping, Set

from ebonydeal._internal.controller.placement import Placement, affordable
from ebonydeal._internal.controller.values import OfferKey
from ebonydeal._internal.outside.interfaces import Offer

_EPS = 1e-9


def spare_replicas(placement: Placement, target: int) -> int:
    """Return how many replicas the placement has beyond the target.

    They are kept for the loss of a zone, and run deadline work until then.
    """
    return max(0, sum(placement.counts.values()) - target)


def add_deadline_replicas(
    placement: Placement,
    number: int,
    price_limit: float,
    on_demand_allowed: bool,
    offers: Mapping[OfferKey, Offer],
    current: Mapping[OfferKey, int],
    blocked: Set[OfferKey],
    ceiling: float,
    keep_discount: float,
) -> Placement:
    """Add up to ``number`` replicas, cheapest first, within the ceiling.

    They need not survive the loss of a zone, as their work can be restarted
    elsewhere.

    Parameters
    ----------
    placement : Placement
        Placement that holds the target.
    number : int
        Replicas to add.
    price_limit : float
        Highest price per hour of an added instance.
    on_demand_allowed : bool
        Whether on-demand instances may be bought.
    offers, current, blocked
        Offers, running instances, and offers that can't be started now.
    ceiling : float
        Maximum price of all instances together, per hour.
    keep_discount : float
        Share by which a running instance is rated cheaper than a new one.
    """
    counts = Counter(placement.counts)
    cost = placement.cost_per_hour
    remaining = number
    for _score, price, key, room in _choices(
        counts, on_demand_allowed, offers, current, blocked, keep_discount
    ):
        if price > price_limit + _EPS:
            continue
        added = max(0, int(min(remaining, room, affordable(ceiling - cost, price))))
        counts[key] += added
        cost += added * price
        remaining -= added
    # Replicas count as held back by the ceiling only if an offer is within the
    # price limit.
    has_offer_in_limit = any(
        price <= price_limit + _EPS
        for _score, price, _key, _room in _choices(
            counts, on_demand_allowed, offers, {}, blocked, keep_discount
        )
    )
    return placement._replace(
        counts=dict(+counts),
        cost_per_hour=cost,
        ceiling_held=placement.ceiling_held
        + (remaining if has_offer_in_limit and remaining > 0 else 0),
    )


def _choices(
    counts: Mapping[OfferKey, int],
    on_demand_allowed: bool,
    offers: Mapping[OfferKey, Offer],
    current: Mapping[OfferKey, int],
    blocked: Set[OfferKey],
    keep_discount: float,
) -> list[tuple[float, float, OfferKey, float]]:
    """Return (score, price, key, maximum number) of candidates, best first."""
    choices = []
    for key, offer in offers.items():
        if not (key.reclaimable or on_demand_allowed):
            continue
        price = offer.price_per_hour
        kept = current.get(key, 0) - counts.get(key, 0)
        if kept > 0:
            choices.append((price * (1.0 - keep_discount), price, key, float(kept)))
        if key not in blocked:
            choices.append((price, price, key, math.inf))
    return sorted(choices)
