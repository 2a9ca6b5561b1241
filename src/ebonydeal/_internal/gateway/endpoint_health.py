"""Which endpoints are known to work right now; pure state."""

from collections import OrderedDict
from collections.abc import Iterable, Set

from ebonydeal._internal.models.endpoints import EndpointView

_MAX_ENDPOINTS = 4096
# Idle endpoints are asked for their load every few seconds.
_LOAD_REPORT_TTL_S = 12.0
Incarnation = tuple[str, int]


def incarnation_of(view: EndpointView) -> Incarnation:
    """Return the (endpoint id, incarnation) of a view."""
    return (view.endpoint_id, view.incarnation)


class EndpointHealth:
    """The last word of each endpoint: worked, or failed.

    A request that lost its endpoint may go on without drawing on the retry
    budget if the next endpoint's last word is that it works, or if it has given
    no word lately but reports its load. When everything fails each endpoint's
    last word soon is a failure, which no load report outweighs, so that this
    can't multiply the sends in a brown-out: at most the requests in flight at
    that moment are sent once more.

    Parameters
    ----------
    fresh_s : float
        How long a word counts, seconds.
    """

    def __init__(self, result_ttl_s: float) -> None:
        self._result_ttl_s = result_ttl_s
        self._results: OrderedDict[Incarnation, tuple[bool, float]] = OrderedDict()

    def record_success(self, view: EndpointView, now: float) -> None:
        """Note that tokens or an answer came from ``view``."""
        self._note(view, True, now)

    def record_failure(self, view: EndpointView, now: float) -> None:
        """Note that a try at ``view`` failed."""
        self._note(view, False, now)

    def is_working(self, view: EndpointView, now: float) -> bool:
        """Return whether an endpoint is known to work; ``now`` is wall clock."""
        result = self._results.get(incarnation_of(view))
        if result is not None and now - result[1] <= self._result_ttl_s:
            return result[0]
        return view.load is not None and now - view.load.at <= _LOAD_REPORT_TTL_S

    def any_working(
        self, views: Iterable[EndpointView], avoid: Set[Incarnation], now: float
    ) -> bool:
        """Return whether any of ``views`` but those in ``avoid`` works."""
        return any(
            self.is_working(view, now)
            for view in views
            if incarnation_of(view) not in avoid
        )

    def _note(self, view: EndpointView, success: bool, now: float) -> None:
        """Keep the word, dropping the oldest of too many."""
        key = incarnation_of(view)
        self._results[key] = (success, now)
        self._results.move_to_end(key)
        if len(self._results) > _MAX_ENDPOINTS:
            self._results.popitem(last=False)
