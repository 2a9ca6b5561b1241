"""Publishes this node's waiting deadline work in its backlog rows."""

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from mode import Service

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.journal.backlog import (
    BACKLOG_PREFIX,
    Backlog,
    DeadlineWork,
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
# The controller treats rows as current for 120 s.
RENEWAL_INTERVAL_S = 60.0
MAX_WRITES_PER_S = 10.0
MAX_ROWS_PER_WRITE = 50
JITTER_FRACTION = 0.2
# Requests that are summed up before yielding to other tasks.
REQUESTS_PER_SLICE = 2000
_SCAN_PAGE_ROWS = 1000


class _WrittenRow(NamedTuple):
    """Last written content of a row; ``jobs`` is None while it is uncertain."""

    jobs: DeadlineWork | None
    at: float


class BacklogRows(Service):
    """Owns the rows ``backlog/{deployment}:{node}`` of one node.

    All changed rows go into one write, at most one per ``PUBLISH_INTERVAL_S`` and
    ``MAX_WRITES_PER_S`` over all nodes. The rows are a hint and affect no request, so
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
        Id of this node.
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
        self._rows: dict[str, _WrittenRow] = {}
        self._previous_loaded = False
        self._rows_removed = False
        self._write_lock = asyncio.Lock()

    @Service.task
    async def _publish(self) -> None:
        """Publish changes at intervals."""
        while not self.should_stop:
            interval = renewal_interval(
                PUBLISH_INTERVAL_S, self._nodes(), MAX_WRITES_PER_S
            )
            jitter = self._rng.uniform(1.0 - JITTER_FRACTION, 1.0 + JITTER_FRACTION)
            await self._clock.sleep(interval * jitter)
            try:
                await self.publish()
            except EbonydealError as exc:
                self._metrics.count_retry(RetryReason.STORE)
                logger.info(
                    "Writing the backlog rows failed; retrying at the next interval.",
                    error=str(exc),
                )

    async def publish(self) -> None:
        """Update the rows with one write; raises the table's errors."""
        async with self._write_lock:
            if self._rows_removed:
                return
            await self._load_previous_rows()
            jobs = await self._work_by_row()
            writes = self._pending_writes(jobs)[:MAX_ROWS_PER_WRITE]
            if writes:
                await self._write(writes)

    async def _load_previous_rows(self) -> None:
        """Find rows of this node's last process and delete stale ones; done once."""
        start = ""
        stale: list[Row] = []
        while not self._previous_loaded:
            self._metrics.count(Event.TABLE_READS)
            page = await self._tables.scan(BACKLOG_PREFIX, start, _SCAN_PAGE_ROWS)
            for row in page:
                if is_row_of(row.key, self._node_id):
                    self._rows[row.key] = _WrittenRow(None, 0.0)
                elif is_stale(row.value, self._clock.wall()):
                    stale.append(row)
            if len(page) < _SCAN_PAGE_ROWS:
                self._previous_loaded = True
            else:
                start = page[-1].key + "\0"
        if stale:
            await self._delete_stale(stale[:MAX_ROWS_PER_WRITE])

    async def _delete_stale(self, rows: Sequence[Row]) -> None:
        """Delete rows of nodes that are gone; none if any of them has changed."""
        self._metrics.count(Event.TABLE_WRITES)
        conditions = [RowVersion(row.key, row.version) for row in rows]
        await self._tables.transact(conditions, [Delete(row.key) for row in rows])

    async def _work_by_row(self) -> dict[str, DeadlineWork]:
        """Return the waiting work by row key."""
        backlog = Backlog(self._document(), self._slots_of)
        requests = self._waiting()
        for start in range(0, len(requests), REQUESTS_PER_SLICE):
            backlog.add(requests[start : start + REQUESTS_PER_SLICE])
            await asyncio.sleep(0)
        found = backlog.work_by_deployment().items()
        return {backlog_key(name, self._node_id): jobs for name, jobs in found}

    def _pending_writes(self, jobs: dict[str, DeadlineWork]) -> list[Write]:
        """Return the writes that update the rows to ``jobs``."""
        wall = self._clock.wall()
        writes: list[Write] = [Delete(key) for key in self._rows if key not in jobs]
        for key, items in jobs.items():
            old = self._rows.get(key)
            if old is None or old.jobs != items or wall - old.at >= RENEWAL_INTERVAL_S:
                writes.append(Put(key, {"jobs": items, "at": wall}))
        return writes

    async def _write(self, writes: Sequence[Write]) -> None:
        """Write rows; after an error their content is uncertain and is rewritten."""
        for item in writes:
            self._rows[item.key] = _WrittenRow(None, 0.0)
        self._metrics.count(Event.TABLE_WRITES)
        await self._tables.transact([], writes)
        for item in writes:
            match item:
                case Put(key, value):
                    self._rows[key] = _WrittenRow(value["jobs"], value["at"])
                case Delete(key):
                    del self._rows[key]

    async def on_stop(self) -> None:
        """Delete the rows: another node takes over the work."""
        async with self._write_lock:
            self._rows_removed = True
            if not self._rows:
                return
            try:
                await self._write([Delete(key) for key in self._rows])
            except EbonydealError:
                logger.warning("Deleting the backlog rows at the stop failed.")
