"""In-memory table with faults, for the configuration's tests."""

from collections.abc import Callable

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.outside.interfaces import (
    Delete,
    FieldEquals,
    Put,
    Row,
    RowAbsent,
    RowVersion,
)

DOWN = EbonydealError(ErrorKind.STORE_UNAVAILABLE, "down")
LOST = EbonydealError(ErrorKind.STORE_IN_DOUBT, "lost")


class SuspendOnce:
    """Awaiting it suspends the coroutine once, so its driver can interleave others."""

    def __await__(self):
        yield


class FakeTables:
    """Rows in memory; each call consumes the next of ``faults``.

    Transactions consume ``write_faults`` first.

    Faults: ``ok``, ``down`` (before any effect), ``lost`` (after the effect) and
    ``late`` (response lost, the effect follows when `apply_late_writes` is called).
    """

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.faults: list[str] = []
        self.write_faults: list[str] = []
        self.down = False
        self.calls: list[str] = []
        self.written: list[str] = []
        self.late: list[Callable[[], bool]] = []

    def _fault(self, call: str) -> str:
        self.calls.append(call)
        faults = self.faults
        if call == "transact" and self.write_faults:
            faults = self.write_faults
        fault = faults.pop(0) if faults else "ok"
        if self.down or fault == "down":
            raise DOWN
        return fault

    def _holds(self, condition) -> bool:
        row = self.rows.get(condition.key)
        match condition:
            case RowAbsent():
                return row is None
            case RowVersion(version=version):
                return row is not None and row.version == version
            case FieldEquals(field=field, value=value):
                return row is not None and row.value.get(field) == value

    def _do(self, conditions, writes) -> bool:
        if not all(self._holds(condition) for condition in conditions):
            return False
        for write in writes:
            self.written.append(write.key)
            match write:
                case Put(key=key, value=value):
                    row = self.rows.get(key)
                    self.rows[key] = Row(key, value, row.version + 1 if row else 1)
                case Delete(key=key):
                    self.rows.pop(key, None)
        return True

    def apply_late_writes(self) -> None:
        """Apply every late write whose conditions still hold."""
        late, self.late = self.late, []
        for effect in late:
            effect()

    async def transact(self, conditions, writes) -> bool:
        await SuspendOnce()
        fault = self._fault("transact")
        if fault == "late":
            self.late.append(lambda: self._do(conditions, writes))
            raise LOST
        applied = self._do(conditions, writes)
        if fault == "lost":
            raise LOST
        return applied

    async def get(self, key):
        await SuspendOnce()
        if self._fault("get") != "ok":
            raise DOWN
        return self.rows.get(key)

    async def scan(self, prefix, start="", limit=1000):
        await SuspendOnce()
        if self._fault("scan") != "ok":
            raise DOWN
        keys = sorted(k for k in self.rows if k.startswith(prefix) and k >= start)
        return [self.rows[key] for key in keys[:limit]]


class AutoAdvancingClock:
    """A clock whose sleeps return immediately and advance it."""

    def __init__(self) -> None:
        self.time = 1_000.0

    def now(self) -> float:
        return self.time

    def wall(self) -> float:
        return self.time

    async def sleep(self, seconds: float) -> None:
        self.time += seconds
