"""What part of a service's requests a new version gets, and when it gets all of them.

A bad version may get a bounded part of all requests between the order and its deadline.
Whether a version turns bad later, or under full load, is known only at the deadline. So
the exposure stays within the bound even if the version is bad until then: during the
canary stage it gets some requests all the time, as many on each route; it gets all
requests only in a last stage, which is as long as the remaining bound allows.
"""

from math import sqrt
from typing import NamedTuple

# Fractions of the bound that are used in the canary stage; the others are for the last
# stage.
_CANARY_SHARE_FRACTION = 0.25
_CANARY_SLACK_FRACTION = 0.4
# Fraction of the share while there is doubt, which must be resolved by the deadline.
_DOUBT_SHARE_FRACTION = 0.6
# Fraction of the bound that is reserved for requests that aren't reported yet.
_RESERVED_FRACTION = 0.05
# Maximum share of a route's requests in the canary stage.
_MAX_ROUTE_SHARE = 0.5
# Minimum rate that is assumed for a route, requests a second.
_MIN_ROUTE_RATE_PER_S = 0.05
# The canary stage is planned for this fraction of the time to the deadline, so that a
# roll-out whose endpoints start late gets its requests, too.
_CANARY_TIME_FRACTION = 0.8


class ExposureBound(NamedTuple):
    """How many requests a bad version may get.

    ``share`` of all requests for the service between the order and its deadline, plus
    ``slack`` requests.
    """

    share: float = 0.1
    slack: float = 50.0

    def max_exposed(self, requests: float) -> float:
        """Return the bound for so many requests, less the reserve."""
        return (self.share * requests + self.slack) * (1.0 - _RESERVED_FRACTION)


class Exposure(NamedTuple):
    """What a roll-out has used of its bound.

    Attributes
    ----------
    requests, exposed : float
        Requests for the service since the order, and those sent to the new version.
    rates : dict of str to float
        Recent requests a second, by route.
    time_left : float
        Seconds to the order's deadline.
    lag : float
        Seconds until reports of relays arrive here and a change reaches the relays.
    elapsed : float
        Seconds since the order.
    in_doubt : bool
        Whether there is evidence against the version, but too little.
    """

    requests: float
    exposed: float
    rates: dict[str, float]
    time_left: float
    lag: float
    elapsed: float
    in_doubt: bool = False

    @property
    def duration(self) -> float:
        """Seconds from the order to its deadline."""
        return self.elapsed + self.time_left

    @property
    def rate(self) -> float:
        """Requests a second of all routes."""
        return sum(self.rates.values())


class CanaryTraffic(NamedTuple):
    """What the new version gets in the canary stage.

    ``shares`` are parts of routes' requests; ``canaries`` the endpoints that get them.
    """

    shares: dict[str, float]
    canaries: tuple[str, ...]


class SteadyPlan:
    """Gives two new endpoints an even part of the requests all the time.

    Every route gets as many a second, so that there is evidence for each of them.
    """

    _MAX_CANARIES = 2

    def canary_traffic(
        self, bound: ExposureBound, exposure: Exposure, old: int, new: tuple[str, ...]
    ) -> CanaryTraffic:
        """Return which of the ``new`` endpoints get what part of the requests now.

        ``old`` is the number of old ones; ``new`` are in order of preference.
        """
        rate = min(_target_rate(bound, exposure), allowed_rate(bound, exposure))
        return CanaryTraffic(
            _shares_by_route(exposure.rates, rate), new[: self._MAX_CANARIES]
        )


