"""Controllers on a simulated platform, with tables into which faults are injected."""

import copy
import random
from collections.abc import Sequence

from ebonydeal._internal.benchmarks.spend.simulated_platform import (
    AFTER,
    BEFORE,
    Hook,
    SimulatedCloud,
    SimulatedEngines,
    SimulatedInstanceList,
    SimulatedPlatform,
    SimulatedWeightStore,
    no_hook,
)
from ebonydeal._internal.controller.lease import Holder
from ebonydeal._internal.controller.service import Controller
from ebonydeal._internal.models.document import Deployment, Document, Weights
from ebonydeal._internal.models.endpoints import LeavingMark
from ebonydeal._internal.models.places import Place
from ebonydeal._internal.models.requests import Priority
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.outside.interfaces import (
    Condition,
    Delete,
    FieldEquals,
    Offer,
    Put,
    Row,
    RowAbsent,
    RowVersion,
    Write,
)
from ebonydeal._internal.settings.controller import ControllerSettings
from tests.lib.clock import ManualClock

ZONES = ("z1", "z2", "z3")


class TableData:
    """Rows of a table service."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.versions: dict[str, int] = {}

    def apply(self, conditions: Sequence[Condition], writes: Sequence[Write]) -> bool:
        if not all(self.holds(item) for item in conditions):
            return False
        for write in writes:
            match write:
                case Put(key, value):
                    self.versions[key] = self.versions.get(key, 0) + 1
                    self.rows[key] = Row(key, copy.deepcopy(value), self.versions[key])
                case Delete(key):
                    self.rows.pop(key, None)
        return True

    def holds(self, condition: Condition) -> bool:
        row = self.rows.get(condition.key)
        match condition:
            case RowAbsent():
                return row is None
            case RowVersion(_, version):
                return row is not None and row.version == version
            case FieldEquals(_, field, value):
                return row is not None and row.value.get(field) == value


class HookedTables:
    """One process's connection to the table, calling a hook at each operation."""

    def __init__(self, data: TableData, hook: Hook = no_hook) -> None:
        self.data = data
        self.hook = hook
        self.operations = 0

    async def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> bool:
        self.operations += 1
        await self.hook(BEFORE, "transact")
        applied = self.data.apply(conditions, writes)
        await self.hook(AFTER, "transact")
        return applied

    async def get(self, key: str) -> Row | None:
        self.operations += 1
        await self.hook(BEFORE, "get")
        return copy.deepcopy(self.data.rows.get(key))

    async def scan(self, prefix: str, start: str = "", limit: int = 1000) -> list[Row]:
        self.operations += 1
        await self.hook(BEFORE, "scan")
        keys = sorted(
            key for key in self.data.rows if key.startswith(prefix) and key >= start
        )
        return [copy.deepcopy(self.data.rows[key]) for key in keys[:limit]]


def make_offers(zones: Sequence[str] = ZONES, spot: float = 3.0) -> list[Offer]:
    offers = []
    for number, zone in enumerate(zones):
        offers.append(Offer(zone, "l", True, spot + 0.1 * number, 0.05, 8))
        offers.append(Offer(zone, "l", False, 10.0, 0.0, 8))
    return offers


def make_deployment(**changes: object) -> Deployment:
    base = Deployment(
        name="kitchen",
        kind="engine",
        models=("covers",),
        adapters=(),
        accounts=(),
        zones=tuple(Place("wales", zone) for zone in ZONES),
        priority=Priority.STANDARD,
        price_ceiling=200.0,
        first_token_s=0.8,
        between_tokens_s=0.06,
        weights=Weights(1.0, 1.0),
        deadline_work=False,
        checks_fence=True,
        min_replicas=4,
        max_replicas=40,
        calls=(),
    )
    return base._replace(**changes)


def make_document(*deployments: Deployment) -> Document:
    places = {zone: Place("wales", zone) for zone in ZONES}
    return Document(1, {}, {item.name: item for item in deployments}, places)


class ControllerCluster:
    """A simulated platform, its table, and the controllers on it."""

    def __init__(self, seed: int = 1, **world: object) -> None:
        self.clock = ManualClock()
        self.world = SimulatedPlatform(self.clock, make_offers(), **world)
        self.table = TableData()
        self.document = make_document(
            make_deployment(checks_fence=self.world.checks_fence)
        )
        self.marks: list[LeavingMark] = []
        self.cfg = ControllerSettings()
        self.seed = seed

    def controller(
        self, node: str, hook: Hook = no_hook, document: Document | None = None
    ) -> Controller:
        """Return a controller; with ``document``, it never sees another document."""
        rng = random.Random(f"{self.seed}{node}")
        return Controller(
            self.cfg,
            Holder(f"{node}/{rng.random()}", f"{node}:1"),
            HookedTables(self.table, hook),
            SimulatedCloud(self.world, hook),
            SimulatedInstanceList(self.world, hook),
            SimulatedEngines(self.world, hook),
            SimulatedWeightStore(self.world, hook),
            lambda: document or self.document,
            self.marks.append,
            Metrics(),
            self.clock,
            rng,
        )

    async def rounds(self, controller: Controller, number: int, gap: float = 5.0):
        for _ in range(number):
            await controller.notices.poll()
            await controller.round()
            await self.clock.advance(gap)

    def instance_rows(self) -> list[dict]:
        return [
            row.value for key, row in self.table.rows.items() if "instances/" in key
        ]

    def ready(self) -> int:
        return sum(self.world.ready(item) for item in self.world.live())
