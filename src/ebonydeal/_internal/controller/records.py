"""The rows of one deployment's instances, with a cached copy in the leader.

Only the lease holder's writes take effect. Its copy, read once and updated with
its own writes, therefore equals the table. It is read again only after a failed
write, or a write whose response was lost.
"""

from collections.abc import Sequence

from ebonydeal._internal.controller.events import TrailEvent, read_trail
from ebonydeal._internal.controller.lease import LeaseKeeper
from ebonydeal._internal.controller.values import InstanceRow, row_prefix
from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.outside.interfaces import (
    Condition,
    Delete,
    FieldEquals,
    RowAbsent,
    Tables,
    Write,
)

_MAX_PAGE_ROWS = 1000


class InstanceRecords:
    """The rows ``instances/{deployment}:*``, cached by their only writer.

    Parameters
    ----------
    deployment : str
        Name of the deployment.
    lease : LeaseKeeper
        Every write has the condition that its epoch is current.
    tables : Tables
        Contain the rows.
    """

    def __init__(self, deployment: str, lease: LeaseKeeper, tables: Tables) -> None:
        self.rows: dict[str, InstanceRow] = {}
        self.events = 0
        self._deployment = deployment
        self._lease = lease
        self._tables = tables
        self._epoch: int | None = None

    async def refresh(self) -> None:
        """Read all rows, unless the copy is valid."""
        if self._epoch is not None and self._epoch == self._lease.epoch:
            return
        epoch = self._lease.epoch
        rows: dict[str, InstanceRow] = {}
        prefix = row_prefix(self._deployment)
        start = ""
        while True:
            page = await self._tables.scan(prefix, start, _MAX_PAGE_ROWS)
            for row in page:
                item = InstanceRow.from_row(row)
                rows[item.token] = item
            if len(page) < _MAX_PAGE_ROWS:
                break
            start = page[-1].key + "\0"
        trail = await read_trail(self._tables, self._deployment)
        self.events = max((event.number + 1 for event in trail), default=0)
        self.rows = rows
        self._epoch = epoch

    def invalidate(self) -> None:
        """Discard the copy, so that the next `refresh` reads the rows again."""
        self._epoch = None

    async def save(self, row: InstanceRow, *events: TrailEvent) -> None:
        """Update an existing row, together with the events that explain the change.

        Raises ``FENCED`` if another leader has taken over.
        """
        updated = row._replace(revision=row.revision + 1)
        writes = [updated.to_put(), *(event.to_put() for event in events)]
        await self._transact([_unchanged(row)], writes)
        self.rows[row.token] = updated

    async def create(self, row: InstanceRow, *events: TrailEvent) -> None:
        """Create a row that must not exist yet; raises ``FENCED`` as `save`."""
        writes = [row.to_put(), *(event.to_put() for event in events)]
        await self._transact([RowAbsent(row.key)], writes)
        self.rows[row.token] = row

    async def delete(self, row: InstanceRow, *events: TrailEvent) -> None:
        """Delete a row; raises ``FENCED`` as `save`."""
        writes: list[Write] = [Delete(row.key)]
        writes.extend(event.to_put() for event in events)
        await self._transact([_unchanged(row)], writes)
        self.rows.pop(row.token, None)

    async def write_other(self, *writes: Write) -> None:
        """Write rows of other kinds as the leader; raises ``FENCED`` as `save`."""
        await self._transact([], list(writes))

    async def _transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> None:
        """Write on the condition that the lease's epoch is current."""
        try:
            applied = await self._tables.transact(
                [self._lease.condition(), *conditions], writes
            )
        except EbonydealError:
            self.invalidate()
            raise
        if not applied:
            # Either another process has the lease or the copy is stale. The next
            # read of the lease shows which, and the rows are read again.
            self.invalidate()
            self._lease.mark_lost()
            raise EbonydealError(
                ErrorKind.FENCED, "another controller has taken the lease"
            )


def _unchanged(row: InstanceRow) -> Condition:
    """Return the condition that the table has this revision of the row."""
    return FieldEquals(row.key, "revision", row.revision)
