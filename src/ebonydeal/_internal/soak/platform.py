"""Simulated store and cloud of a soak: served over HTTP, kept in memory."""

import asyncio
import json
import time
from collections.abc import Iterable
from random import Random
from typing import Any, NamedTuple

from aiohttp import web

from ebonydeal._internal.models.shared import RowWrite, SharedRow
from ebonydeal._internal.platform.rows import STATUS_TABLE, decode_status
from ebonydeal._internal.platform.server_side import (
    FEED_PATH,
    ORDER_PATH,
    ROWS_PATH,
    STORE_ERA,
    USAGE_PATH,
    WRITE_PATH,
    read_poll,
    read_usage,
    read_write,
    rows_body,
)
from ebonydeal._internal.soak.records import Log, RolloutStatus, UsageReport

# Long polls that still run at shutdown are cancelled after this time.
_SHUTDOWN_TIMEOUT_S = 0.1
# The connection of a lost reply delivers nothing for this long, which is longer than
# any call waits.
_LOST_REPLY_S = 60.0
# Copies of the store from which it may come back.
_COPY_INTERVAL_S = 0.1
_MAX_COPIES = 100


class _Copy(NamedTuple):
    """The state of the store at one time."""

    at: float
    tables: dict[str, dict[str, SharedRow]]
    version: int


