"""Plans the actions that bring a deployment's instances to the desired state.

Every intent is written as a row to the table service before the cloud is called,
and a row's state only moves forward (starting, warming, ready, draining,
releasing). So a late call of a leader that was paused can only execute a recorded
intent, and a new leader finds everything that was started.
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
    desired: DesiredState,
    observed: ObservedState,
    config: ReconcileConfig,
    now: float,
    unreplaced: tuple[str, ...] = (),
) -> list[Action]:
    """Return the next actions.

    Parameters
    ----------
    desired, observed : DesiredState, ObservedState
        What should run and what is known to run.
    config : ReconcileConfig
        Parameters.
    now : float
        Wall clock seconds.
    unreplaced : tuple of str
        Tokens of lost instances whose replacement has not been started.

    Returns
    -------
    list of Action
        At most one for each instance. Nothing is started in a round that takes
        over instances, as these may be the missing ones.
    """
    actions: list[Action] = list(_plan_unrecorded(desired, observed))
    for row in observed.rows.values():
        actions.extend(_advance(row, observed, config, now))
    staying = _staying(observed, actions)
    drains = drain_surplus(desired, observed, staying, config, now)
    actions = _without_rows(actions, {drain.row.token for drain in drains})
    actions.extend(drains)
    if any(isinstance(action, Enlist) for action in actions):
        return actions
    actions.extend(_starts(desired, observed, staying, actions, unreplaced, config))
    return actions


def _plan_unrecorded(
    desired: DesiredState, observed: ObservedState
) -> Iterator[Action]:
    """Yield the actions for instances without a row.

    A managed instance without a row was started by a late call, and is released.
    One that was started for the deployment by other means is taken over.
    """
    for token, instance in observed.instances.items():
        if token in observed.rows:
            continue
        if is_managed(instance):
            yield Condemn(instance)
        elif desired.target > 0:
            yield Enlist(instance)


def _without_rows(actions: list[Action], tokens: Set[str]) -> list[Action]:
    """Drop actions on these rows, so that each row has one action per round."""
    return [
        action
        for action in actions
        if not isinstance(action, Restart | Adopt | Warm | MarkReady)
        or action.row.token not in tokens
    ]


def _advance(
    row: InstanceRow, observed: ObservedState, config: ReconcileConfig, now: float
) -> Iterator[Action]:
    """Yield the next action on one recorded instance, if any."""
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
            elif row.token in observed.idle and age >= config.min_drain_s:
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
    """Yield the next action on an instance that is warming up or ready."""
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
    """Return the live rows that no action drains or deletes."""
    removed = {
        action.row.token for action in actions if isinstance(action, Drain | Forget)
    }
    return [
        row
        for row in observed.rows.values()
        if row.state in LIVE_STATES and row.token not in removed
    ]


def _starts(
    desired: DesiredState,
    observed: ObservedState,
    staying: list[InstanceRow],
    actions: list[Action],
    unreplaced: tuple[str, ...],
    config: ReconcileConfig,
) -> Iterator[Action]:
    """Yield starts of missing instances, as far as the price ceiling allows."""
    counts = Counter(OfferKey.of(row) for row in staying)
    cost = observed.committed() - sum(
        observed.price(action.row) for action in actions if isinstance(action, Forget)
    )
    to_replace = iter(unreplaced + _lost_tokens(actions))
    starts_left = config.max_starts_per_round
    cheapest_first = sorted(
        desired.counts.items(), key=lambda item: observed.prices.get(item[0], 0.0)
    )
    for key, number in cheapest_first:
        missing = number - counts[key]
        price = observed.prices.get(key)
        if price is None or missing <= 0:
            continue
        for started in range(missing):
            if starts_left <= 0:
                return
            if cost + price > desired.ceiling + _EPS:
                yield Hold(key, missing - started)
                break
            replaces = next(to_replace, "")
            why = "replacement" if replaces else "below wanted number"
            yield Start(key, price, why, replaces)
            cost += price
            starts_left -= 1


def _lost_tokens(actions: list[Action]) -> tuple[str, ...]:
    """Return the tokens of instances that are lost or being reclaimed."""
    tokens = []
    for action in actions:
        match action:
            case Drain(row=row, why="reclaim notice") | Forget(row=row, lost=True):
                tokens.append(row.token)
    return tuple(tokens)
