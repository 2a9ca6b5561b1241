"""`RoutePort` on top of the router and the directory."""

from collections.abc import Callable
from typing import Any

from ebonydeal._internal.errors import ErrorKind
from ebonydeal._internal.gateway.endpoint_health import incarnation_of
from ebonydeal._internal.gateway.ports import DirectoryPort, EndpointQuery, Route
from ebonydeal._internal.models.endpoints import EndpointView
from ebonydeal._internal.models.places import Place
from ebonydeal._internal.routing.placement.router import Router
from ebonydeal._internal.routing.placement.types import Choice, RouteRequest, Scored


class RouterAdapter:
    """Lets the router choose among the endpoints of the directory.

    Parameters
    ----------
    router : Router
        Chooses endpoints.
    directory : DirectoryPort
        The known endpoints.
    place : Place
        Region and zone of this gateway.
    watches : callable
        Returns whether an endpoint is in this gateway's subset, which is
        preferred to all others.
    """

    def __init__(
        self,
        router: Router,
        directory: DirectoryPort,
        place: Place,
        in_subset: Callable[[EndpointView], bool] = lambda _view: True,
    ) -> None:
        self._router = router
        self._directory = directory
        self._place = place
        self._in_subset = in_subset

    def choose(self, query: EndpointQuery, now: float) -> Route | None:
        """Return the best endpoint or None; records the choice as sent."""
        views = self._directory.views(query.deployment.name)
        usable = tuple(
            view for view in views if incarnation_of(view) not in query.avoid
        )
        request = route_request(query, self._place)
        choice = None
        # The preferred endpoint, else the subset, else any endpoint.
        for group in (_preferred(usable, query), self._subset_of(usable), usable):
            if group and choice is None:
                choice = self._router.choose(request, group, now)
        if choice is None:
            return None
        self._router.record_sent(choice, request, now)
        return Route(
            endpoint=choice.endpoint,
            scores=_trail_entries(choice),
            choice=request.request_id,
            cached_elsewhere_tokens=_cached_elsewhere(choice),
        )

    def capacity(self, deployment: str) -> int:
        """Return how many requests of a deployment this gateway may have in flight."""
        return self._router.capacity(self._subset_of(self._directory.views(deployment)))

    def _subset_of(self, views: tuple[EndpointView, ...]) -> tuple[EndpointView, ...]:
        """Return those of ``views`` that are in this gateway's subset."""
        return tuple(view for view in views if self._in_subset(view))

    def record_first_token(
        self, route: Route, seconds: float, cached: int, prefilled: int, now: float
    ) -> None:
        """Record the first token and the actual prefix cache hit."""
        if route.choice is not None:
            self._router.record_first_token(
                route.choice, route.endpoint.endpoint_id, cached, prefilled, now
            )

    def record_finished(self, route: Route, tokens: int, now: float) -> None:
        """Record a complete answer, or an attempt that the gateway ended."""
        if route.choice is not None:
            self._router.record_finished(route.choice, route.endpoint.endpoint_id, now)

    def record_failure(self, route: Route, kind: ErrorKind, now: float) -> None:
        """Record a failed attempt."""
        if kind is ErrorKind.CONNECT_FAILED:
            self._directory.connect_failed(route.endpoint.endpoint_id)
        if route.choice is not None:
            self._router.record_failure(
                route.choice, route.endpoint.endpoint_id, kind, now
            )


def _preferred(
    views: tuple[EndpointView, ...], query: EndpointQuery
) -> tuple[EndpointView, ...]:
    """Return only the preferred endpoint if it has a free slot, else nothing."""
    if query.prefer is None:
        return ()
    return tuple(
        view
        for view in views
        if incarnation_of(view) == query.prefer
        and (view.load is None or view.load.running < view.load.slots)
    )


def route_request(query: EndpointQuery, place: Place) -> RouteRequest:
    """Return the router's request for a query."""
    request = query.request
    return RouteRequest(
        request_id=request.request_id,
        deployment=query.deployment.name,
        model=query.model,
        blocks=query.prefix,
        prompt_tokens=request.prompt_tokens + query.delivered,
        max_tokens=max(0, request.max_tokens - query.delivered),
        place=place,
        weights=query.deployment.weights,
        first_token_s=query.deployment.first_token_s,
    )


def _cached_elsewhere(choice: Choice) -> int:
    """Return the prompt tokens that an alternative was expected to have cached."""
    best = max((item.terms.cached_tokens for item in choice.alternatives), default=0.0)
    return int(max(0.0, best - choice.terms.cached_tokens))


def _trail_entries(choice: Choice) -> list[dict[str, Any]]:
    """Return the candidates with their score terms, for the decision trail."""
    best = Scored(choice.endpoint, choice.score, choice.terms)
    return [
        {
            "endpoint": item.endpoint.endpoint_id,
            "zone": item.endpoint.place.zone,
            "score": round(item.score, 9),
            "terms": {
                name: round(value, 9) for name, value in item.terms._asdict().items()
            },
        }
        for item in (best, *choice.alternatives)
    ]
