"""Backoff from offers whose starts were refused."""

import random
from typing import NamedTuple

from ebonydeal._internal.controller.values import OfferKey

_MAX_DOUBLINGS = 10


class Refusal(NamedTuple):
    """Consecutive refusals of one offer, and when to retry (monotonic seconds)."""

    number: int
    until: float


class StartBackoff:
    """Exponential backoff by (zone, class, market), with jitter.

    Parameters
    ----------
    initial_s, max_s : float
        Backoff after the first refusal, and the maximum, in seconds.
    rng : random.Random
        Source of jitter.
    """

    def __init__(self, initial_s: float, max_s: float, rng: random.Random) -> None:
        self._initial_s = initial_s
        self._max_s = max_s
        self._rng = rng
        self._refused: dict[OfferKey, Refusal] = {}

    def record_refusal(self, key: OfferKey, now: float) -> float:
        """Record a refusal; return the seconds until the next attempt."""
        number = self._refused.get(key, Refusal(0, 0.0)).number + 1
        wait = self._initial_s * 2 ** min(number - 1, _MAX_DOUBLINGS)
        wait = min(self._max_s, wait) * self._rng.uniform(0.75, 1.25)
        self._refused[key] = Refusal(number, now + wait)
        return wait

    def record_start(self, key: OfferKey) -> None:
        """Record a successful start, which ends the backoff."""
        self._refused.pop(key, None)

    def block(self, key: OfferKey, now: float, seconds: float) -> None:
        """Block an offer for some time without counting a refusal."""
        known = self._refused.get(key, Refusal(0, 0.0))
        until = max(known.until, now + seconds)
        self._refused[key] = Refusal(known.number, until)

    def blocked_offers(self, now: float) -> frozenset[OfferKey]:
        """Return the offers of which no instance may be started now."""
        return frozenset(key for key, item in self._refused.items() if now < item.until)
