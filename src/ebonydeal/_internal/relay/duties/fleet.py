"""Orders endpoints of services that may grow and shrink."""

from collections.abc import Callable
from typing import NamedTuple

from mode import Service

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.models.forwarding import ForwardService, Scaling
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.duties.coordinator import Coordinator
from ebonydeal._internal.relay.ports import Duties
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.routing.fleet.fleet_plan import (
    FleetPlan,
    FleetState,
    FleetTerms,
    ZoneFleet,
    plan_fleet,
)
from ebonydeal._internal.routing.fleet.load_forecast import LoadForecast
from ebonydeal._internal.utils.clock import Clock

logger = get_logger("relay.fleet")

_STEP_S = 0.2
# An ordered endpoint that isn't listed this long after its boot isn't coming:
# the order is sent again, which changes nothing where it is only late.
_BOOT_SLACK_S = 1.0
# Time for which an order for more stands at least.
_STEADY_S = 5.0
# Orders made for one plan before it is looked at again.
_MOST_ROUNDS = 4


class _Kind(NamedTuple):
    """One kind of endpoint of a service in a zone."""

    service: str
    zone: str
    spot: bool


class _Order(NamedTuple):
    """What was last ordered, and until when it may still come."""

    wanted: int
    until: float


class _Change(NamedTuple):
    """An order that may be due: how many are wanted, there or coming."""

    kind: _Kind
    wanted: int
    have: int


