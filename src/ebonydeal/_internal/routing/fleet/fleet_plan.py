"""How many endpoints of which kind a service should have in each zone.

The plan is the least cost at which the forecast load is carried even while the
zone with most reclaimable endpoints is taken back. Reclaimable endpoints come
first; on-demand ones fill what reclaimable ones can't give at the moment.

Zones are taken back in waves, a few seconds apart, with less notice than an
endpoint needs to boot. So with the first zone that goes, enough on-demand
endpoints are ordered to carry the load alone, and kept until no further zone
went for a while.
"""

from math import ceil
from typing import NamedTuple

from ebonydeal._internal.models.forwarding import Scaling
from ebonydeal._internal.settings.policy import PolicySettings

# With fewer zones the loss of two is the loss of all.
_ZONES_FOR_TWO = 3


class ZoneFleet(NamedTuple):
    """Endpoints in one zone by kind: serving, and ordered but not there yet.

    Those that leave are left out.
    """

    spot: int = 0
    fixed: int = 0
    spot_coming: int = 0
    fixed_coming: int = 0


class FleetState(NamedTuple):
    """What is known when a plan is made.

    Attributes
    ----------
    zones : dict of str to ZoneFleet
        Endpoints of the service now.
    load : float
        Endpoints that the present load would keep busy at full use.
    dry : frozenset of str
        Zones where no reclaimable endpoint is to be had at the moment.
    least : int
        Endpoints wanted whatever the load.
    wave : bool
        A zone was taken back just now; others may follow.
    """

    zones: dict[str, ZoneFleet]
    load: float
    dry: frozenset[str] = frozenset()
    least: int = 1
    wave: bool = False


class FleetTerms(NamedTuple):
    """Settings of the planner.

    Attributes
    ----------
    use : float
        Share of an endpoint's capacity that is planned for: beyond it waiting
        before the first event grows fast.
    use_short : float
        The same while the zone with most of them was just taken back.
    use_last : float
        The same while the two zones with most of them were: on-demand ones
        come within a boot time then, until when streams wait.
    use_wave : float
        The same of on-demand endpoints alone, while zones are taken back.
    cover : bool
        Whether on-demand endpoints stand in for the zone with most of them.
    least_fixed : bool
        Whether a zone's least is filled with on-demand endpoints while
        reclaimable ones are refused.
    wave : float
        Seconds after a zone was taken back in which more may follow.
    wave_growth : float
        So much more load than before is believed meanwhile; 0 is no bound.
    peak : float
        Seconds for which the highest load is planned for.
    dry : float
        Seconds between two questions for reclaimable endpoints that were refused.
    found : bool
        Whether the fleet is kept as it was found until its load was measured.
    """

    use: float = 0.45
    use_short: float = 0.7
    use_last: float = 0.7
    use_wave: float = 0.7
    cover: bool = True
    least_fixed: bool = False
    wave: float = 7.0
    wave_growth: float = 1.6
    peak: float = 6.0
    dry: float = 1.0
    found: bool = True

    @classmethod
    def from_config(cls, cfg: PolicySettings) -> "FleetTerms":
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


class _Need(NamedTuple):
    """Endpoints needed: with all zones, without the largest, without two."""

    whole: int
    short: int
    last: int

    def met(self, counts: list[int]) -> bool:
        """Return whether so many endpoints a zone are enough."""
        ranked = sorted(counts)
        return (
            sum(ranked) >= self.whole
            and sum(ranked[:-1]) >= self.short
            and (len(ranked) < _ZONES_FOR_TWO or sum(ranked[:-2]) >= self.last)
        )


class ZoneTarget(NamedTuple):
    """Wanted endpoints of a zone, by kind."""

    spot: int
    fixed: int


class FleetPlan(NamedTuple):
    """Wanted endpoints by zone, and how many the load needs."""

    zones: dict[str, ZoneTarget]
    need: int


