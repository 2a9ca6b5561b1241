"""Ejection of endpoints that fail in a row, and their slow return.

An ejected endpoint comes back after a time that doubles with each ejection,
with a share of requests that grows over ``return_time``. Never are so many out
that fewer than the floor remain: when everything fails, the fault is likely
not the endpoints'.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from math import ceil
from random import Random
from typing import Protocol, TypeVar

from ebonydeal._internal.errors import ErrorKind
from ebonydeal._internal.settings.routing import RoutingSettings

# Failures that are the endpoint's own; refusals for load are not.
ENDPOINT_FAULTS = frozenset(
    {
        ErrorKind.CONNECT_FAILED,
        ErrorKind.ENDPOINT_FAILED,
        ErrorKind.ENDPOINT_GARBAGE,
        ErrorKind.ENDPOINT_STALLED,
    }
)
_MOST_DOUBLINGS = 5
_FIRST_SHARE = 0.1


class _HasId(Protocol):
    """Anything that names an endpoint."""

    @property
    def endpoint_id(self) -> str: ...


E = TypeVar("E", bound=_HasId)


@dataclass
class _Health:
    """Failures of one endpoint as this gateway saw them."""

    in_a_row: int = 0
    ejections: int = 0
    until: float = 0.0


class OutlierDetector:
    """Which endpoints are kept out.

    Parameters
    ----------
    cfg : RoutingSettings
        When and how long.
    rng : random.Random
        Lets returning endpoints take part of the requests.
    """

    def __init__(self, cfg: RoutingSettings, rng: Random) -> None:
        self._cfg = cfg
        self._rng = rng
        self._health: dict[str, _Health] = {}

    def record_success(self, endpoint_id: str, now: float) -> None:
        """Note an answer; after the return time all is forgiven."""
        health = self._health.get(endpoint_id)
        if health is None:
            return
        health.in_a_row = 0
        if now >= health.until + self._cfg.return_time:
            del self._health[endpoint_id]

    def record_failure(self, endpoint_id: str, kind: ErrorKind, now: float) -> None:
        """Note a failure; refusals for load don't count."""
        if kind not in ENDPOINT_FAULTS:
            return
        health = self._health.setdefault(endpoint_id, _Health())
        health.in_a_row += 1
        # While it returns, one failure is enough to eject it again.
        returning = 0.0 < health.until <= now < health.until + self._cfg.return_time
        if health.in_a_row >= self._cfg.eject_failures or returning:
            self._eject(health, now)

    def forget(self, endpoint_id: str) -> None:
        """Drop what is known of an endpoint that is gone."""
        self._health.pop(endpoint_id, None)

    def traffic_share(self, endpoint_id: str, now: float) -> float:
        """Return the share of its requests that an endpoint may take, 0 to 1."""
        health = self._health.get(endpoint_id)
        if health is None or health.until <= 0.0:
            return 1.0
        if now < health.until:
            return 0.0
        if self._cfg.return_time <= 0.0:
            return 1.0
        part = (now - health.until) / self._cfg.return_time
        return min(1.0, _FIRST_SHARE + (1.0 - _FIRST_SHARE) * part)

    def allowed(self, views: Sequence[E], now: float) -> tuple[E, ...]:
        """Return the endpoints that may be used for one request."""
        if not self._health:
            return tuple(views)
        allowed: list[E] = []
        out: list[E] = []
        for view in views:
            share = self.traffic_share(view.endpoint_id, now)
            passes = share >= 1.0 or self._rng.random() < share
            (allowed if passes else out).append(view)
        missing = self.min_allowed(len(views)) - len(allowed)
        if missing > 0:
            # Those that are due back first are the least bad.
            out.sort(key=lambda view: self._health[view.endpoint_id].until)
            allowed.extend(out[:missing])
        return tuple(allowed)

    def min_allowed(self, count: int) -> int:
        """Return how many of ``count`` endpoints are never kept out."""
        return min(count, max(1, ceil(count * self._cfg.eject_floor)))

    def _eject(self, health: _Health, now: float) -> None:
        if now < health.until:
            return
        doublings = min(health.ejections, _MOST_DOUBLINGS)
        health.until = now + self._cfg.eject_time * 2**doublings
        health.ejections += 1
        health.in_a_row = 0
