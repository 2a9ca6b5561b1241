"""Policies for buying instances: the controller's decisions, and baselines."""

import math
from collections import Counter
from collections.abc import Mapping, Sequence, Set
from typing import NamedTuple, Protocol

from ebonydeal._internal.benchmarks.spend.traces import SLOTS, ZONES
from ebonydeal._internal.controller.capacity import (
    CapacityConfig,
    cheapest_price,
    decide_placement,
)
from ebonydeal._internal.controller.deadline import Backlog, DeadlineConfig, PriceRule
from ebonydeal._internal.controller.demand import (
    DemandConfig,
    DemandState,
    Load,
    desired_replicas,
)
from ebonydeal._internal.controller.placement import PlacementConfig
from ebonydeal._internal.controller.values import OfferKey
from ebonydeal._internal.outside.interfaces import Offer

FIRST_TOKEN_S = 0.8
MIN_REPLICAS, MAX_REPLICAS = 3, 120
_PRICE_HISTORY_STEPS = 288
Counts = Mapping[OfferKey, int]


class Observation(NamedTuple):
    """What a policy sees at the start of a step.

    Attributes
    ----------
    offers : mapping of OfferKey to Offer
        Current prices.
    in_flight : float
        Mean requests in engines during the previous step.
    current : Counter of OfferKey
        Running instances.
    blocked : set of OfferKey
        Offers whose starts are refused.
    backlog : sequence of Backlog
        Pending deadline work.
    now : float
        Seconds since the start.
    """

    offers: Mapping[OfferKey, Offer]
    in_flight: float
    current: Counter[OfferKey]
    blocked: Set[OfferKey]
    backlog: Sequence[Backlog]
    now: float


class Policy(Protocol):
    """Chooses the instances that should run during a step."""

    name: str

    def decide(self, observation: Observation) -> Counts:
        """Return instances by (zone, class, market)."""


class _Demand:
    """Computes the desired replicas, in the same way for every policy."""

    def __init__(self) -> None:
        self._state = DemandState()
        self._config = DemandConfig()

    def target(self, observation: Observation) -> int:
        """Return the desired number of replicas for serving."""
        target, self._state = desired_replicas(
            self._state,
            Load(observation.in_flight, SLOTS),
            FIRST_TOKEN_S,
            MIN_REPLICAS,
            MAX_REPLICAS,
            self._config,
            observation.now,
        )
        return target


class ControllerPolicy:
    """The controller's own decisions.

    Parameters
    ----------
    rule : PriceRule
        Price rule for deadline work.
    ceiling : float
        Maximum price per hour.
    on_demand_only : bool
        Buy no reclaimable instances: meets the same constraints at a higher price.
    one_zone : bool
        Buy in the cheapest zone only, which doesn't survive the loss of that zone.
    """

    def __init__(
        self,
        rule: PriceRule,
        ceiling: float,
        on_demand_only: bool = False,
        one_zone: bool = False,
    ) -> None:
        self.name = f"ebonydeal, {rule}"
        self._demand = _Demand()
        self._config = CapacityConfig(frozenset(), ceiling, MAX_REPLICAS, True, 1.0)
        self._deadline_config = DeadlineConfig(rule=rule)
        self._on_demand_only = on_demand_only
        if on_demand_only:
            self.name = "on-demand only"
        self._one_zone = one_zone
        if one_zone:
            self.name = "on-demand only, one zone"
        self._prices: list[float] = []

    def decide(self, observation: Observation) -> Counts:
        """Return the placement."""
        offers = dict(observation.offers)
        if self._on_demand_only:
            offers = {k: v for k, v in offers.items() if not k.reclaimable}
        if self._one_zone:
            offers = {k: v for k, v in offers.items() if k.zone == ZONES[0]}
        price = cheapest_price(offers, reclaimable=True)
        self._prices = [*self._prices, price or 0.0][-_PRICE_HISTORY_STEPS:]
        return decide_placement(
            self._demand.target(observation),
            self._config,
            offers,
            observation.current,
            observation.blocked,
            observation.backlog,
            tuple(self._prices),
            PlacementConfig(),
            self._deadline_config,
            observation.now,
        ).counts


class CheapestFirst:
    """Buys the cheapest reclaimable offer for all replicas; runs jobs at once."""

    name = "cheapest reclaimable first"

    def __init__(self) -> None:
        self._demand = _Demand()

    def decide(self, observation: Observation) -> Counts:
        """Return all replicas on one offer."""
        number = self._demand.target(observation) + _hourly_replicas(
            observation.backlog
        )
        free = [
            (offer.price_per_hour, key)
            for key, offer in observation.offers.items()
            if key.reclaimable and key not in observation.blocked
        ]
        if not free:
            return observation.current
        return {min(free)[1]: number}


class StaticSpread:
    """Keeps a fixed number of reclaimable replicas, evenly over the zones.

    Parameters
    ----------
    number : int
        Number of replicas, enough for the peak of the trace.
    """

    name = "static spread"

    def __init__(self, number: int) -> None:
        self._number = number

    def decide(self, observation: Observation) -> Counts:
        """Return the same number in each zone."""
        zones = sorted({key.zone for key in observation.offers})
        counts: Counter[OfferKey] = Counter()
        for zone in zones:
            key = min(
                (offer.price_per_hour, key)
                for key, offer in observation.offers.items()
                if key.zone == zone and key.reclaimable
            )[1]
            kept = [k for k in observation.current if k.zone == zone and k.reclaimable]
            counts[kept[0] if kept else key] = math.ceil(self._number / len(zones))
        return counts


def _hourly_replicas(backlog: Sequence[Backlog]) -> int:
    """Return the replicas that complete all pending work within an hour."""
    return math.ceil(sum(item.work_s for item in backlog) / 3600.0)
