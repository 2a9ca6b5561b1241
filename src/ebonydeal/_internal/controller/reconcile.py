"""From wanted and observed to actions, for the instances of one deployment.

Every intent is a row in the table service before it is a call to the cloud, and
a row's state only moves forward (starting, warming, ready, draining,
releasing). So a late call of a leader that was paused can only carry out what
had been recorded anyway, and a new leader finds everything that was begun.
"""

from collections import Counter
from collections.abc import Iterator, Mapping, Set
from typing import NamedTuple

from ebonydeal._internal.controller.actions import (
    Action,
    Adopt,
    Condemn,
    Drain,
    Forget,
    Hold,
    MarkReady,
    Release,
    Restart,
    Start,
    Warm,
)
from ebonydeal._internal.controller.values import (
    LIVE_STATES,
    InstanceRow,
    InstanceState,
    OfferKey,
)
from ebonydeal._internal.platform.interfaces import CloudInstance

_EPS = 1e-9


class ReconcilePolicy(NamedTuple):
    """Constants of reconciling, in seconds and counts.

    Attributes
    ----------
    list_grace : float
        How long a started instance may be absent from the cloud's list.
    warm_timeout : float
        Longest time from start to warm before the instance is replaced.
    drain_least : float
        Least drain of an instance that served: leaving marks spread meanwhile.
    drain_longest : float
        Longest drain where the cloud sets no deadline.
    drain_over_ceiling : float
        Longest drain of an instance that breaks the price ceiling.
    starts_at_once : int
        Most starts in one round.
    """

    list_grace: float = 20.0
    warm_timeout: float = 900.0
    drain_least: float = 5.0
    drain_longest: float = 600.0
    drain_over_ceiling: float = 30.0
    starts_at_once: int = 50


class Wanted(NamedTuple):
    """What should run.

    Attributes
    ----------
    counts : mapping of OfferKey to int
        Instances by (zone, class, market).
    target : int
        Replicas without which the deployment is below strength.
    ceiling : float
        Most that all instances together may cost an hour.
    """

    counts: Mapping[OfferKey, int]
    target: int
    ceiling: float


class Observed(NamedTuple):
    """What is known to run.

    ``instances`` must have been listed before ``rows`` were read: then an
    instance without a row can't be one whose start was recorded meanwhile.

    Attributes
    ----------
    instances : mapping of str to CloudInstance
        By token.
    rows : mapping of str to InstanceRow
        By token.
    warm : set of str
        Tokens of instances whose order is in force and whose engine is ready.
    idle : set of str
        Tokens of instances known to run nothing.
    leaving : mapping of str to float
        Tokens under a reclaim notice, with its deadline (wall seconds).
    prices : mapping of OfferKey to float
        Present prices.
    """

    instances: Mapping[str, CloudInstance]
    rows: Mapping[str, InstanceRow]
    warm: Set[str]
    idle: Set[str]
    leaving: Mapping[str, float]
    prices: Mapping[OfferKey, float]

    def price(self, row: InstanceRow) -> float:
        """Return the present price of a row's instance, an hour."""
        return self.prices.get(OfferKey.of(row), row.price_per_hour)


def plan(
    wanted: Wanted,
    observed: Observed,
    policy: ReconcilePolicy,
    now: float,
    unreplaced: tuple[str, ...] = (),
) -> list[Action]:
    """Return what to do next.

    Parameters
    ----------
    wanted, observed : Wanted, Observed
        What should run and what does.
    policy : ReconcilePolicy
        Constants.
    now : float
        Wall clock seconds.
    unreplaced : tuple of str
        Tokens that were lost and whose replacement has not been started.
    """
    actions: list[Action] = [
        Condemn(instance)
        for token, instance in observed.instances.items()
        if token not in observed.rows
    ]
    for row in observed.rows.values():
        actions.extend(_advance(row, observed, policy, now))
    staying = _staying(observed, actions)
    drains = _drain_surplus(wanted, observed, staying, policy, now)
    actions = _without_rows(actions, {drain.row.token for drain in drains})
    actions.extend(drains)
    actions.extend(_starts(wanted, observed, staying, actions, unreplaced, policy))
    return actions


def _without_rows(actions: list[Action], tokens: Set[str]) -> list[Action]:
    """Return the actions that don't touch these rows: one change at a time."""
    return [
        action
        for action in actions
        if not isinstance(action, Restart | Adopt | Warm | MarkReady)
        or action.row.token not in tokens
    ]


