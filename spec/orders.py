"""Orders to two endpoints while the lease passes from one holder to the next.

One endpoint checks fencing tokens, the other ignores them. An order that was sent
under a valid lease arrives within the longest order time after the lease ends, or
never. The wait at the ignoring endpoint depends on that bound. With ``late_orders``
there is no bound: the old holder may be paused for any time between checking its
lease and sending. Then the ignoring endpoint can be set back temporarily. What must
hold is that reading back and repeating the order corrects this, and that an order
that can't be undone is never carried out for both holders.
"""

from collections.abc import Iterator
from enum import IntEnum
from typing import NamedTuple

from spec.checker import Predicate, Specification, Step

OLD = 1
NEW = 2
CHECKING = 0
IGNORING = 1
MAX_STEP_SUM = 6


class Guards(NamedTuple):
    """The rules of the protocol; each can be turned off."""

    endpoint_checks_fence: bool = True
    waits_for_ignoring_endpoint: bool = True
    sender_checks_lease: bool = True
    settled_after_read_back: bool = True
    read_back_repeats: bool = True
    order_states_end: bool = True
    final_after_settled: bool = True
    final_after_holder_gone: bool = True


ALL_GUARDS = Guards()


class Phase(IntEnum):
    """Progress of the end of the old holder's lease."""

    VALID = 0
    LAPSED = 1
    ORDERS_OVER = 2


class Endpoint(NamedTuple):
    """``target`` is the target state in force, numbered by the holder that set it.

    ``fence`` is the highest fencing token received; ``final_for`` has the holders
    for which it carried out an order that can't be undone.
    """

    target: int = 0
    fence: int = 0
    final_for: frozenset[int] = frozenset()


class Order(NamedTuple):
    """An order in flight; ``final`` marks one that can't be undone."""

    holder: int
    endpoint: int
    final: bool


class State(NamedTuple):
    """Holders, endpoints and network.

    ``gone`` is whether the old holder is known to have ended; ``settled`` has the
    endpoints that the new holder believes to be at its target state.
    """

    phase: Phase
    gone: bool
    endpoints: tuple[Endpoint, Endpoint]
    in_flight: frozenset[Order]
    settled: frozenset[int]


INITIAL = State(
    phase=Phase.VALID,
    gone=False,
    endpoints=(Endpoint(), Endpoint()),
    in_flight=frozenset(),
    settled=frozenset(),
)


def specification(
    guards: Guards = ALL_GUARDS, late_orders: bool = False
) -> Specification:
    """Return the protocol under ``guards``."""
    invariants: dict[str, Predicate] = {
        "a settled checking endpoint stays at the new holder's end": (
            lambda state: _settled_is_at_target(state, CHECKING)
        ),
        "an order that can't be undone is carried out for one holder": _final_for_one,
    }
    if not late_orders:
        invariants["a settled ignoring endpoint stays at the new holder's end"] = (
            lambda state: _settled_is_at_target(state, IGNORING)
        )
    return Specification(
        "orders, unbounded delay" if late_orders else "orders",
        INITIAL,
        lambda state: _transitions(guards, late_orders, state),
        invariants,
        {
            "both endpoints settled": all_settled,
            "an old order is on its way after the takeover": (
                lambda state: (
                    state.phase > Phase.VALID
                    and any(order.holder == OLD for order in state.in_flight)
                )
            ),
            "the new holder's final order is carried out at both": (
                lambda state: all(one.final_for == {NEW} for one in state.endpoints)
            ),
            "the old holder's final order stands": (
                lambda state: OLD in state.endpoints[IGNORING].final_for and state.gone
            ),
        },
    )


def all_settled(state: State) -> bool:
    """Return whether both endpoints are, and are known to be, at the new target."""
    return state.settled == {CHECKING, IGNORING} and all(
        endpoint.target == NEW for endpoint in state.endpoints
    )


def _settled_is_at_target(state: State, endpoint: int) -> bool:
    return endpoint not in state.settled or state.endpoints[endpoint].target == NEW


def _final_for_one(state: State) -> bool:
    return all(len(endpoint.final_for) <= 1 for endpoint in state.endpoints)


