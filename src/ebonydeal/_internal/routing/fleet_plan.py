"""How many endpoints of which kind a service should have in each zone.

The plan is the least cost at which the forecast load is carried even while the
zone with most reclaimable endpoints is taken back. Reclaimable endpoints come
first; on-demand ones fill what reclaimable ones can't give at the moment.
"""

from math import ceil
from typing import NamedTuple

from ebonydeal._internal.models.forwarding import Scaling


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
    """

    zones: dict[str, ZoneFleet]
    load: float
    dry: frozenset[str] = frozenset()
    least: int = 1


class FleetTerms(NamedTuple):
    """Settings of the planner.

    Attributes
    ----------
    use : float
        Share of an endpoint's capacity that is planned for: beyond it waiting
        before the first event grows fast.
    use_short : float
        The same while a zone was just taken back.
    """

    use: float = 0.4
    use_short: float = 0.65


class ZoneTarget(NamedTuple):
    """Wanted endpoints of a zone, by kind."""

    spot: int
    fixed: int


class FleetPlan(NamedTuple):
    """Wanted endpoints by zone, and what they were derived from."""

    zones: dict[str, ZoneTarget]
    need: int
    need_short: int


def plan_fleet(scaling: Scaling, state: FleetState, terms: FleetTerms) -> FleetPlan:
    """Return the wanted fleet for the bounds, prices and state given."""
    prices = scaling.zone_prices
    zones = sorted(
        set(prices) | set(state.zones), key=lambda z: (prices.get(z, 1.0), z)
    )
    now = {zone: state.zones.get(zone, ZoneFleet()) for zone in zones}
    need = max(1, state.least, ceil(state.load / terms.use))
    need_short = max(1, ceil(state.load / terms.use_short))
    spot = dict.fromkeys(zones, 0)
    if scaling.spot_price is not None and scaling.spot_price < 1.0:
        spot = _spread_spot(scaling, zones, now, state.dry, need, need_short)
    fixed = _fill_fixed(scaling, zones, now, spot, need, need_short)
    plan = {zone: ZoneTarget(spot[zone], fixed[zone]) for zone in zones}
    return FleetPlan(plan, need, need_short)


def _spread_spot(
    scaling: Scaling,
    zones: list[str],
    now: dict[str, ZoneFleet],
    dry: frozenset[str],
    need: int,
    need_short: int,
) -> dict[str, int]:
    """Spread reclaimable endpoints so that one zone's loss leaves enough."""
    # A zone that gives no more keeps what it has.
    spot = {
        zone: min(now[zone].spot, scaling.most) if zone in dry else scaling.least
        for zone in zones
    }
    while not _enough(spot, need, need_short):
        open_zones = [z for z in zones if z not in dry and spot[z] < scaling.most]
        if not open_zones:
            break
        prices = scaling.zone_prices
        zone = min(open_zones, key=lambda z: (spot[z], prices.get(z, 1.0), z))
        spot[zone] += 1
    return spot


def _enough(spot: dict[str, int], need: int, need_short: int) -> bool:
    """Return whether the load is carried, also without the largest zone."""
    total = sum(spot.values())
    return total >= need and total - max(spot.values(), default=0) >= need_short


def _fill_fixed(
    scaling: Scaling,
    zones: list[str],
    now: dict[str, ZoneFleet],
    spot: dict[str, int],
    need: int,
    need_short: int,
) -> dict[str, int]:
    """Return on-demand endpoints: what reclaimable ones can't give, or not yet."""
    total = sum(spot.values())
    largest = max(spot.values(), default=0)
    wanted = max(need_short - (total - largest), need - total if total == 0 else 0)
    # Those that are there or coming stay until the reclaimable ones serve.
    serving = sum(min(now[zone].spot, spot[zone]) for zone in zones)
    there = sum(now[zone].fixed + now[zone].fixed_coming for zone in zones)
    wanted = max(wanted, min(there, need - serving), 0)
    fixed = {zone: max(0, scaling.least - spot[zone]) for zone in zones}
    while sum(fixed.values()) < wanted:
        open_zones = [z for z in zones if spot[z] + fixed[z] < scaling.most]
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
