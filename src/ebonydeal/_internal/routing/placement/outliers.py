"""Ejection of endpoints that fail several times in a row, and their slow return.

An ejected endpoint returns after a time that doubles with each ejection, and its share
of requests then grows over ``return_time``. A minimum number of endpoints is never
ejected: when all fail, the endpoints are probably not the cause.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from math import ceil
from random import Random
from typing import Protocol, TypeVar

from ebonydeal._internal.errors import ErrorKind
from ebonydeal._internal.settings.routing import RoutingSettings

# Failures caused by the endpoint itself; refusals for load are not among them.
ENDPOINT_FAULTS = frozenset(
    {
        ErrorKind.CONNECT_FAILED,
        ErrorKind.ENDPOINT_FAILED,
        ErrorKind.ENDPOINT_GARBAGE,
        ErrorKind.ENDPOINT_STALLED,
    }
)
_MAX_DOUBLINGS = 5
_INITIAL_SHARE = 0.1


class _HasId(Protocol):
    """Any value that has an endpoint's id."""

    @property
    def endpoint_id(self) -> str: ...


E = TypeVar("E", bound=_HasId)


@dataclass
class _Health:
    """Failures of one endpoint as this process saw them."""

    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0


class OutlierDetector:
    """Ejects endpoints that fail, and readmits them slowly.

    Parameters
    ----------
    cfg : RoutingSettings
        Thresholds and times of ejections.
    rng : random.Random
        Draws the requests that a returning endpoint gets.
    """

    def __init__(self, cfg: RoutingSettings, rng: Random) -> None:
        self._cfg = cfg
        self._rng = rng
        self._health: dict[str, _Health] = {}

    def record_success(self, endpoint_id: str, now: float) -> None:
        """Record an answer; after the return time it clears the endpoint's record."""
        health = self._health.get(endpoint_id)
        if health is None:
            return
        health.consecutive_failures = 0
        if now >= health.ejected_until + self._cfg.return_time:
            del self._health[endpoint_id]

    def record_failure(self, endpoint_id: str, kind: ErrorKind, now: float) -> None:
        """Record a failure; refusals for load don't count."""
        if kind not in ENDPOINT_FAULTS:
            return
        health = self._health.setdefault(endpoint_id, _Health())
        health.consecutive_failures += 1
        # While an endpoint returns, one failure is enough to eject it again.
        returning = (
            0.0
            < health.ejected_until
            <= now
            < health.ejected_until + self._cfg.return_time
        )
        if health.consecutive_failures >= self._cfg.eject_failures or returning:
            self._eject(health, now)

    def forget(self, endpoint_id: str) -> None:
        """Drop the record of an endpoint that was removed or has restarted."""
        self._health.pop(endpoint_id, None)

    def traffic_share(self, endpoint_id: str, now: float) -> float:
        """Return the share of its usual requests that an endpoint may get, 0 to 1."""
        health = self._health.get(endpoint_id)
        if health is None or health.ejected_until <= 0.0:
            return 1.0
        if now < health.ejected_until:
            return 0.0
        if self._cfg.return_time <= 0.0:
            return 1.0
        progress = (now - health.ejected_until) / self._cfg.return_time
        return min(1.0, _INITIAL_SHARE + (1.0 - _INITIAL_SHARE) * progress)

    def allowed(self, views: Sequence[E], now: float) -> tuple[E, ...]:
        """Return the endpoints that may be used for one request."""
        if not self._health:
            return tuple(views)
        allowed: list[E] = []
        rejected: list[E] = []
        for view in views:
            share = self.traffic_share(view.endpoint_id, now)
            passes = share >= 1.0 or self._rng.random() < share
            (allowed if passes else rejected).append(view)
        missing = self.min_allowed(len(views)) - len(allowed)
        if missing > 0:
            # Endpoints whose ejection ends first are the least bad.
            rejected.sort(key=lambda view: self._health[view.endpoint_id].ejected_until)
            allowed.extend(rejected[:missing])
        return tuple(allowed)

    def min_allowed(self, count: int) -> int:
        """Return how many of ``count`` endpoints stay allowed in any case."""
        return min(count, max(1, ceil(count * self._cfg.eject_floor)))

    def _eject(self, health: _Health, now: float) -> None:
        if now < health.ejected_until:
            return
        doublings = min(health.ejections, _MAX_DOUBLINGS)
        health.ejected_until = now + self._cfg.eject_time * 2**doublings
        health.ejections += 1
        health.consecutive_failures = 0
