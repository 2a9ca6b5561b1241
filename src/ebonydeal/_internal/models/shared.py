"""Rows that the system's processes share through the platform's store."""

from typing import NamedTuple

ANY_VERSION = -1
NO_ROW = 0


# A store that comes back from a copy gives out versions again, and its era rises. Both
# in one number order all writes: the era in the upper bits, the version in these.
_VERSION_BITS = 40
MAX_RAW_VERSION = 2**_VERSION_BITS - 1


def ordered_version(era: int, raw: int) -> int:
    """Return the version by which rows are ordered, given the store's era and its own.

    ``NO_ROW`` stays as it is.
    """
    return raw and (era << _VERSION_BITS) | raw


def era_of(version: int) -> int:
    """Return the store's era in which a version was given out."""
    return version >> _VERSION_BITS


def raw_version(version: int) -> int:
    """Return a version as the store knows it."""
    return version & MAX_RAW_VERSION


class SharedRow(NamedTuple):
    """A row; ``value`` is None if it was removed; ``version`` is an ordered one."""

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
