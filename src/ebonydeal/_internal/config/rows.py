"""Rows of the configuration in the table service, and functions that read them.

``config/head`` holds the version in force, ``config/versions/{v}`` each version's
delta, and ``config/items/{section}/{name}`` the current content. All three change in
one transaction.
"""

from typing import Any, NamedTuple

from ebonydeal._internal.config.delta import Delta, ItemKey
from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.outside.interfaces import Row, Tables

HEAD_KEY = "config/head"
ITEMS_PREFIX = "config/items/"
VERSIONS_PREFIX = "config/versions/"
# Exceptions that parsing a malformed row or peer message may raise.
PARSE_ERRORS = (LookupError, TypeError, ValueError, AttributeError, ArithmeticError)
_PAGE_ROWS = 1000
_MAX_READ_ATTEMPTS = 8


class VersionInfo(NamedTuple):
    """One accepted version.

    Attributes
    ----------
    version : int
        From 1.
    by, note : str
        Author of the proposal, and the reason.
    at : float
        Wall clock seconds of the proposal.
    proposal : str
        Unique id of the proposal, to find it after a lost response.
    delta : Delta
        Its change to the previous version.
    """

    version: int
    by: str
    at: float
    note: str
    proposal: str
    delta: Delta

    @classmethod
    def from_row(cls, value: dict[str, Any]) -> "VersionInfo":
        """Build from a version row; raises KeyError, TypeError or ValueError."""
        return cls(
            version=int(value["version"]),
            by=str(value["by"]),
            at=float(value["at"]),
            note=str(value["note"]),
            proposal=str(value["proposal"]),
            delta=Delta.from_message(value),
        )

    def to_row(self) -> dict[str, Any]:
        """Return the row's value, which is also the wire shape between processes."""
        return {
            "version": self.version,
            "by": self.by,
            "at": self.at,
            "note": self.note,
            "proposal": self.proposal,
            **self.delta.to_message(),
        }


class Content(NamedTuple):
    """The items of one version."""

    version: int
    items: dict[ItemKey, dict[str, Any]]


EMPTY_CONTENT = Content(0, {})


def version_key(version: int) -> str:
    """Return the key of a version's row."""
    return f"{VERSIONS_PREFIX}{version:012d}"


def item_key(key: ItemKey) -> str:
    """Return the key of an item's row."""
    return f"{ITEMS_PREFIX}{key.section}/{key.name}"


async def read_head(tables: Tables) -> int:
    """Return the version in force; 0 before the first."""
    row = await tables.get(HEAD_KEY)
    return 0 if row is None else int(row.value["version"])


async def read_version(tables: Tables, version: int) -> VersionInfo | None:
    """Return an accepted version, or None."""
    row = await tables.get(version_key(version))
    return None if row is None else VersionInfo.from_row(row.value)


async def read_versions(
    tables: Tables, after: int, until: int, limit: int = _PAGE_ROWS
) -> list[VersionInfo]:
    """Return versions above ``after`` and up to ``until``, at most ``limit``."""
    found: list[VersionInfo] = []
    while after < until and len(found) < limit:
        want = min(limit - len(found), until - after, _PAGE_ROWS)
        rows = await tables.scan(VERSIONS_PREFIX, version_key(after + 1), want)
        if not rows:
            break
        found.extend(VersionInfo.from_row(row.value) for row in rows)
        after = found[-1].version
    return [info for info in found if info.version <= until]


async def read_content(tables: Tables) -> Content:
    """Return the current content, never a mix of two versions.

    Items change only together with the head, so if the head is the same before and
    after the reads, the items belong to one version.
    """
    for _ in range(_MAX_READ_ATTEMPTS):
        before = await read_head(tables)
        if before == 0:
            return EMPTY_CONTENT
        rows = await _scan_all(tables, ITEMS_PREFIX)
        if await read_head(tables) == before:
            return Content(before, dict(_parse_item(row) for row in rows))
    raise EbonydealError(
        ErrorKind.STORE_UNAVAILABLE,
        "the configuration changes faster than it can be read",
    )


async def _scan_all(tables: Tables, prefix: str) -> list[Row]:
    """Return all rows of a prefix, read page by page."""
    found: list[Row] = []
    start = ""
    while True:
        rows = await tables.scan(prefix, start, _PAGE_ROWS)
        found.extend(rows)
        if len(rows) < _PAGE_ROWS:
            return found
        start = rows[-1].key + "\0"


def _parse_item(row: Row) -> tuple[ItemKey, dict[str, Any]]:
    """Return an item from its row."""
    section, _, name = row.key.removeprefix(ITEMS_PREFIX).partition("/")
    return ItemKey(section, name), row.value["value"]
