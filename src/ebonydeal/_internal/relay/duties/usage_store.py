"""Usage windows in the platform's store.

A window's counts are written once, under the condition that no row is there,
before they are sent: whoever holds the lease sends only what lies in the store,
so no two reports of a window differ. Windows that are still open are stored with
each renewal of the lease, so that they outlive all processes.
"""

import json

from ebonydeal._internal.models.shared import NO_ROW, RowWrite
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.packed_row import MOST_BYTES, UNREADABLE, pack, unpack
from ebonydeal._internal.relay.ports import SharedStore
from ebonydeal._internal.routing.duties.usage_ledger import Due, UsageLedger

logger = get_logger("relay.usage")

USAGE_TABLE = "ebonydeal-usage"
_OPEN_KEY = "open"
# Windows whose rows are kept: more than may still be reported.
_ROWS_KEPT = 6


def _key(window: int) -> str:
    return f"{window:012d}"


class UsageStore:
    """Reads and writes the rows of usage.

    Parameters
    ----------
    store : SharedStore
        The platform's store.
    ledger : UsageLedger
        What relays told.
    """

    def __init__(self, store: SharedStore, ledger: UsageLedger) -> None:
        self._store = store
        self._ledger = ledger

    def open_change(self) -> RowWrite:
        """Return the write that keeps windows not reported yet."""
        told = pack(self._ledger.open_windows())
        if len(told) > MOST_BYTES:
            logger.warning("Open windows are too large to keep.", size=len(told))
            told = pack({})
        return RowWrite(USAGE_TABLE, _OPEN_KEY, told)

    async def read_open(self) -> None:
        """Take what the holder before kept of windows not reported yet."""
        rows, _version = await self._store.rows(USAGE_TABLE, _OPEN_KEY)
        for row in rows:
            if row.key != _OPEN_KEY or row.value is None:
                continue
            try:
                for relay, windows in unpack(row.value).items():
                    counts = {int(n): dict(c) for n, c in windows.items()}
                    self._ledger.stored(relay, counts)
            except UNREADABLE as exc:
                logger.error("Stored usage can't be read.", reason=repr(exc))

    async def store_once(self, due: Due) -> dict[str, int] | None:
        """Return what lies in the store for a window, ours where none was there.

        None where it can't be known now.
        """
        body = json.dumps(due.counts, sort_keys=True).encode()
        change = RowWrite(USAGE_TABLE, _key(due.window), body, NO_ROW)
        old = RowWrite(USAGE_TABLE, _key(due.window - _ROWS_KEPT), None)
        result = await self._store.transact([change, old])
        if not result.applied:
            # Another holder, or a write without answer, was before us.
            stored = [row.value for row in result.rows if row.value is not None]
            if not stored:
                return None
            body = stored[0]
        try:
            return {str(k): int(v) for k, v in json.loads(body).items()}
        except UNREADABLE as exc:
            logger.error("Stored usage can't be read.", reason=repr(exc))
            return None
