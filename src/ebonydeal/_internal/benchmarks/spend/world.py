"""A cloud with engines in memory, for the real controller to act on.

One `World` holds what is true; `WorldCloud`, `WorldList`, `WorldEngines` and
`WorldWeights` show it through the platform's interfaces. Every call passes the
connection's `Hook` before and after it takes effect, where a test can lose,
delay or end it.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.endpoints import (
    EndpointKind,
    EndpointState,
    EndpointView,
    LoadReport,
)
from ebonydeal._internal.models.places import Place
from ebonydeal._internal.outside.interfaces import (
    CloudInstance,
    EngineOrder,
    Offer,
    ReclaimNotice,
    WeightCopy,
)
from ebonydeal._internal.utils.clock import Clock

Hook = Callable[[str, str], Awaitable[None]]
BEFORE = "before"
AFTER = "after"


async def no_hook(_when: str, _operation: str) -> None:
    """Let every call through."""


class WorldTimes(NamedTuple):
    """How long things take, in seconds; ``list_lag`` of the instance list."""

    boot: float = 40.0
    load: float = 60.0
    list_lag: float = 3.0


@dataclass
class Machine:
    """One instance and the engine on it."""

    instance_id: str
    token: str
    offer: Offer
    started_at: float
    tags: dict[str, str]
    stopped_at: float | None = None
    order: EngineOrder = field(default=EngineOrder(0, (), "serve"))
    fence: int = 0
    ready_at: float = 0.0
    running: int = 0
    from_store: bool = False


class World:
    """What is true of the cloud and the engines.

    Parameters
    ----------
    clock : Clock
        Source of time.
    offers : list of Offer
        What can be bought; may be replaced at any time.
    region : str
        Region of all zones.
    checks_fence : bool
        Whether engines refuse old fencing numbers.
    times : WorldTimes
        Durations.
    """

    def __init__(
        self,
        clock: Clock,
        offers: list[Offer],
        region: str = "wales",
        checks_fence: bool = True,
        times: WorldTimes | None = None,
    ) -> None:
        self.clock = clock
        self.offers = offers
        self.region = region
        self.checks_fence = checks_fence
        self.times = times or WorldTimes()
        self.machines: dict[str, Machine] = {}
        self.tokens: dict[str, str] = {}
        self.full: set[tuple[str, bool]] = set()
        self.notices: list[ReclaimNotice] = []
        self.nodes: list[tuple[str, str]] = []
        self.orders: list[tuple[str, EngineOrder]] = []
        self.starts = 0
        self.seeded: set[str] = set()
        self.calls: dict[str, int] = {}

    def live(self) -> list[Machine]:
        """Return the instances that run and are paid."""
        return [item for item in self.machines.values() if item.stopped_at is None]

    def ready(self, machine: Machine) -> bool:
        """Return whether an engine has its models loaded."""
        now = self.clock.wall()
        booted = now >= machine.started_at + self.times.boot
        loaded = bool(machine.order.models) and now >= machine.ready_at
        return booted and loaded and machine.stopped_at is None

    def reclaim_zone(self, zone: str, notice_s: float) -> float:
        """Announce that a zone's reclaimable instances go; return the deadline."""
        deadline = self.clock.wall() + notice_s
        seq = len(self.notices) + 1
        self.notices.append(ReclaimNotice(seq, "", zone, deadline))
        return deadline

    def take_zone(self, zone: str) -> int:
        """Stop a zone's reclaimable instances; return how many."""
        taken = [
            item
            for item in self.live()
            if item.offer.zone == zone and item.offer.reclaimable
        ]
        for item in taken:
            item.stopped_at = self.clock.wall()
        return len(taken)

    def find(self, instance_id: str) -> Machine | None:
        """Return an instance by its id."""
        token = self.tokens.get(instance_id)
        return None if token is None else self.machines[token]


class _Connection:
    """Passes calls through a hook and counts them."""

    def __init__(self, world: World, hook: Hook = no_hook) -> None:
        self._world = world
        self._hook = hook

    async def _before(self, operation: str) -> None:
        calls = self._world.calls
        calls[operation] = calls.get(operation, 0) + 1
        await self._hook(BEFORE, operation)

    async def _after(self, operation: str) -> None:
        await self._hook(AFTER, operation)


