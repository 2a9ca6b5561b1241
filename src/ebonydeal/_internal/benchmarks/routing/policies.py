"""The router and the baselines as policies with a common interface."""

from collections.abc import Iterable
from random import Random
from typing import Protocol

from xxhash import xxh3_64_intdigest

from ebonydeal._internal.models.endpoints import EndpointView
from ebonydeal._internal.routing.placement.router import Router
from ebonydeal._internal.routing.placement.types import RouteRequest
from ebonydeal._internal.settings.routing import RoutingSettings

Views = tuple[EndpointView, ...]
CacheEvent = tuple[int, bool, str]


class Policy(Protocol):
    """Endpoint selection of one gateway."""

    uses_cache_events: bool

    def choose(self, request: RouteRequest, views: Views, now: float) -> str:
        """Choose an endpoint and record the send."""

    def record_first_token(
        self,
        request_id: str,
        endpoint: str,
        cached_tokens: int,
        uncached_tokens: int,
        now: float,
    ) -> None:
        """Record a first token."""

    def record_finished(self, request_id: str, endpoint: str, now: float) -> None:
        """Record the end of an answer."""

    def apply_cache_events(
        self, endpoint: str, events: Iterable[CacheEvent], now: float
    ) -> None:
        """Apply cache events."""


class _BaselinePolicy:
    """Base of the baselines; ignores tokens, ends of answers and cache events."""

    uses_cache_events = False

    def __init__(self, rng: Random) -> None:
        self.rng = rng

    def record_first_token(
        self,
        request_id: str,
        endpoint: str,
        cached_tokens: int,
        uncached_tokens: int,
        now: float,
    ) -> None:
        """Record a first token."""

    def record_finished(self, request_id: str, endpoint: str, now: float) -> None:
        """Record the end of an answer."""

    def apply_cache_events(
        self, endpoint: str, events: Iterable[CacheEvent], now: float
    ) -> None:
        """Apply cache events."""


class RoundRobin(_BaselinePolicy):
    """Chooses each endpoint in turn, from a random start."""

    def __init__(self, rng: Random) -> None:
        super().__init__(rng)
        self._next = rng.randrange(1000)

    def choose(self, request: RouteRequest, views: Views, now: float) -> str:
        """Choose the next endpoint."""
        self._next += 1
        return views[self._next % len(views)].endpoint_id


class LeastOutstanding(_BaselinePolicy):
    """Chooses the endpoint with the fewest of this gateway's requests in flight."""

    def __init__(self, rng: Random) -> None:
        super().__init__(rng)
        self._in_flight: dict[str, int] = {}

    def choose(self, request: RouteRequest, views: Views, now: float) -> str:
        """Choose the endpoint with the fewest requests; break ties at random."""
        names = [view.endpoint_id for view in views]
        fewest = min(self._in_flight.get(name, 0) for name in names)
        ties = [name for name in names if self._in_flight.get(name, 0) == fewest]
        name = self.rng.choice(ties)
        self._in_flight[name] = fewest + 1
        return name

    def record_finished(self, request_id: str, endpoint: str, now: float) -> None:
        """Record the end of an answer."""
        self._in_flight[endpoint] -= 1


class RandomOfTwo(_BaselinePolicy):
    """Chooses the less loaded of two random endpoints, by delayed reports."""

    def choose(self, request: RouteRequest, views: Views, now: float) -> str:
        """Choose by reported load."""
        candidates = self.rng.sample(views, 2)
        return min(candidates, key=_reported_load).endpoint_id


def _reported_load(view: EndpointView) -> int:
    if view.load is None:
        return 0
    return view.load.running + view.load.waiting


class PrefixHash(_BaselinePolicy):
    """Chooses by rendezvous hash of the prompt's first ``depth`` blocks."""

    def __init__(self, rng: Random, depth: int) -> None:
        super().__init__(rng)
        self._depth = depth

    def choose(self, request: RouteRequest, views: Views, now: float) -> str:
        """Choose by the hash alone."""
        key = request.blocks[min(len(request.blocks), self._depth) - 1]
        names = [view.endpoint_id for view in views]
        return max(names, key=lambda name: xxh3_64_intdigest(f"{key}|{name}".encode()))


class RouterPolicy:
    """Chooses with the real router."""

    uses_cache_events = True

    def __init__(self, rng: Random, cfg: RoutingSettings) -> None:
        self.router = Router.from_config(cfg, rng)

    def choose(self, request: RouteRequest, views: Views, now: float) -> str:
        """Choose by the router's score."""
        choice = self.router.choose(request, views, now)
        assert choice is not None
        self.router.record_sent(choice, request, now)
        return choice.endpoint.endpoint_id

    def record_first_token(
        self,
        request_id: str,
        endpoint: str,
        cached_tokens: int,
        uncached_tokens: int,
        now: float,
    ) -> None:
        """Record a first token."""
        self.router.record_first_token(
            request_id, endpoint, cached_tokens, uncached_tokens, now
        )

    def record_finished(self, request_id: str, endpoint: str, now: float) -> None:
        """Record the end of an answer."""
        self.router.record_finished(request_id, endpoint, now)

    def apply_cache_events(
        self, endpoint: str, events: Iterable[CacheEvent], now: float
    ) -> None:
        """Apply cache events."""
        self.router.apply_cache_events(endpoint, events, now)
