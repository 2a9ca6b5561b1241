"""The real controller on an in-memory world, stepped without waiting."""

import random

from ebonydeal._internal.benchmarks.spend.world import (
    World,
    WorldCloud,
    WorldEngines,
    WorldList,
    WorldTimes,
    WorldWeights,
)
from ebonydeal._internal.controller.lease import Holder
from ebonydeal._internal.controller.service import Controller
from ebonydeal._internal.models.document import Deployment, Document, Weights
from ebonydeal._internal.models.places import Place
from ebonydeal._internal.models.requests import Priority
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.outside.interfaces import Offer
from ebonydeal._internal.settings.controller import ControllerSettings
from ebonydeal._internal.standin.memory import MemoryTables

ZONES = ("zone-1", "zone-2", "zone-3")
ROUND_S = 2.0
_FILL_ROUND_S = 10.0


class SteppedClock:
    """Time that moves when told; nobody sleeps on it."""

    def __init__(self) -> None:
        self._now = 1_000_000.0

    def now(self) -> float:
        """Return seconds."""
        return self._now

    def wall(self) -> float:
        """Return the same seconds."""
        return self._now

    async def sleep(self, seconds: float) -> None:
        """Move time on."""
        self._now += seconds


class FleetRun:
    """One deployment of a given size under one controller.

    Parameters
    ----------
    target : int
        Replicas that must stand through a zone's loss.
    seed : int
        For tokens and jitter.
    times : WorldTimes
        Durations in the world.
    """

    def __init__(self, target: int, seed: int, times: WorldTimes | None = None) -> None:
        self.clock = SteppedClock()
        self.target = target
        offers = []
        for number, zone in enumerate(ZONES):
            price = 3.0 + 0.1 * number
            offers.append(Offer(zone, "large", True, price, 0.05, 8))
            offers.append(Offer(zone, "large", False, 10.0, 0.0, 8))
        self.world = World(self.clock, offers, times=times)
        self.tables = MemoryTables(self.clock)
        document = Document(1, {}, {"fleet": _deployment(target)}, {})
        self.controller = Controller(
            ControllerSettings(),
            Holder("bench/1", "127.0.0.1:0"),
            self.tables,
            WorldCloud(self.world),
            WorldList(self.world),
            WorldEngines(self.world),
            WorldWeights(self.world),
            lambda: document,
            lambda _mark: None,
            Metrics(),
            self.clock,
            random.Random(seed),
        )

    @property
    def table_operations(self) -> int:
        """Reads and writes of the table service so far."""
        return self.tables.reads + self.tables.writes

    async def rounds(self, number: int, gap: float = ROUND_S) -> None:
        """Do some rounds, ``gap`` seconds apart."""
        for _ in range(number):
            await self.controller.notices.poll()
            await self.controller.round()
            await self.clock.sleep(gap)

    def serving(self) -> int:
        """Return the replicas whose models are loaded."""
        return sum(self.world.ready(item) for item in self.world.live())

    def standing(self) -> int:
        """Return the replicas that would remain after the worst zone's loss."""
        zones = {
            zone: sum(
                self.world.ready(item)
                for item in self.world.live()
                if item.offer.zone == zone
            )
            for zone in ZONES
        }
        return sum(zones.values()) - max(zones.values())

    async def fill(self, most_rounds: int = 2000) -> None:
        """Do rounds until the fleet is at strength; raise if it never is."""
        for _ in range(most_rounds):
            if self.standing() >= self.target:
                return
            await self.rounds(1, _FILL_ROUND_S)
        raise RuntimeError(f"{self.standing()} of {self.target} replicas stand")


def _deployment(target: int) -> Deployment:
    """Return a deployment that keeps ``target`` replicas."""
    return Deployment(
        name="fleet",
        kind="engine",
        models=("model-13b",),
        adapters=(),
        accounts=(),
        zones=tuple(Place("region", zone) for zone in ZONES),
        priority=Priority.STANDARD,
        price_ceiling=100.0 * target,
        first_token_s=0.8,
        between_tokens_s=0.06,
        weights=Weights(1.0, 1.0),
        deadline_work=False,
        checks_fence=True,
        min_replicas=target,
        max_replicas=4 * target,
        calls=(),
    )
