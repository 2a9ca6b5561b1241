"""A simulated cloud with engines in memory, for the real controller.

`SimulatedPlatform` holds the state; the other classes give access to it through the
platform's interfaces. Every call runs the connection's `Hook` before and after it
takes effect, where a test can lose, delay or abort it.
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
    """Do nothing."""


class SimulatedDurations(NamedTuple):
    """Durations in seconds; ``list_lag`` is the delay of the instance list."""

    boot: float = 40.0
    load: float = 60.0
    list_lag: float = 3.0


@dataclass
class SimulatedInstance:
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
    loads_from_store: bool = False


class SimulatedPlatform:
    """State of the cloud and the engines.

    Parameters
    ----------
    clock : Clock
        Source of time.
    offers : list of Offer
        Current offers; may be replaced at any time.
    region : str
        Region of all zones.
    checks_fence : bool
        Whether engines refuse stale fencing tokens.
    times : WorldTimes
        Durations.
    """

    def __init__(
        self,
        clock: Clock,
        offers: list[Offer],
        region: str = "wales",
        checks_fence: bool = True,
        times: SimulatedDurations | None = None,
    ) -> None:
        self.clock = clock
        self.offers = offers
        self.region = region
        self.checks_fence = checks_fence
        self.times = times or SimulatedDurations()
        self.machines: dict[str, SimulatedInstance] = {}
        self.tokens: dict[str, str] = {}
        self.refused_markets: set[tuple[str, bool]] = set()
        self.notices: list[ReclaimNotice] = []
        self.nodes: list[tuple[str, str]] = []
        self.orders: list[tuple[str, EngineOrder]] = []
        self.starts = 0
        self.zones_with_weights: set[str] = set()
        self.calls: dict[str, int] = {}

    def live(self) -> list[SimulatedInstance]:
        """Return the instances that aren't stopped."""
        return [item for item in self.machines.values() if item.stopped_at is None]

    def ready(self, machine: SimulatedInstance) -> bool:
        """Return whether an instance runs and its engine has loaded its models."""
        now = self.clock.wall()
        booted = now >= machine.started_at + self.times.boot
        loaded = bool(machine.order.models) and now >= machine.ready_at
        return booted and loaded and machine.stopped_at is None

    def announce_reclaim(self, zone: str, notice_s: float) -> float:
        """Announce the reclaim of a zone's instances; return the deadline."""
        deadline = self.clock.wall() + notice_s
        seq = len(self.notices) + 1
        self.notices.append(ReclaimNotice(seq, "", zone, deadline))
        return deadline

    def stop_zone(self, zone: str) -> int:
        """Stop a zone's reclaimable instances; return their number."""
        taken = [
            item
            for item in self.live()
            if item.offer.zone == zone and item.offer.reclaimable
        ]
        for item in taken:
            item.stopped_at = self.clock.wall()
        return len(taken)

    def find(self, instance_id: str) -> SimulatedInstance | None:
        """Return an instance by its id."""
        token = self.tokens.get(instance_id)
        return None if token is None else self.machines[token]


class _Connection:
    """Counts calls and runs the hook before and after them."""

    def __init__(self, platform: SimulatedPlatform, hook: Hook = no_hook) -> None:
        self._platform = platform
        self._hook = hook

    async def _before(self, operation: str) -> None:
        calls = self._platform.calls
        calls[operation] = calls.get(operation, 0) + 1
        await self._hook(BEFORE, operation)

    async def _after(self, operation: str) -> None:
        await self._hook(AFTER, operation)


class SimulatedCloud(_Connection):
    """`Cloud` of a simulated platform."""

    async def offers(self) -> list[Offer]:
        """Return the offers."""
        await self._before("offers")
        offers = list(self._platform.offers)
        await self._after("offers")
        return offers

    async def start(
        self, token: str, offer: Offer, tags: dict[str, str]
    ) -> CloudInstance:
        """Start an instance, or return the existing one with this token."""
        await self._before("start")
        machine = self._platform.machines.get(token)
        if machine is None:
            machine = self._start_new(token, offer, tags)
        await self._after("start")
        return _instance(self._platform, machine)

    def _start_new(
        self, token: str, offer: Offer, tags: dict[str, str]
    ) -> SimulatedInstance:
        platform = self._platform
        if (offer.zone, offer.reclaimable) in platform.refused_markets:
            raise EbonydealError(
                ErrorKind.START_REFUSED, f"no capacity in {offer.zone}"
            )
        platform.starts += 1
        machine = SimulatedInstance(
            f"i-{platform.starts:05d}", token, offer, platform.clock.wall(), dict(tags)
        )
        platform.machines[token] = machine
        platform.tokens[machine.instance_id] = token
        return machine

    async def stop(self, instance_id: str) -> None:
        """Stop an instance."""
        await self._before("stop")
        machine = self._platform.find(instance_id)
        if machine is not None and machine.stopped_at is None:
            machine.stopped_at = self._platform.clock.wall()
        await self._after("stop")

    async def instances(self) -> list[CloudInstance]:
        """Return the instances that are not stopped."""
        await self._before("instances")
        found = [_instance(self._platform, item) for item in self._platform.live()]
        await self._after("instances")
        return found

    async def notices(self, after: int) -> list[ReclaimNotice]:
        """Return the notices after a sequence number."""
        await self._before("notices")
        return [item for item in self._platform.notices if item.seq > after]


