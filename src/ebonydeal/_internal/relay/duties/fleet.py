"""Scales the fleets of services by ordering endpoints from the platform."""

from collections.abc import Callable
from typing import NamedTuple

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.models.forwarding import ForwardService, Member, Scaling
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.duties.coordinator import Coordinator
from ebonydeal._internal.relay.ports import Duties
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.routing.fleet.fleet_plan import (
    FleetConfig,
    FleetPlan,
    FleetState,
    ZoneFleet,
    plan_fleet,
)
from ebonydeal._internal.routing.fleet.load_forecast import LoadForecast
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.supervised import SupervisedService, supervised_task

logger = get_logger("relay.fleet")

_STEP_INTERVAL_S = 0.2
# If an ordered endpoint isn't listed this long after its boot time, the order is sent
# again, which changes nothing if the endpoint is only late.
_BOOT_SLACK_S = 1.0
# Minimum time between an order for more endpoints and one for fewer.
_MIN_DECREASE_DELAY_S = 5.0
# The engines' mean speed must change by this share before the load is scaled by it
# anew: estimates vary by some percent, and each change may lead to orders.
_MIN_SPEED_CHANGE = 0.1
# An idle service shows no load to measure; its endpoints are released after this time.
_MAX_UNMEASURED_S = 30.0
# Plans made in one step, each after an order of the previous plan was refused.
_MAX_PLANS_PER_STEP = 4


class _Pool(NamedTuple):
    """The endpoints of one kind of a service in a zone."""

    service: str
    zone: str
    spot: bool


class _Order(NamedTuple):
    """The last order for a pool, and the time until which it may still arrive."""

    wanted: int
    expected_until: float


class _Change(NamedTuple):
    """An order that may be due; ``have`` counts existing and pending endpoints."""

    pool: _Pool
    wanted: int
    have: int


