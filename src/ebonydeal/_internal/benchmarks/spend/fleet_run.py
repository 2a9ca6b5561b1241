"""Runs the real controller on a simulated platform, without real waiting."""

import random

from ebonydeal._internal.benchmarks.spend.simulated_platform import (
    SimulatedCloud,
    SimulatedDurations,
    SimulatedEngines,
    SimulatedInstanceList,
    SimulatedPlatform,
    SimulatedWeightStore,
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
    """A clock that advances only by `sleep`, without waiting."""

    def __init__(self) -> None:
        self._now = 1_000_000.0

    def now(self) -> float:
        """Return the current time in seconds."""
        return self._now

    def wall(self) -> float:
        """Return the same time as `now`."""
        return self._now

    async def sleep(self, seconds: float) -> None:
        """Advance the time."""
        self._now += seconds


class FleetRun:
    """One deployment of a given size under one controller.

    Parameters
    ----------
    target : int
        Replicas that must remain after the loss of a zone.
    seed : int
        Seed of tokens and jitter.
    times : WorldTimes
        Durations on the simulated platform.
    """

    def __init__(
        self, target: int, seed: int, times: SimulatedDurations | None = None
    ) -> None:
        self.clock = SteppedClock()
        self.target = target
        offers = []
        for number, zone in enumerate(ZONES):
            price = 3.0 + 0.1 * number
            offers.append(Offer(zone, "large", True, price, 0.05, 8))
            offers.append(Offer(zone, "large", False, 10.0, 0.0, 8))
        self.platform = SimulatedPlatform(self.clock, offers, times=times)
        self.tables = MemoryTables(self.clock)
        document = Document(1, {}, {"fleet": _deployment(target)}, {})
        self.controller = Controller(
            ControllerSettings(),
            Holder("bench/1", "127.0.0.1:0"),
            self.tables,
            SimulatedCloud(self.platform),
            SimulatedInstanceList(self.platform),
            SimulatedEngines(self.platform),
            SimulatedWeightStore(self.platform),
            lambda: document,
            lambda _mark: None,
            Metrics(),
            self.clock,
            random.Random(seed),
        )

    @property
    def table_operations(self) -> int:
        """Number of table reads and writes so far."""
        return self.tables.reads + self.tables.writes

    async def rounds(self, number: int, interval: float = ROUND_S) -> None:
        """Run ``number`` rounds, ``interval`` seconds apart."""
        for _ in range(number):
            await self.controller.notices.poll()
            await self.controller.round()
            await self.clock.sleep(interval)

    def ready_replicas(self) -> int:
        """Return the number of replicas whose models are loaded."""
        return sum(self.platform.ready(item) for item in self.platform.live())

    def zone_loss_capacity(self) -> int:
        """Return the ready replicas that remain after the loss of the fullest zone."""
        zones = {
            zone: sum(
                self.platform.ready(item)
                for item in self.platform.live()
                if item.offer.zone == zone
            )
            for zone in ZONES
        }
        return sum(zones.values()) - max(zones.values())

    async def fill_to_target(self, max_rounds: int = 2000) -> None:
        """Run rounds until the target would survive a zone's loss, or raise."""
        for _ in range(max_rounds):
            if self.zone_loss_capacity() >= self.target:
                return
            await self.rounds(1, _FILL_ROUND_S)
        raise RuntimeError(
            f"{self.zone_loss_capacity()} of {self.target} replicas survive a zone loss"
        )


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
