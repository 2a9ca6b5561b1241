"""What every stand-in store does around an operation: count, delay, fail."""

from collections.abc import Callable
from typing import Any, TypeVar

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.standin.faults import Fault, Faults, Operation
from ebonydeal._internal.utils.clock import Clock

T = TypeVar("T")
_LOST = (Fault.LOST_ANSWER, Fault.DUPLICATE_LOST)
_TWICE = (Fault.DUPLICATE, Fault.DUPLICATE_LOST)


class OperationRunner:
    """Runs operations one at a time under the faults asked for.

    Attributes
    ----------
    reads, writes : int
        Operations so far, refused ones included.
    """

    def __init__(self, clock: Clock, faults: Faults) -> None:
        self._clock = clock
        self.faults = faults
        self.reads = 0
        self.writes = 0
        self._late: list[Callable[[], Any]] = []

    async def run(
        self, name: str, key: str, is_write: bool, effect: Callable[[], T], detail: Any
    ) -> T:
        """Do ``effect`` (which never waits) and return what it returns."""
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
        fault = self.faults.take(operation)
        self._refuse(fault, operation, effect)
        result = effect()
        if fault in _TWICE:
            self._late.append(effect)
        if self.faults.after is not None:
            await self.faults.after(operation)
        if fault in _LOST:
            raise _in_doubt(operation)
        return result

    def _refuse(
        self, fault: Fault, operation: Operation, effect: Callable[[], Any]
    ) -> None:
        """Raise where the fault strikes before the effect."""
        if fault is Fault.NONE:
            return
        if not operation.is_write or fault is Fault.REFUSED:
            raise EbonydealError(
                ErrorKind.STORE_UNAVAILABLE, f"{operation.name} is refused"
            )
        if fault is Fault.LATE:
            self._late.append(effect)
        if fault in (Fault.LATE, Fault.LOST_REQUEST):
            raise _in_doubt(operation)

    @property
    def late(self) -> int:
        """How many writes will still land."""
        return len(self._late)

    def apply_late_writes(self) -> list[Any]:
        """Let every late write land now; return what each did."""
        late, self._late = self._late, []
        return [effect() for effect in late]


def _in_doubt(operation: Operation) -> EbonydealError:
    return EbonydealError(ErrorKind.STORE_IN_DOUBT, f"{operation.name}: answer lost")
