"""Which (zone, class, market) the replicas of a deployment should run on.

A pure decision. With ``n`` replicas needed and at most ``m`` in one zone, the
loss of any one zone leaves ``n`` standing exactly if ``n + m`` run. For a given
``m`` the cheapest choice takes the cheapest units first (a laminar matroid, for
which the greedy choice is the best), so that all ``m`` can be tried.
"""

import math
from collections import Counter
from collections.abc import Mapping, Set
from typing import NamedTuple

from ebonydeal._internal.controller.values import OfferKey
from ebonydeal._internal.outside.interfaces import Offer

_EPS = 1e-9
_CAPS_AT_ONCE = 16


class PlacementConfig(NamedTuple):
    """Constants of placement.

    Attributes
    ----------
    restart_hours : float
        Hours of an instance's price that one reclaim costs (start, load,
        recomputed tokens), times the deployment's recompute weight.
    keep_discount : float
        Share by which a running instance counts as cheaper than a new one, so
        that small changes of price move nothing.
    on_demand_share : float
        Share of the target, 0 to 1, that runs on-demand whatever the price.
    """

    restart_hours: float = 0.25
    keep_discount: float = 0.15
    on_demand_share: float = 0.0


class Placement(NamedTuple):
    """Where replicas should run.

    Attributes
    ----------
    counts : dict of OfferKey to int
        Wanted instances.
    cost_per_hour : float
        Their price together.
    standing : int
        Replicas that remain after the loss of the fullest zone.
    held : int
        Replicas that the price ceiling held back.
    """

    counts: dict[OfferKey, int]
    cost_per_hour: float
    zone_loss_capacity: int
    ceiling_held: int


class _Unit(NamedTuple):
    """Some like instances: all running ones, or all new ones, of one key."""

    key: OfferKey
    price: float
    score: float
    room: float


class _Task(NamedTuple):
    """What stays the same while ways are tried."""

    units: list[_Unit]
    config: PlacementConfig
    max_total: float


class _Fill(NamedTuple):
    """Units chosen so far."""

    counts: Counter[OfferKey]
    cost: float
    score: float
    total: int


def place(
    target: int,
    offers: Mapping[OfferKey, Offer],
    current: Mapping[OfferKey, int],
    blocked: Set[OfferKey],
    ceiling: float,
    config: PlacementConfig,
    recompute_weight: float = 1.0,
    max_total: float = math.inf,
) -> Placement:
    """Choose the cheapest instances that hold ``target`` through a zone's loss.

    Parameters
    ----------
    target : int
        Replicas needed after the loss of any one zone.
    offers : mapping of OfferKey to Offer
        What can be bought now, at which price.
    current : mapping of OfferKey to int
        Instances that run and may be kept; those without an offer have no known
        price and are not kept.
    blocked : set of OfferKey
        Keys in which nothing can be started now; running ones may stay.
    ceiling : float
        Most that all instances together may cost an hour.
    config : PlacementConfig
        Constants.
    recompute_weight : float
        The deployment's weight of recomputed tokens.
    most : float
        Most instances altogether.

    Returns
    -------
    Placement
        Where offers or the ceiling don't allow the whole target, as much as can
        survive a zone's loss, then more without that up to the target.
    """
    if target <= 0:
        return Placement({}, 0.0, 0, 0)
    units = _units(offers, current, blocked, config, recompute_weight)
    task = _Task(units, config, max_total)
    fill = _most_standing(task, target, ceiling)
    ceiling_held = 0
    if _zone_loss_capacity(fill.counts) < target:
        free = _most_standing(task, target, math.inf)
        ceiling_held = max(0, free.total - fill.total)
    return Placement(
        dict(fill.counts), fill.cost, _zone_loss_capacity(fill.counts), ceiling_held
    )


def affordable(money: float, price: float) -> float:
    """Return how many can be paid with ``money`` an hour; maybe infinite."""
    if price <= 0 or math.isinf(money):
        return math.inf
    return math.floor(money / price + _EPS)


def _units(
    offers: Mapping[OfferKey, Offer],
    current: Mapping[OfferKey, int],
    blocked: Set[OfferKey],
    config: PlacementConfig,
    recompute_weight: float,
) -> list[_Unit]:
    """Return what can be chosen, cheapest first."""
    units = []
    for key, offer in offers.items():
        restart = offer.evict_per_hour * config.restart_hours * recompute_weight
        score = offer.price_per_hour * (1.0 + restart)
        running = current.get(key, 0)
        if running:
            kept = score * (1.0 - config.keep_discount)
            units.append(_Unit(key, offer.price_per_hour, kept, running))
        if key not in blocked:
            units.append(_Unit(key, offer.price_per_hour, score, math.inf))
    return sorted(units, key=lambda unit: (unit.score, unit.key))


