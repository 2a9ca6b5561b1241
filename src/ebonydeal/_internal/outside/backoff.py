"""Backoff that endpoints ask for when they refuse a request."""

import math
from collections.abc import Callable, Mapping

from ebonydeal._internal.models.endpoints import EndpointView

RETRY_AFTER_HEADER = "Retry-After"
_REFUSED_STATUS = 503

# Called with an endpoint id and the backoff, seconds.
BackoffListener = Callable[[str, float], None]


def report_backoff(
    listener: BackoffListener | None,
    endpoint: EndpointView,
    status: int,
    headers: Mapping[str, str],
) -> None:
    """Pass the backoff of a refusal, if the endpoint asks for one, to ``listener``."""
    if listener is None or status != _REFUSED_STATUS:
        return
    try:
        seconds = float(headers.get(RETRY_AFTER_HEADER, ""))
    except ValueError:
        return
    if math.isfinite(seconds) and seconds > 0.0:
        listener(endpoint.endpoint_id, seconds)
