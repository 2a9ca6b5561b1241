"""A store in memory that comes back from a copy, as the platform's does in a drill."""

import asyncio
from typing import NamedTuple

from ebonydeal._internal.models.shared import era_of, ordered_version, raw_version
from tests.lib.relay_fakes import MemoryStore

# What the operator and the endpoints write, they write again after a restore.
REWRITTEN_TABLES = ("op", "servers")


class Copy(NamedTuple):
    """The store's tables at one version."""

    tables: dict
    version: int


class RestorableStore(MemoryStore):
    """Its versions are ordered ones; each restore begins another era."""

    def __init__(self):
        super().__init__()
        self.era = 1
        self.version = ordered_version(1, 1)

    def copy(self):
        return Copy({t: dict(rows) for t, rows in self.tables.items()}, self.version)

    async def changes(self, table, after, wait, reply_timeout):
        if era_of(after) != self.era:
            self._check()
            return None
        found = await super().changes(table, after, wait, reply_timeout)
        return found if era_of(after) == self.era else None

    async def restore(self, copy, rewritten_after=0.0):
        """Come back from a copy; operator and endpoints write again what they wrote."""
        lost = [
            (table, key, None if row is None else row.value)
            for table in REWRITTEN_TABLES
            for key, row in self._changed_rows(table, copy)
        ]
        self.era += 1
        self.version = ordered_version(self.era, raw_version(copy.version))
        self.log.clear()
        self.tables = {
            table: {key: self._in_era(row) for key, row in rows.items()}
            for table, rows in copy.tables.items()
        }
        self.down = False
        async with self._changed:
            self._changed.notify_all()
        await asyncio.sleep(rewritten_after)
        for table, key, value in lost:
            await self.put(table, key, value)

    def _changed_rows(self, table, copy):
        now, before = self.tables.get(table, {}), copy.tables.get(table, {})
        for key in {**before, **now}:
            if now.get(key) != before.get(key):
                yield key, now.get(key)

    def _in_era(self, row):
        version = ordered_version(self.era, raw_version(row.version))
        return row._replace(version=version)
