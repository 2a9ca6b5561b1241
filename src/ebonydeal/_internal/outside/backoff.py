"""Rests that endpoints ask for when they refuse a request."""

import math
from collections.abc import Callable, Mapping

from ebonydeal._internal.models.endpoints import EndpointView

RETRY_AFTER_HEADER = "Retry-After"
_REFUSED = 503

# Takes an endpoint's id, and the seconds for which it wants nothing.
BackoffListener = Callable[[str, float], None]


def report_backoff(
    listener: BackoffListener | None,
    endpoint: EndpointView,
    status: int,
    headers: Mapping[str, str],
) -> None:
    """Pass on for how long an endpoint that refuses wants nothing, if it says so."""
    if listener is None or status != _REFUSED:
        return
    try:
        seconds = float(headers.get(RETRY_AFTER_HEADER, ""))
    except ValueError:
        return
    if math.isfinite(seconds) and seconds > 0.0:
        listener(endpoint.endpoint_id, seconds)
