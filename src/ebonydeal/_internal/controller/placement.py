"""Chooses the (zone, class, market) of each replica of a deployment.

A pure function. If ``n`` replicas are needed and at most ``m`` run in one zone,
``n`` remain after the loss of any one zone exactly if ``n + m`` run. For a given
``m``, taking the cheapest units first gives the cheapest choice (the constraints
are a laminar matroid, for which the greedy choice is optimal), so that every
``m`` can be tried.
"""

import math
from collections import Counter
from collections.abc import Mapping, Set
from typing import NamedTuple

from ebonydeal._internal.controller.values import OfferKey
from ebonydeal._internal.outside.interfaces import Offer

_EPS = 1e-9
_CAPS_PER_SEARCH = 16


class PlacementConfig(NamedTuple):
    """Parameters of placement.

    Attributes
    ----------
    restart_hours : float
        Cost of one reclaim (start, load, recomputed tokens) in hours of the
        instance's price, multiplied by the deployment's recompute weight.
    keep_discount : float
        Share by which a running instance is rated cheaper than a new one, so
        that small price changes don't replace instances.
    on_demand_share : float
        Share of the target, 0 to 1, that runs on-demand at any price.
    """

    restart_hours: float = 0.25
    keep_discount: float = 0.15
    on_demand_share: float = 0.0


class Placement(NamedTuple):
    """Where replicas should run.

    Attributes
    ----------
    counts : dict of OfferKey to int
        Desired instances.
    cost_per_hour : float
        Their total price.
    zone_loss_capacity : int
        Replicas that remain after the loss of the zone with the most replicas.
    ceiling_held : int
        Replicas that the price ceiling prevents.
    """

    counts: dict[OfferKey, int]
    cost_per_hour: float
    zone_loss_capacity: int
    ceiling_held: int


class _Unit(NamedTuple):
    """Equivalent instances: either all running or all new ones of one key.

    ``room`` is their maximum number.
    """

    key: OfferKey
    price: float
    score: float
    room: float


class _Problem(NamedTuple):
    """Inputs that stay the same during the search."""

    units: list[_Unit]
    config: PlacementConfig
    max_total: float


class _Selection(NamedTuple):
    """Units selected so far."""

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
    """Choose the cheapest instances that keep ``target`` through a zone's loss.

    Parameters
    ----------
    target : int
        Replicas needed after the loss of any one zone.
    offers : mapping of OfferKey to Offer
        Offers with their current prices.
    current : mapping of OfferKey to int
        Running instances that may be kept; those without an offer have no known
        price and are not kept.
    blocked : set of OfferKey
        Keys of which no instance can be started now; running ones may stay.
    ceiling : float
        Maximum price of all instances together, per hour.
    config : PlacementConfig
        Parameters.
    recompute_weight : float
        The deployment's weight of recomputed tokens.
    max_total : float
        Maximum number of instances.

    Returns
    -------
    Placement
        If the offers or the ceiling don't allow the whole target, as many
        replicas as can survive a zone's loss, then further ones up to the target
        that can't.
    """
    if target <= 0:
        return Placement({}, 0.0, 0, 0)
    units = _units(offers, current, blocked, config, recompute_weight)
    problem = _Problem(units, config, max_total)
    selection = _best_effort(problem, target, ceiling)
    ceiling_held = 0
    if _zone_loss_capacity(selection.counts) < target:
        unlimited = _best_effort(problem, target, math.inf)
        ceiling_held = max(0, unlimited.total - selection.total)
    return Placement(
        dict(selection.counts),
        selection.cost,
        _zone_loss_capacity(selection.counts),
        ceiling_held,
    )


def affordable(money: float, price: float) -> float:
    """Return how many instances ``money`` per hour pays for; maybe infinite."""
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
    """Return the units that can be selected, cheapest first."""
    units = []
    for key, offer in offers.items():
        restart = offer.evict_per_hour * config.restart_hours * recompute_weight
        score = offer.price_per_hour * (1.0 + restart)
        running = current.get(key, 0)
        if running:
            kept_score = score * (1.0 - config.keep_discount)
            units.append(_Unit(key, offer.price_per_hour, kept_score, running))
        if key not in blocked:
            units.append(_Unit(key, offer.price_per_hour, score, math.inf))
    return sorted(units, key=lambda unit: (unit.score, unit.key))