def _take(
    units: list[_Unit],
    total: int,
    zone_cap: float,
    ceiling: float,
    start: _Fill | None = None,
) -> _Fill:
    """Take units in order up to ``total``, ``zone_cap`` and ``ceiling``."""
    counts: Counter[OfferKey] = Counter(start.counts if start else {})
    cost = start.cost if start else 0.0
    score = start.score if start else 0.0
    got = start.total if start else 0
    zones: Counter[str] = Counter()
    for key, number in counts.items():
        zones[key.zone] += number
    already = Counter(counts)
    for unit in units:
        room = unit.room
        used = min(room, already[unit.key])
        already[unit.key] -= 0 if math.isinf(used) else int(used)
        room = min(room - used, zone_cap - zones[unit.key.zone], total - got)
        room = min(room, affordable(ceiling - cost, unit.price))
        number = max(0, int(room))
        if not number:
            continue
        counts[unit.key] += number
        zones[unit.key.zone] += number
        cost += number * unit.price
        score += number * unit.score
        got += number
        if got == total:
            break
    return _Fill(counts, cost, score, got)


def _most_standing(task: _Task, target: int, ceiling: float) -> _Fill:
    """Return the cheapest choice that holds the most of ``target``."""
    best = _best(task, target, ceiling)
    if best is not None:
        return best
    low, best = 0, _Fill(Counter(), 0.0, 0.0, 0)
    high = target - 1
    while low < high:
        middle = (low + high + 1) // 2
        fill = _best(task, middle, ceiling)
        if fill is None:
            high = middle - 1
        else:
            low, best = middle, fill
    total = min(target, task.max_total)
    if best.total >= total:
        return best
    return _take(task.units, int(total), math.inf, ceiling, best)


def _best(task: _Task, target: int, ceiling: float) -> _Fill | None:
    """Return the cheapest choice that holds ``target``, or None."""
    zones = {unit.key.zone for unit in task.units}
    if len(zones) < 2:
        return None
    base = _base(task, target, ceiling)
    by_price = sorted(task.units, key=lambda unit: (unit.price, unit.key))
    low = math.ceil(target / (len(zones) - 1))
    high = int(min(target, task.max_total - target))
    tried: dict[int, _Fill | None] = {}

    def try_cap(cap: int) -> _Fill | None:
        for order in (task.units, by_price):
            fill = _take(order, target + cap, cap, ceiling, base)
            if (
                fill.total == target + cap
                and _zone_loss_capacity(fill.counts) >= target
            ):
                return fill
        return None

    # The score is convex in the cap, so that a coarse look finds the part in
    # which the best one lies; both ends are always looked at.
    while low <= high:
        step = max(1, (high - low) // _CAPS_AT_ONCE)
        caps = [*range(low, high, step), high]
        tried.update((cap, try_cap(cap)) for cap in caps if cap not in tried)
        best = _cheapest_cap(tried)
        if best is None or step == 1:
            break
        low, high = max(low, best - step), min(high, best + step)
    best = _cheapest_cap(tried)
    return None if best is None else tried[best]


def _cheapest_cap(tried: Mapping[int, _Fill | None]) -> int | None:
    """Return the cap with the least score, the lowest such; None if none fits."""
    fits = [(fill.score, cap) for cap, fill in tried.items() if fill is not None]
    return min(fits)[1] if fits else None


def _base(task: _Task, target: int, ceiling: float) -> _Fill | None:
    """Return the on-demand instances that are wanted at any price, spread."""
    share = math.ceil(task.config.on_demand_share * target - _EPS)
    firm = [unit for unit in task.units if not unit.key.reclaimable]
    zones = {unit.key.zone for unit in firm}
    if share <= 0 or not zones:
        return None
    return _take(firm, share, math.ceil(share / len(zones)), ceiling)


def _zone_loss_capacity(counts: Mapping[OfferKey, int]) -> int:
    """Return how many remain after the loss of the fullest zone."""
    zones: Counter[str] = Counter()
    for key, number in counts.items():
        zones[key.zone] += number
    return sum(zones.values()) - max(zones.values(), default=0)
