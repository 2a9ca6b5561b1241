"""Replicas for deadline work, on top of the placement that holds the target."""

import math
from collections import Counter
from collections.abc import Mapping, Set

from ebonydeal._internal.controller.placement import Placement, affordable
from ebonydeal._internal.controller.values import OfferKey
from ebonydeal._internal.outside.interfaces import Offer

_EPS = 1e-9


def spare_replicas(placement: Placement, target: int) -> int:
    """Return how many replicas run beyond the target.

    They stand by for the loss of a zone, and do deadline work until then.
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

    They need not survive a zone's loss: their work starts again elsewhere.

    Parameters
    ----------
    placement : Placement
        What holds the target.
    number : int
        Replicas to add.
    price_limit : float
        Highest price an hour that is paid for one.
    firm : bool
        Whether on-demand may be bought.
    offers, current, blocked
        What can be bought, what runs, and what can't be started now.
    ceiling : float
        Most that all instances together may cost an hour.
    keep_discount : float
        Share by which a running instance counts as cheaper than a new one.
    """
    counts = Counter(placement.counts)
    cost = placement.cost_per_hour
    left = number
    for _score, price, key, room in _choices(
        counts, on_demand_allowed, offers, current, blocked, keep_discount
    ):
        if price > price_limit + _EPS:
            continue
        added = max(0, int(min(left, room, affordable(ceiling - cost, price))))
        counts[key] += added
        cost += added * price
        left -= added
    # Only what the price allowed and the ceiling did not is held back.
    wanted = any(
        price <= price_limit + _EPS
        for _score, price, _key, _room in _choices(
            counts, on_demand_allowed, offers, {}, blocked, keep_discount
        )
    )
    return placement._replace(
        counts=dict(+counts),
        cost_per_hour=cost,
        ceiling_held=placement.ceiling_held + (left if wanted and left > 0 else 0),
    )


def _choices(
    counts: Mapping[OfferKey, int],
    on_demand_allowed: bool,
    offers: Mapping[OfferKey, Offer],
    current: Mapping[OfferKey, int],
    blocked: Set[OfferKey],
    keep_discount: float,
) -> list[tuple[float, float, OfferKey, float]]:
    """Return (score, price, key, room) of what may be added, best first."""
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
