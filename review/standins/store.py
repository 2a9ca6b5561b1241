"""The platform's store and cloud, in memory, as PROTOCOL.md describes them."""

import asyncio
import json
import time
from base64 import b64encode
from typing import Any

from aiohttp import web

_ANSWER_S = 0.004
_TX_S = 0.003


class Store:
    """Rows in tables, long polls, conditional transactions; accepts duty calls."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], dict[str, Any]] = {}
        self._log: list[dict[str, Any]] = []
        self._ver = 0
        self._changed = asyncio.Condition()
        self._runner: web.ServerRunner | None = None
        self.address = ""

    async def start(self) -> "Store":
        """Listen on a free loopback port."""
        self._runner = web.ServerRunner(web.Server(self._handle), shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"
        return self

    async def stop(self) -> None:
        """Close the socket and all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def put(self, table: str, key: str, document: Any) -> None:
        """Write a row as the operator or a replica does; None removes it."""
        value = None
        if document is not None:
            value = b64encode(json.dumps(document).encode()).decode()
        await self._apply([(table, key, value)])

    async def _apply(self, writes: list[tuple[str, str, str | None]]) -> None:
        self._ver += 1
        for table, key, value in writes:
            row = {"table": table, "part": "", "key": key, "ver": self._ver}
            if value is None:
                self._rows.pop((table, key), None)
                row["tombstone"] = True
            else:
                row["value"] = value
                self._rows[table, key] = row
            self._log.append(row)
        async with self._changed:
            self._changed.notify_all()

    def _reply(self, status: int = 200, **body: Any) -> web.Response:
        body["now_ms"] = time.monotonic() * 1000.0
        return web.json_response({"ver": self._ver, **body}, status=status)

    async def _handle(self, req: web.BaseRequest) -> web.StreamResponse:
        await asyncio.sleep(_ANSWER_S)
        match req.path:
            case "/-/rows-get":
                return self._get(req)
            case "/-/rows-feed":
                return await self._feed(req)
            case "/-/rows-tx":
                return await self._transact(json.loads(await req.read()))
            case "/usage" | "/scale":
                return web.json_response({})
        return web.json_response({}, status=404)

    def _get(self, req: web.BaseRequest) -> web.Response:
        table, first = req.query["table"], req.query.get("from", "")
        rows = [
            row
            for (name, key), row in sorted(self._rows.items())
            if name == table and key >= first
        ]
        return self._reply(rows=rows, truncated=False)

    async def _feed(self, req: web.BaseRequest) -> web.Response:
        table, after = req.query["table"], int(req.query["after"])
        end = time.monotonic() + int(req.query["wait_ms"]) / 1000.0
        while True:
            rows = [r for r in self._log if r["table"] == table and r["ver"] > after]
            left = end - time.monotonic()
            if rows or left <= 0.0:
                return self._reply(rows=rows)
            try:
                async with asyncio.timeout(left), self._changed:
                    await self._changed.wait()
            except TimeoutError:
                pass

    async def _transact(self, message: dict[str, Any]) -> web.Response:
        await asyncio.sleep(_TX_S)
        for wanted in message.get("precondition", ()):
            row = self._rows.get((wanted["table"], wanted["key"]))
            if (row["ver"] if row else 0) != wanted["ver"]:
                places = [(w["table"], w["key"]) for w in message["precondition"]]
                rows = [self._rows[p] for p in places if p in self._rows]
                return self._reply(412, rows=rows)
        writes = [(p["table"], p["key"], p["value"]) for p in message.get("puts", ())]
        writes += [(p["table"], p["key"], None) for p in message.get("remove", ())]
        await self._apply(writes)
        return self._reply()
