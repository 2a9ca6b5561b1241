"""What all relays have at a plain service now, by what this relay has.

Under overload, all relays refuse while the last reports show long queues, and all send
until the next ones show them again. Demand changes more slowly: what other relays have
in flight per request of this relay, on average over some seconds, tells how much they
have sent since their reports.
"""

from math import exp
from typing import NamedTuple

# Reports are up to 0.5 s old, and several of them are averaged.
_TIME_CONSTANT_S = 2.0
# With fewer requests in flight of its own, a relay can't tell what others do.
_MIN_OWN_RUNNING = 1.0
# Looking at all endpoints takes some hundred microseconds.
_MIN_INTERVAL_S = 0.05


class ServiceLoad(NamedTuple):
    """Requests in flight at a service, and its capacity.

    Attributes
    ----------
    own, others : float
        Requests in flight of this relay, and of all others by their reports.
    concurrency : float
        Requests in flight that the endpoints handle without a queue.
    requests_per_s : float
        Requests per second that they serve.
    """

    own: float
    others: float
    concurrency: float
    requests_per_s: float


class OthersShare:
    """Average load of each service, from which the present one is derived."""

    def __init__(self) -> None:
        self._averages: dict[str, tuple[ServiceLoad, float]] = {}

    def is_due(self, service: str, now: float) -> bool:
        """Return whether the load of a service should be recorded again."""
        known = self._averages.get(service)
        return known is None or now - known[1] >= _MIN_INTERVAL_S

    def record(self, service: str, load: ServiceLoad, now: float) -> None:
        """Record the load of a service; its requests in flight are averaged."""
        known = self._averages.get(service)
        if known is not None:
            average, at = known
            gain = 1.0 - exp(-max(0.0, now - at) / _TIME_CONSTANT_S)
            load = load._replace(
                own=average.own + gain * (load.own - average.own),
                others=average.others + gain * (load.others - average.others),
            )
        self._averages[service] = (load, now)

    def expected_s(self, service: str, own: float) -> float:
        """Return the expected time of a request at the service as a whole, seconds.

        0 without a queue, or if it can't be told.

        Parameters
        ----------
        service : str
            The service.
        own : float
            Requests in flight of this relay now.
        """
        known = self._averages.get(service)
        if known is None:
            return 0.0
        load = known[0]
        if load.own < _MIN_OWN_RUNNING or load.requests_per_s <= 0.0:
            return 0.0
        running = own * (1.0 + load.others / load.own)
        if running <= load.concurrency:
            return 0.0
        return running / load.requests_per_s