class SoakPlatform:
    """Tables with long polls, and the API calls of relay duties.

    While `unavailable` is set, the store responds with 503; `lost_answer_share` is the
    share of writes that are applied but get no response. While `loses_feed_replies` is
    set, polls get none, and in `fall_silent` no call does. After `restore` it is at an
    older version, and its era rises.
    """

    def __init__(self, log: Log, rng: Random) -> None:
        self._log = log
        self._rng = rng
        self._tables: dict[str, dict[str, SharedRow]] = {}
        self._changes: list[tuple[str, SharedRow]] = []
        self._version = 0
        self._changed = asyncio.Condition()
        self._era = 1
        # Earlier states, and what the operator and endpoints wrote, with their times.
        self._copies: list[_Copy] = []
        self._own_writes: list[tuple[float, RowWrite]] = []
        self._fence = 0
        self.unavailable = False
        self.lost_answer_share = 0.0
        self.loses_feed_replies = False
        self._silent = False
        # How often the store has fallen silent: calls made before that get no reply.
        self._silences = 0
        # Changes up to this version were dropped from the history.
        self._dropped_to = 0
        self._runner: web.ServerRunner | None = None
        self.address = ""

    async def start(self) -> "SoakPlatform":
        """Listen on a free port."""
        server = web.Server(self._handle, access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=_SHUTDOWN_TIMEOUT_S)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"
        return self

    async def fall_silent(self, seconds: float) -> None:
        """Reply to no call that was made before these seconds have passed."""
        self._silent = True
        self._silences += 1
        await asyncio.sleep(seconds)
        self._silent = False
        async with self._changed:
            self._changed.notify_all()

    async def write(self, table: str, key: str, value: bytes | None) -> float:
        """Write a row as the operator or an endpoint; return the time of the write."""
        async with self._changed:
            await self._changed.wait_for(lambda: not self._silent)
        change = RowWrite(table, key, value)
        self._own_writes.append((time.monotonic(), change))
        await self._apply([change])
        return time.monotonic()

    async def restore(self, age: float, away: float) -> None:
        """Go back to a copy that is ``age`` seconds old, after ``away`` seconds.

        What the operator and endpoints wrote since is written again, under versions
        that are given out anew. What relays wrote since is gone.
        """
        since = time.monotonic() - age
        copy = [copy for copy in self._copies if copy.at <= since][-1]
        await self.restore_copy(copy, away)

    async def restore_copy(self, copy: "_Copy", away: float = 0.0) -> None:
        """Go back to a copy, as `restore`."""
        self.unavailable = True
        self._tables = {name: dict(rows) for name, rows in copy.tables.items()}
        self._version = copy.version
        self._changes = [c for c in self._changes if c[1].version <= copy.version]
        self._copies = [c for c in self._copies if c.at <= copy.at]
        self._era += 1
        async with self._changed:
            self._changed.notify_all()
        await asyncio.sleep(away)
        self.unavailable = False
        lost = {(c.table, c.key): c for at, c in self._own_writes if at > copy.at}
        for change in lost.values():
            await self._apply([change])

    async def _apply(self, changes: list[RowWrite]) -> None:
        self._copy()
        self._version += 1
        for change in changes:
            row = SharedRow(change.key, change.value, self._version)
            rows = self._tables.setdefault(change.table, {})
            rows[change.key] = row
            if change.value is None:
                del rows[change.key]
            self._changes.append((change.table, row))
            if change.table == STATUS_TABLE and change.value is not None:
                phase, target_version = decode_status(change.value)
                self._log.rollout_statuses.append(
                    RolloutStatus(target_version, phase, time.monotonic())
                )
        async with self._changed:
            self._changed.notify_all()

    def _copy(self) -> None:
        """Keep a copy of the state, unless the last one is very recent."""
        now = time.monotonic()
        if self._copies and now - self._copies[-1].at < _COPY_INTERVAL_S:
            return
        self.copy_now()
        del self._copies[:-_MAX_COPIES]

    def copy_now(self) -> "_Copy":
        """Make a copy of the state, and return it."""
        tables = {name: dict(rows) for name, rows in self._tables.items()}
        copy = _Copy(time.monotonic(), tables, self._version)
        self._copies.append(copy)
        return copy

    async def drop_history(self) -> None:
        """Forget all changes until now; polls that continue from them fail."""
        self._dropped_to = self._version
        async with self._changed:
            self._changed.notify_all()

    async def _handle(self, req: web.BaseRequest) -> web.Response:
        silences = self._silences
        if not self._silent:
            resp = await self._answer(req)
        if self._silent or silences != self._silences:
            await asyncio.sleep(_LOST_REPLY_S)
            resp = web.Response(status=503)
        resp.headers[STORE_ERA] = str(self._era)
        return resp

    async def _answer(self, req: web.BaseRequest) -> web.Response:
        match req.path:
            case path if path == USAGE_PATH:
                return await self._usage(req)
            case path if path == ORDER_PATH:
                return web.json_response({})
        if self.unavailable:
            return web.Response(status=503)
        match req.path:
            case path if path == ROWS_PATH:
                return self._rows(req)
            case path if path == FEED_PATH:
                return await self._poll_changes(req)
            case path if path == WRITE_PATH:
                return await self._write(req)
        return web.Response(status=404)

    def _rows(self, req: web.BaseRequest) -> web.Response:
        rows = self._tables.get(req.query["table"], {}).values()
        start = req.query.get("from", "")
        found = sorted(row for row in rows if row.key >= start)
        return web.json_response(self._body(found, self._version))

    async def _poll_changes(self, req: web.BaseRequest) -> web.Response:
        table, after, wait = read_poll(req.query)
        era = self._era
        try:
            async with asyncio.timeout(wait):
                while not (found := self._changes_since(table, after)):
                    if after < self._dropped_to or after > self._version:
                        break
                    if era != self._era:
                        break
                    async with self._changed:
                        await self._changed.wait()
        except TimeoutError:
            # A change may have been made before this task could run again.
            found = self._changes_since(table, after)
        if self.loses_feed_replies:
            await asyncio.sleep(_LOST_REPLY_S)
        if era != self._era:
            return web.Response(status=503)
        if after < self._dropped_to or after > self._version:
            return web.json_response({}, status=410)
        version = found[-1].version if found else self._version
        return web.json_response(self._body(found, version))

    def _changes_since(self, table: str, after: int) -> list[SharedRow]:
        return [r for t, r in self._changes if t == table and r.version > after]

    async def _write(self, req: web.BaseRequest) -> web.Response:
        changes = read_write(json.loads(await req.read()))
        for change in changes:
            row = self._tables.get(change.table, {}).get(change.key)
            found = 0 if row is None else row.version
            if change.expected >= 0 and found != change.expected:
                rows = () if row is None else (row,)
                return web.json_response(self._body(rows, self._version), status=412)
        await self._apply(changes)
        if self._rng.random() < self.lost_answer_share and req.transport is not None:
            req.transport.abort()
        return web.json_response(self._body((), self._version))

    def _body(self, rows: Iterable[SharedRow], version: int) -> dict[str, Any]:
        return rows_body(rows, version, time.monotonic())

    async def _usage(self, req: web.BaseRequest) -> web.Response:
        window, counts, holder, fence = read_usage(
            json.loads(await req.read()), req.headers
        )
        if fence < self._fence:
            return web.Response(status=409)
        self._fence = fence
        self._log.usage_reports.append(UsageReport(window, counts, holder, fence))
        return web.json_response({})

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()
