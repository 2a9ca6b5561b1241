"""Orders to two endpoints while leadership changes from one holder to the next.

One endpoint checks fencing numbers, the other ignores them. An order that was
sent while its sender's lease was good lands before the longest order time after
the lease is over, or never. The wait at the ignoring endpoint rests on that
bound. With ``late_orders`` the bound is lifted: the old holder may be paused
between the look at its lease and the send, for any time. Then the ignoring
endpoint can be turned back for a while, and what must hold is that reading back
and repeating mends it, and that an order which can't be undone is never carried
out for both holders.
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
    """What is left of the old holder's lease."""

    VALID = 0
    LAPSED = 1
    ORDERS_OVER = 2


class Endpoint(NamedTuple):
    """``wanted`` is the end in force, numbered by the holder who wants it.

    ``fence`` is the highest number it has seen; ``final_for`` holds the holders
    for whom it carried out an order that can't be undone.
    """

    wanted: int = 0
    fence: int = 0
    final_for: frozenset[int] = frozenset()


class Order(NamedTuple):
    """An order on its way; ``final`` marks one that can't be undone."""

    holder: int
    endpoint: int
    final: bool


class State(NamedTuple):
    """Holders, endpoints and network.

    ``gone`` says that the old holder is known to have ended; ``settled`` holds
    the endpoints that the new holder regards as being at its wanted end.
    """

    phase: Phase
    gone: bool
    endpoints: tuple[Endpoint, Endpoint]
    flight: frozenset[Order]
    settled: frozenset[int]


INITIAL = State(
    phase=Phase.VALID,
    gone=False,
    endpoints=(Endpoint(), Endpoint()),
    flight=frozenset(),
    settled=frozenset(),
)


def specification(
    guards: Guards = ALL_GUARDS, late_orders: bool = False
) -> Specification:
    """Return the protocol under ``guards``."""
    invariants: dict[str, Predicate] = {
        "a settled checking endpoint stays at the new holder's end": (
            lambda state: _settled_is_true(state, CHECKING)
        ),
        "an order that can't be undone is carried out for one holder": _final_once,
    }
    if not late_orders:
        invariants["a settled ignoring endpoint stays at the new holder's end"] = (
            lambda state: _settled_is_true(state, IGNORING)
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
                    and any(order.holder == OLD for order in state.flight)
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
    """Tell whether both endpoints are, and are known to be, at the new end."""
    return state.settled == {CHECKING, IGNORING} and all(
        endpoint.wanted == NEW for endpoint in state.endpoints
    )


def _settled_is_true(state: State, endpoint: int) -> bool:
    return endpoint not in state.settled or state.endpoints[endpoint].wanted == NEW


def _final_once(state: State) -> bool:
    return all(len(endpoint.final_for) <= 1 for endpoint in state.endpoints)


# --- steps -----------------------------------------------------------------
def _transitions(guards: Guards, late_orders: bool, state: State) -> Iterator[Step]:
    yield from _time_passes(late_orders, state)
    for order in sorted(state.flight):
        landed = _land(guards, state, order)
        name = f"{_name(order)} lands"
        yield f"{name}, and will again", landed
        yield name, landed._replace(flight=state.flight - {order})
    for endpoint in (CHECKING, IGNORING):
        yield from _old_sends(guards, late_orders, state, endpoint)
        yield from _new_acts(guards, state, endpoint)


def _name(order: Order) -> str:
    holder = "old" if order.holder == OLD else "new"
    final = "final " if order.final else ""
    endpoint = "checking" if order.endpoint == CHECKING else "ignoring"
    return f"{holder} {final}order to the {endpoint} endpoint"


def _time_passes(late_orders: bool, state: State) -> Iterator[Step]:
    ours = frozenset(order for order in state.flight if order.holder == NEW)
    if state.phase is Phase.VALID:
        yield "the old lease lapses", state._replace(phase=Phase.LAPSED)
    elif state.phase is Phase.LAPSED:
        over = state._replace(phase=Phase.ORDERS_OVER)
        if not late_orders:
            over = over._replace(flight=ours)
        yield "the longest order time is over", over
    if not state.gone and ours == state.flight:
        yield "the old holder ends", state._replace(gone=True)


def _send(state: State, order: Order) -> Step:
    sent = state._replace(flight=state.flight | {order})
    return f"{_name(order)} is sent", sent


def _old_sends(
    guards: Guards, late_orders: bool, state: State, endpoint: int
) -> Iterator[Step]:
    if state.gone:
        return
    if late_orders or not guards.sender_checks_lease or state.phase is Phase.VALID:
        yield _send(state, Order(OLD, endpoint, final=False))
        if not state.endpoints[endpoint].final_for:
            yield _send(state, Order(OLD, endpoint, final=True))


def _new_acts(guards: Guards, state: State, endpoint: int) -> Iterator[Step]:
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
    if state.endpoints[endpoint].wanted == NEW:
        settled = settled | {endpoint}
    return f"endpoint {endpoint} is read back", state._replace(settled=settled)


def _final_allowed(guards: Guards, state: State, endpoint: int) -> bool:
    if state.endpoints[endpoint].final_for:
        return False
    if guards.final_after_settled and endpoint not in state.settled:
        return False
    fenced = endpoint == CHECKING
    return fenced or state.gone or not guards.final_after_holder_gone


def _land(guards: Guards, state: State, order: Order) -> State:
    endpoint = state.endpoints[order.endpoint]
    checks = order.endpoint == CHECKING and guards.endpoint_checks_fence
    if checks and order.holder < endpoint.fence:
        return state
    endpoint = endpoint._replace(fence=max(endpoint.fence, order.holder))
    if order.final:
        final_for = endpoint.final_for | {order.holder}
        endpoint = endpoint._replace(final_for=final_for)
    elif guards.order_states_end:
        endpoint = endpoint._replace(wanted=order.holder)
    else:
        reached = min(MAX_STEP_SUM, endpoint.wanted + order.holder)
        endpoint = endpoint._replace(wanted=reached)
    endpoints = list(state.endpoints)
    endpoints[order.endpoint] = endpoint
    return state._replace(endpoints=tuple(endpoints))