class Fleet(Service):
    """Keeps each service's fleet as the planner wants it.

    Parameters
    ----------
    coordinator : Coordinator
        Holds the lease; tells the load.
    duties : Duties
        The platform's calls.
    view : RelayView
        Services and endpoints.
    metrics, clock
        Observation, time.
    """

    def __init__(
        self,
        coordinator: Coordinator,
        duties: Duties,
        view: RelayView,
        metrics: Metrics,
        clock: Clock,
        terms: FleetTerms | None = None,
    ) -> None:
        super().__init__()
        self._coordinator = coordinator
        self._duties = duties
        self._view = view
        self._metrics = metrics
        self._clock = clock
        self._terms = terms or FleetTerms()
        self._ordered: dict[_Kind, _Order] = {}
        self._raised: dict[_Kind, float] = {}
        self._had_spot: dict[tuple[str, str], int] = {}
        self._waved: dict[str, float] = {}
        self._dry: dict[str, float] = {}
        self._probed: dict[str, int] = {}
        self._found: dict[str, set[str]] = {}
        self._forecasts: dict[str, LoadForecast] = {}
        # The version that a service's roll-out under way is to, None without one.
        self.rolling: Callable[[str], str | None] = lambda _service: None

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self._clock.sleep(_STEP_S)
            index = self._view.index
            if index is None or not self._view.members_known:
                continue
            if not self._coordinator.may_order:
                if not self._coordinator.lease.mine:
                    self._ordered.clear()
                continue
            for service in index.table.services.values():
                if service.scaling is None:
                    continue
                try:
                    await self._steer(service, service.scaling)
                except EbonydealError as exc:
                    logger.warning("Order failed.", reason=str(exc))

    async def _steer(self, service: ForwardService, scaling: Scaling) -> None:
        """Order what the plan wants; again at once where a zone is dry."""
        now = self._clock.now()
        self._watch_zones(service.name, scaling, now)
        load = self._forecast(service, now)
        await self._probe(service, scaling, load)
        for _round in range(_MOST_ROUNDS):
            state = self._state(service, scaling, load)
            plan = plan_fleet(scaling, state, self._terms)
            refused = False
            for change in self._changes(service.name, plan, state):
                # More before less: nothing is let go before its replacement
                # was granted.
                if refused and change.wanted < change.have:
                    break
                if await self._order(change, scaling, load):
                    refused = True
            if not refused:
                return

    def _state(
        self, service: ForwardService, scaling: Scaling, load: float
    ) -> FleetState:
        zones = self._zones(service.name, scaling, self._clock.now())
        dry = frozenset(scaling.zone_prices) | frozenset(zones)
        return FleetState(
            zones=zones,
            load=load,
            dry=dry if service.name in self._dry else frozenset(),
            least=self._least(service.name, zones),
            wave=self._in_wave(service.name, self._clock.now()),
        )

    def _watch_zones(self, service: str, scaling: Scaling, now: float) -> None:
        """Note when a zone's reclaimable endpoints all go at once."""
        zones = self._zones(service, scaling, now)
        for zone in set(scaling.zone_prices) | set(zones):
            have = zones.get(zone, ZoneFleet()).spot
            had = self._had_spot.get((service, zone), 0)
            self._had_spot[(service, zone)] = have
            order = self._ordered.get(_Kind(service, zone, True))
            if had and not have and (order is None or order.wanted > 0):
                self._waved[service] = now
                # What was ordered there is void.
                self._ordered.pop(_Kind(service, zone, True), None)
                logger.info("Zone taken back.", service=service, zone=zone, had=had)

    def _in_wave(self, service: str, now: float) -> bool:
        at = self._waved.get(service)
        return at is not None and now - at < self._terms.wave

    def _least(self, service: str, zones: dict[str, ZoneFleet]) -> int:
        """Return the size below which the fleet isn't planned yet.

        Before there is load to measure, the size that operators started with
        is the best word on what will be asked.
        """
        # They are listed one after the other at the start, and some may be gone
        # before all are.
        seen = self._found.setdefault(service, set())
        forecast = self._forecast_of(service)
        if not forecast.began:
            seen.update(
                member.endpoint_id
                for member in self._view.members.values()
                if member.service == service and not member.reclaimable
            )
        if self._terms.found and not forecast.measured(self._clock.now()):
            fixed = sum(fleet.fixed for fleet in zones.values())
            return max(1, fixed, len(seen))
        return 1

    async def _probe(
        self, service: ForwardService, scaling: Scaling, load: float
    ) -> None:
        """Ask one zone for one reclaimable endpoint when that may work again."""
        now = self._clock.now()
        until = self._dry.get(service.name)
        if until is None or now < until:
            return
        zones = self._zones(service.name, scaling, now)
        names = sorted(set(scaling.zone_prices) | set(zones))
        turn = self._probed.get(service.name, 0)
        self._probed[service.name] = turn + 1
        zone = names[turn % len(names)]
        fleet = zones.get(zone, ZoneFleet())
        have = fleet.spot + fleet.spot_coming
        kind = _Kind(service.name, zone, True)
        if not await self._order(_Change(kind, have + 1, have), scaling, load):
            self._dry.pop(service.name, None)

    def _changes(
        self, service: str, plan: FleetPlan, state: FleetState
    ) -> list[_Change]:
        """Return the orders that the plan takes, those for more first."""
        changes = []
        for zone, target in plan.zones.items():
            fleet = state.zones.get(zone, ZoneFleet())
            spot_have = fleet.spot + fleet.spot_coming
            fixed_have = fleet.fixed + fleet.fixed_coming
            for kind, count, have in (
                (_Kind(service, zone, True), target.spot, spot_have),
                (_Kind(service, zone, False), target.fixed, fixed_have),
            ):
                changes.append(_Change(kind, count, have))
        changes.sort(key=lambda c: (c.wanted < c.have, not c.kind.spot))
        return changes

    def _forecast(self, service: ForwardService, now: float) -> float:
        """Return the load to plan for, in endpoints kept busy."""
        messages = self._coordinator.heard_lately()
        work = sum(message["work"].get(service.name, 0.0) for message in messages)
        slots = service.engine.slots if service.engine is not None else 0
        members = {
            m.endpoint_id: m
            for m in self._view.members.values()
            if m.service == service.name
        }
        running = sum(
            load[0]
            for message in messages
            for endpoint_id, load in message["loads"].items()
            if endpoint_id in members
        )
        slots = slots or max((m.slots for m in members.values()), default=1)
        seen = work + running / max(1, slots)
        in_wave = self._in_wave(service.name, now)
        return self._forecast_of(service.name).saw(seen, in_wave, now)

    def _forecast_of(self, service: str) -> LoadForecast:
        forecast = self._forecasts.get(service)
        if forecast is None:
            forecast = self._forecasts[service] = LoadForecast(self._terms)
        return forecast

    def _zones(
        self, service: str, scaling: Scaling, now: float
    ) -> dict[str, ZoneFleet]:
        """Return the service's endpoints by zone and kind."""
        zones: dict[str, ZoneFleet] = {}
        # Endpoints of a version that may be bad are no room yet.
        rolling = self.rolling(service)
        for member in self._view.members.values():
            if member.service != service or member.leaving:
                continue
            if rolling is not None and member.version == rolling:
                continue
            fleet = zones.get(member.zone, ZoneFleet())
            if member.reclaimable:
                fleet = fleet._replace(spot=fleet.spot + 1)
            else:
                fleet = fleet._replace(fixed=fleet.fixed + 1)
            zones[member.zone] = fleet
        for kind, order in self._ordered.items():
            if kind.service != service:
                continue
            if now > order.until:
                continue
            fleet = zones.get(kind.zone, ZoneFleet())
            have = fleet.spot if kind.spot else fleet.fixed
            # What is beyond the zone's bound is accepted, and doesn't come.
            room = max(0, scaling.max_endpoints - fleet.spot - fleet.fixed)
            coming = min(room, max(0, order.wanted - have))
            if kind.spot:
                zones[kind.zone] = fleet._replace(spot_coming=coming)
            else:
                zones[kind.zone] = fleet._replace(fixed_coming=coming)
        return zones

    async def _order(self, change: _Change, scaling: Scaling, load: float) -> bool:
        """Order if that differs; return whether it was refused."""
        kind, count, have = change
        last = self._ordered.get(kind)
        if count == have and (last is None or last.wanted == count):
            return False
        if last is not None and last.wanted == count:
            # More than is there, and not to be sent again before it could come.
            if count <= have or self._clock.now() <= last.until:
                return False
        raised = self._raised.get(kind)
        if count < have and raised is not None:
            # What still boots is not taken back: the plan may want it again.
            if self._clock.now() - raised < _STEADY_S:
                return False
        if count < have and self.rolling(kind.service) is not None:
            # Old endpoints are needed whole until the new version is found good.
            return False
        if count < have and self._in_wave(kind.service, self._clock.now()):
            # The next zone may go: what is there is needed then, and in the first
            # seconds of traffic its load isn't known yet.
            return False
        if not self._coordinator.may_order:
            return False
        answer = await self._duties.order(
            kind.service, kind.zone, count, kind.spot, self._coordinator.lease.fence
        )
        now = self._clock.now()
        logger.info(
            "Endpoints ordered.",
            service=kind.service,
            zone=kind.zone,
            spot=kind.spot,
            count=count,
            have=have,
            load=round(load, 3),
            accepted=answer.accepted,
            detail=answer.detail,
        )
        if answer.accepted:
            self._metrics.count(Event.ORDERS_SENT)
            until = now + scaling.boot_s + _BOOT_SLACK_S
            self._ordered[kind] = _Order(count, until)
            if count > have:
                self._raised[kind] = now
            return False
        self._metrics.count(Event.STARTS_REFUSED)
        if answer.conflict:
            self._coordinator.order_refused()
        if kind.spot and count > have:
            self._dry[kind.service] = now + self._terms.dry
        return True
