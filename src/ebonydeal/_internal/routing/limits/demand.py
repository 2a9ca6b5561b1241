"""Demand of client accounts as gateways tell it to each other."""

from math import exp, floor
from typing import NamedTuple, TypedDict


class DemandMessage(TypedDict):
    """Wire shape of a report; each value is `Demand` as a list."""

    gateway: str
    seq: int
    demands: dict[str, list[float]]


class Demand(NamedTuple):
    """What one gateway is asked for by one client account, refused or not.

    Attributes
    ----------
    requests_per_s, tokens_per_s : float
        Averaged over the demand window.
    concurrency : float
        Requests in flight and those refused for concurrency.
    in_flight : float
        Requests in flight.
    """

    requests_per_s: float = 0.0
    tokens_per_s: float = 0.0
    concurrency: float = 0.0
    in_flight: float = 0.0


class DemandReport(NamedTuple):
    """One gateway's demand; a higher ``seq`` replaces a lower one.

    ``seq`` starts at the wall clock's milliseconds, so that a restarted gateway
    of the same id is heard again.
    """

    gateway: str
    seq: int
    demands: dict[str, Demand]

    @classmethod
    def from_message(cls, message: DemandMessage) -> "DemandReport":
        """Build from the wire; raises KeyError, TypeError or ValueError."""
        demands = {}
        for account, values in message["demands"].items():
            numbers = [float(value) for value in values]
            if not all(0.0 <= number < float("inf") for number in numbers):
                raise ValueError(f"demand of {account} is not a finite amount")
            demands[str(account)] = Demand(*numbers)
        return cls(str(message["gateway"]), int(message["seq"]), demands)

    def to_message(self) -> DemandMessage:
        """Return the wire shape."""
        demands = {name: list(value) for name, value in self.demands.items()}
        return DemandMessage(gateway=self.gateway, seq=self.seq, demands=demands)


class RateMeter:
    """An exponentially averaged rate of amounts.

    Parameters
    ----------
    window : float
        Time constant, seconds.
    """

    def __init__(self, window: float) -> None:
        self._window = window
        self._rate = 0.0
        self._at = 0.0

    def add(self, amount: float, now: float) -> None:
        """Count ``amount`` at ``now``."""
        self._rate = self.rate(now) + amount / self._window
        self._at = max(self._at, now)

    def rate(self, now: float) -> float:
        """Return the rate a second."""
        return self._rate * exp(-max(0.0, now - self._at) / self._window)


def fair_share(own: float, others: list[float], floor_share: float) -> float:
    """Return this gateway's share of a limit; shares of all add up to one."""
    count = len(others) + 1
    total = own + sum(others)
    by_demand = own / total if total > 0.0 else 1.0 / count
    return floor_share / count + (1.0 - floor_share) * by_demand


def whole_shares(total: int, demands: dict[str, float]) -> dict[str, int]:
    """Split ``total`` whole units by demand; largest remainders get the rest.

    Every gateway that knows the same demands computes the same split.
    """
    asked = sum(demands.values())
    if asked <= 0.0:
        demands = dict.fromkeys(demands, 1.0)
        asked = float(len(demands))
    exact = {name: total * demand / asked for name, demand in demands.items()}
    split = {name: floor(part) for name, part in exact.items()}
    rest = total - sum(split.values())
    order = sorted(exact, key=lambda name: (split[name] - exact[name], name))
    for name in order[:rest]:
        split[name] += 1
    return split