class SimulatedInstanceList(_Connection):
    """`InstanceList` of a simulated platform; it is delayed."""

    async def endpoints(self) -> list[EndpointView]:
        """Return the endpoints as they were ``list_lag`` seconds ago."""
        await self._before("endpoints")
        platform = self._platform
        listed_at = platform.clock.wall() - platform.times.list_lag
        return [
            _view(platform, item)
            for item in platform.machines.values()
            if item.started_at + platform.times.boot <= listed_at
            and (item.stopped_at is None or item.stopped_at > listed_at)
        ]

    async def own_nodes(self) -> list[tuple[str, str]]:
        """Return the system's own processes."""
        await self._before("own_nodes")
        return list(self._platform.nodes)


class SimulatedEngines(_Connection):
    """The part of `Engine` that a controller uses."""

    async def load(self, endpoint: EndpointView) -> LoadReport:
        """Return an engine's load."""
        await self._before("load")
        machine = self._get_booted(endpoint)
        wall = self._platform.clock.wall()
        return LoadReport(machine.running, 0, machine.offer.slots, 0.0, 40.0, wall)

    async def order(self, endpoint: EndpointView, order: EngineOrder) -> None:
        """Apply an order."""
        await self._before("order")
        machine = self._get_booted(endpoint)
        platform = self._platform
        if platform.checks_fence and order.fence < machine.fence:
            raise EbonydealError(ErrorKind.STALE_ORDER, "stale fencing token")
        if set(order.models) != set(machine.order.models):
            machine.ready_at = platform.clock.wall() + platform.times.load
            machine.loads_from_store = (
                machine.offer.zone not in platform.zones_with_weights
            )
        machine.order = order
        machine.fence = max(machine.fence, order.fence)
        platform.orders.append((machine.instance_id, order))
        await self._after("order")

    async def order_state(self, endpoint: EndpointView) -> EngineOrder:
        """Return the order last applied."""
        await self._before("order_state")
        return self._get_booted(endpoint).order

    def _get_booted(self, endpoint: EndpointView) -> SimulatedInstance:
        machine = self._platform.find(endpoint.endpoint_id)
        if machine is None or machine.stopped_at is not None:
            raise EbonydealError(
                ErrorKind.CONNECT_FAILED, "the engine's instance is stopped or unknown"
            )
        if self._platform.clock.wall() < machine.started_at + self._platform.times.boot:
            raise EbonydealError(
                ErrorKind.CONNECT_FAILED, "the engine is still booting"
            )
        return machine


class SimulatedWeightStore(_Connection):
    """`WeightStore` with one copy of each model and a limited rate.

    Engines in a zone where the model is loaded copy it from there.
    """

    rate = 20.0
    engine_rate = 2.0

    async def copies(self, model: str) -> list[WeightCopy]:
        """Return the store's own copy."""
        await self._before("copies")
        return [WeightCopy("store", model, 26.0, "")]

    async def available_rate(self) -> float:
        """Return the unused rate."""
        await self._before("rate_left")
        now = self._platform.clock.wall()
        reading = sum(
            item.loads_from_store and now < item.ready_at
            for item in self._platform.live()
        )
        return max(0.0, self.rate - self.engine_rate * reading)


def _instance(platform: SimulatedPlatform, machine: SimulatedInstance) -> CloudInstance:
    """Return an instance as the cloud reports it."""
    booted = platform.clock.wall() >= machine.started_at + platform.times.boot
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


def _view(platform: SimulatedPlatform, machine: SimulatedInstance) -> EndpointView:
    """Return an endpoint as the instance list reports it."""
    ready = platform.ready(machine)
    if ready:
        platform.zones_with_weights.add(machine.offer.zone)
    return EndpointView(
        endpoint_id=machine.instance_id,
        incarnation=1,
        kind=EndpointKind.ENGINE,
        address=f"{machine.instance_id}:80",
        place=Place(platform.region, machine.offer.zone),
        deployment=machine.tags.get("deployment", ""),
        models=machine.order.models if ready else (),
        state=EndpointState.READY if ready else EndpointState.STARTING,
        reclaimable=machine.offer.reclaimable,
        evict_per_hour=machine.offer.evict_per_hour,
        price_per_hour=machine.offer.price_per_hour,
    )