def _advance(
    row: InstanceRow, observed: Observed, policy: ReconcilePolicy, now: float
) -> Iterator[Action]:
    """Yield the next step of one recorded instance, if any."""
    instance = observed.instances.get(row.token)
    age = now - row.at
    match row.state:
        case InstanceState.STARTING:
            yield Restart(row) if instance is None else Adopt(row, instance)
        case InstanceState.WARMING | InstanceState.READY:
            yield from _advance_running(row, instance is None, observed, policy, now)
        case InstanceState.DRAINING:
            if instance is None and age > policy.list_grace:
                yield Forget(row, lost=False)
            elif now >= row.drain_until:
                yield Release(row)
            elif row.token in observed.idle and age >= policy.drain_least:
                yield Release(row)
        case InstanceState.RELEASING:
            yield Forget(row, lost=False) if instance is None else Release(row)


def _advance_running(
    row: InstanceRow,
    missing: bool,
    observed: Observed,
    policy: ReconcilePolicy,
    now: float,
) -> Iterator[Action]:
    """Yield the next step of an instance that warms up or serves."""
    age = now - row.at
    if missing:
        if age > policy.list_grace:
            yield Forget(row, lost=True)
    elif row.token in observed.leaving:
        yield Drain(row, "reclaim notice", observed.leaving[row.token])
    elif row.state is InstanceState.READY:
        return
    elif row.token in observed.warm:
        yield MarkReady(row)
    elif age > policy.warm_timeout:
        yield Drain(row, "did not warm up in time", now)
    else:
        yield Warm(row)


def _staying(observed: Observed, actions: list[Action]) -> list[InstanceRow]:
    """Return the live rows that no action takes away."""
    going = {
        action.row.token for action in actions if isinstance(action, Drain | Forget)
    }
    return [
        row
        for row in observed.rows.values()
        if row.state in LIVE_STATES and row.token not in going
    ]


def _drain_surplus(
    wanted: Wanted,
    observed: Observed,
    staying: list[InstanceRow],
    policy: ReconcilePolicy,
    now: float,
) -> list[Drain]:
    """Drain what is not wanted, without going below strength.

    ``staying`` loses what is drained. What breaks the ceiling goes first and at
    once; the rest only while enough others are ready.
    """
    surplus = _surplus(wanted, observed, staying)
    cost = sum(observed.price(row) for row in staying)
    ready = sum(row.state is InstanceState.READY for row in staying)
    needed = sum(wanted.counts.values())
    if _blocked_by_ceiling(wanted, observed, staying):
        needed = min(needed, wanted.target)
    drains = []
    for row in surplus:
        over = cost > wanted.ceiling + _EPS
        serving = row.state is InstanceState.READY
        if serving and not over and ready - 1 < needed:
            continue
        why = "price ceiling" if over else "not wanted any more"
        wait = policy.drain_over_ceiling if over else policy.drain_longest
        drains.append(Drain(row, why, now + (wait if serving else 0.0)))
        staying.remove(row)
        cost -= observed.price(row)
        ready -= serving
    return drains


def _surplus(
    wanted: Wanted, observed: Observed, staying: list[InstanceRow]
) -> list[InstanceRow]:
    """Return the rows beyond the wanted counts, dearest first.

    Within one key those that serve least well go first: not yet ready ones.
    """
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


def _committed(observed: Observed) -> float:
    """Return the present price of everything that may still be running."""
    return sum(observed.price(row) for row in observed.rows.values())


def _blocked_by_ceiling(
    wanted: Wanted, observed: Observed, staying: list[InstanceRow]
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
    return _committed(observed) + min(prices) > wanted.ceiling + _EPS


def _starts(
    wanted: Wanted,
    observed: Observed,
    staying: list[InstanceRow],
    actions: list[Action],
    unreplaced: tuple[str, ...],
    policy: ReconcilePolicy,
) -> Iterator[Action]:
    """Yield starts of what is missing, as far as the ceiling allows."""
    have = Counter(OfferKey.of(row) for row in staying)
    cost = _committed(observed) - sum(
        observed.price(action.row) for action in actions if isinstance(action, Forget)
    )
    causes = iter(unreplaced + _taken_away(actions))
    left = policy.starts_at_once
    cheapest_first = sorted(
        wanted.counts.items(), key=lambda item: observed.prices.get(item[0], 0.0)
    )
    for key, number in cheapest_first:
        missing = number - have[key]
        price = observed.prices.get(key)
        if price is None or missing <= 0:
            continue
        for done in range(missing):
            if left <= 0:
                return
            if cost + price > wanted.ceiling + _EPS:
                yield Hold(key, missing - done)
                break
            replaces = next(causes, "")
            why = "replacement" if replaces else "below wanted number"
            yield Start(key, price, why, replaces)
            cost += price
            left -= 1


def _taken_away(actions: list[Action]) -> tuple[str, ...]:
    """Return the tokens that this round takes away against our will."""
    tokens = []
    for action in actions:
        match action:
            case Drain(row=row, why="reclaim notice") | Forget(row=row, lost=True):
                tokens.append(row.token)
    return tuple(tokens)
