"""Faults of the simulated stores, set by queue, by operation number or by hook."""

from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NamedTuple


class Fault(StrEnum):
    """Fault of one operation.

    For reads, all faults but ``NONE`` mean that the store is unavailable.
    """

    NONE = "none"
    REFUSED = "refused"
    """Refused before any effect (STORE_UNAVAILABLE)."""
    LOST_REQUEST = "lost_request"
    """Never takes effect and is not answered (STORE_IN_DOUBT)."""
    LOST_ANSWER = "lost_answer"
    """Takes effect, but the answer is lost (STORE_IN_DOUBT)."""
    LATE = "late"
    """Is not answered; takes effect only when `apply_late_writes` is called."""
    DUPLICATE = "duplicate"
    """Takes effect, is answered, and takes effect again at `apply_late_writes`."""
    DUPLICATE_LOST = "duplicate_lost"
    """As DUPLICATE, but the answer is lost (STORE_IN_DOUBT)."""


class Operation(NamedTuple):
    """One operation on a simulated store.

    Attributes
    ----------
    number : int
        1 for the first operation of the store.
    name : str
        ``transact``, ``get``, ``scan``, ``put``, ``delete`` or ``names``.
    key : str
        Key of the row or of the first write, prefix, or object name.
    is_write : bool
        Whether it may change the store.
    detail : Any
        (conditions, writes) of a transaction, else None.
    """

    number: int
    name: str
    key: str
    is_write: bool
    detail: Any = None


Hook = Callable[[Operation], Awaitable[None]]


@dataclass
class Faults:
    """Faults of a simulated store, which may be changed at any time.

    Attributes
    ----------
    down : bool
        Whether every operation is refused before any effect.
    delay : float
        Seconds before each operation.
    writes : deque of Fault
        Faults of the next writes, one for each.
    plan : dict of int to Fault
        Faults by operation number.
    before, after : coroutine function, optional
        Awaited before an operation (after the delay) and after its effect. A
        hook that waits pauses the caller at that point; an `EbonydealError`
        that it raises reaches the caller.
    """

    down: bool = False
    delay: float = 0.0
    writes: deque[Fault] = field(default_factory=deque)
    plan: dict[int, Fault] = field(default_factory=dict)
    before: Hook | None = None
    after: Hook | None = None

    def pop_next(self, operation: Operation) -> Fault:
        """Return the fault of an operation, and remove it if it is planned."""
        if operation.number in self.plan:
            return self.plan.pop(operation.number)
        if operation.is_write and self.writes:
            return self.writes.popleft()
        if self.down:
            return Fault.REFUSED
        return Fault.NONE
