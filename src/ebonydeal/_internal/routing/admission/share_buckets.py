"""Token buckets of one relay's shares of services, by client account.

The coordinator divides a service's capacity while it is short (`service_shares`). The
relay admits requests up to its part, and refuses the rest before they are sent.
"""

from collections.abc import Mapping
from typing import NamedTuple

from ebonydeal._internal.routing.admission.service_shares import RelayShares

# A bucket holds what the share serves in this fraction of the latency objective.
_BUCKET_OBJECTIVES = 0.5
# At least this many requests of mean cost fit, as a relay's part may be less than one
# request in that time.
_MIN_REQUESTS = 2.0
# Weight of one request in its account's mean cost.
_MEAN_WEIGHT = 0.05
# Each step down in priority raises the level that a request needs by this fraction of
# the bucket; all priorities from 9 on are alike.
_PRIORITY_STEP = 0.1
_LOWEST_PRIORITY = 9
# Clients beyond a share that return at once only add to the load.
_MIN_WAIT_OBJECTIVES = 0.25
_MAX_WAIT_S = 10.0


class ShareRefusal(NamedTuple):
    """A request exceeds its account's share at this relay.

    Attributes
    ----------
    wait_s : float
        Seconds until the bucket has the level that the request needs.
    return_s : float
        The same if it may use what is reserved for returning requests.
    rate : float
        The share, endpoint seconds per second.
    level, needed : float
        The bucket's level and the level from which the request is admitted.
    """

    wait_s: float
    return_s: float
    rate: float
    level: float
    needed: float


class ShareRequest(NamedTuple):
    """A request as its share sees it.

    Attributes
    ----------
    cost : float
        Endpoint seconds.
    priority : int
        0 is served first.
    objective : float
        Latency objective, seconds.
    reserve : float
        Fraction of the bucket that is kept for other requests.
    """

    service: str
    account: str
    cost: float
    priority: int
    objective: float
    reserve: float = 0.0


class _Bucket:
    """One account's bucket for one service."""

    def __init__(self, rate: float, cost: float, now: float) -> None:
        self.rate = rate
        self.mean_cost = cost
        self.window_s = 0.0
        self.level = 0.0
        self.filled_at = now

    @property
    def capacity(self) -> float:
        """The highest level, endpoint seconds."""
        return max(self.rate * self.window_s, _MIN_REQUESTS * self.mean_cost)

    def fill(self, now: float) -> None:
        """Add what the share earned since the last call."""
        earned = self.rate * max(0.0, now - self.filled_at)
        self.level = min(self.capacity, self.level + earned)
        self.filled_at = max(self.filled_at, now)

    def seconds_until(self, level: float) -> float:
        """Return the seconds until the bucket has a level, up to a maximum."""
        if level <= self.level:
            return 0.0
        if self.rate <= 0.0:
            return _MAX_WAIT_S
        return min(_MAX_WAIT_S, (level - self.level) / self.rate)


class ShareBuckets:
    """Buckets of all services and accounts at one relay.

    A request is admitted if the level is above what its priority needs, whatever it
    costs: a cost larger than the bucket still gets its turn, and the debt, which no
    other account pays, is at most the cost of one request.
    """

    def __init__(self) -> None:
        self._services: dict[str, RelayShares] = {}
        self._buckets: dict[tuple[str, str], _Bucket] = {}
        self._fence = -1
        self._expires_at = float("-inf")

    def update(
        self,
        shares: Mapping[str, RelayShares],
        fence: int,
        expires_at: float,
        now: float,
    ) -> bool:
        """Replace all shares; return False, and change nothing, for an old fence.

        Parameters
        ----------
        shares : mapping
            By service; one that is not listed has no shortage.
        fence : int
            The coordinator's fencing token.
        expires_at, now : float
            Seconds.
        """
        if fence < self._fence:
            return False
        if now >= self._expires_at:
            self._buckets = {}
        self._fence = fence
        self._expires_at = expires_at
        self._services = dict(shares)
        kept = {}
        for (service, account), bucket in self._buckets.items():
            if service in shares:
                bucket.fill(now)
                bucket.rate = _rate(shares[service], account)
                kept[service, account] = bucket
        self._buckets = kept
        return True

    def in_shortage(self, service: str, now: float) -> bool:
        """Return whether the service has shares now."""
        return now < self._expires_at and service in self._services

    def take(self, request: ShareRequest, now: float) -> ShareRefusal | None:
        """Admit a request and return None, or return why it is refused."""
        if not self.in_shortage(request.service, now):
            return None
        bucket = self._filled(request, now)
        bucket.mean_cost += _MEAN_WEIGHT * (request.cost - bucket.mean_cost)
        needed = _needed_fraction(request) * bucket.capacity
        if request.reserve > 0.0:
            # The reserve must be left: where a bucket holds two requests, one that
            # takes it leaves a returning one nothing.
            whole = request.reserve * bucket.capacity + request.cost
            needed = max(needed, min(bucket.capacity, whole))
        if bucket.level >= needed:
            bucket.level -= request.cost
            return None
        returning = request._replace(reserve=0.0)
        return ShareRefusal(
            max(request.objective * _MIN_WAIT_OBJECTIVES, bucket.seconds_until(needed)),
            bucket.seconds_until(_needed_fraction(returning) * bucket.capacity),
            bucket.rate,
            bucket.level,
            needed,
        )

    def _filled(self, request: ShareRequest, now: float) -> _Bucket:
        key = request.service, request.account
        bucket = self._buckets.get(key)
        if bucket is None:
            rate = _rate(self._services[request.service], request.account)
            bucket = self._buckets[key] = _Bucket(rate, request.cost, now)
            bucket.window_s = _BUCKET_OBJECTIVES * request.objective
            # Until now the account was not limited here. A large first request must
            # not make room for more than itself.
            bucket.level = max(bucket.rate * bucket.window_s, request.cost)
        bucket.window_s = max(bucket.window_s, _BUCKET_OBJECTIVES * request.objective)
        bucket.fill(now)
        return bucket


def _needed_fraction(request: ShareRequest) -> float:
    """Return the part of its bucket that must be left for a request."""
    priority = min(_LOWEST_PRIORITY, max(0, request.priority))
    fraction = _PRIORITY_STEP * priority + request.reserve
    return min(_PRIORITY_STEP * _LOWEST_PRIORITY, fraction)


def _rate(shares: RelayShares, account: str) -> float:
    return shares.rates.get(account, shares.default)
