"""The guarantees that a soak checks, and their violations."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from ebonydeal._internal.soak.records import Log


class Limit(NamedTuple):
    """A client account's limit in one quota window, in requests or tokens."""

    account: str
    max_in_window: float
    in_tokens: bool = False


class OverloadBounds(NamedTuple):
    """What holds for the plain service when more is sent than it can run.

    Requests are in time within ``objective_s``; they are again from ``recovery_s``
    after an overload on, and ``learning_s`` after an endpoint's speed has changed.
    """

    objective_s: float
    recovery_s: float
    learning_s: float


class Guarantees(NamedTuple):
    """The guarantees of a soak's deployment.

    ``drain_s`` is how long an endpoint that leaves may get new requests, if the relay
    had no fault for ``contact_s``; ``apply_s`` how long a relay may take to apply a new
    configuration. Requests end after ``timeout_s``. ``overload`` is None if the relays
    don't limit an overload.
    """

    drain_s: float
    contact_s: float
    apply_s: float
    usage_window_s: float
    quota_window_s: float
    limits: tuple[Limit, ...]
    timeout_s: float
    overload: OverloadBounds | None = None


class Violation(NamedTuple):
    """A violated guarantee; ``promise`` is the guarantee's name."""

    promise: str
    detail: str


Check = Callable[[Log, Guarantees], Iterable[Violation]]


def had_fault(log: Log, relay: str, begin: float, end: float) -> bool:
    """Return whether a relay or its link had a fault between two times."""
    return any(
        period.relay == relay and period.begin <= end and period.end >= begin
        for period in log.fault_periods
    )
