"""An endpoint's own request limit, expressed as a limit that relays share.

An endpoint that announces a limit accepts, in each window, at most one and a half times
what the limit allows plus a few requests, from all relays together. Its requests are
granted from the same shares as client accounts' limits (`quota_bounds.py`). This module
maps the limit to an account in which each request costs 1, and defines its tolerance.
"""

from ebonydeal._internal.models.forwarding import EndpointProcess, ForwardAccount
from ebonydeal._internal.routing.limits.quota_bounds import QuotaBounds

WINDOW_S = 4.0
# An endpoint accepts this multiple of its limit in a window, plus some requests.
_MAX_LOAD_FACTOR = 1.5
_MAX_EXTRA_REQUESTS = 5.0
# Burst that may be granted at once: requests, plus seconds of the limit.
_BURST_REQUESTS = 2.0
_BURST_S = 0.5
# At least this many requests a second are granted whatever the limit is: relays learn
# that a limit has ended only from an answer.
_MIN_RATE_PER_S = 0.25

# A window holds the limit and the burst, (window + burst seconds) x rate + burst
# requests. The tolerance is the rest of what the endpoint accepts.
_OVERSHOOT = _MAX_LOAD_FACTOR * WINDOW_S / (WINDOW_S + _BURST_S) - 1.0
ENDPOINT_BOUNDS = QuotaBounds(
    WINDOW_S, _OVERSHOOT, _MAX_EXTRA_REQUESTS - (1.0 + _OVERSHOOT) * _BURST_REQUESTS
)


def max_requests_per_window(limit: float) -> float:
    """Return the most requests that an endpoint accepts in a window."""
    return _MAX_LOAD_FACTOR * limit * WINDOW_S + _MAX_EXTRA_REQUESTS


def limit_account(process: EndpointProcess, limit: float) -> ForwardAccount:
    """Return an endpoint's limit, requests a second, as an account for `QuotaBroker`.

    The account counts as one in tokens, so that its tolerance includes the slack.
    """
    rate = max(limit, _MIN_RATE_PER_S)
    return ForwardAccount(
        name=f"{process.endpoint_id}/{process.incarnation}",
        keys=(),
        priority=None,
        rate=rate,
        burst=_BURST_S * rate + _BURST_REQUESTS,
        in_tokens=True,
        plain_tokens=1.0,
    )
