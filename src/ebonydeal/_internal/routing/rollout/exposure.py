"""What part of a service's requests a new version gets, and from when on all.

Of all requests between the order and its end a bad version may get a bounded part.
Whether a version turns bad later, or under full load, is known only at the end, so the
bound is kept as if it were bad until then: some requests all the time, as many on each
route, and all of them only in a last step that is as long as the bound leaves.
"""

from math import sqrt
from typing import NamedTuple

# Parts of the bound that are used before the last step; the rest is for that one.
_EARLY_SHARE = 0.25
_EARLY_SLACK = 0.4
# The same while there is doubt: it is to be settled before the order's end.
_DOUBT_SHARE = 0.6
# Part of the bound that is never planned for: requests that aren't told yet.
_KEPT_BACK = 0.05
# Largest part of a route's requests before the last step.
_MOST_OF_ROUTE = 0.5
# Shortest rate that a route is taken to have, requests a second.
_LEAST_RATE = 0.05
# The early requests are given in less than the whole time, so that a roll-out whose
# endpoints come late gets them, too.
_EARLY_TIME = 0.8


class ExposureBound(NamedTuple):
    """How many requests a bad version may get.

    ``share`` of all requests for the service between the order and its end, and
    ``slack`` besides.
    """

    share: float = 0.1
    slack: float = 50.0

    def most(self, requests: float) -> float:
        """Return the bound for so many requests, less what is kept back."""
        return (self.share * requests + self.slack) * (1.0 - _KEPT_BACK)


class Exposure(NamedTuple):
    """What was used of the bound.

    Attributes
    ----------
    requests, exposed : float
        For the service since the order, and those of them at the new version.
    rates : dict of str to float
        Requests a second lately, by route.
    left : float
        Seconds to the order's end.
    lag : float
        Seconds until what relays did is known here and a change reaches them.
    elapsed : float
        Seconds since the order.
    doubt : bool
        Whether something speaks against the version, but not enough.
    """

    requests: float
    exposed: float
    rates: dict[str, float]
    left: float
    lag: float
    elapsed: float
    doubt: bool = False

    @property
    def duration(self) -> float:
        """Seconds from the order to its end."""
        return self.elapsed + self.left

    @property
    def rate(self) -> float:
        """Requests a second of all routes."""
        return sum(self.rates.values())


class CanaryTraffic(NamedTuple):
    """What the new version gets before the last step.

    ``shares`` are parts of routes' requests; ``canaries`` the endpoints that get them.
    """

    shares: dict[str, float]
    canaries: tuple[str, ...]


class SteadyPlan:
    """Gives two new endpoints an even part of the requests all the time.

    Every route gets as many a second, so that each has its own verdict.
    """

    _CANARIES = 2

    def early(
        self, bound: ExposureBound, spent: Exposure, old: int, new: tuple[str, ...]
    ) -> CanaryTraffic:
        """Return what goes to which of the ``new`` endpoints now.

        ``old`` is how many old ones there are; ``new`` in order of preference.
        """
        wanted = min(_wanted(bound, spent), room(bound, spent))
        return CanaryTraffic(_dealt(spent.rates, wanted), new[: self._CANARIES])


class LoadedPlan:
    """Lets one new endpoint after the other carry what an old one does.

    A version may be bad only under load. Where few endpoints carry much, the bound
    leaves this for short bursts; the pause between them follows from the bound.
    """

    _CANARIES = 3
    # A little more than usual; and the length of a burst, seconds.
    _LOAD = 1.15
    _BURST_S = 0.8

    def early(
        self, bound: ExposureBound, spent: Exposure, old: int, new: tuple[str, ...]
    ) -> CanaryTraffic:
        """Return what each of the ``new`` endpoints gets now, as in `SteadyPlan`."""
        wanted = _wanted(bound, spent)
        usual = spent.rate * self._LOAD / max(1, old)
        if usual <= 0.0 or wanted <= 0.0:
            return CanaryTraffic({}, ())
        if wanted >= usual:
            # There is enough for several at a time.
            count = max(1, min(len(new), int(wanted / usual)))
            shares = _dealt(spent.rates, min(wanted, room(bound, spent)))
            return CanaryTraffic(shares, new[:count])
        period = self._BURST_S * usual / wanted
        turn = int(spent.elapsed / period)
        # At the start of each period, one endpoint after the other.
        if spent.elapsed - turn * period >= self._BURST_S:
            return CanaryTraffic({}, ())
        shares = _dealt(spent.rates, min(usual, room(bound, spent)))
        place = turn % min(len(new), self._CANARIES)
        return CanaryTraffic(shares, new[place : place + 1])


def _wanted(bound: ExposureBound, spent: Exposure) -> float:
    """Return the requests a second that use up the early part evenly."""
    whole = spent.requests + spent.rate * max(0.0, spent.left)
    share = _DOUBT_SHARE if spent.doubt else _EARLY_SHARE
    early = bound.share * whole * share + bound.slack * _EARLY_SLACK
    rest = max(0.0, early - spent.exposed)
    return min(
        rest / max(0.5, spent.left * _EARLY_TIME),
        early / max(0.5, spent.duration * _EARLY_TIME) * 2.0,
    )


ExposurePlan = SteadyPlan | LoadedPlan


def room(bound: ExposureBound, spent: Exposure) -> float:
    """Return the requests a second that may be given until the next look.

    What was asked so far bounds it, not what is still expected: traffic may end.
    """
    most = bound.share * spent.requests * _DOUBT_SHARE + bound.slack * _EARLY_SLACK
    return max(0.0, most - spent.exposed) / (2.0 * max(0.2, spent.lag))


def _dealt(rates: dict[str, float], wanted: float) -> dict[str, float]:
    """Deal so many requests a second out to routes, as many to each."""
    shares = {}
    left = wanted
    ranked = sorted(rates, key=lambda route: (rates[route], route))
    for place, route in enumerate(ranked):
        rate = max(_LEAST_RATE, rates[route])
        part = left / (len(ranked) - place)
        shares[route] = min(_MOST_OF_ROUTE, part / rate)
        left -= shares[route] * rate
    return shares


def last_step(bound: ExposureBound, spent: Exposure) -> float:
    """Return the seconds before the order's end for which all requests may go over.

    Even if every one of them fails, the bound holds.
    """
    whole = spent.requests + spent.rate * max(0.0, spent.left)
    # Requests that were given over and aren't told yet.
    known = spent.exposed + spent.rate * spent.lag * bound.share
    rest = max(0.0, bound.most(whole) - known)
    # Requests come in uneven numbers: twice the usual deviation is kept back, too.
    rest = max(0.0, rest - 2.0 * sqrt(rest))
    # Where the rates of late are low by accident, those of the whole time count.
    mean = spent.requests / max(1.0, spent.elapsed)
    return rest / max(1.0, spent.rate, mean)
