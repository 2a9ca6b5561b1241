"""Which usage windows may have been reported in a time that the store has lost.

The row of a window is written before its report, so that no two reports differ. A
store that comes back from a copy may lack that row. Only the holder of that time knows
what it reported; another one leaves out the windows that had ended by then.
"""

import re
from collections.abc import Callable

from ebonydeal._internal.models.shared import RowWrite
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.duties.usage_store import USAGE_TABLE
from ebonydeal._internal.relay.ports import SharedStore
from ebonydeal._internal.routing.duties.coordinator_lease import CoordinatorLease
from ebonydeal._internal.routing.duties.usage_ledger import UsageLedger

logger = get_logger("relay.usage")

_REPORTED_KEY = "reported"
_WINDOW = re.compile(rb"[0-9]{1,15}")


class ReportedWindows:
    """Leaves out windows at the first holder of the lease after a restore.

    Parameters
    ----------
    store : SharedStore
        The platform's store.
    ledger : UsageLedger
        Knows which windows are due.
    lease : CoordinatorLease
        The lease.
    wall : callable
        Returns the wall clock's time, seconds.
    """

    def __init__(
        self,
        store: SharedStore,
        ledger: UsageLedger,
        lease: CoordinatorLease,
        wall: Callable[[], float],
    ) -> None:
        self._store = store
        self._ledger = ledger
        self._lease = lease
        self._wall = wall
        self.loaded = False
        # The last window that is left out, for later holders; None if there is none.
        self._left_out_to: int | None = None

    def store_restored(self) -> None:
        """Note that a holder of the lost time may have reported windows."""
        self.loaded = self.loaded and self._lease.is_mine

    async def read(self) -> None:
        """Apply what an earlier holder of this era left out, or leave out windows."""
        rows, _version = await self._store.rows(USAGE_TABLE, _REPORTED_KEY)
        for row in rows:
            if row.key == _REPORTED_KEY and row.value:
                self._skip_to(row.value)
        if self._lease.is_first_in_era:
            self._left_out_to = self._ledger.skip_ended(self._wall())
            logger.info(
                "Usage windows left out after a restore.", until=self._left_out_to
            )
        self.loaded = True

    def _skip_to(self, value: bytes) -> None:
        """Leave out the windows up to the one that a row names."""
        if not _WINDOW.fullmatch(value):
            logger.error("Reported windows are unreadable.", value=repr(value[:40]))
            return
        self._ledger.skip_to(int(value))

    def changes(self) -> list[RowWrite]:
        """Return the write of the last window that is left out, if any."""
        if self._left_out_to is None:
            return []
        value = str(self._left_out_to).encode()
        return [RowWrite(USAGE_TABLE, _REPORTED_KEY, value)]

    def wrote(self) -> None:
        """Note that the row is stored: it isn't written again."""
        self._left_out_to = None
