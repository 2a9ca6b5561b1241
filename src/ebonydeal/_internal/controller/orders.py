"""Orders to engines: the desired state, with the lease epoch as fencing token.

If engines check the token, an order is sent at once, and an older leader can't
revert a newer leader's order. If they ignore it, the token protects nothing. Then
an order waits for the previous leader's lease to expire, is read back until it
is stable, and is delayed further if it can't be undone. The remaining risks are
stated in docs/design/orders.md. `next_step`, a pure function, decides.
"""

from dataclasses import dataclass
from typing import NamedTuple

from ebonydeal._internal.outside.interfaces import EngineOrder


class OrderConfig(NamedTuple):
    """Parameters of orders, in seconds.

    Attributes
    ----------
    predecessor_timeout_s : float
        Maximum time for which orders of a predecessor that is not paused can
        still take effect: the TTL of its lease plus one order.
    max_order_s : float
        Maximum time that one order takes from sending to effect.
    audit_period : float
        Time between reads of a settled engine that ignores the token.
    """

    predecessor_timeout_s: float
    max_order_s: float
    audit_period: float


class KnownOrder(NamedTuple):
    """What the leader knows of one engine; times are monotonic seconds.

    Attributes
    ----------
    found : EngineOrder or None
        Order in force when last read.
    read_at : float or None
        When it was read; None if it was not read since the last send.
    matching_since : float or None
        Since when every read has shown the desired state.
    """

    found: EngineOrder | None = None
    read_at: float | None = None
    matching_since: float | None = None


class Leadership(NamedTuple):
    """What is known of this leader and its predecessor.

    Attributes
    ----------
    since : float
        Monotonic seconds at which the lease was taken.
    predecessor_gone : bool
        Whether the platform no longer lists the previous holder's process, or
        that process released the lease itself.
    """

    since: float
    predecessor_gone: bool


@dataclass(frozen=True)
class SendOrder:
    """Send the desired state."""


@dataclass(frozen=True)
class ReadBack:
    """Read the order in force from the engine."""


@dataclass(frozen=True)
class HoldOrder:
    """Send nothing yet."""

    reason: str


@dataclass(frozen=True)
class Settled:
    """The desired state is in force."""


Step = SendOrder | ReadBack | HoldOrder | Settled


def next_step(
    desired: EngineOrder,
    known: KnownOrder,
    leadership: Leadership,
    checks_fence: bool,
    config: OrderConfig,
    now: float,
) -> Step:
    """Return the next step for one engine.

    Parameters
    ----------
    desired : EngineOrder
        The desired state, with this leader's epoch.
    known : KnownOrder
        What is known of the engine.
    leadership : Leadership
        This leader and its predecessor.
    checks_fence : bool
        Whether the engine refuses orders with an older fencing token.
    config : OrderConfig
        Parameters.
    now : float
        Monotonic seconds.
    """
    if known.read_at is None or known.found is None:
        return ReadBack()
    if checks_fence:
        return Settled() if known.found == desired else SendOrder()
    return _step_unchecked(desired, known, leadership, config, now)


def _step_unchecked(
    desired: EngineOrder,
    known: KnownOrder,
    leadership: Leadership,
    config: OrderConfig,
    now: float,
) -> Step:
    """Return the next step for an engine that ignores fencing tokens."""
    found, read_at = known.found, known.read_at
    assert found is not None and read_at is not None
    if not has_same_state(found, desired):
        predecessor_may_send = now < leadership.since + config.predecessor_timeout_s
        if predecessor_may_send and not leadership.predecessor_gone:
            return HoldOrder("the old lease has not run out")
        if interrupts_work(found, desired) and not leadership.predecessor_gone:
            return HoldOrder("can't be undone, and the old holder may be alive")
        return SendOrder()
    stable = known.matching_since is not None and (
        now - known.matching_since >= config.max_order_s
    )
    if not stable:
        if now - read_at >= config.max_order_s / 2:
            return ReadBack()
        return HoldOrder("read back until it is stable")
    if now - read_at >= config.audit_period:
        return ReadBack()
    return Settled()


def has_same_state(found: EngineOrder, desired: EngineOrder) -> bool:
    """Return whether two orders state the same models and role."""
    return set(found.models) == set(desired.models) and found.role == desired.role


def interrupts_work(found: EngineOrder, desired: EngineOrder) -> bool:
    """Return whether reaching the desired state interrupts running work.

    Unloading a model, or changing the role of an engine that has models, ends
    streams and deletes caches, which can't be undone.
    """
    if set(found.models) - set(desired.models):
        return True
    return bool(found.models) and found.role != desired.role


def after_read(
    known: KnownOrder, found: EngineOrder, desired: EngineOrder, now: float
) -> KnownOrder:
    """Return what is known after the order in force was read."""
    matching_since = known.matching_since
    if not has_same_state(found, desired):
        matching_since = None
    elif matching_since is None:
        matching_since = now
    return known._replace(found=found, read_at=now, matching_since=matching_since)


def after_send(known: KnownOrder) -> KnownOrder:
    """Return what is known after an order was sent, whatever the response."""
    return known._replace(read_at=None, matching_since=None)
