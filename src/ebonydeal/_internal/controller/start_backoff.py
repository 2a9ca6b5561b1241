"""Which offers are left alone for a while because starts were refused."""

import random
from typing import NamedTuple

from ebonydeal._internal.controller.values import OfferKey

_DOUBLINGS = 10


class Refusal(NamedTuple):
    """Refusals in a row of one offer, and when to try again (monotonic)."""

    number: int
    until: float


class StartBackoff:
    """Exponential back-off by (zone, class, market), with jitter.

    Parameters
    ----------
    first, longest : float
        Seconds after the first refusal, and at most.
    rng : random.Random
        Source of jitter.
    """

    def __init__(self, first: float, longest: float, rng: random.Random) -> None:
        self._first = first
        self._longest = longest
        self._rng = rng
        self._refused: dict[OfferKey, Refusal] = {}

    def record_refusal(self, key: OfferKey, now: float) -> float:
        """Note a refusal; return the seconds until the next try."""
        number = self._refused.get(key, Refusal(0, 0.0)).number + 1
        wait = self._first * 2 ** min(number - 1, _DOUBLINGS)
        wait = min(self._longest, wait) * self._rng.uniform(0.75, 1.25)
        self._refused[key] = Refusal(number, now + wait)
        return wait

    def record_start(self, key: OfferKey) -> None:
        """Note a start: the offer is good again."""
        self._refused.pop(key, None)

    def block(self, key: OfferKey, now: float, seconds: float) -> None:
        """Leave an offer alone, as its zone is being reclaimed."""
        known = self._refused.get(key, Refusal(0, 0.0))
        until = max(known.until, now + seconds)
        self._refused[key] = Refusal(known.number, until)

    def blocked_offers(self, now: float) -> frozenset[OfferKey]:
        """Return the offers that are not to be tried now."""
        return frozenset(key for key, item in self._refused.items() if now < item.until)
