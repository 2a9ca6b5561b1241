"""Whether a plain request is refused, since no endpoint is expected to answer in time.

Under overload, each request that waits makes all later ones late. So a request that
would be answered late anyway is refused before it is sent, with a time to retry.
"""

from math import inf
from typing import NamedTuple

# Expected times are not exact: the time left must be this multiple of them.
_DEADLINE_MARGIN = 1.15
# A rejecting endpoint was full if its expected time was this many service times.
_FULL_SERVICE_TIMES = 1.5
# Another endpoint is as full if its expected time is at least this share of that of the
# endpoint that rejected the request: estimates differ by about as much.
_AS_FULL_SHARE = 0.9
_MIN_RETRY_AFTER_S = 0.05
_MAX_RETRY_AFTER_S = 3.0
# Clients that are refused together return over this multiple of the time.
_RETRY_SPREAD = 0.5


class RefusalBound(NamedTuple):
    """What the expected time of a request is compared with, in seconds.

    Attributes
    ----------
    limit_s : float
        Longest time from the arrival to the answer; infinite for no limit.
    waited_s : float
        Time since the arrival.
    time_left_s : float
        Time until the deadline.
    """

    limit_s: float
    waited_s: float
    time_left_s: float

    @property
    def longest_s(self) -> float:
        """The longest expected time of a request that is sent now."""
        return min(self.limit_s - self.waited_s, self.longest_in_time_s)

    @property
    def longest_in_time_s(self) -> float:
        """The longest expected time with which the answer comes by the deadline."""
        return self.time_left_s / _DEADLINE_MARGIN


class Rejection(NamedTuple):
    """A rejection ("not run") by an endpoint.

    Attributes
    ----------
    expected_s : float or None
        Expected time at the endpoint when the request was sent, if known.
    service_s : float or None
        Time of a request there without a queue, if known.
    """

    expected_s: float | None
    service_s: float | None

    @property
    def was_expected_full(self) -> bool:
        """Whether a queue was expected, so that it explains the rejection."""
        if self.expected_s is None or self.service_s is None:
            return False
        return self.expected_s > self.service_s * _FULL_SERVICE_TIMES


def retry_after_if_late(
    least_s: float | None, bound: RefusalBound, draw: float
) -> float | None:
    """Return None to send a request, or the seconds until the client should retry.

    Parameters
    ----------
    least_s : float or None
        Least expected time over the endpoints that may be used; None if unknown, and
        infinite if there is none, which is no question of load.
    bound : RefusalBound
        The limits of the request.
    draw : float
        A random number between 0 and 1, which spreads the returns.
    """
    if least_s is None or least_s == inf or least_s <= bound.longest_s:
        return None
    return retry_after_s(least_s, bound, draw)


def retry_after_if_full(
    rejection: Rejection, least_s: float | None, bound: RefusalBound, draw: float
) -> float | None:
    """Return None to send a rejected request on, or the seconds until a retry.

    ``least_s`` is the least expected time over the endpoints that have not rejected
    the request; the parameters are as in `retry_after_if_late`.
    """
    if least_s is None:
        return None
    if least_s == inf:
        if not rejection.was_expected_full:
            return None
        return _spread((rejection.expected_s or 0.0) / 2.0, draw)
    as_full = (
        rejection.was_expected_full
        and rejection.expected_s is not None
        and least_s >= rejection.expected_s * _AS_FULL_SHARE
    )
    if as_full:
        # Until half of the queue is gone.
        return _spread(least_s / 2.0, draw)
    return retry_after_if_late(least_s, bound, draw)


def retry_after_s(least_s: float, bound: RefusalBound, draw: float) -> float:
    """Return the seconds until half of the usable queue is free, with a random part.

    The parameters are as in `retry_after_if_late`.
    """
    longest = max(0.0, bound.longest_s)
    usable = 0.0 if longest == inf else longest
    return _spread(least_s - usable / 2.0, draw)


def _spread(wait_s: float, draw: float) -> float:
    """Return a bounded time to wait, with a random part."""
    wait_s = min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, wait_s))
    return wait_s * (1.0 + _RETRY_SPREAD * draw)
