"""Orders to engines: the wanted end, with the lease epoch as fencing number.

Where engines check the number, an order is sent at once and a newer leader's
order can't be undone. Where they ignore it, the number protects nothing, so the
decision waits, reads back, repeats, and holds what can't be undone; the limits
are stated in docs/design/orders.md. The decision is `next_step`, a pure
function.
"""

from dataclasses import dataclass
from typing import NamedTuple

from ebonydeal._internal.outside.interfaces import EngineOrder


class OrderConfig(NamedTuple):
    """Constants of orders, in seconds.

    Attributes
    ----------
    quiet : float
        Longest time for which a predecessor that is not paused can go on
        sending: its lease and one order.
    longest_order : float
        Longest time that one order takes from sending to effect.
    audit_period : float
        Time between reads of a settled engine that ignores the number.
    """

    quiet: float
    longest_order: float
    audit_period: float


class KnownOrder(NamedTuple):
    """What the leader remembers of one engine; times are monotonic seconds.

    Attributes
    ----------
    found : EngineOrder or None
        Order in force when last read.
    read_at : float or None
        When it was read; None if not since the last order was sent.
    same_since : float or None
        Since when every read has shown the wanted end.
    """

    found: EngineOrder | None = None
    read_at: float | None = None
    same_since: float | None = None


class Leadership(NamedTuple):
    """What is known of this leader and the one before.

    Attributes
    ----------
    since : float
        Monotonic seconds at which the lease was taken.
    predecessor_gone : bool
        The platform no longer lists the old holder's process, or it gave the
        lease back itself.
    """

    since: float
    predecessor_gone: bool


@dataclass(frozen=True)
class SendOrder:
    """Send the wanted end."""


@dataclass(frozen=True)
class ReadBack:
    """Read the order in force."""


@dataclass(frozen=True)
class HoldOrder:
    """Send nothing yet."""

    why: str


@dataclass(frozen=True)
class Settled:
    """The wanted end is in force."""


Step = SendOrder | ReadBack | HoldOrder | Settled


def next_step(
    wanted: EngineOrder,
    memory: KnownOrder,
    leadership: Leadership,
    checks_fence: bool,
    config: OrderConfig,
    now: float,
) -> Step:
    """Return what to do about one engine's order.

    Parameters
    ----------
    wanted : EngineOrder
        The wanted end, with this leader's epoch.
    memory : KnownOrder
        What is known of the engine.
    leadership : Leadership
        This leader and the one before.
    checks_fence : bool
        Whether the engine refuses an older fencing number.
    config : OrderConfig
        Constants.
    now : float
        Monotonic seconds.
    """
    if memory.read_at is None or memory.found is None:
        return ReadBack()
    if checks_fence:
        return Settled() if memory.found == wanted else SendOrder()
    return _step_unchecked(wanted, memory, leadership, config, now)


def _step_unchecked(
    wanted: EngineOrder,
    memory: KnownOrder,
    leadership: Leadership,
    config: OrderConfig,
    now: float,
) -> Step:
    """Return the next step for an engine that ignores fencing numbers."""
    found, read_at = memory.found, memory.read_at
    assert found is not None and read_at is not None
    if not same_end(found, wanted):
        waits = now < leadership.since + config.quiet
        if waits and not leadership.predecessor_gone:
            return HoldOrder("the old lease has not run out")
        if cuts_work(found, wanted) and not leadership.predecessor_gone:
            return HoldOrder("can't be undone, and the old holder may be alive")
        return SendOrder()
    stable = memory.same_since is not None and (
        now - memory.same_since >= config.longest_order
    )
    if not stable:
        if now - read_at >= config.longest_order / 2:
            return ReadBack()
        return HoldOrder("read back until it is stable")
    if now - read_at >= config.audit_period:
        return ReadBack()
    return Settled()


def same_end(found: EngineOrder, wanted: EngineOrder) -> bool:
    """Return whether an order states the wanted end, whoever gave it."""
    return set(found.models) == set(wanted.models) and found.role == wanted.role


def cuts_work(found: EngineOrder, wanted: EngineOrder) -> bool:
    """Return whether going to the wanted end ends work that runs.

    A model that is unloaded takes its streams and caches with it, and so does
    another role on an engine that has models: neither can be undone.
    """
    if set(found.models) - set(wanted.models):
        return True
    return bool(found.models) and found.role != wanted.role


def after_read(
    memory: KnownOrder, found: EngineOrder, wanted: EngineOrder, now: float
) -> KnownOrder:
    """Return the memory after the order in force was read."""
    same_since = memory.same_since
    if not same_end(found, wanted):
        same_since = None
    elif same_since is None:
        same_since = now
    return memory._replace(found=found, read_at=now, same_since=same_since)


def after_send(memory: KnownOrder) -> KnownOrder:
    """Return the memory after an order was sent, whatever its answer."""
    return memory._replace(read_at=None, same_since=None)
