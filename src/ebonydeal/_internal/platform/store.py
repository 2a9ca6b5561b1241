"""Client of the platform's store."""

from typing import Any

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.shared import (
    MAX_RAW_VERSION,
    NO_ROW,
    RowChanges,
    RowWrite,
    SharedRow,
    TransactResult,
    era_of,
    ordered_version,
    raw_version,
)
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.platform.calls import JsonCalls
from ebonydeal._internal.platform.rows import decode_row, encode_value
from ebonydeal._internal.utils.clock import Clock

logger = get_logger("platform.store")

_MS = 1000.0
# Rises each time the store comes back from a copy, with versions that go back.
_ERA = "Store-Era"
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
        self.era = 0
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
        self._note_era(reply.headers.get(_ERA), no_reply)
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

    def _note_era(self, text: str | None, no_reply: ErrorKind) -> None:
        """Note the store's era; raises ``no_reply`` for a reply of an earlier one."""
        if text is None:
            return
        if not text.isdecimal():
            logger.error("Era of the store is unreadable.", value=text[:40])
            return
        era = int(text)
        if era < self.era:
            raise EbonydealError(no_reply, f"reply of era {era}, now it is {self.era}")
        if era > self.era:
            logger.info("Era of the store.", era=era, before=self.era)
            self.era = era

    async def rows(self, table: str, start: str = "") -> tuple[list[SharedRow], int]:
        """Return all rows of a table from key ``start``, and the newest version."""
        found: list[SharedRow] = []
        version = era = 0
        first = start
        while True:
            params = {"table": table, "part": ""}
            if start:
                params["from"] = start
            _status, body = await self._call(
                "GET", "/-/rows-get", _READ_FAILED, params=params
            )
            if found and self.era != era:
                # Pages of two eras don't belong together.
                found, version, start = [], 0, first
                continue
            era = self.era
            rows = self._decode_all(body)
            found.extend(rows)
            # The first page's version: changes after it are then read again.
            version = version or self._version(body)
            if not body.get("truncated") or not rows:
                return found, version
            start = rows[-1].key + "\0"

    async def changes(
        self, table: str, after: int, wait: float, reply_timeout: float
    ) -> RowChanges | None:
        """Wait for changes after a version; None if the store no longer has them.

        The reply may take ``reply_timeout`` seconds longer than ``wait``.
        """
        params = {
            "table": table,
            "after": str(raw_version(after)),
            "wait_ms": str(int(wait * _MS)),
        }
        status, body = await self._call(
            "GET",
            "/-/rows-feed",
            _READ_FAILED,
            timeout=wait + reply_timeout,
            params=params,
        )
        if status == 410 or (after and era_of(after) != self.era):
            return None
        version = self._version(body) if "ver" in body else after
        return RowChanges(tuple(self._decode_all(body)), version)

    def _version(self, body: dict[str, Any]) -> int:
        return ordered_version(self.era, int(body.get("ver", 0)))

    def _expected(self, version: int) -> int:
        """Return a write's condition as the store knows it.

        A version of an earlier era may have been given out again since, so such a
        condition must fail.
        """
        if version == NO_ROW or era_of(version) == self.era:
            return raw_version(version)
        return MAX_RAW_VERSION

    async def transact(self, writes: list[RowWrite]) -> TransactResult:
        """Apply all writes if each row has its expected version, or none."""
        places = [(w, {"table": w.table, "part": "", "key": w.key}) for w in writes]
        message = {
            "precondition": [
                {**place, "ver": self._expected(w.expected)}
                for w, place in places
                if w.expected >= 0
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
            return TransactResult(False, 0, tuple(self._decode_all(body)))
        return TransactResult(True, self._version(body), ())

    def _decode_all(self, body: dict[str, Any]) -> list[SharedRow]:
        """Return the rows of a reply; raises STORE_UNAVAILABLE for invalid ones."""
        try:
            return [decode_row(item, self.era) for item in body.get("rows") or ()]
        except (KeyError, TypeError, ValueError) as exc:
            detail = f"a row can't be parsed: {exc!r}"
            raise EbonydealError(_READ_FAILED, detail) from exc

    async def close(self) -> None:
        """Close the session."""
        await self._calls.close()
