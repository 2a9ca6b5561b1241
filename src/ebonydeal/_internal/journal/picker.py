"""Chooses endpoints with free slots for accepted requests, by the router's score.

Accepted requests aren't urgent: they never queue at an endpoint, which leaves the
queues to requests whose callers are waiting.
"""

import json
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from ebonydeal._internal.errors import ErrorKind
from ebonydeal._internal.models.document import Document, Weights
from ebonydeal._internal.models.endpoints import EndpointView
from ebonydeal._internal.models.places import Place
from ebonydeal._internal.models.requests import Request, RequestKind
from ebonydeal._internal.routing.placement.router import Router
from ebonydeal._internal.routing.placement.types import (
    NEUTRAL_WEIGHTS,
    Choice,
    RouteRequest,
)
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.prefix import prefix_blocks, prompt_text

ASSUMED_SLOTS = 4


class Views(Protocol):
    """The directory's interface for pickers."""

    def views(self, deployment: str) -> tuple[EndpointView, ...]:
        """Return a deployment's endpoints except leaving ones."""

    def is_leaving(self, view: EndpointView) -> bool:
        """Return whether an endpoint is known to be leaving."""


WeightsOf = Callable[[str], Weights]


def weights_from(document: Callable[[], Document]) -> WeightsOf:
    """Return a function that reads weights from the configuration in force."""

    def weights_of(deployment: str) -> Weights:
        found = document().deployments.get(deployment)
        return NEUTRAL_WEIGHTS if found is None else found.weights

    return weights_of


def min_known_slots(views: Views, deployment: str) -> int:
    """Return the smallest known number of slots of a deployment's endpoints."""
    loads = [view.load for view in views.views(deployment)]
    known = [load.slots for load in loads if load is not None and load.slots > 0]
    return min(known, default=ASSUMED_SLOTS)


def route_request(
    request: Request, place: Place, exclude: frozenset[str], weights: Weights
) -> RouteRequest:
    """Return the router's request for an accepted request."""
    model = ""
    blocks: tuple[str, ...] = ()
    if request.kind is not RequestKind.SERVICE and request.body:
        try:
            body = json.loads(request.body)
            model = str(body["model"])
            blocks = prefix_blocks(model, prompt_text(body))
        except (KeyError, TypeError, ValueError):
            # The dispatcher ends a request with such a body, so any endpoint will do.
            blocks = ()
    return RouteRequest(
        request_id=request.request_id,
        deployment=request.deployment,
        model=model,
        blocks=blocks,
        prompt_tokens=request.prompt_tokens,
        max_tokens=request.max_tokens,
        place=place,
        exclude=exclude,
        weights=weights,
    )


class RoutedPicker:
    """`Picker` that uses the directory's views and the router's choice."""

    def __init__(
        self,
        views: Views,
        router: Router,
        place: Place,
        clock: Clock,
        weights_of: WeightsOf = lambda _deployment: NEUTRAL_WEIGHTS,
    ) -> None:
        self._views = views
        self._router = router
        self._place = place
        self._clock = clock
        self._weights_of = weights_of
        self._in_flight: Counter[str] = Counter()
        self._choices: dict[str, tuple[Choice, RouteRequest]] = {}

    def pick(self, request: Request, exclude: frozenset[str]) -> EndpointView | None:
        """Return an endpoint for ``request``, or None if none has a free slot."""
        listed = self._views.views(request.deployment)
        views = tuple(view for view in listed if self._has_room(view))
        if not views:
            return None
        weights = self._weights_of(request.deployment)
        route = route_request(request, self._place, exclude, weights)
        choice = self._router.choose(route, views, self._clock.wall())
        if choice is None:
            return None
        self._choices[request.request_id] = (choice, route)
        return choice.endpoint

    def _has_room(self, view: EndpointView) -> bool:
        sent = self._in_flight[view.endpoint_id]
        if view.load is None:
            return sent < ASSUMED_SLOTS
        taken = max(view.load.running + view.load.waiting, sent)
        return taken < view.load.slots

    def is_leaving(self, view: EndpointView) -> bool:
        """Return whether an endpoint is known to be leaving."""
        return self._views.is_leaving(view)

    def record_sent(self, request: Request, view: EndpointView) -> None:
        """Record that a run starts at an endpoint."""
        self._in_flight[view.endpoint_id] += 1
        chosen = self._choices.pop(request.request_id, None)
        if chosen is not None:
            self._router.record_sent(*chosen, self._clock.wall())

    def back_off(self, endpoint_id: str, seconds: float) -> None:
        """Send nothing to an endpoint for ``seconds``."""
        self._router.back_off(endpoint_id, seconds, self._clock.wall())

    def record_finished(
        self, request: Request, view: EndpointView, error: ErrorKind | None
    ) -> None:
        """Record that a run at an endpoint has ended; ``error`` is None on success."""
        self._in_flight[view.endpoint_id] -= 1
        if self._in_flight[view.endpoint_id] <= 0:
            del self._in_flight[view.endpoint_id]
        now = self._clock.wall()
        if error is None:
            self._router.record_finished(request.request_id, view.endpoint_id, now)
        else:
            self._router.record_failure(
                request.request_id, view.endpoint_id, error, now
            )
