"""Replicas for deadline work, on top of the placement that holds the target."""

from collections import Counter
from collections.abc import Mapping, Set

from ebonydeal._internal.controller.placement import Placement, affordable
from ebonydeal._internal.controller.values import OfferKey
from ebonydeal._internal.platform.interfaces import Offer

_EPS = 1e-9


def spare(placement: Placement, target: int) -> int:
    """Return how many replicas run beyond the target.

    They stand by for the loss of a zone, and do deadline work until then.
    """
    return max(0, sum(placement.counts.values()) - target)


def add_extra(
    placement: Placement,
    number: int,
    price_limit: float,
    firm: bool,
    offers: Mapping[OfferKey, Offer],
    blocked: Set[OfferKey],
    ceiling: float,
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
    offers, blocked : mapping and set
        What can be bought, and what can't be started now.
    ceiling : float
        Most that all instances together may cost an hour.
    """
    usable = sorted(
        (offer.price_per_hour, key)
        for key, offer in offers.items()
        if key not in blocked and (key.reclaimable or firm)
    )
    if not usable or number <= 0:
        return placement
    price, key = usable[0]
    if price > price_limit + _EPS:
        return placement
    room = affordable(ceiling - placement.cost_per_hour, price)
    added = max(0, int(min(number, room)))
    counts = Counter(placement.counts)
    counts[key] += added
    return placement._replace(
        counts={item: count for item, count in counts.items() if count},
        cost_per_hour=placement.cost_per_hour + added * price,
        held=placement.held + number - added,
    )
