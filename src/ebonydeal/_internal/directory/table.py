"""Table of the known endpoints by deployment, cheap to read for each request."""

from collections.abc import Iterable
from typing import NamedTuple

from ebonydeal._internal.models.endpoints import EndpointView, LoadReport

GONE_TTL_S = 900.0


class TableChange(NamedTuple):
    """Changes by a new instance list.

    Attributes
    ----------
    added, removed : tuple of EndpointView
        Added and removed incarnations.
    """

    added: tuple[EndpointView, ...]
    removed: tuple[EndpointView, ...]

    def __bool__(self) -> bool:
        """Return whether anything was added or removed."""
        return bool(self.added or self.removed)


class EndpointTable:
    """Views by id, with the time at which each incarnation was first seen."""

    def __init__(self) -> None:
        self._views: dict[str, EndpointView] = {}
        self._first_seen: dict[str, float] = {}
        self._recently_removed: dict[tuple[str, int], tuple[float, float]] = {}
        self._by_deployment: dict[str, dict[str, EndpointView]] = {}
        self._loaded = False

    def get(self, endpoint_id: str) -> EndpointView | None:
        """Return the current view of an endpoint, if it is known."""
        return self._views.get(endpoint_id)

    def first_seen(self, view: EndpointView) -> float:
        """Return when this incarnation was first seen.

        0.0 if it was in the first list, so it may be older than this process;
        infinity if it was never seen.
        """
        known = self._views.get(view.endpoint_id)
        if known is None or view.incarnation > known.incarnation:
            return float("inf")
        return self._first_seen[view.endpoint_id]

    def all(self) -> tuple[EndpointView, ...]:
        """Return all views."""
        return tuple(self._views.values())

    def in_deployment(self, deployment: str) -> Iterable[EndpointView]:
        """Return the views of a deployment."""
        return self._by_deployment.get(deployment, {}).values()

    def apply_list(self, listed: Iterable[EndpointView], now: float) -> TableChange:
        """Apply a complete instance list, keeping the loads known so far.

        A lower incarnation than the known one is ignored, since the list lags.
        """
        seen = 0.0 if not self._loaded else now
        self._loaded = True
        fresh: dict[str, EndpointView] = {}
        for view in listed:
            known = fresh.get(view.endpoint_id) or self._views.get(view.endpoint_id)
            if known is not None and known.incarnation > view.incarnation:
                view = known
            fresh[view.endpoint_id] = view
        added = [view for view in fresh.values() if self._is_new(view)]
        removed = [view for view in self._views.values() if _is_gone(view, fresh)]
        for view in removed:
            self._forget(view, now)
        for view in added:
            key = (view.endpoint_id, view.incarnation)
            known_since = self._recently_removed.pop(key, (seen, now))[0]
            self._first_seen[view.endpoint_id] = known_since
        for view in fresh.values():
            self._put(self._with_load(view))
        self._expire_gone(now)
        return TableChange(tuple(added), tuple(removed))

    def observe_load(self, endpoint_id: str, load: LoadReport) -> bool:
        """Store a load report unless a later one is known; return whether stored."""
        view = self._views.get(endpoint_id)
        if view is None or (view.load is not None and view.load.at > load.at):
            return False
        self._put(view._replace(load=load))
        return True

    def _is_new(self, view: EndpointView) -> bool:
        known = self._views.get(view.endpoint_id)
        return known is None or known.incarnation != view.incarnation

    def _with_load(self, view: EndpointView) -> EndpointView:
        known = self._views.get(view.endpoint_id)
        if known is None or view.load is not None:
            return view
        return view._replace(load=known.load)

    def _put(self, view: EndpointView) -> None:
        known = self._views.get(view.endpoint_id)
        if known is not None and known.deployment != view.deployment:
            self._drop_from_deployment(known)
        self._views[view.endpoint_id] = view
        self._by_deployment.setdefault(view.deployment, {})[view.endpoint_id] = view

    def _forget(self, view: EndpointView, now: float) -> None:
        """Drop a view; remember when it was first seen, since lists have gaps."""
        del self._views[view.endpoint_id]
        first_seen = self._first_seen.pop(view.endpoint_id)
        self._recently_removed[view.endpoint_id, view.incarnation] = (first_seen, now)
        self._drop_from_deployment(view)

    def _expire_gone(self, now: float) -> None:
        old = [
            key
            for key, item in self._recently_removed.items()
            if item[1] < now - GONE_TTL_S
        ]
        for key in old:
            del self._recently_removed[key]

    def _drop_from_deployment(self, view: EndpointView) -> None:
        views = self._by_deployment[view.deployment]
        del views[view.endpoint_id]
        if not views:
            del self._by_deployment[view.deployment]


def _is_gone(view: EndpointView, fresh: dict[str, EndpointView]) -> bool:
    """Return whether a view's incarnation is not in the new list."""
    current = fresh.get(view.endpoint_id)
    return current is None or current.incarnation != view.incarnation
