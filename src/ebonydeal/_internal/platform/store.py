"""Client of the platform's store."""

from typing import Any

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.shared import (
    RowChanges,
    RowWrite,
    SharedRow,
    TransactResult,
)
from ebonydeal._internal.platform.calls import JsonCalls
from ebonydeal._internal.platform.rows import decode_row, encode_value
from ebonydeal._internal.utils.clock import Clock

_MS = 1000.0
_READ_FAILED = ErrorKind.STORE_UNAVAILABLE
_WRITE_FAILED = ErrorKind.STORE_IN_DOUBT


class PlatformStore:
    """The platform's store; owns one session.

    Parameters
    ----------
    url : str
        Base URL.
    timeout : float
        Timeout of one call, seconds.
    clock : Clock
        This process's clock, to which the store's is compared.
    """

    def __init__(self, url: str, timeout: float, clock: Clock) -> None:
        self._url = url.rstrip("/")
        self._clock = clock
        self.clock_ahead_s = 0.0
        self._calls = JsonCalls(timeout)

    async def _call(
        self,
        method: str,
        path: str,
        no_reply: ErrorKind,
        *,
        timeout: float | None = None,
        params: dict[str, str] | None = None,
        message: Any = None,
    ) -> tuple[int, dict[str, Any]]:
        """Return status and body; raises ``no_reply`` without a valid reply."""
        reply = await self._calls.call(
            method,
            f"{self._url}{path}",
            no_reply,
            timeout=timeout,
            params=params,
            message=message,
        )
        if reply.status in (429, 503, 507):
            detail = f"{method} {path} returned {reply.status}"
            raise EbonydealError(ErrorKind.STORE_UNAVAILABLE, detail)
        try:
            body = reply.parse()
        except ValueError as exc:
            raise EbonydealError(no_reply, f"{method} {path}: not JSON") from exc
        if reply.status not in (200, 410, 412):
            raise EbonydealError(no_reply, f"{method} {path} returned {reply.status}")
        body = body if isinstance(body, dict) else {}
        now_ms = body.get("now_ms")
        if isinstance(now_ms, int | float):
            self.clock_ahead_s = now_ms / _MS - self._clock.now()
        return reply.status, body

    async def rows(self, table: str, start: str = "") -> tuple[list[SharedRow], int]:
        """Return all rows of a table from key ``start``, and the newest version."""
        found: list[SharedRow] = []
        version = 0
        while True:
            params = {"table": table, "part": ""}
            if start:
                params["from"] = start
            _status, body = await self._call(
                "GET", "/-/rows-get", _READ_FAILED, params=params
            )
            rows = _decode_all(body)
            found.extend(rows)
            # The first page's version: changes after it are then read again.
            version = version or int(body.get("ver", 0))
            if not body.get("truncated") or not rows:
                return found, version
            start = rows[-1].key + "\0"

    async def changes(
        self, table: str, after: int, wait: float, reply_timeout: float
    ) -> RowChanges | None:
        """Wait for changes after a version; None if the store no longer has them.

        The reply may take ``reply_timeout`` seconds longer than ``wait``.
        """
        params = {"table": table, "after": str(after), "wait_ms": str(int(wait * 1000))}
        status, body = await self._call(
            "GET",
            "/-/rows-feed",
            _READ_FAILED,
            timeout=wait + reply_timeout,
            params=params,
        )
        if status == 410:
            return None
        return RowChanges(tuple(_decode_all(body)), int(body.get("ver", after)))

    async def transact(self, writes: list[RowWrite]) -> TransactResult:
        """Apply all writes if each row has its expected version, or none."""
        places = [(w, {"table": w.table, "part": "", "key": w.key}) for w in writes]
        message = {
            "precondition": [
                {**place, "ver": w.expected} for w, place in places if w.expected >= 0
            ],
            "puts": [
                {**place, "value": encode_value(w.value)}
                for w, place in places
                if w.value is not None
            ],
            "remove": [place for w, place in places if w.value is None],
        }
        status, body = await self._call(
            "POST", "/-/rows-tx", _WRITE_FAILED, message=message
        )
        if status == 412:
            return TransactResult(False, 0, tuple(_decode_all(body)))
        return TransactResult(True, int(body.get("ver", 0)), ())

    async def close(self) -> None:
        """Close the session."""
        await self._calls.close()


def _decode_all(body: dict[str, Any]) -> list[SharedRow]:
    """Return the rows of a reply; raises STORE_UNAVAILABLE for invalid ones."""
    try:
        return [decode_row(item) for item in body.get("rows") or ()]
    except (KeyError, TypeError, ValueError) as exc:
        detail = f"a row can't be parsed: {exc!r}"
        raise EbonydealError(_READ_FAILED, detail) from exc
