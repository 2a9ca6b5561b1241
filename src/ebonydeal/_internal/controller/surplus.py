"""Which instances are drained because they are not wanted any more.

Make before break: what is ready goes only while the rest still holds the target
through the loss of any one zone. Only what breaks the price ceiling goes at
once.
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
    wanted: DesiredState,
    observed: ObservedState,
    staying: list[InstanceRow],
    config: ReconcileConfig,
    now: float,
) -> list[Drain]:
    """Return drains of what is not wanted; ``staying`` loses what is drained.

    Parameters
    ----------
    wanted, observed : DesiredState, ObservedState
        What should run and what does.
    staying : list of InstanceRow
        Live rows that nothing else takes away this round.
    config : ReconcileConfig
        Constants.
    now : float
        Wall clock seconds.
    """
    cost = sum(observed.price(row) for row in staying)
    blocked = _blocked_by_ceiling(wanted, observed, staying)
    drains = []
    for row in _surplus(wanted, observed, staying):
        over = cost > wanted.ceiling + _EPS
        rest = [item for item in staying if item is not row]
        if not over and not _strong(rest, wanted, blocked):
            continue
        serving = row.state is InstanceState.READY
        why = "price ceiling" if over else "not wanted any more"
        wait = config.drain_over_ceiling if over else config.drain_longest
        drains.append(Drain(row, why, now + (wait if serving else 0.0)))
        staying.remove(row)
        cost -= observed.price(row)
    return drains


def _strong(rest: list[InstanceRow], wanted: DesiredState, blocked: bool) -> bool:
    """Return whether the ready ones among ``rest`` are enough.

    Where the ceiling blocks the start of what is wanted, the target itself is
    enough: something has to go before anything can come.
    """
    zones = Counter(row.zone for row in rest if row.state is InstanceState.READY)
    ready = sum(zones.values())
    if blocked:
        return ready >= min(wanted.target, sum(wanted.counts.values()))
    if ready < sum(wanted.counts.values()):
        return False
    aim = Counter[str]()
    for key, number in wanted.counts.items():
        aim[key.zone] += number
    return zone_loss_capacity(zones) >= min(wanted.target, zone_loss_capacity(aim))


def zone_loss_capacity(zones: Counter[str]) -> int:
    """Return how many remain after the loss of the fullest zone."""
    return sum(zones.values()) - max(zones.values(), default=0)


def _surplus(
    wanted: DesiredState, observed: ObservedState, staying: Iterable[InstanceRow]
) -> list[InstanceRow]:
    """Return the rows beyond the wanted counts: not ready first, then dearest."""
    order = sorted(staying, key=lambda row: (row.state != InstanceState.READY, row.at))
    kept: Counter[OfferKey] = Counter()
    surplus = []
    for row in order:
        key = OfferKey.of(row)
        kept[key] += 1
        if kept[key] > wanted.counts.get(key, 0):
            surplus.append(row)
    surplus.sort(
        key=lambda row: (row.state == InstanceState.READY, -observed.price(row))
    )
    return surplus


def _blocked_by_ceiling(
    wanted: DesiredState, observed: ObservedState, staying: Iterable[InstanceRow]
) -> bool:
    """Return whether a wanted start can't be paid before something is drained."""
    have = Counter(OfferKey.of(row) for row in staying)
    prices = [
        observed.prices.get(key, 0.0)
        for key, number in wanted.counts.items()
        if number > have[key]
    ]
    if not prices:
        return False
    return observed.committed() + min(prices) > wanted.ceiling + _EPS
