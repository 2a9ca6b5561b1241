"""Reads the waiting deadline work that the owners of journal shards publish."""

from ebonydeal._internal.controller.deadline import Backlog
from ebonydeal._internal.outside.interfaces import Tables

BACKLOG_PREFIX = "backlog/"
BACKLOG_TTL_S = 120.0


async def read_backlog(tables: Tables, deployment: str, now: float) -> list[Backlog]:
    """Return the work in the rows ``backlog/{deployment}:{node}`` of all owners.

    Jobs in a row that was not renewed for ``BACKLOG_TTL_S`` wall clock seconds
    still count until their deadline, as the owner may only be slow. Work that
    has moved to another owner is then counted twice, which buys too many
    instances for a while but misses no deadline.
    """
    rows = await tables.scan(f"{BACKLOG_PREFIX}{deployment}:", "", 1000)
    items = []
    for row in rows:
        for deadline, work_s in row.value["jobs"]:
            if now < deadline or now - row.value["at"] < BACKLOG_TTL_S:
                items.append(Backlog(float(deadline), float(work_s)))
    return items
