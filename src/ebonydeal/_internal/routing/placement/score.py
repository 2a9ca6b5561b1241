"""The score of one endpoint for one request, in money; lower is better.

A second of delay costs as much as a second of a replica, since that is what the
capacity to remove the delay would cost. Beyond the latency target it costs
``late_factor`` times as much. A token to prefill costs the time of the whole replica
that computes it.
"""

from math import erf, exp, pi, sqrt
from typing import NamedTuple

from ebonydeal._internal.models.endpoints import EndpointView
from ebonydeal._internal.models.places import Distance, distance
from ebonydeal._internal.routing.placement.types import RouteRequest, Scored, ScoreTerms

_HOUR_S = 3600.0
_ROUND_TRIP_S = {
    Distance.SAME_ZONE: 0.0005,
    Distance.SAME_REGION: 0.003,
    Distance.OTHER_REGION: 0.04,
}


class Estimate(NamedTuple):
    """Estimates for one endpoint.

    Attributes
    ----------
    load : float
        Requests running and waiting.
    slots : float
        Requests that can run at once.
    prefill_queue : float
        Tokens to prefill before this request's.
    cached_tokens : float
        Prompt tokens in the endpoint's prefix cache.
    prefill_rate : float
        Tokens per second.
    service_s : float
        Time from the first token to the end, seconds.
    home_tokens : float
        Tokens that later requests are expected to save if this one is served here.
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
    """Return the mean price per second of a replica; 1 per hour if all are free."""
    prices = [view.price_per_hour for view in views if view.price_per_hour > 0.0]
    if not prices:
        return 1.0 / _HOUR_S
    return sum(prices) / len(prices) / _HOUR_S


class DelayPrice(NamedTuple):
    """The price of delay.

    Attributes
    ----------
    second : float
        Price of a second of a replica.
    late_factor : float
        Multiple of it for each second beyond the latency target.
    queue_factor : float
        Multiple of it for a second by which all requests that wait for a slot at one
        endpoint are delayed.
    """

    second: float
    late_factor: float
    queue_factor: float


def delay_price(
    views: tuple[EndpointView, ...], target_s: float, min_delay_s: float, factor: float
) -> DelayPrice:
    """Return the price of delay for one request.

    If even the shortest delay misses the target, further lateness costs nothing extra:
    estimates of long queues are rough, and saving work shortens all queues.
    """
    late = factor if min_delay_s <= target_s else 1.0
    return DelayPrice(price_per_second(views), late, factor)


def delay_s(request: RouteRequest, expected: Estimate) -> float:
    """Return the expected delay before the first token, seconds."""
    queue_s = expected.prefill_queue / expected.prefill_rate
    return queue_s + _prefill_s(request, expected) + _slot_wait(expected)


def score(
    request: RouteRequest,
    view: EndpointView,
    expected: Estimate,
    price: DelayPrice,
) -> Scored:
    """Score one endpoint."""
    second = price.second
    prefill_s = _prefill_s(request, expected)
    delay = delay_s(request, expected)
    late = max(0.0, delay - request.first_token_s)
    # Requests that wait for a slot here also wait for this prefill.
    delayed = max(0.0, expected.load + 1.0 - expected.slots)
    queue_delay = price.queue_factor * delayed / max(1.0, expected.slots)
    tokens_at_risk = request.prompt_tokens + request.max_tokens / 2.0
    eviction_chance = view.evict_per_hour / _HOUR_S * expected.service_s
    own_second = view.price_per_hour / _HOUR_S
    used_s = prefill_s + expected.service_s / max(1.0, expected.slots)
    terms = ScoreTerms(
        wait=second * (delay + (price.late_factor - 1.0) * late),
        prefill=second * prefill_s * (request.weights.recompute + queue_delay),
        distance=second * _ROUND_TRIP_S[distance(request.place, view.place)],
        eviction=second
        * min(1.0, eviction_chance)
        * tokens_at_risk
        / expected.prefill_rate
        * request.weights.recompute,
        price=own_second * used_s * request.weights.cost,
        affinity=-second
        * expected.home_tokens
        / expected.prefill_rate
        * request.weights.recompute,
        delay_s=delay,
        cached_tokens=expected.cached_tokens,
        load=expected.load,
    )
    return Scored(view, terms.total, terms)


def _slot_wait(expected: Estimate) -> float:
    """Return the expected wait for a slot, seconds.

    An endpoint that seems nearly full is often full. Free slots can't compensate for
    queues, so the uncertainty of the load adds to the expected wait.
    """
    excess = expected.load + 1.0 - expected.slots
    waiting = _mean_above_zero(excess, expected.load_stddev)
    return waiting * expected.service_s / max(1.0, expected.slots)


def _mean_above_zero(mean: float, stddev: float) -> float:
    """Return the mean of ``max(0, x)`` for a normal ``x``."""
    if stddev <= 0.0:
        return max(0.0, mean)
    ratio = mean / stddev
    density = exp(-ratio * ratio / 2.0) / sqrt(2.0 * pi)
    share = (1.0 + erf(ratio / sqrt(2.0))) / 2.0
    return mean * share + stddev * density


def _prefill_s(request: RouteRequest, expected: Estimate) -> float:
    """Return the time to prefill the uncached tokens, seconds."""
    uncached_tokens = max(0.0, request.prompt_tokens - expected.cached_tokens)
    return uncached_tokens / expected.prefill_rate
