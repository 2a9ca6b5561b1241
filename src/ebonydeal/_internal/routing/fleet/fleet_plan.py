"""Plans how many endpoints of each kind a service should have in each zone.

The plan is the cheapest one that can serve the forecast load even while the zone with
the most reclaimable endpoints is reclaimed. Reclaimable endpoints are preferred;
on-demand ones replace those that are unavailable at the moment.

Zones are reclaimed in bursts, a few seconds apart, with less notice than an endpoint
needs to boot. So when the first zone is reclaimed, enough on-demand endpoints are
ordered to serve the load alone, and retained until no further zone has been reclaimed
for some time.
"""

from math import ceil
from typing import NamedTuple

from ebonydeal._internal.models.forwarding import Scaling
from ebonydeal._internal.settings.policy import PolicySettings

# With fewer zones, losing two means losing all of them.
_MIN_ZONES_FOR_LOSS_OF_TWO = 3


class ZoneFleet(NamedTuple):
    """Endpoints in one zone by kind, serving or ordered (pending).

    Leaving endpoints don't count.
    """

    spot: int = 0
    on_demand: int = 0
    spot_pending: int = 0
    on_demand_pending: int = 0


class FleetState(NamedTuple):
    """Input of a plan.

    Attributes
    ----------
    zones : dict of str to ZoneFleet
        Current endpoints of the service.
    load : float
        Endpoints that the current load would keep busy at full utilization.
    zones_without_spot : frozenset of str
        Zones where no reclaimable endpoint is available at the moment.
    min_endpoints : int
        Endpoints required whatever the load.
    reclaim_burst : bool
        Whether a zone has just been reclaimed, so that others may follow.
    """

    zones: dict[str, ZoneFleet]
    load: float
    zones_without_spot: frozenset[str] = frozenset()
    min_endpoints: int = 1
    reclaim_burst: bool = False


class FleetConfig(NamedTuple):
    """Settings of the planner.

    Attributes
    ----------
    target_utilization : float
        Planned utilization of endpoints: above it, the wait before the first event
        grows fast.
    utilization_one_zone_lost : float
        The same while the zone with the most endpoints has just been reclaimed.
    utilization_two_zones_lost : float
        The same while the two zones with the most endpoints have been: on-demand
        endpoints then arrive within a boot time, and streams wait until then.
    on_demand_utilization_in_burst : float
        The same for on-demand endpoints alone, while zones are being reclaimed.
    cover_zone_loss : bool
        Whether on-demand endpoints replace the zone with the most reclaimable ones in
        advance.
    fill_min_on_demand : bool
        Whether a zone's minimum is filled with on-demand endpoints while reclaimable
        ones are refused.
    reclaim_burst_s : float
        Seconds after a zone was reclaimed in which more zones may follow.
    max_growth_in_burst : float
        Factor by which the forecast may exceed the load before the burst; 0 is
        unlimited.
    peak_hold_s : float
        Seconds for which the highest load is planned for.
    spot_retry_interval_s : float
        Seconds between two orders for reclaimable endpoints that were refused.
    keep_initial_size : bool
        Whether the fleet keeps its initial size until its load has been measured.
    """

    target_utilization: float = 0.45
    utilization_one_zone_lost: float = 0.7
    utilization_two_zones_lost: float = 0.7
    on_demand_utilization_in_burst: float = 0.7
    cover_zone_loss: bool = True
    fill_min_on_demand: bool = False
    reclaim_burst_s: float = 7.0
    max_growth_in_burst: float = 1.6
    peak_hold_s: float = 6.0
    spot_retry_interval_s: float = 1.0
    keep_initial_size: bool = True

    @classmethod
    def from_config(cls, cfg: PolicySettings) -> "FleetConfig":
        """Build from settings."""
        return cls(
            cfg.fleet_use,
            cfg.fleet_use_short,
            cfg.fleet_use_last,
            cfg.fleet_use_wave,
            cfg.fleet_cover,
            cfg.fleet_least_fixed,
            cfg.fleet_wave_s,
            cfg.fleet_wave_growth,
            cfg.fleet_peak_s,
            cfg.fleet_dry_s,
            cfg.fleet_found,
        )


class _Requirement(NamedTuple):
    """Endpoints required with all zones, without the largest one or two of them."""

    total: int
    one_zone_lost: int
    two_zones_lost: int

    def is_met(self, counts: list[int]) -> bool:
        """Return whether these numbers of endpoints by zone are enough."""
        ranked = sorted(counts)
        return (
            sum(ranked) >= self.total
            and sum(ranked[:-1]) >= self.one_zone_lost
            and (
                len(ranked) < _MIN_ZONES_FOR_LOSS_OF_TWO
                or sum(ranked[:-2]) >= self.two_zones_lost
            )
        )


class ZoneTarget(NamedTuple):
    """Wanted endpoints of a zone, by kind."""

    spot: int
    on_demand: int


