"""The deadline work that waits, as the journal's owners publish it."""

from ebonydeal._internal.controller.deadline import Backlog
from ebonydeal._internal.outside.interfaces import Tables

BACKLOG_PREFIX = "backlog/"
STALE_S = 120.0


async def read_backlog(tables: Tables, deployment: str, now: float) -> list[Backlog]:
    """Return the work of all owners' rows ``backlog/{deployment}:{node}``.

    Rows that were not renewed for ``STALE_S`` wall clock seconds are counted
    all the same while a deadline in them lies ahead: their owner may be slow,
    and work that has moved to another owner is then counted twice, which buys
    too much for a while but misses no deadline.
    """
    rows = await tables.scan(f"{BACKLOG_PREFIX}{deployment}:", "", 1000)
    items = []
    for row in rows:
        for deadline, work_s in row.value["jobs"]:
            if now < deadline or now - row.value["at"] < STALE_S:
                items.append(Backlog(float(deadline), float(work_s)))
    return items