class LoadedPlan:
    """Gives the new endpoints, one after the other, the load of an old one.

    A version may be bad only under load. Where few endpoints carry much load, the bound
    allows this only in short bursts; the time between them follows from the bound.
    """

    _MAX_CANARIES = 3
    # Load of a canary in terms of the load of an old endpoint.
    _LOAD_FACTOR = 1.15
    _BURST_S = 0.8

    def canary_traffic(
        self, bound: ExposureBound, exposure: Exposure, old: int, new: tuple[str, ...]
    ) -> CanaryTraffic:
        """Return which endpoints get what part of the requests, as in `SteadyPlan`."""
        target = _target_rate(bound, exposure)
        full_load = exposure.rate * self._LOAD_FACTOR / max(1, old)
        if full_load <= 0.0 or target <= 0.0:
            return CanaryTraffic({}, ())
        if target >= full_load:
            # The bound allows several canaries at a time.
            count = max(1, min(len(new), int(target / full_load)))
            shares = _shares_by_route(
                exposure.rates, min(target, allowed_rate(bound, exposure))
            )
            return CanaryTraffic(shares, new[:count])
        period = self._BURST_S * full_load / target
        number = int(exposure.elapsed / period)
        # Each period starts with a burst, at one endpoint after the other.
        if exposure.elapsed - number * period >= self._BURST_S:
            return CanaryTraffic({}, ())
        shares = _shares_by_route(
            exposure.rates, min(full_load, allowed_rate(bound, exposure))
        )
        index = number % min(len(new), self._MAX_CANARIES)
        return CanaryTraffic(shares, new[index : index + 1])


def _target_rate(bound: ExposureBound, exposure: Exposure) -> float:
    """Return the requests a second that use up the canary stage's part evenly."""
    total = exposure.requests + exposure.rate * max(0.0, exposure.time_left)
    share_fraction = (
        _DOUBT_SHARE_FRACTION if exposure.in_doubt else _CANARY_SHARE_FRACTION
    )
    budget = bound.share * total * share_fraction + bound.slack * _CANARY_SLACK_FRACTION
    remaining = max(0.0, budget - exposure.exposed)
    return min(
        remaining / max(0.5, exposure.time_left * _CANARY_TIME_FRACTION),
        budget / max(0.5, exposure.duration * _CANARY_TIME_FRACTION) * 2.0,
    )


ExposurePlan = SteadyPlan | LoadedPlan


def allowed_rate(bound: ExposureBound, exposure: Exposure) -> float:
    """Return the requests a second that the bound allows until the next decision.

    Only the requests so far count, not those still expected, as traffic may end.
    """
    budget = (
        bound.share * exposure.requests * _DOUBT_SHARE_FRACTION
        + bound.slack * _CANARY_SLACK_FRACTION
    )
    return max(0.0, budget - exposure.exposed) / (2.0 * max(0.2, exposure.lag))


def _shares_by_route(rates: dict[str, float], target: float) -> dict[str, float]:
    """Divide so many requests a second evenly among the routes."""
    shares = {}
    left = target
    ranked = sorted(rates, key=lambda route: (rates[route], route))
    for index, route in enumerate(ranked):
        rate = max(_MIN_ROUTE_RATE_PER_S, rates[route])
        part = left / (len(ranked) - index)
        shares[route] = min(_MAX_ROUTE_SHARE, part / rate)
        left -= shares[route] * rate
    return shares


def last_stage_s(bound: ExposureBound, exposure: Exposure) -> float:
    """Return the seconds before the deadline for which the version may get everything.

    The bound holds even if every one of these requests fails.
    """
    total = exposure.requests + exposure.rate * max(0.0, exposure.time_left)
    # Includes requests that were sent to the new version and aren't reported yet.
    exposed = exposure.exposed + exposure.rate * exposure.lag * bound.share
    remaining = max(0.0, bound.max_exposed(total) - exposed)
    # Requests come in uneven numbers: reserve twice the standard deviation, too.
    remaining = max(0.0, remaining - 2.0 * sqrt(remaining))
    # The recent rates may be low by chance: at least the mean rate since the order.
    mean = exposure.requests / max(1.0, exposure.elapsed)
    return remaining / max(1.0, exposure.rate, mean)
