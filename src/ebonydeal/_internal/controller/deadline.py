"""When to run work that may wait until a deadline.

A pure decision, made again every few minutes: how many replicas to add now for
deadline work, and whether any price is paid. `PriceRule` names the ways that were
weighed; docs/design/deadline-work.md gives the figures.
"""

import math
from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple

_EPS = 1e-9


class PriceRule(StrEnum):
    """How the price at which work runs is chosen."""

    AT_ONCE = "at_once"
    FIXED = "fixed_threshold"
    EXPONENTIAL = "exponential_price"
    QUANTILE = "price_quantile"


class DeadlineConfig(NamedTuple):
    """Constants of deadline work.

    Attributes
    ----------
    rule : PriceRule
        Which way.
    fixed_share : float
        For ``FIXED``: share of the on-demand price below which work runs.
    margin_s : float
        Time kept free before a deadline: starts, loads, one reclaim.
    margin_share : float
        Share of the remaining work that is added for reclaims on the way.
    run_s : float
        How long a replica that is added should find work: starting and warming
        it up is not worth less.
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
    """Prices of one replica an hour.

    Attributes
    ----------
    now : float
        Cheapest reclaimable offer.
    on_demand : float
        Cheapest on-demand offer.
    recent : tuple of float
        Cheapest reclaimable prices at even steps of the recent past.
    """

    now: float
    on_demand: float
    recent: tuple[float, ...]


class DeadlineChoice(NamedTuple):
    """What to run now.

    Attributes
    ----------
    replicas : int
        Added for deadline work.
    firm : bool
        Whether a deadline is in danger, so that on-demand is bought too.
    price_limit : float
        Highest price an hour at which work that can wait runs now.
    """

    replicas: int
    on_demand_allowed: bool
    price_limit: float


def price_limit(market: Market, committed: float, config: DeadlineConfig) -> float:
    """Return the highest price at which work runs that can still wait.

    Parameters
    ----------
    market : Market
        Prices.
    committed : float
        Share, 0 to 1, of all replica time left until the deadline that the
        work needs.
    config : DeadlineConfig
        Names the rule.
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
    """Return ``L (U / L) ** committed``: from the lowest price to on-demand."""
    low = min((*market.recent, market.now))
    return low * (market.on_demand / low) ** committed


def _quantile(market: Market, committed: float) -> float:
    """Return the price below which the needed share of recent time lay."""
    prices = sorted((*market.recent, market.now))
    index = math.ceil(committed * len(prices)) - 1
    return prices[max(0, index)]


def choose_deadline_replicas(
    backlog: Sequence[Backlog],
    market: Market,
    max_replicas: int,
    config: DeadlineConfig,
    now: float,
) -> DeadlineChoice:
    """Return how many replicas to add for deadline work now.

    Parameters
    ----------
    backlog : sequence of Backlog
        Work that remains.
    market : Market
        Prices.
    most : int
        Most replicas that deadline work may have at once.
    config : DeadlineConfig
        Constants.
    now : float
        Wall clock seconds.

    Returns
    -------
    DeadlineChoice
        Never less than what the tightest deadline needs from now on: earliest
        deadlines first, every prefix of the work must fit before its deadline.
    """
    if max_replicas <= 0 or not any(item.work_s > _EPS for item in backlog):
        return DeadlineChoice(0, False, 0.0)
    committed, total, rate = 0.0, 0.0, 0.0
    for item in sorted(backlog):
        total += item.work_s * (1.0 + config.margin_share)
        left = item.deadline - config.margin_s - now
        share = total / (max_replicas * left) if left > 0 else math.inf
        committed = max(committed, share)
        rate = max(rate, total / max(left, 1.0))
    limit = price_limit(market, committed, config)
    useful = min(max_replicas, math.ceil(max(rate, total / config.run_s)))
    if committed >= 1.0 - _EPS:
        return DeadlineChoice(useful, True, math.inf)
    if market.now <= limit + _EPS:
        return DeadlineChoice(useful, False, limit)
    return DeadlineChoice(0, False, limit)
