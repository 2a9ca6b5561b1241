"""JSON API of the console for the command line and scripts."""

from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web
from returns.result import Failure, Success

from ebonydeal._internal.config.delta import differences, join
from ebonydeal._internal.config.problems import Problem
from ebonydeal._internal.config.rows import VersionInfo
from ebonydeal._internal.config.store import Conflict
from ebonydeal._internal.config.validate import validate
from ebonydeal._internal.console.parts import (
    MAX_NOTE_CHARS,
    MAX_PROPOSAL_ID_CHARS,
    ConsoleParts,
)
from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.endpoints import EndpointView
from ebonydeal._internal.utils.error_responses import error_response
from ebonydeal._internal.utils.web import read_json

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

OPERATOR = web.RequestKey("operator", str)
_DEFAULT_HISTORY_ROWS = 100


class Api:
    """Handlers under ``/api/``; each call needs an operator's bearer token."""

    def __init__(self, parts: ConsoleParts) -> None:
        self._parts = parts

    def routes(self) -> list[web.RouteDef]:
        """Return the routes."""
        return [
            web.get("/api/document", self._authenticated(self._show)),
            web.post("/api/document", self._authenticated(self._propose)),
            web.post("/api/check", self._authenticated(self._check)),
            web.get("/api/history", self._authenticated(self._history)),
            web.get("/api/diff", self._authenticated(self._diff)),
            web.get("/api/status", self._authenticated(self._status)),
            web.get("/api/endpoints", self._authenticated(self._endpoints)),
            web.get("/api/explain/{id}", self._authenticated(self._explain)),
        ]

    def _authenticated(self, handler: Handler) -> Handler:
        """Return ``handler`` wrapped in a check of the bearer token."""

        async def authenticated(req: web.Request) -> web.StreamResponse:
            scheme, _, token = req.headers.get("Authorization", "").partition(" ")
            operator = None
            if scheme.lower() == "bearer":
                operator = self._parts.operators.by_token(token.strip())
            if operator is None:
                raise EbonydealError(
                    ErrorKind.UNAUTHORIZED, "the operator token is missing or wrong"
                )
            req[OPERATOR] = operator.name
            return await handler(req)

        return authenticated

    async def _show(self, req: web.Request) -> web.Response:
        """``GET /api/document[?version=N]``."""
        version = _query_int(req, "version", None)
        content = await self._parts.store.load(version)
        return web.json_response(
            {"version": content.version, "document": join(content.items)}
        )

    async def _propose(self, req: web.Request) -> web.Response:
        """``POST /api/document``: accept the whole document, or return all problems."""
        body = await read_json(req)
        base, note, proposal = _read_proposal(body)
        result = await self._parts.store.propose(
            body.get("document"),
            base,
            req[OPERATOR],
            note,
            offers=await self._parts.try_offers(),
            proposal=proposal or None,
        )
        match result:
            case Success(version):
                await self._parts.follower.try_refresh()
                return web.json_response({"version": version})
            case Failure(Conflict() as conflict):
                self._parts.metrics.count_refusal(ErrorKind.CONFIG_CONFLICT)
                return _conflict_response(conflict)
            case Failure(problems):
                self._parts.metrics.count_refusal(ErrorKind.BAD_DOCUMENT)
                return _problems_response(problems)
        raise EbonydealError(
            ErrorKind.INTERNAL, "the configuration store returned an unexpected result"
        )

    async def _check(self, req: web.Request) -> web.Response:
        """``POST /api/check``: validate with current prices, without writing."""
        body = await read_json(req)
        offers = await self._parts.try_offers()
        checked = validate(body.get("document"), offers)
        problems = checked.failure() if isinstance(checked, Failure) else []
        return web.json_response(
            {
                "problems": [problem.to_message() for problem in problems],
                "prices_checked": offers is not None,
            }
        )

    async def _history(self, req: web.Request) -> web.Response:
        """``GET /api/history[?limit=N]``, newest first."""
        infos = await self._parts.store.history(
            _query_int(req, "limit", _DEFAULT_HISTORY_ROWS)
        )
        return web.json_response(
            {"versions": [_version_message(info) for info in infos]}
        )

    async def _diff(self, req: web.Request) -> web.Response:
        """``GET /api/diff?a=N&b=M``; ``b`` is the head by default."""
        a = _query_int(req, "a", None)
        if a is None:
            raise EbonydealError(ErrorKind.BAD_REQUEST, "'a' is missing")
        old = await self._parts.store.load(a)
        new = await self._parts.store.load(_query_int(req, "b", None))
        lines = differences(old.items, new.items)
        return web.json_response(
            {
                "a": old.version,
                "b": new.version,
                "differences": [str(line) for line in lines],
            }
        )

    async def _status(self, _req: web.Request) -> web.Response:
        """``GET /api/status``."""
        return web.json_response((await self._parts.status.read()).to_message())

    async def _endpoints(self, _req: web.Request) -> web.Response:
        """``GET /api/endpoints``."""
        views = await self._parts.status.endpoints()
        return web.json_response(
            {"endpoints": [_endpoint_message(view) for view in views]}
        )

    async def _explain(self, req: web.Request) -> web.Response:
        """``GET /api/explain/{id}``."""
        steps = await self._parts.status.explain(req.match_info["id"])
        if steps is None:
            raise EbonydealError(
                ErrorKind.NOT_FOUND, "no gateway has a record of this request"
            )
        return web.json_response({"steps": steps})


