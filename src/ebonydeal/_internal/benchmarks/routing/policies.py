"""The router and the baselines behind one interface."""

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
    """One gateway's way to choose."""

    listens: bool

    def choose(self, ask: RouteRequest, views: Views, now: float) -> str:
        """Choose an endpoint and note the send."""

    def first_token(
        self, request_id: str, endpoint: str, cached: int, missed: int, now: float
    ) -> None:
        """Note a first token."""

    def finished(self, request_id: str, endpoint: str, now: float) -> None:
        """Note the end of an answer."""

    def cache_events(
        self, endpoint: str, events: Iterable[CacheEvent], now: float
    ) -> None:
        """Take cache events."""


class _Plain:
    """A baseline that learns nothing."""

    listens = False

    def __init__(self, rng: Random) -> None:
        self.rng = rng

    def first_token(
        self, request_id: str, endpoint: str, cached: int, missed: int, now: float
    ) -> None:
        """Note a first token."""

    def finished(self, request_id: str, endpoint: str, now: float) -> None:
        """Note the end of an answer."""

    def cache_events(
        self, endpoint: str, events: Iterable[CacheEvent], now: float
    ) -> None:
        """Take cache events."""


class RoundRobin(_Plain):
    """Each endpoint in turn, from a random start."""

    def __init__(self, rng: Random) -> None:
        super().__init__(rng)
        self._next = rng.randrange(1000)

    def choose(self, ask: RouteRequest, views: Views, now: float) -> str:
        """Choose the next."""
        self._next += 1
        return views[self._next % len(views)].endpoint_id


class LeastOutstanding(_Plain):
    """The endpoint with the fewest own requests in flight."""

    def __init__(self, rng: Random) -> None:
        super().__init__(rng)
        self._in_flight: dict[str, int] = {}

    def choose(self, ask: RouteRequest, views: Views, now: float) -> str:
        """Choose the least used; ties at random."""
        names = [view.endpoint_id for view in views]
        least = min(self._in_flight.get(name, 0) for name in names)
        ties = [name for name in names if self._in_flight.get(name, 0) == least]
        name = self.rng.choice(ties)
        self._in_flight[name] = least + 1
        return name

    def finished(self, request_id: str, endpoint: str, now: float) -> None:
        """Note the end of an answer."""
        self._in_flight[endpoint] -= 1


class RandomOfTwo(_Plain):
    """The less loaded of two random endpoints, by lagged reports."""

    def choose(self, ask: RouteRequest, views: Views, now: float) -> str:
        """Choose by reported load."""
        pair = self.rng.sample(views, 2)
        return min(pair, key=_reported).endpoint_id


def _reported(view: EndpointView) -> int:
    if view.load is None:
        return 0
    return view.load.running + view.load.waiting


class PrefixHash(_Plain):
    """Rendezvous hash of the first ``depth`` blocks of the prompt."""

    def __init__(self, rng: Random, depth: int) -> None:
        super().__init__(rng)
        self._depth = depth

    def choose(self, ask: RouteRequest, views: Views, now: float) -> str:
        """Choose by hash alone."""
        key = ask.blocks[min(len(ask.blocks), self._depth) - 1]
        names = [view.endpoint_id for view in views]
        return max(names, key=lambda name: xxh3_64_intdigest(f"{key}|{name}".encode()))


class Scored:
    """The router of this project."""

    listens = True

    def __init__(self, rng: Random, cfg: RoutingSettings) -> None:
        self.router = Router.from_config(cfg, rng)

    def choose(self, ask: RouteRequest, views: Views, now: float) -> str:
        """Choose by score."""
        choice = self.router.choose(ask, views, now)
        assert choice is not None
        self.router.record_sent(choice, ask, now)
        return choice.endpoint.endpoint_id

    def first_token(
        self, request_id: str, endpoint: str, cached: int, missed: int, now: float
    ) -> None:
        """Note a first token."""
        self.router.record_first_token(request_id, endpoint, cached, missed, now)

    def finished(self, request_id: str, endpoint: str, now: float) -> None:
        """Note the end of an answer."""
        self.router.record_finished(request_id, endpoint, now)

    def cache_events(
        self, endpoint: str, events: Iterable[CacheEvent], now: float
    ) -> None:
        """Take cache events."""
        self.router.apply_cache_events(endpoint, events, now)
