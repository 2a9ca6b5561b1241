"""Rows that the system's processes share through the platform's store."""

from typing import NamedTuple

ANY_VERSION = -1
NO_ROW = 0


class SharedRow(NamedTuple):
    """A row; ``value`` is None if it was removed."""

    key: str
    value: bytes | None
    version: int


class RowChanges(NamedTuple):
    """Rows changed since a version, in order, and the version to continue from."""

    rows: tuple[SharedRow, ...]
    version: int


class RowWrite(NamedTuple):
    """One write; ``value`` None removes the row.

    ``expected`` is the version that the row must have: ``NO_ROW`` if it must not
    exist, ``ANY_VERSION`` for any.
    """

    table: str
    key: str
    value: bytes | None
    expected: int = ANY_VERSION


class TransactResult(NamedTuple):
    """Whether the writes were applied; if not, the current rows."""

    applied: bool
    version: int
    rows: tuple[SharedRow, ...]