class FleetPlan(NamedTuple):
    """Wanted endpoints by zone, and the number that the load requires."""

    zones: dict[str, ZoneTarget]
    required: int


def plan_fleet(scaling: Scaling, state: FleetState, config: FleetConfig) -> FleetPlan:
    """Return the wanted fleet for the given bounds, prices and state."""
    prices = scaling.zone_prices
    zones = sorted(
        set(prices) | set(state.zones), key=lambda z: (prices.get(z, 1.0), z)
    )
    current = {zone: state.zones.get(zone, ZoneFleet()) for zone in zones}
    required = _Requirement(
        total=max(1, state.min_endpoints, ceil(state.load / config.target_utilization)),
        one_zone_lost=_endpoints_for(state.load, config.utilization_one_zone_lost),
        two_zones_lost=_endpoints_for(state.load, config.utilization_two_zones_lost),
    )
    spot_offered = scaling.spot_price is not None and scaling.spot_price < 1.0
    retained = _retained_on_demand(
        zones, current, max(required.one_zone_lost, state.min_endpoints)
    )
    spot = dict.fromkeys(zones, 0)
    if spot_offered:
        spot = _spread_spot(
            scaling, zones, current, state.zones_without_spot, required, retained
        )
    total = sum(spot.values())
    lost = max(spot.values(), default=0) if config.cover_zone_loss else 0
    wanted = required.one_zone_lost - (total - lost)
    if spot_offered and state.reclaim_burst and config.on_demand_utilization_in_burst:
        wanted = ceil(state.load / config.on_demand_utilization_in_burst)
    minimum = dict.fromkeys(zones, scaling.min_endpoints)
    if not config.fill_min_on_demand:
        minimum.update(dict.fromkeys(state.zones_without_spot, 0))
    on_demand = _fill_on_demand(
        scaling, zones, current, spot, wanted, retained, minimum
    )
    plan = {zone: ZoneTarget(spot[zone], on_demand[zone]) for zone in zones}
    return FleetPlan(plan, required.total)


def _endpoints_for(load: float, utilization: float) -> int:
    """Return the endpoints that serve a load at a utilization; 1 if that is 0."""
    return max(1, ceil(load / utilization)) if utilization else 1


def _retained_on_demand(
    zones: list[str], current: dict[str, ZoneFleet], required: int
) -> dict[str, int]:
    """Return the on-demand endpoints that stay until reclaimable ones serve."""
    serving = sum(current[zone].spot for zone in zones)
    retained = {
        zone: current[zone].on_demand + current[zone].on_demand_pending
        for zone in zones
    }
    spare = sum(retained.values()) - max(0, required - serving)
    while spare > 0 and any(retained.values()):
        # Remove one in the zone with the most, which makes room there.
        zone = max(zones, key=lambda z: (retained[z], z))
        retained[zone] -= 1
        spare -= 1
    return retained


def _spread_spot(
    scaling: Scaling,
    zones: list[str],
    current: dict[str, ZoneFleet],
    zones_without_spot: frozenset[str],
    required: _Requirement,
    retained: dict[str, int],
) -> dict[str, int]:
    """Spread reclaimable endpoints so that the loss of zones leaves enough."""
    # The upper bound applies to both kinds together.
    room = {zone: max(0, scaling.max_endpoints - retained[zone]) for zone in zones}
    # A zone where no more are available keeps those it has.
    spot = {
        zone: min(
            current[zone].spot if zone in zones_without_spot else scaling.min_endpoints,
            room[zone],
        )
        for zone in zones
    }
    while not required.is_met(list(spot.values())):
        open_zones = [
            z for z in zones if z not in zones_without_spot and spot[z] < room[z]
        ]
        if not open_zones:
            break
        prices = scaling.zone_prices
        zone = min(open_zones, key=lambda z: (spot[z], prices.get(z, 1.0), z))
        spot[zone] += 1
    return spot


def _fill_on_demand(
    scaling: Scaling,
    zones: list[str],
    current: dict[str, ZoneFleet],
    spot: dict[str, int],
    wanted: int,
    retained: dict[str, int],
    minimum: dict[str, int],
) -> dict[str, int]:
    """Return on-demand endpoints: ``wanted``, and those retained until others serve."""
    on_demand = {
        zone: min(
            max(retained[zone], minimum[zone] - spot[zone]),
            scaling.max_endpoints - spot[zone],
        )
        for zone in zones
    }
    while sum(on_demand.values()) < wanted:
        open_zones = [
            z for z in zones if spot[z] + on_demand[z] < scaling.max_endpoints
        ]
        if not open_zones:
            break
        prices = scaling.zone_prices
        # Prefer existing and pending ones, which need no boot.
        zone = min(
            open_zones,
            key=lambda z: (
                current[z].on_demand + current[z].on_demand_pending <= on_demand[z],
                on_demand[z],
                prices.get(z, 1.0),
                z,
            ),
        )
        on_demand[zone] += 1
    return on_demand
