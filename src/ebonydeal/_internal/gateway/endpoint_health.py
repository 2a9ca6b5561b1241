"""Tracks which endpoints are known to work; pure state."""

from collections import OrderedDict
from collections.abc import Iterable, Set

from ebonydeal._internal.models.endpoints import EndpointView

_MAX_ENDPOINTS = 4096
# Idle endpoints are polled for their load every few seconds.
_LOAD_REPORT_TTL_S = 12.0
Incarnation = tuple[str, int]


def incarnation_of(view: EndpointView) -> Incarnation:
    """Return the (endpoint id, incarnation) of a view."""
    return (view.endpoint_id, view.incarnation)


class EndpointHealth:
    """The last result of each endpoint: success or failure.

    A request that lost its endpoint may be retried without drawing on the retry
    budget if another endpoint's last result is a success, or if that endpoint has
    no recent result but reports its load. When all endpoints fail, the last result
    of each is soon a failure, which no load report overrides. So these retries
    can't multiply the load in a brown-out: at most the requests in flight at that
    moment are sent once more.

    Parameters
    ----------
    result_ttl_s : float
        How long a result counts, seconds.
    """

    def __init__(self, result_ttl_s: float) -> None:
        self._result_ttl_s = result_ttl_s
        self._results: OrderedDict[Incarnation, tuple[bool, float]] = OrderedDict()

    def record_success(self, view: EndpointView, now: float) -> None:
        """Record that ``view`` sent tokens or an answer."""
        self._record(view, True, now)

    def record_failure(self, view: EndpointView, now: float) -> None:
        """Record that an attempt at ``view`` failed."""
        self._record(view, False, now)

    def is_working(self, view: EndpointView, now: float) -> bool:
        """Return whether an endpoint is known to work; ``now`` is wall clock."""
        result = self._results.get(incarnation_of(view))
        if result is not None and now - result[1] <= self._result_ttl_s:
            return result[0]
        return view.load is not None and now - view.load.at <= _LOAD_REPORT_TTL_S

    def any_working(
        self, views: Iterable[EndpointView], avoid: Set[Incarnation], now: float
    ) -> bool:
        """Return whether any of ``views`` that is not in ``avoid`` works."""
        return any(
            self.is_working(view, now)
            for view in views
            if incarnation_of(view) not in avoid
        )

    def _record(self, view: EndpointView, success: bool, now: float) -> None:
        """Store a result; evicts the oldest one if there are too many."""
        key = incarnation_of(view)
        self._results[key] = (success, now)
        self._results.move_to_end(key)
        if len(self._results) > _MAX_ENDPOINTS:
            self._results.popitem(last=False)