class FleetScaler(SupervisedService):
    """Keeps each service's fleet at the size that the planner wants.

    Parameters
    ----------
    coordinator : Coordinator
        Gives the lease and the reported load.
    duties : Duties
        Calls of the platform.
    view : RelayView
        Services and endpoints.
    metrics, clock
        Observation, time.
    config : FleetConfig, optional
        Settings of the planner.
    """

    def __init__(
        self,
        coordinator: Coordinator,
        duties: Duties,
        view: RelayView,
        metrics: Metrics,
        clock: Clock,
        config: FleetConfig | None = None,
    ) -> None:
        super().__init__()
        self._coordinator = coordinator
        self._duties = duties
        self._view = view
        self._metrics = metrics
        self._clock = clock
        self._config = config or FleetConfig()
        self._orders: dict[_Pool, _Order] = {}
        self._increased_at: dict[_Pool, float] = {}
        self._previous_spot: dict[tuple[str, str], int] = {}
        self._zone_lost_at: dict[str, float] = {}
        self._spot_retry_at: dict[str, float] = {}
        self._probe_count: dict[str, int] = {}
        self._initial_endpoints: dict[str, set[str]] = {}
        self._forecasts: dict[str, LoadForecast] = {}
        # The engines' mean speed by which each service's load is scaled.
        self._mean_speeds: dict[str, float] = {}
        # Returns an engine's learned speed; 1.0 for all where none are learned.
        self.engine_speed: Callable[[Member, float], float] = lambda _member, _now: 1.0
        # Since when this coordinator observes each service.
        self._observed_since: dict[str, float] = {}
        # Returns the target version of a service's current roll-out, or None.
        self.target_version: Callable[[str], str | None] = lambda _service: None

    @supervised_task
    async def _run(self) -> None:
        while not self.should_stop:
            await self._clock.sleep(_STEP_INTERVAL_S)
            index = self._view.index
            if index is None or not self._view.members_known:
                continue
            if not self._coordinator.may_order:
                if not self._coordinator.lease.is_mine:
                    self._orders.clear()
                    self._observed_since.clear()
                continue
            for service in index.table.services.values():
                if service.scaling is None:
                    continue
                try:
                    await self._scale(service, service.scaling)
                except EbonydealError as exc:
                    logger.warning("Order failed.", reason=str(exc))

    async def _scale(self, service: ForwardService, scaling: Scaling) -> None:
        """Order what the plan wants; plan again at once if an order was refused."""
        now = self._clock.now()
        self._detect_lost_zones(service.name, scaling, now)
        load = self._update_forecast(service, now)
        await self._probe_spot(service, scaling, load)
        for _plan_number in range(_MAX_PLANS_PER_STEP):
            state = self._state(service, scaling, load)
            plan = plan_fleet(scaling, state, self._config)
            refused = False
            for change in self._changes(service.name, plan, state):
                # Increases come before decreases: no endpoint is released before its
                # replacement was accepted.
                if refused and change.wanted < change.have:
                    break
                if await self._order(change, scaling, load):
                    refused = True
            if not refused:
                return

    def _state(
        self, service: ForwardService, scaling: Scaling, load: float
    ) -> FleetState:
        zones = self._zone_fleets(service.name, scaling, self._clock.now())
        all_zones = frozenset(scaling.zone_prices) | frozenset(zones)
        return FleetState(
            zones=zones,
            load=load,
            zones_without_spot=(
                all_zones if service.name in self._spot_retry_at else frozenset()
            ),
            min_endpoints=self._min_endpoints(service.name, zones),
            reclaim_burst=self._in_reclaim_burst(service.name, self._clock.now()),
        )

    def _detect_lost_zones(self, service: str, scaling: Scaling, now: float) -> None:
        """Detect zones whose reclaimable endpoints were all lost at once."""
        zones = self._zone_fleets(service, scaling, now)
        for zone in set(scaling.zone_prices) | set(zones):
            have = zones.get(zone, ZoneFleet()).spot
            had = self._previous_spot.get((service, zone), 0)
            self._previous_spot[(service, zone)] = have
            order = self._orders.get(_Pool(service, zone, True))
            if had and not have and (order is None or order.wanted > 0):
                self._zone_lost_at[service] = now
                # The last order there is void.
                self._orders.pop(_Pool(service, zone, True), None)
                logger.info("Zone taken back.", service=service, zone=zone, had=had)

    def _in_reclaim_burst(self, service: str, now: float) -> bool:
        at = self._zone_lost_at.get(service)
        return at is not None and now - at < self._config.reclaim_burst_s

    def _min_endpoints(self, service: str, zones: dict[str, ZoneFleet]) -> int:
        """Return the minimum size of the fleet, whatever its load.

        Until load has been measured, the size with which operators started is the best
        estimate of the load to come.
        """
        # At the start endpoints are listed one after the other, and some may have been
        # reclaimed before all are listed.
        initial = self._initial_endpoints.setdefault(service, set())
        forecast = self._forecast_of(service)
        if not forecast.has_load:
            initial.update(
                member.endpoint_id
                for member in self._view.members.values()
                if member.service == service and not member.reclaimable
            )
        if self._config.keep_initial_size and not forecast.is_measured(
            self._clock.now()
        ):
            on_demand = sum(fleet.on_demand for fleet in zones.values())
            return max(1, on_demand, len(initial))
        return 1

    def _is_load_unknown(self, service: str) -> bool:
        """Return whether a previous coordinator sized the fleet by a load unknown here.

        After a takeover, and when all relays restart, requests return over some
        seconds. A plan by the first of them would release endpoints that the others
        need.
        """
        if self._coordinator.lease.is_first or not self._config.keep_initial_size:
            return False
        now = self._clock.now()
        if now - self._observed_since.setdefault(service, now) > _MAX_UNMEASURED_S:
            return False
        return not self._forecast_of(service).is_measured(now)

    async def _probe_spot(
        self, service: ForwardService, scaling: Scaling, load: float
    ) -> None:
        """Order one reclaimable endpoint to learn whether any is available again."""
        now = self._clock.now()
        retry_at = self._spot_retry_at.get(service.name)
        if retry_at is None or now < retry_at:
            return
        zones = self._zone_fleets(service.name, scaling, now)
        names = sorted(set(scaling.zone_prices) | set(zones))
        count = self._probe_count.get(service.name, 0)
        self._probe_count[service.name] = count + 1
        zone = names[count % len(names)]
        fleet = zones.get(zone, ZoneFleet())
        have = fleet.spot + fleet.spot_pending
        pool = _Pool(service.name, zone, True)
        if not await self._order(_Change(pool, have + 1, have), scaling, load):
            self._spot_retry_at.pop(service.name, None)

    def _changes(
        self, service: str, plan: FleetPlan, state: FleetState
    ) -> list[_Change]:
        """Return the orders for the plan, increases first."""
        changes = []
        for zone, target in plan.zones.items():
            fleet = state.zones.get(zone, ZoneFleet())
            spot_have = fleet.spot + fleet.spot_pending
            on_demand_have = fleet.on_demand + fleet.on_demand_pending
            for pool, wanted, have in (
                (_Pool(service, zone, True), target.spot, spot_have),
                (_Pool(service, zone, False), target.on_demand, on_demand_have),
            ):
                changes.append(_Change(pool, wanted, have))
        changes.sort(key=lambda c: (c.wanted < c.have, not c.pool.spot))
        return changes

    def _update_forecast(self, service: ForwardService, now: float) -> float:
        """Add the reported load; return the load to plan for, in busy endpoints."""
        messages = self._coordinator.live_reports()
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
        # Work is measured at speed 1.0. How many requests run is measured, and slow
        # engines run each for longer.
        work /= self._mean_speed(service.name, now)
        observed = work + running / max(1, slots)
        in_burst = self._in_reclaim_burst(service.name, now)
        return self._forecast_of(service.name).observe(observed, in_burst, now)

    def _mean_speed(self, service: str, now: float) -> float:
        """Return the mean speed of a service's endpoints that stay."""
        speeds = [
            self.engine_speed(member, now)
            for member in self._view.members.values()
            if member.service == service and not member.leaving
        ]
        mean = sum(speeds) / len(speeds) if speeds else 1.0
        used = self._mean_speeds.get(service, 1.0)
        if abs(mean - used) < _MIN_SPEED_CHANGE * used:
            return used
        self._mean_speeds[service] = mean
        return mean

    def _forecast_of(self, service: str) -> LoadForecast:
        forecast = self._forecasts.get(service)
        if forecast is None:
            forecast = self._forecasts[service] = LoadForecast(self._config)
        return forecast

    def _zone_fleets(
        self, service: str, scaling: Scaling, now: float
    ) -> dict[str, ZoneFleet]:
        """Return the service's endpoints by zone and kind."""
        zones: dict[str, ZoneFleet] = {}
        # Endpoints of a version that may be bad don't count as capacity yet.
        target_version = self.target_version(service)
        for member in self._view.members.values():
            if member.service != service or member.leaving:
                continue
            if target_version is not None and member.version == target_version:
                continue
            fleet = zones.get(member.zone, ZoneFleet())
            if member.reclaimable:
                fleet = fleet._replace(spot=fleet.spot + 1)
            else:
                fleet = fleet._replace(on_demand=fleet.on_demand + 1)
            zones[member.zone] = fleet
        for pool, order in self._orders.items():
            if pool.service != service:
                continue
            if now > order.expected_until:
                continue
            fleet = zones.get(pool.zone, ZoneFleet())
            have = fleet.spot if pool.spot else fleet.on_demand
            # Orders beyond the zone's bound are accepted, but those endpoints never
            # arrive.
            room = max(0, scaling.max_endpoints - fleet.spot - fleet.on_demand)
            pending = min(room, max(0, order.wanted - have))
            if pool.spot:
                zones[pool.zone] = fleet._replace(spot_pending=pending)
            else:
                zones[pool.zone] = fleet._replace(on_demand_pending=pending)
        return zones

    async def _order(self, change: _Change, scaling: Scaling, load: float) -> bool:
        """Send the order if it is due; return whether it was refused."""
        pool, count, have = change
        last = self._orders.get(pool)
        if count == have and (last is None or last.wanted == count):
            return False
        if last is not None and last.wanted == count:
            # An increase is not sent again before its endpoints could have arrived.
            if count <= have or self._clock.now() <= last.expected_until:
                return False
        increased_at = self._increased_at.get(pool)
        if count < have and increased_at is not None:
            # Endpoints that still boot aren't released: the plan may need them again.
            if self._clock.now() - increased_at < _MIN_DECREASE_DELAY_S:
                return False
        if count < have and self.target_version(pool.service) is not None:
            # All old endpoints are needed until the new version proves good.
            return False
        if count < have and self._is_load_unknown(pool.service):
            return False
        if count < have and self._in_reclaim_burst(pool.service, self._clock.now()):
            # Existing endpoints are needed if the next zone is reclaimed, and in the
            # first seconds of traffic the load isn't known yet.
            return False
        if not self._coordinator.may_order:
            return False
        reply = await self._duties.order(
            pool.service, pool.zone, count, pool.spot, self._coordinator.lease.fence
        )
        now = self._clock.now()
        logger.info(
            "Endpoints ordered.",
            service=pool.service,
            zone=pool.zone,
            spot=pool.spot,
            count=count,
            have=have,
            load=round(load, 3),
            accepted=reply.accepted,
            detail=reply.detail,
        )
        if reply.accepted:
            self._metrics.count(Event.ORDERS_SENT)
            expected_until = now + scaling.boot_s + _BOOT_SLACK_S
            self._orders[pool] = _Order(count, expected_until)
            if count > have:
                self._increased_at[pool] = now
            return False
        self._metrics.count(Event.STARTS_REFUSED)
        if reply.conflict:
            self._coordinator.order_refused()
        if pool.spot and count > have:
            self._spot_retry_at[pool.service] = now + self._config.spot_retry_interval_s
        return True
