"""HTTP client of the table service."""

from collections.abc import Sequence
from typing import Any, TypedDict

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.outside.http import (
    READ,
    WRITE,
    FailureKinds,
    HttpClient,
    check_status,
    read_object,
)
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
from ebonydeal._internal.settings.sections import PlatformSettings


class TransactMessage(TypedDict):
    """Body of ``POST /v1/transact``."""

    conditions: list[dict[str, Any]]
    writes: list[dict[str, Any]]


def condition_to_message(condition: Condition) -> dict[str, Any]:
    """Encode a condition for the wire."""
    match condition:
        case RowAbsent(key):
            return {"if": "absent", "key": key}
        case RowVersion(key, version):
            return {"if": "version", "key": key, "version": version}
        case FieldEquals(key, field, value):
            return {"if": "field", "key": key, "field": field, "value": value}


def write_to_message(write: Write) -> dict[str, Any]:
    """Encode a write for the wire."""
    match write:
        case Put(key, value):
            return {"op": "put", "key": key, "value": value}
        case Delete(key):
            return {"op": "delete", "key": key}


def _parse_row(message: Any, url: str, kinds: FailureKinds) -> Row:
    """Parse a row; raises the garbage kind if it is malformed."""
    match message:
        case {"key": str(key), "value": dict(value), "version": int(version)}:
            return Row(key, value, version)
    raise EbonydealError(kinds.garbage, f"response of {url} holds no row")


class HttpTables:
    """`Tables` over HTTP; owns one session.

    Parameters
    ----------
    url : str
        Base URL.
    timeout : float
        Timeout of one call, seconds.
    """

    def __init__(self, url: str, timeout: float) -> None:
        self._url = url.rstrip("/")
        self._client = HttpClient(timeout, one_address=True)

    @classmethod
    def from_config(cls, cfg: PlatformSettings) -> "HttpTables":
        """Build from ``[platform]``."""
        return cls(cfg.tables_url, cfg.timeout)

    async def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> bool:
        """Apply all writes if all conditions hold; return whether they did."""
        url = f"{self._url}/v1/transact"
        message = TransactMessage(
            conditions=[condition_to_message(item) for item in conditions],
            writes=[write_to_message(item) for item in writes],
        )
        reply = await self._client.fetch("POST", url, WRITE, json=message)
        check_status(reply, url, WRITE)
        applied = read_object(reply, url, WRITE).get("applied")
        if not isinstance(applied, bool):
            raise EbonydealError(WRITE.garbage, f"response of {url} lacks 'applied'")
        return applied

    async def get(self, key: str) -> Row | None:
        """Return a row, or None if it doesn't exist."""
        url = f"{self._url}/v1/rows"
        reply = await self._client.fetch("GET", url, READ, params={"key": key})
        if reply.status == 404:
            return None
        check_status(reply, url, READ)
        return _parse_row(read_object(reply, url, READ), url, READ)

    async def scan(self, prefix: str, start: str = "", limit: int = 1000) -> list[Row]:
        """Return rows whose key has ``prefix`` and is >= ``start``, by key."""
        url = f"{self._url}/v1/scan"
        params = {"prefix": prefix, "start": start, "limit": str(limit)}
        reply = await self._client.fetch("GET", url, READ, params=params)
        check_status(reply, url, READ)
        rows = read_object(reply, url, READ).get("rows")
        if not isinstance(rows, list):
            raise EbonydealError(READ.garbage, f"response of {url} lacks 'rows'")
        return [_parse_row(item, url, READ) for item in rows]

    async def close(self) -> None:
        """Close the session."""
        await self._client.close()
