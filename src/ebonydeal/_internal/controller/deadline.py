"""Decides when to run work that may wait until a deadline.

A pure function, called in every round, returns how many replicas to add now for
deadline work and up to which price. `PriceRule` lists the alternatives;
docs/design/deadline-work.md compares them.
"""

import math
from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple

_EPS = 1e-9


class PriceRule(StrEnum):
    """How the highest price at which work runs is chosen."""

    AT_ONCE = "at_once"
    FIXED = "fixed_threshold"
    EXPONENTIAL = "exponential_price"
    QUANTILE = "price_quantile"


class DeadlineConfig(NamedTuple):
    """Parameters of deadline work.

    Attributes
    ----------
    rule : PriceRule
        How the price limit is chosen.
    fixed_share : float
        For ``FIXED``: share of the on-demand price below which work runs.
    margin_s : float
        Seconds kept free before a deadline for starts, loads and one reclaim.
    margin_share : float
        Share of the remaining work that is added to allow for reclaims.
    run_s : float
        Seconds of work that justify starting and warming up one more replica.
    """

    rule: PriceRule = PriceRule.QUANTILE
    fixed_share: float = 0.35
    margin_s: float = 1800.0
    margin_share: float = 0.1
    run_s: float = 3600.0


class Backlog(NamedTuple):
    """Work with one deadline, in replica seconds."""

    deadline: float
    work_s: float


class Market(NamedTuple):
    """Prices of one replica per hour.

    Attributes
    ----------
    reclaimable : float
        Cheapest reclaimable offer; the on-demand price if there is none.
    on_demand : float
        Cheapest on-demand offer; the reclaimable price if there is none.
    recent : tuple of float
        Recent cheapest reclaimable prices, at equal intervals.
    """

    reclaimable: float
    on_demand: float
    recent: tuple[float, ...]


class DeadlineChoice(NamedTuple):
    """Replicas to run now for deadline work.

    Attributes
    ----------
    replicas : int
        Replicas to add.
    on_demand_allowed : bool
        Whether a deadline is at risk, so that on-demand instances may be bought.
    price_limit : float
        Highest price per hour at which work that can wait runs now.
    """

    replicas: int
    on_demand_allowed: bool
    price_limit: float


def price_limit(market: Market, committed: float, config: DeadlineConfig) -> float:
    """Return the highest price per hour at which work that can wait runs now.

    Parameters
    ----------
    market : Market
        Prices.
    committed : float
        Share, 0 to 1, of the replica time left until the deadline that the
        work needs.
    config : DeadlineConfig
        Contains the rule.
    """
    committed = min(1.0, max(0.0, committed))
    match config.rule:
        case PriceRule.AT_ONCE:
            return math.inf
        case PriceRule.FIXED:
            return config.fixed_share * market.on_demand
        case PriceRule.EXPONENTIAL:
            return _exponential(market, committed)
        case PriceRule.QUANTILE:
            return _quantile(market, committed)


def _exponential(market: Market, committed: float) -> float:
    """Return ``L (U / L) ** committed``, from the lowest to the on-demand price."""
    low = min((*market.recent, market.reclaimable))
    return low * (market.on_demand / low) ** committed


def _quantile(market: Market, committed: float) -> float:
    """Return the ``committed`` quantile of the recent and current prices."""
    prices = sorted((*market.recent, market.reclaimable))
    index = math.ceil(committed * len(prices)) - 1
    return prices[max(0, index)]


def choose_deadline_replicas(
    backlog: Sequence[Backlog],
    market: Market,
    max_replicas: int,
    config: DeadlineConfig,
    now: float,
) -> DeadlineChoice:
    """Return how many replicas to add for deadline work now, and at which price.

    Parameters
    ----------
    backlog : sequence of Backlog
        Remaining work.
    market : Market
        Prices.
    max_replicas : int
        Maximum number of replicas for deadline work.
    config : DeadlineConfig
        Parameters.
    now : float
        Wall clock seconds.

    Returns
    -------
    DeadlineChoice
        If replicas are added, they are enough for the tightest deadline, up to
        ``max_replicas``. Work is assumed to run in the order of its deadlines:
        all work up to each deadline must fit before it.
    """
    if max_replicas <= 0 or not any(item.work_s > _EPS for item in backlog):
        return DeadlineChoice(0, False, 0.0)
    committed, total, min_replicas = 0.0, 0.0, 0.0
    for item in sorted(backlog):
        total += item.work_s * (1.0 + config.margin_share)
        left = item.deadline - config.margin_s - now
        share = total / (max_replicas * left) if left > 0 else math.inf
        committed = max(committed, share)
        min_replicas = max(min_replicas, total / max(left, 1.0))
    limit = price_limit(market, committed, config)
    useful = min(max_replicas, math.ceil(max(min_replicas, total / config.run_s)))
    if committed >= 1.0 - _EPS:
        return DeadlineChoice(useful, True, math.inf)
    if market.reclaimable <= limit + _EPS:
        return DeadlineChoice(useful, False, limit)
    return DeadlineChoice(0, False, limit)
