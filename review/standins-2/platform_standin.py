"""A stand-in of the platform's store and of its API for duties, on loopback."""

import asyncio
import json
import time
from base64 import b64decode, b64encode
from typing import Any, NamedTuple

from aiohttp import web

_MAX_WAIT_S = 30.0
_MS = 1000.0


class Row(NamedTuple):
    """A row of the store, or its tombstone if ``value`` is None."""

    key: str
    value: bytes | None
    version: int


class DutyCall(NamedTuple):
    """A call of a duty that the platform accepted or refused."""

    at: float
    path: str
    holder: str
    fence: int
    message: dict[str, Any]
    status: int


class Platform:
    """Tables with transactions and long polls, and the calls of the duties."""

    def __init__(self) -> None:
        self._tables: dict[str, dict[str, Row]] = {}
        self._changes: list[tuple[str, Row]] = []
        self._version = 0
        self._changed = asyncio.Event()
        self._fences: dict[tuple[str, str], int] = {}
        self._runner: web.ServerRunner | None = None
        self.duty_calls: list[DutyCall] = []
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        server = web.Server(self._handle, access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def write(self, table: str, key: str, document: Any) -> None:
        """Write a row as the operator or a replica does; None removes it."""
        value = None if document is None else json.dumps(document).encode()
        self._version += 1
        self._apply(table, key, value)

    def _apply(self, table: str, key: str, value: bytes | None) -> None:
        row = Row(key, value, self._version)
        rows = self._tables.setdefault(table, {})
        if value is None:
            rows.pop(key, None)
        else:
            rows[key] = row
        self._changes.append((table, row))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, req: web.BaseRequest) -> web.Response:
        match (req.method, req.path):
            case ("GET", "/-/rows-get"):
                return self._rows(req)
            case ("GET", "/-/rows-feed"):
                return await self._feed(req)
            case ("POST", "/-/rows-tx"):
                return self._transact(json.loads(await req.read()))
            case ("POST", "/usage" | "/scale"):
                return self._duty(req, json.loads(await req.read()))
        return web.Response(status=404)

    def _body(self, rows: list[Row]) -> dict[str, Any]:
        listed = [
            {"key": row.key, "ver": row.version, "tombstone": True}
            if row.value is None
            else {
                "key": row.key,
                "ver": row.version,
                "value": b64encode(row.value).decode(),
            }
            for row in rows
        ]
        now_ms = round(time.monotonic() * _MS)
        return {"rows": listed, "ver": self._version, "now_ms": now_ms}

    def _rows(self, req: web.BaseRequest) -> web.Response:
        rows = self._tables.get(req.query["table"], {}).values()
        start, end = req.query.get("from", ""), req.query.get("to")
        found = sorted(
            row for row in rows if row.key >= start and (end is None or row.key < end)
        )
        return web.json_response({**self._body(found), "truncated": False})

    async def _feed(self, req: web.BaseRequest) -> web.Response:
        table, after = req.query["table"], int(req.query["after"])
        wait = min(_MAX_WAIT_S, int(req.query["wait_ms"]) / _MS)
        until = time.monotonic() + wait
        while True:
            found = [r for t, r in self._changes if t == table and r.version > after]
            left = until - time.monotonic()
            if found or left <= 0.0:
                return web.json_response(self._body(found))
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                pass

    def _transact(self, message: dict[str, Any]) -> web.Response:
        asked = message.get("precondition") or []
        found = [self._tables.get(p["table"], {}).get(p["key"]) for p in asked]
        for place, row in zip(asked, found, strict=True):
            if (0 if row is None else row.version) != int(place["ver"]):
                rows = [row for row in found if row is not None]
                return web.json_response(self._body(rows), status=412)
        self._version += 1
        for place in message.get("puts") or []:
            self._apply(place["table"], place["key"], b64decode(place["value"]))
        for place in message.get("remove") or []:
            self._apply(place["table"], place["key"], None)
        return web.json_response(self._body([]))

    def _duty(self, req: web.BaseRequest, message: dict[str, Any]) -> web.Response:
        fence = int(req.headers["Ebonydeal-Fencing-Token"])
        subject = f"{message.get('service', '')}/{message.get('zone', '')}"
        highest = self._fences.get((req.path, subject), 0)
        status = 409 if fence < highest else 200
        self._fences[req.path, subject] = max(fence, highest)
        self.duty_calls.append(
            DutyCall(
                time.monotonic(),
                req.path,
                req.headers["Ebonydeal-Lease-Holder"],
                fence,
                message,
                status,
            )
        )
        return web.json_response({}, status=status)