def _select(
    units: list[_Unit],
    total: int,
    zone_cap: float,
    ceiling: float,
    start: _Selection | None = None,
) -> _Selection:
    """Select units in order within ``total``, ``zone_cap`` and ``ceiling``."""
    counts: Counter[OfferKey] = Counter(start.counts if start else {})
    cost = start.cost if start else 0.0
    score = start.score if start else 0.0
    selected = start.total if start else 0
    zones: Counter[str] = Counter()
    for key, number in counts.items():
        zones[key.zone] += number
    already_selected = Counter(counts)
    for unit in units:
        room = unit.room
        used = min(room, already_selected[unit.key])
        already_selected[unit.key] -= 0 if math.isinf(used) else int(used)
        room = min(room - used, zone_cap - zones[unit.key.zone], total - selected)
        room = min(room, affordable(ceiling - cost, unit.price))
        number = max(0, int(room))
        if not number:
            continue
        counts[unit.key] += number
        zones[unit.key.zone] += number
        cost += number * unit.price
        score += number * unit.score
        selected += number
        if selected == total:
            break
    return _Selection(counts, cost, score, selected)


def _best_effort(problem: _Problem, target: int, ceiling: float) -> _Selection:
    """Return the cheapest selection that keeps as much of ``target`` as possible."""
    best = _cheapest(problem, target, ceiling)
    if best is not None:
        return best
    low, best = 0, _Selection(Counter(), 0.0, 0.0, 0)
    high = target - 1
    while low < high:
        middle = (low + high + 1) // 2
        selection = _cheapest(problem, middle, ceiling)
        if selection is None:
            high = middle - 1
        else:
            low, best = middle, selection
    total = min(target, problem.max_total)
    if best.total >= total:
        return best
    return _select(problem.units, int(total), math.inf, ceiling, best)


def _cheapest(problem: _Problem, target: int, ceiling: float) -> _Selection | None:
    """Return the cheapest selection that keeps ``target``; None if there is none."""
    zones = {unit.key.zone for unit in problem.units}
    if len(zones) < 2:
        return None
    base = _on_demand_base(problem, target, ceiling)
    by_price = sorted(problem.units, key=lambda unit: (unit.price, unit.key))
    low = math.ceil(target / (len(zones) - 1))
    high = int(min(target, problem.max_total - target))
    tried: dict[int, _Selection | None] = {}

    def try_cap(cap: int) -> _Selection | None:
        for order in (problem.units, by_price):
            selection = _select(order, target + cap, cap, ceiling, base)
            if (
                selection.total == target + cap
                and _zone_loss_capacity(selection.counts) >= target
            ):
                return selection
        return None

    # The score is convex in the cap, so that a coarse search finds the interval
    # with the best cap. Both ends are always tried.
    while low <= high:
        step = max(1, (high - low) // _CAPS_PER_SEARCH)
        caps = [*range(low, high, step), high]
        tried.update((cap, try_cap(cap)) for cap in caps if cap not in tried)
        best = _cheapest_cap(tried)
        if best is None or step == 1:
            break
        low, high = max(low, best - step), min(high, best + step)
    best = _cheapest_cap(tried)
    return None if best is None else tried[best]


def _cheapest_cap(tried: Mapping[int, _Selection | None]) -> int | None:
    """Return the lowest cap with the best score; None if no cap is feasible."""
    feasible = [
        (selection.score, cap)
        for cap, selection in tried.items()
        if selection is not None
    ]
    return min(feasible)[1] if feasible else None


def _on_demand_base(
    problem: _Problem, target: int, ceiling: float
) -> _Selection | None:
    """Select the on-demand instances that run at any price, over all zones."""
    share = math.ceil(problem.config.on_demand_share * target - _EPS)
    on_demand = [unit for unit in problem.units if not unit.key.reclaimable]
    zones = {unit.key.zone for unit in on_demand}
    if share <= 0 or not zones:
        return None
    return _select(on_demand, share, math.ceil(share / len(zones)), ceiling)


def _zone_loss_capacity(counts: Mapping[OfferKey, int]) -> int:
    """Return the replicas left after the loss of the zone that has the most."""
    zones: Counter[str] = Counter()
    for key, number in counts.items():
        zones[key.zone] += number
    return sum(zones.values()) - max(zones.values(), default=0)
