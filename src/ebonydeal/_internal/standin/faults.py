"""Faults of the stand-in stores, by count, by plan or by hook."""

from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NamedTuple


class Fault(StrEnum):
    """What may go wrong with one operation.

    For reads all but ``NONE`` mean that the store doesn't answer.
    """

    NONE = "none"
    REFUSED = "refused"
    """Refused before any effect (STORE_UNAVAILABLE)."""
    LOST_REQUEST = "lost_request"
    """No effect ever, and no answer (STORE_IN_DOUBT)."""
    LOST_ANSWER = "lost_answer"
    """Takes effect, and the answer is lost (STORE_IN_DOUBT)."""
    LATE = "late"
    """No answer; takes effect only when `apply_late_writes` is called."""
    DUPLICATE = "duplicate"
    """Takes effect, is answered, and lands again at `apply_late_writes`."""
    DUPLICATE_LOST = "duplicate_lost"
    """As DUPLICATE, and the answer is lost (STORE_IN_DOUBT)."""


class Operation(NamedTuple):
    """One operation on a stand-in store.

    Attributes
    ----------
    number : int
        1 for the first operation of the store.
    name : str
        ``transact``, ``get``, ``scan``, ``put``, ``delete`` or ``names``.
    key : str
        Key of the row, or of the first write; prefix; or object name.
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
    """Switches of a stand-in store; all may be changed at any time.

    Attributes
    ----------
    down : bool
        Every operation is refused before any effect.
    delay : float
        Seconds before each operation.
    writes : deque of Fault
        Faults of the next writes, one each.
    plan : dict of int to Fault
        Fault of the operation with that number.
    before, after : coroutine function, optional
        Awaited before an operation (after the delay) and after its effect. One
        that waits pauses the caller just there; one that raises
        `EbonydealError` makes the caller see that.
    """

    down: bool = False
    delay: float = 0.0
    writes: deque[Fault] = field(default_factory=deque)
    plan: dict[int, Fault] = field(default_factory=dict)
    before: Hook | None = None
    after: Hook | None = None

    def take(self, operation: Operation) -> Fault:
        """Return the fault of an operation, using it up."""
        if operation.number in self.plan:
            return self.plan.pop(operation.number)
        if operation.is_write and self.writes:
            return self.writes.popleft()
        if self.down:
            return Fault.REFUSED
        return Fault.NONE