def plan_fleet(scaling: Scaling, state: FleetState, terms: FleetTerms) -> FleetPlan:
    """Return the wanted fleet for the bounds, prices and state given."""
    prices = scaling.zone_prices
    zones = sorted(
        set(prices) | set(state.zones), key=lambda z: (prices.get(z, 1.0), z)
    )
    now = {zone: state.zones.get(zone, ZoneFleet()) for zone in zones}
    need = _Need(
        whole=max(1, state.least, ceil(state.load / terms.use)),
        short=_at_use(state.load, terms.use_short),
        last=_at_use(state.load, terms.use_last),
    )
    offered = scaling.spot_price is not None and scaling.spot_price < 1.0
    kept = _kept_fixed(zones, now, max(need.short, state.least))
    spot = dict.fromkeys(zones, 0)
    if offered:
        spot = _spread_spot(scaling, zones, now, state.dry, need, kept)
    total = sum(spot.values())
    lost = max(spot.values(), default=0) if terms.cover else 0
    wanted = need.short - (total - lost)
    if offered and state.wave and terms.use_wave:
        wanted = ceil(state.load / terms.use_wave)
    least = dict.fromkeys(zones, scaling.min_endpoints)
    if not terms.least_fixed:
        least.update(dict.fromkeys(state.dry, 0))
    fixed = _fill_fixed(scaling, zones, now, spot, wanted, kept, least)
    plan = {zone: ZoneTarget(spot[zone], fixed[zone]) for zone in zones}
    return FleetPlan(plan, need.whole)


def _at_use(load: float, use: float) -> int:
    """Return the endpoints that carry a load at a use; 0 of use asks for one."""
    return max(1, ceil(load / use)) if use else 1


def _kept_fixed(
    zones: list[str], now: dict[str, ZoneFleet], need: int
) -> dict[str, int]:
    """Return the on-demand endpoints that stay until reclaimable ones serve."""
    serving = sum(now[zone].spot for zone in zones)
    kept = {zone: now[zone].fixed + now[zone].fixed_coming for zone in zones}
    spare = sum(kept.values()) - max(0, need - serving)
    while spare > 0 and any(kept.values()):
        # From the zone with most of them, which makes room there.
        zone = max(zones, key=lambda z: (kept[z], z))
        kept[zone] -= 1
        spare -= 1
    return kept


def _spread_spot(
    scaling: Scaling,
    zones: list[str],
    now: dict[str, ZoneFleet],
    dry: frozenset[str],
    need: _Need,
    kept: dict[str, int],
) -> dict[str, int]:
    """Spread reclaimable endpoints so that the loss of zones leaves enough."""
    # Both kinds together have one upper bound.
    room = {zone: max(0, scaling.max_endpoints - kept[zone]) for zone in zones}
    # A zone that gives no more keeps what it has.
    spot = {
        zone: min(now[zone].spot if zone in dry else scaling.min_endpoints, room[zone])
        for zone in zones
    }
    while not need.met(list(spot.values())):
        open_zones = [z for z in zones if z not in dry and spot[z] < room[z]]
        if not open_zones:
            break
        prices = scaling.zone_prices
        zone = min(open_zones, key=lambda z: (spot[z], prices.get(z, 1.0), z))
        spot[zone] += 1
    return spot


def _fill_fixed(
    scaling: Scaling,
    zones: list[str],
    now: dict[str, ZoneFleet],
    spot: dict[str, int],
    wanted: int,
    kept: dict[str, int],
    least: dict[str, int],
) -> dict[str, int]:
    """Return on-demand endpoints: ``wanted``, and those kept until others serve."""
    fixed = {
        zone: min(
            max(kept[zone], least[zone] - spot[zone]),
            scaling.max_endpoints - spot[zone],
        )
        for zone in zones
    }
    while sum(fixed.values()) < wanted:
        open_zones = [z for z in zones if spot[z] + fixed[z] < scaling.max_endpoints]
        if not open_zones:
            break
        prices = scaling.zone_prices
        # Those that are there or coming first: they need no boot.
        zone = min(
            open_zones,
            key=lambda z: (
                now[z].fixed + now[z].fixed_coming <= fixed[z],
                fixed[z],
                prices.get(z, 1.0),
                z,
            ),
        )
        fixed[zone] += 1
    return fixed
