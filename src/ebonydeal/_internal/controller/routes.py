"""HTTP routes that ``ebonydeal reclaims`` and ``ebonydeal spend`` read."""

from aiohttp import web

from ebonydeal._internal.controller.events import read_spend, read_trail
from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.outside.interfaces import Tables

_MAX_EVENTS = 2000


def controller_routes(tables: Tables) -> list[web.RouteDef]:
    """Return the routes; they read the table, so any controller can answer."""

    async def reclaims(req: web.Request) -> web.Response:
        events = await read_trail(tables, req.query.get("deployment", ""))
        newest = events[-_limit(req) :]
        return web.json_response({"events": [event._asdict() for event in newest]})

    async def spend(_req: web.Request) -> web.Response:
        rows = await read_spend(tables)
        return web.json_response({"deployments": [row._asdict() for row in rows]})

    return [
        web.get("/controller/v1/reclaims", reclaims),
        web.get("/controller/v1/spend", spend),
    ]


def _limit(req: web.Request) -> int:
    """Return how many events are requested, at most ``_MAX_EVENTS``."""
    try:
        limit = int(req.query.get("limit", "100"))
    except ValueError as exc:
        raise EbonydealError(ErrorKind.BAD_REQUEST, "limit is not a number") from exc
    return max(1, min(_MAX_EVENTS, limit))
