"""In-memory table service and object store with fault injection."""

from bisect import bisect_left, insort
from collections.abc import Sequence
from typing import Any

from msgspec.json import decode, encode

from ebonydeal._internal.outside.interfaces import (
    Condition,
    Delete,
    FieldEquals,
    Put,
    Row,
    RowAbsent,
    RowVersion,
    Write,
)
from ebonydeal._internal.standin.faults import Faults
from ebonydeal._internal.standin.operation_runner import OperationRunner
from ebonydeal._internal.utils.clock import Clock, SystemClock


class RowStore:
    """Rows by key; every method is one atomic step.

    Values are stored encoded, so that no caller can change a stored row and
    a value that isn't JSON fails at once.
    """

    def __init__(self) -> None:
        self._values: dict[str, bytes] = {}
        self._versions: dict[str, int] = {}
        self._keys: list[str] = []

    def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> bool:
        """Do all writes if all conditions hold; return whether they did."""
        if not all(self._is_met(item) for item in conditions):
            return False
        encoded = [encode(item.value) for item in writes if isinstance(item, Put)]
        values = iter(encoded)
        for item in writes:
            match item:
                case Put(key, _):
                    self._put(key, next(values))
                case Delete(key):
                    self._delete(key)
        return True

    def _is_met(self, condition: Condition) -> bool:
        match condition:
            case RowAbsent(key):
                return key not in self._values
            case RowVersion(key, version):
                return key in self._values and self._versions[key] == version
            case FieldEquals(key, field, value):
                row = self.get(key)
                return (
                    row is not None and field in row.value and row.value[field] == value
                )

    def _put(self, key: str, value: bytes) -> None:
        if key not in self._values:
            insort(self._keys, key)
        self._values[key] = value
        # Versions persist after a delete, so that a compare-and-set can't
        # mistake a recreated row for the one it read.
        self._versions[key] = self._versions.get(key, 0) + 1

    def _delete(self, key: str) -> None:
        if self._values.pop(key, None) is not None:
            del self._keys[bisect_left(self._keys, key)]

    def get(self, key: str) -> Row | None:
        """Return a row, or None."""
        value = self._values.get(key)
        if value is None:
            return None
        return Row(key, decode(value), self._versions[key])

    def scan(self, prefix: str, start: str, limit: int) -> list[Row]:
        """Return rows whose key has ``prefix`` and is >= ``start``, by key."""
        rows: list[Row] = []
        index = bisect_left(self._keys, max(prefix, start))
        while index < len(self._keys) and len(rows) < limit:
            key = self._keys[index]
            if not key.startswith(prefix):
                break
            row = self.get(key)
            if row is not None:
                rows.append(row)
            index += 1
        return rows


class MemoryTables:
    """`Tables` in memory.

    Parameters
    ----------
    clock : Clock, optional
        For delays.
    faults : Faults, optional
        Faults to inject; also the attribute ``faults``.
    """

    def __init__(
        self, clock: Clock | None = None, faults: Faults | None = None
    ) -> None:
        self.rows = RowStore()
        self.faults = faults or Faults()
        self.runner = OperationRunner(clock or SystemClock(), self.faults)

    async def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> bool:
        """Do all writes if all conditions hold; return whether they did."""
        conditions, writes = tuple(conditions), tuple(writes)
        key = writes[0].key if writes else ""
        # Copied now: a late write must not see later changes by the caller.
        snapshot = tuple(_copy_write(item) for item in writes)
        return await self.runner.run(
            "transact",
            key,
            True,
            lambda: self.rows.transact(conditions, snapshot),
            (conditions, snapshot),
        )

    async def get(self, key: str) -> Row | None:
        """Return a row, or None."""
        return await self.runner.run(
            "get", key, False, lambda: self.rows.get(key), None
        )

    async def scan(self, prefix: str, start: str = "", limit: int = 1000) -> list[Row]:
        """Return rows whose key has ``prefix`` and is >= ``start``, by key."""
        return await self.runner.run(
            "scan", prefix, False, lambda: self.rows.scan(prefix, start, limit), None
        )

    def apply_late_writes(self) -> list[Any]:
        """Apply all late writes; return for each whether it was applied."""
        return self.runner.apply_late_writes()

    @property
    def reads(self) -> int:
        """Number of reads so far, including failed ones."""
        return self.runner.reads

    @property
    def writes(self) -> int:
        """Number of transactions so far, including failed ones."""
        return self.runner.writes

    async def close(self) -> None:
        """Do nothing; exists because the adapters have it."""


def _copy_write(write: Write) -> Write:
    if isinstance(write, Put):
        return Put(write.key, decode(encode(write.value)))
    return write


class MemoryObjects:
    """`Objects` in memory, with the same faults."""

    def __init__(
        self, clock: Clock | None = None, faults: Faults | None = None
    ) -> None:
        self.data: dict[str, bytes] = {}
        self.faults = faults or Faults()
        self.runner = OperationRunner(clock or SystemClock(), self.faults)

    async def put(self, name: str, data: bytes) -> None:
        """Store an object, replacing one of the same name."""
        snapshot = bytes(data)
        await self.runner.run(
            "put", name, True, lambda: self.data.__setitem__(name, snapshot), None
        )

    async def get(self, name: str) -> bytes | None:
        """Return an object, or None."""
        return await self.runner.run(
            "get", name, False, lambda: self.data.get(name), None
        )

    async def delete(self, name: str) -> None:
        """Remove an object if it exists."""
        await self.runner.run(
            "delete", name, True, lambda: self.data.pop(name, None), None
        )

    async def names(self, prefix: str) -> list[str]:
        """Return the names that start with ``prefix``, sorted."""
        return await self.runner.run(
            "names", prefix, False, lambda: self._names(prefix), None
        )

    def _names(self, prefix: str) -> list[str]:
        return sorted(name for name in self.data if name.startswith(prefix))

    def apply_late_writes(self) -> list[Any]:
        """Apply all late writes."""
        return self.runner.apply_late_writes()

    @property
    def reads(self) -> int:
        """Number of reads so far, including failed ones."""
        return self.runner.reads

    @property
    def writes(self) -> int:
        """Number of writes so far, including failed ones."""
        return self.runner.writes

    async def close(self) -> None:
        """Do nothing; exists because the adapters have it."""
