"""A leader's durable records of one deployment's instances, kept in memory.

The holder of the lease is the only one whose writes take effect, so that what
it read once and wrote itself is what the table holds. Only a write whose answer
was lost makes the copy doubtful; then it is read again.
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

_PAGE = 1000


class InstanceRecords:
    """The rows ``instances/{deployment}:*`` as their only writer sees them.

    Parameters
    ----------
    deployment : str
        Whose instances.
    lease : LeaseKeeper
        Every write is conditioned on its epoch.
    tables : Tables
        Where the rows are.
    """

    def __init__(self, deployment: str, lease: LeaseKeeper, tables: Tables) -> None:
        self.rows: dict[str, InstanceRow] = {}
        self.events = 0
        self._deployment = deployment
        self._lease = lease
        self._tables = tables
        self._epoch: int | None = None

    async def refresh(self) -> None:
        """Read all rows, unless the copy is known to be right."""
        if self._epoch is not None and self._epoch == self._lease.epoch:
            return
        epoch = self._lease.epoch
        rows: dict[str, InstanceRow] = {}
        prefix = row_prefix(self._deployment)
        start = ""
        while True:
            page = await self._tables.scan(prefix, start, _PAGE)
            for row in page:
                item = InstanceRow.from_row(row)
                rows[item.token] = item
            if len(page) < _PAGE:
                break
            start = page[-1].key + "\0"
        trail = await read_trail(self._tables, self._deployment)
        self.events = max((event.number + 1 for event in trail), default=0)
        self.rows = rows
        self._epoch = epoch

    def invalidate(self) -> None:
        """Have the rows read again before they are next used."""
        self._epoch = None

    async def save(self, row: InstanceRow, *events: TrailEvent) -> None:
        """Write a row that exists, with the events that explain it.

        Raises ``FENCED`` if another leader has taken over.
        """
        newer = row._replace(revision=row.revision + 1)
        writes = [newer.to_put(), *(event.to_put() for event in events)]
        await self._transact([_unchanged(row)], writes)
        self.rows[row.token] = newer

    async def create(self, row: InstanceRow, *events: TrailEvent) -> None:
        """Write a row that must not exist yet; raises ``FENCED`` as `save`."""
        writes = [row.to_put(), *(event.to_put() for event in events)]
        await self._transact([RowAbsent(row.key)], writes)
        self.rows[row.token] = row

    async def delete(self, row: InstanceRow, *events: TrailEvent) -> None:
        """Remove a row; raises ``FENCED`` as `save`."""
        writes: list[Write] = [Delete(row.key)]
        writes.extend(event.to_put() for event in events)
        await self._transact([_unchanged(row)], writes)
        self.rows.pop(row.token, None)

    async def write_other(self, *writes: Write) -> None:
        """Do other writes of the leader; raises ``FENCED`` as `save`."""
        await self._transact([], list(writes))

    async def _transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> None:
        """Write under the lease's epoch."""
        try:
            applied = await self._tables.transact(
                [self._lease.condition(), *conditions], writes
            )
        except EbonydealError:
            self.invalidate()
            raise
        if not applied:
            # Either the epoch is another's or our copy is out of date; the next
            # look at the lease tells which, and the rows are read again.
            self.invalidate()
            self._lease.mark_lost()
            raise EbonydealError(ErrorKind.FENCED, "another controller leads now")


def _unchanged(row: InstanceRow) -> Condition:
    """Return the condition that the table holds the row as we know it."""
    return FieldEquals(row.key, "revision", row.revision)
