"""Execution of operations on a simulated store: counting, delays, faults."""

from collections.abc import Callable
from typing import Any, TypeVar

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.standin.faults import Fault, Faults, Operation
from ebonydeal._internal.utils.clock import Clock

T = TypeVar("T")
_LOSES_ANSWER = (Fault.LOST_ANSWER, Fault.DUPLICATE_LOST)
_APPLIED_TWICE = (Fault.DUPLICATE, Fault.DUPLICATE_LOST)


class OperationRunner:
    """Runs operations one at a time and injects faults.

    Attributes
    ----------
    reads, writes : int
        Operations so far, including refused ones.
    """

    def __init__(self, clock: Clock, faults: Faults) -> None:
        self._clock = clock
        self.faults = faults
        self.reads = 0
        self.writes = 0
        self._late_writes: list[Callable[[], Any]] = []

    async def run(
        self, name: str, key: str, is_write: bool, effect: Callable[[], T], detail: Any
    ) -> T:
        """Run ``effect`` (which never waits) and return its result."""
        if is_write:
            self.writes += 1
        else:
            self.reads += 1
        number = self.reads + self.writes
        operation = Operation(number, name, key, is_write, detail)
        if self.faults.delay > 0:
            await self._clock.sleep(self.faults.delay)
        if self.faults.before is not None:
            await self.faults.before(operation)
        fault = self.faults.pop_next(operation)
        self._raise_fault(fault, operation, effect)
        result = effect()
        if fault in _APPLIED_TWICE:
            self._late_writes.append(effect)
        if self.faults.after is not None:
            await self.faults.after(operation)
        if fault in _LOSES_ANSWER:
            raise _in_doubt(operation)
        return result

    def _raise_fault(
        self, fault: Fault, operation: Operation, effect: Callable[[], Any]
    ) -> None:
        """Raise the error of a fault that occurs before the effect."""
        if fault is Fault.NONE:
            return
        if not operation.is_write or fault is Fault.REFUSED:
            raise EbonydealError(
                ErrorKind.STORE_UNAVAILABLE, f"{operation.name} was refused"
            )
        if fault is Fault.LATE:
            self._late_writes.append(effect)
        if fault in (Fault.LATE, Fault.LOST_REQUEST):
            raise _in_doubt(operation)

    @property
    def pending_late_writes(self) -> int:
        """Number of late writes that are not applied yet."""
        return len(self._late_writes)

    def apply_late_writes(self) -> list[Any]:
        """Apply all late writes; return the result of each."""
        late, self._late_writes = self._late_writes, []
        return [effect() for effect in late]


def _in_doubt(operation: Operation) -> EbonydealError:
    return EbonydealError(ErrorKind.STORE_IN_DOUBT, f"{operation.name}: answer lost")
