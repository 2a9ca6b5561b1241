"""HTTP servers of the in-memory table service and object store."""

import time
from typing import Any

from aiohttp import web
from mode import Service

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.outside.interfaces import (
    Condition,
    Delete,
    FieldEquals,
    Put,
    Row,
    RowAbsent,
    RowVersion,
    Write,
)
from ebonydeal._internal.standin.memory import MemoryObjects, MemoryTables
from ebonydeal._internal.standin.server import (
    StandinServer,
    abort_connection,
    standin_app,
)
from ebonydeal._internal.utils.web import Handler, read_json


class RateLimit:
    """A token bucket with a burst of one second.

    Parameters
    ----------
    per_second : float
        Operations per second; 0 for no limit.
    """

    def __init__(self, per_second: float) -> None:
        self._per_second = per_second
        self._tokens = per_second
        self._updated_at = time.monotonic()

    def try_acquire(self) -> bool:
        """Return whether one more operation is within the limit."""
        if self._per_second <= 0:
            return True
        now = time.monotonic()
        refilled = (now - self._updated_at) * self._per_second
        self._tokens = min(self._per_second, self._tokens + refilled)
        self._updated_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def _drop_in_doubt(handler: Handler) -> Handler:
    """Wrap a handler to reset the connection on STORE_IN_DOUBT: the answer is lost."""

    async def wrapped(req: web.Request) -> web.StreamResponse:
        try:
            return await handler(req)
        except EbonydealError as exc:
            if exc.kind is ErrorKind.STORE_IN_DOUBT:
                return abort_connection(req)
            raise

    return wrapped


def condition_from_message(message: dict[str, Any]) -> Condition:
    """Build a condition from its JSON object; raises BAD_REQUEST."""
    match message:
        case {"if": "absent", "key": str(key)}:
            return RowAbsent(key)
        case {"if": "version", "key": str(key), "version": int(version)}:
            return RowVersion(key, version)
        case {"if": "field", "key": str(key), "field": str(field), "value": value}:
            return FieldEquals(key, field, value)
    raise EbonydealError(ErrorKind.BAD_REQUEST, "unknown condition")


def write_from_message(message: dict[str, Any]) -> Write:
    """Build a write from its JSON object; raises BAD_REQUEST."""
    match message:
        case {"op": "put", "key": str(key), "value": dict(value)}:
            return Put(key, value)
        case {"op": "delete", "key": str(key)}:
            return Delete(key)
    raise EbonydealError(ErrorKind.BAD_REQUEST, "unknown write")


def _row_message(row: Row) -> dict[str, Any]:
    return {"key": row.key, "value": row.value, "version": row.version}


class TablesServer(Service):
    """Simulated table service.

    Parameters
    ----------
    tables : MemoryTables, optional
        Tables to serve; their ``faults`` are injected.
    port : int
        0 picks a free port.
    writes_per_s, reads_per_s : float
        Rates above which operations are refused; 0 for no limit.
    """

    def __init__(
        self,
        tables: MemoryTables | None = None,
        *,
        port: int = 0,
        writes_per_s: float = 0,
        reads_per_s: float = 0,
    ) -> None:
        super().__init__()
        self.tables = tables or MemoryTables()
        self._writes = RateLimit(writes_per_s)
        self._reads = RateLimit(reads_per_s)
        app = standin_app()
        app.router.add_post("/v1/transact", _drop_in_doubt(self._transact))
        app.router.add_get("/v1/rows", _drop_in_doubt(self._get))
        app.router.add_get("/v1/scan", _drop_in_doubt(self._scan))
        self.server = StandinServer(app, port=port)
        self.add_dependency(self.server)

    @property
    def url(self) -> str:
        """Base URL; available after the start."""
        return f"http://{self.server.address}"

    def _check_rate(self, limit: RateLimit) -> None:
        if not limit.try_acquire():
            raise EbonydealError(
                ErrorKind.STORE_UNAVAILABLE, "the rate limit is exceeded"
            )

    async def _transact(self, req: web.Request) -> web.Response:
        self._check_rate(self._writes)
        body = await read_json(req)
        conditions = [condition_from_message(item) for item in body["conditions"]]
        writes = [write_from_message(item) for item in body["writes"]]
        applied = await self.tables.transact(conditions, writes)
        return web.json_response({"applied": applied})

    async def _get(self, req: web.Request) -> web.Response:
        self._check_rate(self._reads)
        row = await self.tables.get(req.query["key"])
        if row is None:
            raise EbonydealError(ErrorKind.NOT_FOUND, "no such row")
        return web.json_response(_row_message(row))

    async def _scan(self, req: web.Request) -> web.Response:
        self._check_rate(self._reads)
        rows = await self.tables.scan(
            req.query["prefix"],
            req.query.get("start", ""),
            int(req.query.get("limit", "1000")),
        )
        return web.json_response({"rows": [_row_message(row) for row in rows]})


class ObjectsServer(Service):
    """Simulated object store."""

    def __init__(self, objects: MemoryObjects | None = None, *, port: int = 0) -> None:
        super().__init__()
        self.objects = objects or MemoryObjects()
        app = standin_app()
        app.router.add_put("/v1/objects/{name:.+}", _drop_in_doubt(self._put))
        app.router.add_get("/v1/objects/{name:.+}", _drop_in_doubt(self._get))
        app.router.add_delete("/v1/objects/{name:.+}", _drop_in_doubt(self._delete))
        app.router.add_get("/v1/names", _drop_in_doubt(self._names))
        self.server = StandinServer(app, port=port)
        self.add_dependency(self.server)

    @property
    def url(self) -> str:
        """Base URL; available after the start."""
        return f"http://{self.server.address}"

    async def _put(self, req: web.Request) -> web.Response:
        await self.objects.put(req.match_info["name"], await req.read())
        return web.json_response({})

    async def _get(self, req: web.Request) -> web.Response:
        data = await self.objects.get(req.match_info["name"])
        if data is None:
            raise EbonydealError(ErrorKind.NOT_FOUND, "no such object")
        return web.Response(body=data, content_type="application/octet-stream")

    async def _delete(self, req: web.Request) -> web.Response:
        await self.objects.delete(req.match_info["name"])
        return web.json_response({})

    async def _names(self, req: web.Request) -> web.Response:
        names = await self.objects.names(req.query.get("prefix", ""))
        return web.json_response({"names": names})
