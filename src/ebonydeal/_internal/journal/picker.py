"""Chooses endpoints for accepted work from what the directory knows."""

import random
from collections import Counter
from collections.abc import Iterable
from typing import Protocol

from ebonydeal._internal.models.endpoints import EndpointState, EndpointView
from ebonydeal._internal.models.places import Place, distance
from ebonydeal._internal.models.requests import Request


class Views(Protocol):
    """What is asked of the directory."""

    def views(self, deployment: str) -> tuple[EndpointView, ...]:
        """Return a deployment's endpoints, without leaving ones."""

    def is_leaving(self, view: EndpointView) -> bool:
        """Return whether an endpoint is known to be going away."""


class LeastLoadedPicker:
    """Takes the endpoint with the least waiting work, near ones first.

    Accepted work isn't hurried: it is spread by free slots, and own sends count
    until the next load report is heard.
    """

    def __init__(self, views: Views, place: Place, rng: random.Random) -> None:
        self._views = views
        self._place = place
        self._rng = rng
        self._sent: Counter[str] = Counter()

    def pick(self, request: Request, exclude: frozenset[str]) -> EndpointView | None:
        """Return where to send ``request`` now, or None when all are full."""
        views = self._able(request, exclude)
        if not views:
            return None
        return min(
            views,
            key=lambda view: (
                self._busy(view),
                distance(self._place, view.place),
                self._rng.random(),
            ),
        )

    def _able(self, request: Request, exclude: frozenset[str]) -> list[EndpointView]:
        listed: Iterable[EndpointView] = self._views.views(request.deployment)
        return [
            view
            for view in listed
            if view.endpoint_id not in exclude
            and view.state is EndpointState.READY
            and self._busy(view) < 1.0
        ]

    def _busy(self, view: EndpointView) -> float:
        """Return the share of an endpoint's slots that are taken, from 0."""
        sent = self._sent[view.endpoint_id]
        if view.load is None:
            return 0.0 if sent == 0 else 0.5
        taken = max(view.load.running + view.load.waiting, sent)
        return taken / max(1, view.load.slots)

    def is_leaving(self, view: EndpointView) -> bool:
        """Return whether an endpoint is known to be going away."""
        return self._views.is_leaving(view)

    def sent(self, request: Request, view: EndpointView) -> None:
        """Learn that a run at an endpoint starts."""
        self._sent[view.endpoint_id] += 1

    def finished(self, view: EndpointView, ok: bool) -> None:
        """Learn that a run at an endpoint has ended."""
        self._sent[view.endpoint_id] -= 1
        if self._sent[view.endpoint_id] <= 0:
            del self._sent[view.endpoint_id]
