"""What an endpoint's own limit allows, as a limit that relays share out.

An endpoint that names a limit bears, in some window, one and a half times what that
allows and a few requests more, from all relays together. Its requests are granted from
the same shares as client accounts' limits (`quota_bounds.py`): here are the limit as an
account, one request counting 1, and what is tolerated beyond it.
"""

from ebonydeal._internal.models.forwarding import EndpointProcess, ForwardAccount
from ebonydeal._internal.routing.limits.quota_bounds import QuotaBounds

WINDOW_S = 4.0
# Of what the limit allows in a window, and requests besides.
_BEARS = 1.5
_BEARS_REQUESTS = 5.0
# What may be granted at once: requests, and seconds of the limit.
_BURST_REQUESTS = 2.0
_BURST_S = 0.5
# Requests a second that are granted of any limit. Only an answer tells of its end.
_LEAST_RATE = 0.25

# A window holds the limit and the burst, (window + burst seconds) x rate + burst
# requests, and what is tolerated fills that up to what the endpoint bears.
_OVERSHOOT = _BEARS * WINDOW_S / (WINDOW_S + _BURST_S) - 1.0
ENDPOINT_BOUNDS = QuotaBounds(
    WINDOW_S, _OVERSHOOT, _BEARS_REQUESTS - (1.0 + _OVERSHOOT) * _BURST_REQUESTS
)


def bears(limit: float) -> float:
    """Return the most requests in a window that an endpoint bears."""
    return _BEARS * limit * WINDOW_S + _BEARS_REQUESTS


def limit_account(process: EndpointProcess, limit: float) -> ForwardAccount:
    """Return an endpoint's limit, requests a second, as the brokers of limits know it.

    It counts in units of its own, so that what is tolerated holds for it.
    """
    rate = max(limit, _LEAST_RATE)
    return ForwardAccount(
        name=f"{process.endpoint_id}/{process.incarnation}",
        keys=(),
        priority=None,
        rate=rate,
        burst=_BURST_S * rate + _BURST_REQUESTS,
        in_tokens=True,
        plain_tokens=1.0,
    )