class WorldCloud(_Connection):
    """`Cloud` of a world."""

    async def offers(self) -> list[Offer]:
        """Return the offers."""
        await self._before("offers")
        offers = list(self._world.offers)
        await self._after("offers")
        return offers

    async def start(
        self, token: str, offer: Offer, tags: dict[str, str]
    ) -> CloudInstance:
        """Start an instance, or return the one of this token."""
        await self._before("start")
        machine = self._world.machines.get(token)
        if machine is None:
            machine = self._new(token, offer, tags)
        await self._after("start")
        return _instance(self._world, machine)

    def _new(self, token: str, offer: Offer, tags: dict[str, str]) -> Machine:
        world = self._world
        if (offer.zone, offer.reclaimable) in world.full:
            raise EbonydealError(ErrorKind.START_REFUSED, f"{offer.zone} is full")
        world.starts += 1
        machine = Machine(
            f"i-{world.starts:05d}", token, offer, world.clock.wall(), dict(tags)
        )
        world.machines[token] = machine
        world.tokens[machine.instance_id] = token
        return machine

    async def stop(self, instance_id: str) -> None:
        """Stop an instance."""
        await self._before("stop")
        machine = self._world.find(instance_id)
        if machine is not None and machine.stopped_at is None:
            machine.stopped_at = self._world.clock.wall()
        await self._after("stop")

    async def instances(self) -> list[CloudInstance]:
        """Return the instances that are not stopped."""
        await self._before("instances")
        found = [_instance(self._world, item) for item in self._world.live()]
        await self._after("instances")
        return found

    async def notices(self, after: int) -> list[ReclaimNotice]:
        """Return newer notices."""
        await self._before("notices")
        return [item for item in self._world.notices if item.seq > after]


class WorldList(_Connection):
    """`InstanceList` of a world; it lags."""

    async def endpoints(self) -> list[EndpointView]:
        """Return the endpoints as they were some seconds ago."""
        await self._before("endpoints")
        world = self._world
        then = world.clock.wall() - world.times.list_lag
        return [
            _view(world, item)
            for item in world.machines.values()
            if item.started_at + world.times.boot <= then
            and (item.stopped_at is None or item.stopped_at > then)
        ]

    async def own_nodes(self) -> list[tuple[str, str]]:
        """Return the system's own processes."""
        await self._before("own_nodes")
        return list(self._world.nodes)


class WorldEngines(_Connection):
    """The part of `Engine` that a controller uses."""

    async def load(self, endpoint: EndpointView) -> LoadReport:
        """Return an engine's load."""
        await self._before("load")
        machine = self._reach(endpoint)
        wall = self._world.clock.wall()
        return LoadReport(machine.running, 0, machine.offer.slots, 0.0, 40.0, wall)

    async def order(self, endpoint: EndpointView, order: EngineOrder) -> None:
        """Give an order."""
        await self._before("order")
        machine = self._reach(endpoint)
        world = self._world
        if world.checks_fence and order.fence < machine.fence:
            raise EbonydealError(ErrorKind.STALE_ORDER, "an old fencing number")
        if set(order.models) != set(machine.order.models):
            machine.ready_at = world.clock.wall() + world.times.load
            machine.from_store = machine.offer.zone not in world.seeded
        machine.order = order
        machine.fence = max(machine.fence, order.fence)
        world.orders.append((machine.instance_id, order))
        await self._after("order")

    async def order_state(self, endpoint: EndpointView) -> EngineOrder:
        """Return the order in force."""
        await self._before("order_state")
        return self._reach(endpoint).order

    def _reach(self, endpoint: EndpointView) -> Machine:
        machine = self._world.find(endpoint.endpoint_id)
        if machine is None or machine.stopped_at is not None:
            raise EbonydealError(ErrorKind.CONNECT_FAILED, "no such engine")
        if self._world.clock.wall() < machine.started_at + self._world.times.boot:
            raise EbonydealError(ErrorKind.CONNECT_FAILED, "the engine boots")
        return machine


class WorldWeights(_Connection):
    """`WeightStore` with one copy of each model and a limited rate.

    Engines in a zone where the model is loaded copy it from there.
    """

    rate = 20.0
    rate_of_one = 2.0

    async def copies(self, model: str) -> list[WeightCopy]:
        """Return the store's own copy."""
        await self._before("copies")
        return [WeightCopy("store", model, 26.0, "")]

    async def available_rate(self) -> float:
        """Return the rate."""
        await self._before("rate_left")
        now = self._world.clock.wall()
        reading = sum(
            item.from_store and now < item.ready_at for item in self._world.live()
        )
        return max(0.0, self.rate - self.rate_of_one * reading)


def _instance(world: World, machine: Machine) -> CloudInstance:
    """Return the cloud's word about an instance."""
    booted = world.clock.wall() >= machine.started_at + world.times.boot
    return CloudInstance(
        instance_id=machine.instance_id,
        token=machine.token,
        zone=machine.offer.zone,
        machine_class=machine.offer.machine_class,
        reclaimable=machine.offer.reclaimable,
        state="running" if booted else "starting",
        address=f"{machine.instance_id}:80",
        started_at=machine.started_at,
        tags=dict(machine.tags),
    )


def _view(world: World, machine: Machine) -> EndpointView:
    """Return the instance list's word about an endpoint."""
    ready = world.ready(machine)
    if ready:
        world.seeded.add(machine.offer.zone)
    return EndpointView(
        endpoint_id=machine.instance_id,
        incarnation=1,
        kind=EndpointKind.ENGINE,
        address=f"{machine.instance_id}:80",
        place=Place(world.region, machine.offer.zone),
        deployment=machine.tags.get("deployment", ""),
        models=machine.order.models if ready else (),
        state=EndpointState.READY if ready else EndpointState.STARTING,
        reclaimable=machine.offer.reclaimable,
        evict_per_hour=machine.offer.evict_per_hour,
        price_per_hour=machine.offer.price_per_hour,
    )
