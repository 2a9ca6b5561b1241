"""Selects the instances that are drained because they are no longer needed.

Make before break: a ready instance is drained only if the others still keep the
target through the loss of any one zone. Only instances that exceed the price
ceiling are drained at once.
"""

from collections import Counter
from collections.abc import Iterable

from ebonydeal._internal.controller.actions import Drain
from ebonydeal._internal.controller.reconcile_state import (
    DesiredState,
    ObservedState,
    ReconcileConfig,
)
from ebonydeal._internal.controller.values import (
    InstanceRow,
    InstanceState,
    OfferKey,
)

_EPS = 1e-9


def drain_surplus(
    desired: DesiredState,
    observed: ObservedState,
    staying: list[InstanceRow],
    config: ReconcileConfig,
    now: float,
) -> list[Drain]:
    """Return drains of surplus instances, and remove them from ``staying``.

    Parameters
    ----------
    desired, observed : DesiredState, ObservedState
        What should run and what is known to run.
    staying : list of InstanceRow
        Live rows that no other action drains or deletes in this round.
    config : ReconcileConfig
        Parameters.
    now : float
        Wall clock seconds.
    """
    cost = sum(observed.price(row) for row in staying)
    ceiling_blocks = _blocked_by_ceiling(desired, observed, staying)
    drains = []
    for row in _surplus(desired, observed, staying):
        over_ceiling = cost > desired.ceiling + _EPS
        rest = [item for item in staying if item is not row]
        if not over_ceiling and not _suffices(rest, desired, ceiling_blocks):
            continue
        serving = row.state is InstanceState.READY
        why = "price ceiling" if over_ceiling else "not wanted any more"
        wait = config.drain_over_ceiling if over_ceiling else config.max_drain_s
        drains.append(Drain(row, why, now + (wait if serving else 0.0)))
        staying.remove(row)
        cost -= observed.price(row)
    return drains


def _suffices(
    rest: list[InstanceRow], desired: DesiredState, ceiling_blocks: bool
) -> bool:
    """Return whether the ready instances among ``rest`` are enough.

    If the ceiling prevents the start of desired instances, the target without
    spare replicas is enough, as an instance must be released first.
    """
    zones = Counter(row.zone for row in rest if row.state is InstanceState.READY)
    ready = sum(zones.values())
    if ceiling_blocks:
        return ready >= min(desired.target, sum(desired.counts.values()))
    if ready < sum(desired.counts.values()):
        return False
    desired_zones = Counter[str]()
    for key, number in desired.counts.items():
        desired_zones[key.zone] += number
    return zone_loss_capacity(zones) >= min(
        desired.target, zone_loss_capacity(desired_zones)
    )


def zone_loss_capacity(zones: Counter[str]) -> int:
    """Return the replicas left after the loss of the zone that has the most."""
    return sum(zones.values()) - max(zones.values(), default=0)


def _surplus(
    desired: DesiredState, observed: ObservedState, staying: Iterable[InstanceRow]
) -> list[InstanceRow]:
    """Return rows beyond the desired counts: unready, then most expensive first."""
    order = sorted(staying, key=lambda row: (row.state != InstanceState.READY, row.at))
    kept: Counter[OfferKey] = Counter()
    surplus = []
    for row in order:
        key = OfferKey.of(row)
        kept[key] += 1
        if kept[key] > desired.counts.get(key, 0):
            surplus.append(row)
    surplus.sort(
        key=lambda row: (row.state == InstanceState.READY, -observed.price(row))
    )
    return surplus


def _blocked_by_ceiling(
    desired: DesiredState, observed: ObservedState, staying: Iterable[InstanceRow]
) -> bool:
    """Return whether the ceiling allows no desired start before a release."""
    counts = Counter(OfferKey.of(row) for row in staying)
    prices = [
        observed.prices.get(key, 0.0)
        for key, number in desired.counts.items()
        if number > counts[key]
    ]
    if not prices:
        return False
    return observed.committed() + min(prices) > desired.ceiling + _EPS
