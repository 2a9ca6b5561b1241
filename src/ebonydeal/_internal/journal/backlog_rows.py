"""Keeps this node's backlog rows in step with the deadline work that waits."""

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from mode import Service

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.journal.backlog import (
    BACKLOG,
    Backlog,
    Jobs,
    SlotsOf,
    backlog_key,
    is_row_of,
    is_stale,
)
from ebonydeal._internal.journal.leases import renewal_interval
from ebonydeal._internal.models.document import Document
from ebonydeal._internal.models.requests import Request
from ebonydeal._internal.observe.counters import Event, Metrics, RetryReason
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.outside.interfaces import (
    Delete,
    Put,
    Row,
    RowVersion,
    Tables,
    Write,
)
from ebonydeal._internal.utils.clock import Clock

logger = get_logger("journal")

PUBLISH_INTERVAL_S = 10.0
# The controller counts rows as fresh for 120 s.
RENEWAL_INTERVAL_S = 60.0
WRITES_PER_S = 10.0
MOST_ROWS = 50
JITTER = 0.2
# Requests that are summed up before other tasks get their turn.
SLICE = 2000
_SCAN_ROWS = 1000


class _Written(NamedTuple):
    """What a row holds as far as is known; ``jobs`` None after a doubt."""

    jobs: Jobs | None
    at: float


class BacklogRows(Service):
    """Owns the rows ``backlog/{deployment}:{node}`` of one node.

    All changed rows go into one write, at most one per ``PUBLISH_INTERVAL_S`` and
    ``WRITES_PER_S`` over all nodes. The rows are a hint and affect no request, so
    a table outage only delays them.

    Parameters
    ----------
    waiting : callable
        Returns the accepted requests that wait for an endpoint.
    document : callable
        Returns the configuration in force.
    slots_of : callable
        Returns how many requests a replica of a deployment serves at once.
    node_id : str
        This node.
    nodes : callable
        Returns how many journal nodes share the write rate.
    """

    def __init__(
        self,
        waiting: Callable[[], Sequence[Request]],
        document: Callable[[], Document],
        slots_of: SlotsOf,
        node_id: str,
        nodes: Callable[[], int],
        tables: Tables,
        *,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._waiting = waiting
        self._document = document
        self._slots_of = slots_of
        self._node_id = node_id
        self._nodes = nodes
        self._tables = tables
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._rows: dict[str, _Written] = {}
        self._known = False
        self._left = False
        self._writing = asyncio.Lock()

    @Service.task
    async def _publish(self) -> None:
        """Write what has changed, now and then."""
        while not self.should_stop:
            every = renewal_interval(PUBLISH_INTERVAL_S, self._nodes(), WRITES_PER_S)
            jitter = self._rng.uniform(1.0 - JITTER, 1.0 + JITTER)
            await self._clock.sleep(every * jitter)
            try:
                await self.publish()
            except EbonydealError as exc:
                self._metrics.retried(RetryReason.STORE)
                logger.info("Backlog rows are late.", error=str(exc))

    async def publish(self) -> None:
        """Bring the rows up to date with one write; raises the table's errors."""
        async with self._writing:
            if self._left:
                return
            await self._find_former()
            jobs = await self._jobs()
            writes = self._changes(jobs)[:MOST_ROWS]
            if writes:
                await self._write(writes)

    async def _find_former(self) -> None:
        """Learn of this node's former rows, and drop lapsed ones; once a process."""
        start = ""
        lapsed: list[Row] = []
        while not self._known:
            self._metrics.count(Event.TABLE_READS)
            page = await self._tables.scan(BACKLOG, start, _SCAN_ROWS)
            for row in page:
                if is_row_of(row.key, self._node_id):
                    self._rows[row.key] = _Written(None, 0.0)
                elif is_stale(row.value, self._clock.wall()):
                    lapsed.append(row)
            if len(page) < _SCAN_ROWS:
                self._known = True
            else:
                start = page[-1].key + "\0"
        if lapsed:
            await self._drop(lapsed[:MOST_ROWS])

    async def _drop(self, rows: Sequence[Row]) -> None:
        """Delete rows of nodes that are gone; none if one has changed meanwhile."""
        self._metrics.count(Event.TABLE_WRITES)
        conditions = [RowVersion(row.key, row.version) for row in rows]
        await self._tables.transact(conditions, [Delete(row.key) for row in rows])

    async def _jobs(self) -> dict[str, Jobs]:
        """Return the rows' jobs by key."""
        backlog = Backlog(self._document(), self._slots_of)
        requests = self._waiting()
        for start in range(0, len(requests), SLICE):
            backlog.add(requests[start : start + SLICE])
            await asyncio.sleep(0)
        found = backlog.jobs().items()
        return {backlog_key(name, self._node_id): jobs for name, jobs in found}

    def _changes(self, jobs: dict[str, Jobs]) -> list[Write]:
        """Return the writes that make the rows hold ``jobs``."""
        wall = self._clock.wall()
        writes: list[Write] = [Delete(key) for key in self._rows if key not in jobs]
        for key, items in jobs.items():
            old = self._rows.get(key)
            if old is None or old.jobs != items or wall - old.at >= RENEWAL_INTERVAL_S:
                writes.append(Put(key, {"jobs": items, "at": wall}))
        return writes

    async def _write(self, writes: Sequence[Write]) -> None:
        """Write rows; after an error they count as unknown, and come again."""
        for item in writes:
            self._rows[item.key] = _Written(None, 0.0)
        self._metrics.count(Event.TABLE_WRITES)
        await self._tables.transact([], writes)
        for item in writes:
            match item:
                case Put(key, value):
                    self._rows[key] = _Written(value["jobs"], value["at"])
                case Delete(key):
                    del self._rows[key]

    async def on_stop(self) -> None:
        """Remove the rows: the work is another node's from here on."""
        async with self._writing:
            self._left = True
            if not self._rows:
                return
            try:
                await self._write([Delete(key) for key in self._rows])
            except EbonydealError:
                logger.warning("The backlog rows were left.")
