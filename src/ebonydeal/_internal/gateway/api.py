"""The HTTP API for callers: routes, request ids, health and operator endpoints."""

import asyncio
import hmac
from collections.abc import Callable
from typing import NamedTuple

import structlog
from aiohttp import web

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.gateway.caller_errors import error_for_caller
from ebonydeal._internal.gateway.deferred import DEFERRED_PATH, Deferred
from ebonydeal._internal.gateway.generation import Generation
from ebonydeal._internal.gateway.intake import PATHS, REQUEST_ID, Intake, may_have_run
from ebonydeal._internal.gateway.services import Services
from ebonydeal._internal.models.requests import RequestKind
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.observe.trail import Step, Trails
from ebonydeal._internal.settings.gateway import GatewaySettings
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.error_responses import error_response
from ebonydeal._internal.utils.web import Handler, new_app

REQUEST_ID_HEADER = "X-Request-Id"
OPERATOR_HEADER = "X-Operator-Token"
_COUNTED_PATHS = ("/v1/", "/services/")


class ApiParts(NamedTuple):
    """Handlers and state that the API is built from."""

    generation: Generation
    services: Services
    deferred: Deferred
    intake: Intake
    metrics: Metrics
    trails: Trails
    clock: Clock
    draining: Callable[[], bool]


def _finish_headers(parts: ApiParts) -> Callable:
    """Return the signal handler that adds the headers of every response."""

    async def prepare(req: web.Request, resp: web.StreamResponse) -> None:
        request_id = req.get(REQUEST_ID)
        if request_id is not None:
            resp.headers[REQUEST_ID_HEADER] = request_id
        if parts.draining():
            # Makes callers with keep-alive connections reconnect elsewhere. aiohttp
            # has already set its headers here, so both statements are needed.
            resp.force_close()
            resp.headers["Connection"] = "close"

    return prepare


def _trail_middleware(parts: ApiParts) -> Callable:
    """Return a middleware that assigns request ids and records failures."""

    @web.middleware
    async def middleware(req: web.Request, handler: Handler) -> web.StreamResponse:
        req[REQUEST_ID] = parts.intake.new_id()
        structlog.contextvars.bind_contextvars(request_id=req[REQUEST_ID])
        if req.path.startswith(_COUNTED_PATHS):
            parts.metrics.count(Event.REQUESTS)
        try:
            return await handler(req)
        except EbonydealError as exc:
            now = parts.clock.wall()
            parts.trails.add_step(
                req[REQUEST_ID], now, Step.REFUSED, kind=str(exc.kind), why=exc.detail
            )
            raise error_for_caller(exc, may_have_run(req)) from exc
        except ConnectionError:
            parts.metrics.count_refusal(ErrorKind.CALLER_LEFT)
            raise asyncio.CancelledError from None
        except asyncio.CancelledError:
            parts.metrics.count_refusal(ErrorKind.CALLER_LEFT)
            raise

    return middleware


class Api:
    """Builds the web application of the listener for callers.

    Parameters
    ----------
    parts : ApiParts
        Handlers and state.
    cfg : GatewaySettings
        Limits and the operator token.
    """

    def __init__(self, parts: ApiParts, cfg: GatewaySettings) -> None:
        self._parts = parts
        self._cfg = cfg

    def app(self) -> web.Application:
        """Return the application."""
        parts = self._parts
        app = new_app(parts.metrics, self._cfg.max_body_bytes)
        app.middlewares.append(_trail_middleware(parts))
        app.on_response_prepare.append(_finish_headers(parts))
        router = app.router
        router.add_post(PATHS[RequestKind.CHAT], parts.generation.chat)
        router.add_post(PATHS[RequestKind.COMPLETION], parts.generation.completion)
        router.add_get("/v1/models", self._models)
        router.add_post(DEFERRED_PATH, parts.deferred.accept)
        router.add_get(DEFERRED_PATH + "/{id}", parts.deferred.status)
        router.add_get(DEFERRED_PATH + "/{id}/answer", parts.deferred.answer)
        router.add_delete(DEFERRED_PATH + "/{id}", parts.deferred.cancel)
        router.add_route("*", "/services/{name}", parts.services.handle)
        router.add_route("*", "/services/{name}/{path:.*}", parts.services.handle)
        router.add_get("/health/ready", self._ready)
        router.add_get("/ops/explain/{id}", self._explain)
        return app

    async def _models(self, req: web.Request) -> web.Response:
        """``GET /v1/models``: the models that the caller's account may use."""
        account = self._parts.intake.account(req)
        names = {
            name: item.name
            for item in self._parts.intake.document.deployments.values()
            if item.kind == "engine" and account.name in item.accounts
            for name in item.models + item.adapters
        }
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": owner}
            for name, owner in sorted(names.items())
        ]
        return web.json_response({"object": "list", "data": data})

    async def _ready(self, _req: web.Request) -> web.Response:
        """``GET /health/ready``: whether the load balancer should send requests.

        A failed health check is not a refused request, so it isn't counted.
        """
        if self._parts.draining():
            detail = "this gateway is stopping"
            return error_response(EbonydealError(ErrorKind.DRAINING, detail))
        if self._parts.intake.document.version == 0:
            detail = "no configuration has been loaded yet"
            return error_response(EbonydealError(ErrorKind.NO_ENDPOINT, detail))
        return web.json_response({"ready": True})

    async def _explain(self, req: web.Request) -> web.Response:
        """``GET /ops/explain/{id}``: the decision trail of a request."""
        token = self._cfg.operator_token.encode()
        given = req.headers.get(OPERATOR_HEADER, "").encode()
        if not token or not hmac.compare_digest(given, token):
            raise EbonydealError(
                ErrorKind.UNAUTHORIZED, "the operator token is missing or wrong"
            )
        request_id = req.match_info["id"]
        steps = self._parts.trails.steps(request_id)
        if steps is None:
            detail = "this gateway has no decision trail of the request"
            raise EbonydealError(ErrorKind.NOT_FOUND, detail)
        return web.json_response({"request_id": request_id, "steps": steps})
