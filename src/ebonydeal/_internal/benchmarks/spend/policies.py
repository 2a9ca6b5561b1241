"""Ways to buy instances: ebonydeal's own decisions, and simpler ones."""

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
LOW, HIGH = 3, 120
_KEPT = 288
Counts = Mapping[OfferKey, int]


class Scene(NamedTuple):
    """What a policy sees at the start of a step.

    Attributes
    ----------
    offers : mapping of OfferKey to Offer
        Present prices.
    in_flight : float
        Requests in engines during the last step.
    current : Counter of OfferKey
        What runs.
    blocked : set of OfferKey
        What refuses starts.
    backlog : sequence of Backlog
        Deadline work that waits.
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
    """Chooses what should run during a step."""

    name: str

    def decide(self, scene: Scene) -> Counts:
        """Return instances by (zone, class, market)."""


class _Demand:
    """The same desired replicas for every policy."""

    def __init__(self) -> None:
        self._state = DemandState()
        self._policy = DemandConfig()

    def target(self, scene: Scene) -> int:
        """Return the replicas that serve."""
        target, self._state = desired_replicas(
            self._state,
            Load(scene.in_flight, SLOTS),
            FIRST_TOKEN_S,
            LOW,
            HIGH,
            self._policy,
            scene.now,
        )
        return target


class Ebonydeal:
    """The controller's own decisions.

    Parameters
    ----------
    rule : PriceRule
        For deadline work.
    ceiling : float
        Most an hour.
    on_demand_only : bool
        Buy no reclaimable instance: the dear way to keep the same promises.
    one_zone : bool
        Buy in the cheapest zone only, so that its loss is not survived.
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
        self._terms = CapacityConfig(frozenset(), ceiling, HIGH, True, 1.0)
        self._deadline = DeadlineConfig(rule=rule)
        self._only = on_demand_only
        if on_demand_only:
            self.name = "on-demand only"
        self._one_zone = one_zone
        if one_zone:
            self.name = "on-demand only, one zone"
        self._prices: list[float] = []

    def decide(self, scene: Scene) -> Counts:
        """Return the placement."""
        offers = dict(scene.offers)
        if self._only:
            offers = {k: v for k, v in offers.items() if not k.reclaimable}
        if self._one_zone:
            offers = {k: v for k, v in offers.items() if k.zone == ZONES[0]}
        price = cheapest_price(offers, reclaimable=True)
        self._prices = [*self._prices, price or 0.0][-_KEPT:]
        return decide_placement(
            self._demand.target(scene),
            self._terms,
            offers,
            scene.current,
            scene.blocked,
            scene.backlog,
            tuple(self._prices),
            PlacementConfig(),
            self._deadline,
            scene.now,
        ).counts


class CheapestFirst:
    """All replicas on the cheapest reclaimable offer; deadline work at once."""

    name = "cheapest reclaimable first"

    def __init__(self) -> None:
        self._demand = _Demand()

    def decide(self, scene: Scene) -> Counts:
        """Return everything on one offer."""
        number = self._demand.target(scene) + _at_once(scene.backlog)
        free = [
            (offer.price_per_hour, key)
            for key, offer in scene.offers.items()
            if key.reclaimable and key not in scene.blocked
        ]
        if not free:
            return scene.current
        return {min(free)[1]: number}


class StaticSpread:
    """A fixed number, evenly over the zones, always reclaimable.

    Parameters
    ----------
    number : int
        Enough for the peak of the trace.
    """

    name = "static spread"

    def __init__(self, number: int) -> None:
        self._number = number

    def decide(self, scene: Scene) -> Counts:
        """Return the same number in each zone."""
        zones = sorted({key.zone for key in scene.offers})
        counts: Counter[OfferKey] = Counter()
        for zone in zones:
            key = min(
                (offer.price_per_hour, key)
                for key, offer in scene.offers.items()
                if key.zone == zone and key.reclaimable
            )[1]
            kept = [k for k in scene.current if k.zone == zone and k.reclaimable]
            counts[kept[0] if kept else key] = math.ceil(self._number / len(zones))
        return counts


def _at_once(backlog: Sequence[Backlog]) -> int:
    """Return the replicas that do all waiting work within an hour."""
    return math.ceil(sum(item.work_s for item in backlog) / 3600.0)