# --- steps -----------------------------------------------------------------
def _transitions(guards: Guards, late_orders: bool, state: State) -> Iterator[Step]:
    yield from _time_passes(late_orders, state)
    for order in sorted(state.in_flight):
        delivered = _deliver(guards, state, order)
        name = f"{_name(order)} lands"
        yield f"{name}, and will again", delivered
        yield name, delivered._replace(in_flight=state.in_flight - {order})
    for endpoint in (CHECKING, IGNORING):
        yield from _old_holder_steps(guards, late_orders, state, endpoint)
        yield from _new_holder_steps(guards, state, endpoint)


def _name(order: Order) -> str:
    holder = "old" if order.holder == OLD else "new"
    final = "final " if order.final else ""
    endpoint = "checking" if order.endpoint == CHECKING else "ignoring"
    return f"{holder} {final}order to the {endpoint} endpoint"


def _time_passes(late_orders: bool, state: State) -> Iterator[Step]:
    new_orders = frozenset(order for order in state.in_flight if order.holder == NEW)
    if state.phase is Phase.VALID:
        yield "the old lease lapses", state._replace(phase=Phase.LAPSED)
    elif state.phase is Phase.LAPSED:
        elapsed = state._replace(phase=Phase.ORDERS_OVER)
        if not late_orders:
            elapsed = elapsed._replace(in_flight=new_orders)
        yield "the longest order time is over", elapsed
    if not state.gone and new_orders == state.in_flight:
        yield "the old holder ends", state._replace(gone=True)


def _send(state: State, order: Order) -> Step:
    sent = state._replace(in_flight=state.in_flight | {order})
    return f"{_name(order)} is sent", sent


def _old_holder_steps(
    guards: Guards, late_orders: bool, state: State, endpoint: int
) -> Iterator[Step]:
    if state.gone:
        return
    if late_orders or not guards.sender_checks_lease or state.phase is Phase.VALID:
        yield _send(state, Order(OLD, endpoint, final=False))
        if not state.endpoints[endpoint].final_for:
            yield _send(state, Order(OLD, endpoint, final=True))


def _new_holder_steps(guards: Guards, state: State, endpoint: int) -> Iterator[Step]:
    if state.phase is Phase.VALID:
        return
    waits = guards.waits_for_ignoring_endpoint and endpoint == IGNORING
    if waits and state.phase is not Phase.ORDERS_OVER:
        return
    if endpoint not in state.settled:
        label, sent = _send(state, Order(NEW, endpoint, final=False))
        if not guards.settled_after_read_back:
            sent = sent._replace(settled=sent.settled | {endpoint})
        yield label, sent
    if endpoint not in state.settled or guards.read_back_repeats:
        yield _read_back(state, endpoint)
    if _final_allowed(guards, state, endpoint):
        yield _send(state, Order(NEW, endpoint, final=True))


def _read_back(state: State, endpoint: int) -> Step:
    settled = state.settled - {endpoint}
    if state.endpoints[endpoint].target == NEW:
        settled = settled | {endpoint}
    return f"endpoint {endpoint} is read back", state._replace(settled=settled)


def _final_allowed(guards: Guards, state: State, endpoint: int) -> bool:
    if state.endpoints[endpoint].final_for:
        return False
    if guards.final_after_settled and endpoint not in state.settled:
        return False
    fenced = endpoint == CHECKING
    return fenced or state.gone or not guards.final_after_holder_gone


def _deliver(guards: Guards, state: State, order: Order) -> State:
    endpoint = state.endpoints[order.endpoint]
    checks = order.endpoint == CHECKING and guards.endpoint_checks_fence
    if checks and order.holder < endpoint.fence:
        return state
    endpoint = endpoint._replace(fence=max(endpoint.fence, order.holder))
    if order.final:
        final_for = endpoint.final_for | {order.holder}
        endpoint = endpoint._replace(final_for=final_for)
    elif guards.order_states_end:
        endpoint = endpoint._replace(target=order.holder)
    else:
        reached = min(MAX_STEP_SUM, endpoint.target + order.holder)
        endpoint = endpoint._replace(target=reached)
    endpoints = list(state.endpoints)
    endpoints[order.endpoint] = endpoint
    return state._replace(endpoints=tuple(endpoints))
