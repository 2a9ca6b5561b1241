"""From wanted and observed to actions, for the instances of one deployment.

Every intent is a row in the table service before it is a call to the cloud, and
a row's state only moves forward (starting, warming, ready, draining,
releasing). So a late call of a leader that was paused can only carry out what
had been recorded anyway, and a new leader finds everything that was begun.
"""

from collections import Counter
from collections.abc import Iterator, Set

from ebonydeal._internal.controller.actions import (
    Action,
    Adopt,
    Condemn,
    Drain,
    Enlist,
    Forget,
    Hold,
    MarkReady,
    Release,
    Restart,
    Start,
    Warm,
)
from ebonydeal._internal.controller.reconcile_state import (
    DesiredState,
    ObservedState,
    ReconcileConfig,
)
from ebonydeal._internal.controller.surplus import drain_surplus
from ebonydeal._internal.controller.values import (
    LIVE_STATES,
    InstanceRow,
    InstanceState,
    OfferKey,
    is_managed,
)

_EPS = 1e-9


def plan(
    wanted: DesiredState,
    observed: ObservedState,
    config: ReconcileConfig,
    now: float,
    unreplaced: tuple[str, ...] = (),
) -> list[Action]:
    """Return what to do next.

    Parameters
    ----------
    wanted, observed : DesiredState, ObservedState
        What should run and what does.
    config : ReconcileConfig
        Constants.
    now : float
        Wall clock seconds.
    unreplaced : tuple of str
        Tokens that were lost and whose replacement has not been started.

    Returns
    -------
    list of Action
        At most one for each instance. Nothing is started in a round that takes
        instances over: they may be what is missing.
    """
    actions: list[Action] = list(_unrecorded(wanted, observed))
    for row in observed.rows.values():
        actions.extend(_advance(row, observed, config, now))
    staying = _staying(observed, actions)
    drains = drain_surplus(wanted, observed, staying, config, now)
    actions = _without_rows(actions, {drain.row.token for drain in drains})
    actions.extend(drains)
    if any(isinstance(action, Enlist) for action in actions):
        return actions
    actions.extend(_starts(wanted, observed, staying, actions, unreplaced, config))
    return actions


def _unrecorded(wanted: DesiredState, observed: ObservedState) -> Iterator[Action]:
    """Yield what to do about instances without a row.

    One that a controller started comes from a call that landed late, and goes.
    One that somebody else started for the deployment is taken over.
    """
    for token, instance in observed.instances.items():
        if token in observed.rows:
            continue
        if is_managed(instance):
            yield Condemn(instance)
        elif wanted.target > 0:
            yield Enlist(instance)


def _without_rows(actions: list[Action], tokens: Set[str]) -> list[Action]:
    """Return the actions that don't touch these rows: one change at a time."""
    return [
        action
        for action in actions
        if not isinstance(action, Restart | Adopt | Warm | MarkReady)
        or action.row.token not in tokens
    ]


def _advance(
    row: InstanceRow, observed: ObservedState, config: ReconcileConfig, now: float
) -> Iterator[Action]:
    """Yield the next step of one recorded instance, if any."""
    instance = observed.instances.get(row.token)
    age = now - row.at
    match row.state:
        case InstanceState.STARTING:
            yield Restart(row) if instance is None else Adopt(row, instance)
        case InstanceState.WARMING | InstanceState.READY:
            yield from _advance_running(row, instance is None, observed, config, now)
        case InstanceState.DRAINING:
            if instance is None and age > config.list_grace:
                yield Forget(row, lost=False)
            elif now >= row.drain_until:
                yield Release(row)
            elif row.token in observed.idle and age >= config.drain_least:
                yield Release(row)
        case InstanceState.RELEASING:
            yield Forget(row, lost=False) if instance is None else Release(row)


def _advance_running(
    row: InstanceRow,
    missing: bool,
    observed: ObservedState,
    config: ReconcileConfig,
    now: float,
) -> Iterator[Action]:
    """Yield the next step of an instance that warms up or serves."""
    age = now - row.at
    if missing:
        if row.token in observed.gone and age > config.list_grace:
            yield Forget(row, lost=True)
    elif row.token in observed.leaving:
        yield Drain(row, "reclaim notice", observed.leaving[row.token])
    elif row.state is InstanceState.READY:
        return
    elif row.token in observed.warm:
        yield MarkReady(row)
    elif age > config.warm_timeout:
        yield Drain(row, "did not warm up in time", now)
    else:
        yield Warm(row)


def _staying(observed: ObservedState, actions: list[Action]) -> list[InstanceRow]:
    """Return the live rows that no action takes away."""
    going = {
        action.row.token for action in actions if isinstance(action, Drain | Forget)
    }
    return [
        row
        for row in observed.rows.values()
        if row.state in LIVE_STATES and row.token not in going
    ]


def _starts(
    wanted: DesiredState,
    observed: ObservedState,
    staying: list[InstanceRow],
    actions: list[Action],
    unreplaced: tuple[str, ...],
    config: ReconcileConfig,
) -> Iterator[Action]:
    """Yield starts of what is missing, as far as the ceiling allows."""
    have = Counter(OfferKey.of(row) for row in staying)
    cost = observed.committed() - sum(
        observed.price(action.row) for action in actions if isinstance(action, Forget)
    )
    causes = iter(unreplaced + _taken_away(actions))
    left = config.starts_at_once
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
