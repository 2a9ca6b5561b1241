"""Demand of client accounts, as gateways report it to each other."""

from math import exp, floor
from typing import NamedTuple, TypedDict


class DemandMessage(TypedDict):
    """Wire format of a report; each value is a `Demand` as a list."""

    gateway: str
    seq: int
    demands: dict[str, list[float]]


class Demand(NamedTuple):
    """One client account's demand at one gateway, refused requests included.

    Attributes
    ----------
    requests_per_s, tokens_per_s : float
        Averaged over the demand window.
    concurrency : float
        Requests in flight plus those refused by the concurrency limit.
    in_flight : float
        Requests in flight.
    """

    requests_per_s: float = 0.0
    tokens_per_s: float = 0.0
    concurrency: float = 0.0
    in_flight: float = 0.0


class DemandReport(NamedTuple):
    """One gateway's demand; a higher ``seq`` replaces a lower one.

    ``seq`` starts at the wall clock's milliseconds, so that reports of a restarted
    gateway with the same id are accepted.
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
        """Return the wire format."""
        demands = {name: list(value) for name, value in self.demands.items()}
        return DemandMessage(gateway=self.gateway, seq=self.seq, demands=demands)


class RateMeter:
    """An exponentially weighted average rate.

    Parameters
    ----------
    window : float
        Time constant, seconds.
    """

    def __init__(self, window: float) -> None:
        self._window = window
        self._rate = 0.0
        self._updated_at = 0.0

    def add(self, amount: float, now: float) -> None:
        """Count ``amount`` at ``now``."""
        self._rate = self.rate(now) + amount / self._window
        self._updated_at = max(self._updated_at, now)

    def rate(self, now: float) -> float:
        """Return the rate per second."""
        return self._rate * exp(-max(0.0, now - self._updated_at) / self._window)


def fair_share(own: float, others: list[float], floor_share: float) -> float:
    """Return this gateway's share of a limit; all gateways' shares add up to one."""
    count = len(others) + 1
    total = own + sum(others)
    by_demand = own / total if total > 0.0 else 1.0 / count
    return floor_share / count + (1.0 - floor_share) * by_demand


def whole_shares(total: int, demands: dict[str, float]) -> dict[str, int]:
    """Split ``total`` into integers by demand, with the largest remainder method.

    Every gateway that knows the same demands computes the same split.
    """
    total_demand = sum(demands.values())
    if total_demand <= 0.0:
        demands = dict.fromkeys(demands, 1.0)
        total_demand = float(len(demands))
    exact = {name: total * demand / total_demand for name, demand in demands.items()}
    split = {name: floor(share) for name, share in exact.items()}
    remainder = total - sum(split.values())
    order = sorted(exact, key=lambda name: (split[name] - exact[name], name))
    for name in order[:remainder]:
        split[name] += 1
    return split