def _query_int(req: web.Request, name: str, default: Any) -> Any:
    """Return an integer query parameter; raises BAD_REQUEST."""
    text = req.query.get(name)
    if text is None:
        return default
    try:
        return int(text)
    except ValueError as exc:
        raise EbonydealError(
            ErrorKind.BAD_REQUEST, f"'{name}' must be a whole number"
        ) from exc


def _read_proposal(body: dict[str, Any]) -> tuple[int, str, str]:
    """Return base version, note and proposal id; raises BAD_REQUEST."""
    match body:
        case {"base_version": bool()}:
            pass
        case {"document": _, "base_version": int(base)}:
            note, proposal = body.get("note", ""), body.get("proposal", "")
            if _is_text(note) and _is_text(proposal):
                return base, note[:MAX_NOTE_CHARS], proposal[:MAX_PROPOSAL_ID_CHARS]
    raise EbonydealError(
        ErrorKind.BAD_REQUEST,
        "the body must have 'document' and 'base_version' (a whole number), and may "
        "have 'note' and 'proposal' (text)",
    )


def _is_text(value: Any) -> bool:
    """Return whether a value is text that the table can store."""
    try:
        return isinstance(value, str) and value.encode() is not None
    except UnicodeEncodeError:
        return False


def _problems_response(problems: list[Problem]) -> web.Response:
    """Return the response to an invalid document."""
    error = EbonydealError(
        ErrorKind.BAD_DOCUMENT, f"the document has {len(problems)} problem(s)."
    )
    body: dict[str, Any] = {**error.to_body()}
    body["problems"] = [problem.to_message() for problem in problems]
    return web.json_response(body, status=error.response.status)


def _conflict_response(conflict: Conflict) -> web.Response:
    """Return the response to a proposal whose base version is no longer current."""
    error = EbonydealError(
        ErrorKind.CONFIG_CONFLICT,
        f"version {conflict.head} is in force, not {conflict.base}.",
    )
    resp = error_response(error)
    body: dict[str, Any] = {**error.to_body()}
    body["conflict"] = {
        "base": conflict.base,
        "head": conflict.head,
        "versions": [_version_message(info) for info in conflict.versions],
        "differences": [str(line) for line in conflict.differences],
    }
    return web.json_response(body, status=resp.status)


def _version_message(info: VersionInfo) -> dict[str, Any]:
    """Return the JSON object of a history entry."""
    return {
        "version": info.version,
        "by": info.by,
        "at": info.at,
        "note": info.note,
        "changed": [str(key) for key in info.delta.changed],
        "removed": [str(key) for key in info.delta.removed],
    }


def _endpoint_message(view: EndpointView) -> dict[str, Any]:
    """Return the JSON object of an endpoint."""
    return {
        "endpoint_id": view.endpoint_id,
        "deployment": view.deployment,
        "kind": str(view.kind),
        "region": view.place.region,
        "zone": view.place.zone,
        "state": str(view.state),
        "address": view.address,
        "models": list(view.models),
        "reclaimable": view.reclaimable,
        "price_per_hour": view.price_per_hour,
    }
