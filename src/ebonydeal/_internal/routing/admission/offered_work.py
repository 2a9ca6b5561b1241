"""How much work clients offer to each service, refused requests included."""

from ebonydeal._internal.routing.limits.demand import RateMeter

# Time constant of the averages. A relay among many gets few requests of a small
# account, and shares must follow a change within seconds.
_WINDOW_S = 1.0
# Less than this isn't reported, in endpoint seconds per second.
_MIN_WORK = 0.0005


class OfferedWork:
    """One relay's offered work by service and client account."""

    def __init__(self) -> None:
        self._meters: dict[tuple[str, str], RateMeter] = {}

    def record(self, service: str, account: str, cost: float, now: float) -> None:
        """Count a request of ``cost`` endpoint seconds before it is decided on."""
        meter = self._meters.get((service, account))
        if meter is None:
            meter = self._meters[service, account] = RateMeter(_WINDOW_S)
        meter.add(cost, now)

    def rates(self, now: float) -> dict[str, dict[str, float]]:
        """Return the endpoint seconds per second by service and account.

        Idle accounts are left out and forgotten.
        """
        rates: dict[str, dict[str, float]] = {}
        for key, meter in list(self._meters.items()):
            work = meter.rate(now)
            if work < _MIN_WORK:
                del self._meters[key]
                continue
            service, account = key
            rates.setdefault(service, {})[account] = work
        return rates
