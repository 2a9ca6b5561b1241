"""Usage windows in the platform's store.

A window's counts are written once, on condition that the row doesn't exist yet,
before they are reported. The holder of the lease reports only what is in the store,
so no two reports of a window differ. Windows that are still open are stored with
each renewal of the lease, so that they survive the loss of all processes.
"""

import json

from ebonydeal._internal.models.shared import NO_ROW, RowWrite
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.packed_row import (
    MAX_PACKED_BYTES,
    UNPACK_ERRORS,
    pack,
    unpack,
)
from ebonydeal._internal.relay.ports import SharedStore
from ebonydeal._internal.routing.duties.usage_ledger import DueWindow, UsageLedger

logger = get_logger("relay.usage")

USAGE_TABLE = "ebonydeal-usage"
_OPEN_KEY = "open"
# Windows whose rows are retained: more than may still be reported.
_MAX_STORED_WINDOWS = 6


def _key(window: int) -> str:
    return f"{window:012d}"


class UsageStore:
    """Reads and writes the rows of usage.

    Parameters
    ----------
    store : SharedStore
        The platform's store.
    ledger : UsageLedger
        Counts that relays reported.
    """

    def __init__(self, store: SharedStore, ledger: UsageLedger) -> None:
        self._store = store
        self._ledger = ledger
        # Counts that this relay stored or read: they stay, whatever the store forgets.
        self._stored: dict[int, dict[str, int]] = {}

    def open_change(self) -> RowWrite:
        """Return the write that stores windows not reported yet."""
        value = pack(self._ledger.open_windows())
        if len(value) > MAX_PACKED_BYTES:
            logger.warning(
                "Open usage windows are too large to store.", size=len(value)
            )
            value = pack({})
        return RowWrite(USAGE_TABLE, _OPEN_KEY, value)

    async def read_open(self) -> None:
        """Load the previous holder's windows that aren't reported yet."""
        rows, _version = await self._store.rows(USAGE_TABLE, _OPEN_KEY)
        for row in rows:
            if row.key != _OPEN_KEY or row.value is None:
                continue
            try:
                for relay, windows in unpack(row.value).items():
                    counts = {int(n): dict(c) for n, c in windows.items()}
                    self._ledger.add_totals(relay, counts)
            except UNPACK_ERRORS as exc:
                logger.error("Stored usage can't be decoded.", reason=repr(exc))

    async def store_once(self, due: DueWindow) -> dict[str, int] | None:
        """Store a window's counts unless the store has some; return the stored ones.

        Returns None where they can't be read.
        """
        if due.window in self._stored:
            return self._stored[due.window]
        body = json.dumps(due.counts, sort_keys=True).encode()
        change = RowWrite(USAGE_TABLE, _key(due.window), body, NO_ROW)
        old = RowWrite(USAGE_TABLE, _key(due.window - _MAX_STORED_WINDOWS), None)
        result = await self._store.transact([change, old])
        if not result.applied:
            # Another holder, or an earlier write without a reply, stored counts before.
            stored = [row.value for row in result.rows if row.value is not None]
            if not stored:
                return None
            body = stored[0]
        try:
            counts = {str(k): int(v) for k, v in json.loads(body).items()}
        except UNPACK_ERRORS as exc:
            logger.error("Stored usage can't be decoded.", reason=repr(exc))
            return None
        self._stored[due.window] = counts
        while len(self._stored) > _MAX_STORED_WINDOWS:
            del self._stored[min(self._stored)]
        return counts
