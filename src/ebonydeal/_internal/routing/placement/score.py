"""The score of one endpoint for one request, in money; lower is better.

A second of delay costs what a replica costs in a second: that is what adding
capacity to remove it would cost. Beyond the latency target it costs
``late_factor`` times more. A token that must be computed costs the time of the
whole replica that computes it.
"""

from math import erf, exp, pi, sqrt
from typing import NamedTuple

from ebonydeal._internal.models.endpoints import EndpointView
from ebonydeal._internal.models.places import Distance, distance
from ebonydeal._internal.routing.placement.types import RouteRequest, Scored, ScoreTerms

_HOUR = 3600.0
_ROUND_TRIP_S = {
    Distance.SAME_ZONE: 0.0005,
    Distance.SAME_REGION: 0.003,
    Distance.OTHER_REGION: 0.04,
}


class Estimate(NamedTuple):
    """What is expected of one endpoint.

    Attributes
    ----------
    load : float
        Requests running and waiting.
    slots : float
        Requests that run at once.
    prefill_queue : float
        Tokens to be computed before this request's.
    cached_tokens : float
        Prompt tokens in its prefix cache.
    prefill_rate : float
        Tokens per second.
    service_s : float
        From first token to the end, seconds.
    home_tokens : float
        Tokens that later requests are expected to save if this one comes here.
    load_stddev : float
        Standard deviation of ``load``, requests.
    """

    load: float
    slots: float
    prefill_queue: float
    cached_tokens: float
    prefill_rate: float
    service_s: float
    home_tokens: float = 0.0
    load_stddev: float = 0.0


def price_per_second(views: tuple[EndpointView, ...]) -> float:
    """Return the mean price of a replica's second; one unit if all are free."""
    prices = [view.price_per_hour for view in views if view.price_per_hour > 0.0]
    if not prices:
        return 1.0 / _HOUR
    return sum(prices) / len(prices) / _HOUR


class DelayPrice(NamedTuple):
    """What delay costs.

    Attributes
    ----------
    second : float
        Price of a replica's second.
    late : float
        Times that for each second beyond the latency target.
    crowd : float
        Times that for a second by which all requests of one endpoint that wait
        for a slot are delayed.
    """

    second: float
    late: float
    crowd: float


def delay_price(
    views: tuple[EndpointView, ...], target_s: float, least_s: float, factor: float
) -> DelayPrice:
    """Return the price of delay for one request.

    Where even the least delay misses the target, being later still doesn't
    count extra: estimates of long queues are rough, and work that is saved
    shortens all of them.
    """
    late = factor if least_s <= target_s else 1.0
    return DelayPrice(price_per_second(views), late, factor)


def delay_s(ask: RouteRequest, expected: Estimate) -> float:
    """Return the expected delay before the first token, seconds."""
    queue_s = expected.prefill_queue / expected.prefill_rate
    return queue_s + _prefill_s(ask, expected) + _slot_wait(expected)


def score(
    ask: RouteRequest,
    view: EndpointView,
    expected: Estimate,
    rates: DelayPrice,
) -> Scored:
    """Score one endpoint."""
    second = rates.second
    prefill_s = _prefill_s(ask, expected)
    delay = delay_s(ask, expected)
    late = max(0.0, delay - ask.first_token_s)
    # Whoever waits for a slot here waits for this prefill, too.
    delayed = max(0.0, expected.load + 1.0 - expected.slots)
    crowding = rates.crowd * delayed / max(1.0, expected.slots)
    at_stake = ask.prompt_tokens + ask.max_tokens / 2.0
    chance = view.evict_per_hour / _HOUR * expected.service_s
    own_second = view.price_per_hour / _HOUR
    used_s = prefill_s + expected.service_s / max(1.0, expected.slots)
    terms = ScoreTerms(
        wait=second * (delay + (rates.late - 1.0) * late),
        prefill=second * prefill_s * (ask.weights.recompute + crowding),
        distance=second * _ROUND_TRIP_S[distance(ask.place, view.place)],
        eviction=second
        * min(1.0, chance)
        * at_stake
        / expected.prefill_rate
        * ask.weights.recompute,
        price=own_second * used_s * ask.weights.cost,
        affinity=-second
        * expected.home_tokens
        / expected.prefill_rate
        * ask.weights.recompute,
        delay_s=delay,
        cached_tokens=expected.cached_tokens,
        load=expected.load,
    )
    return Scored(view, terms.total, terms)


def _slot_wait(expected: Estimate) -> float:
    """Return the expected wait for a slot, seconds.

    An endpoint believed to be nearly full often is full: only those that turn
    out longer count, so a load that isn't known well costs a wait.
    """
    behind = expected.load + 1.0 - expected.slots
    waiting = _mean_above_zero(behind, expected.load_stddev)
    return waiting * expected.service_s / max(1.0, expected.slots)


def _mean_above_zero(mean: float, spread: float) -> float:
    """Return the mean of ``max(0, x)`` for a normal ``x``."""
    if spread <= 0.0:
        return max(0.0, mean)
    ratio = mean / spread
    density = exp(-ratio * ratio / 2.0) / sqrt(2.0 * pi)
    share = (1.0 + erf(ratio / sqrt(2.0))) / 2.0
    return mean * share + spread * density


def _prefill_s(ask: RouteRequest, expected: Estimate) -> float:
    """Return the time to compute what the cache misses, seconds."""
    missed = max(0.0, ask.prompt_tokens - expected.cached_tokens)
    return missed / expected.prefill_rate
