"""An HTTP server as a supervised service; errors are mapped by the error table."""

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from ssl import SSLContext
from typing import Any

from aiohttp import web
from mode import Service

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.utils.clients.connection import (
    CHECK_INTERVAL_S,
    BoundedServer,
    ClientBounds,
)
from ebonydeal._internal.utils.clients.listening import (
    ACCEPTS_PER_TURN,
    lengthen_backlog,
)
from ebonydeal._internal.utils.early_listen import bind_listener
from ebonydeal._internal.utils.error_responses import error_response
from ebonydeal._internal.utils.tracebacks import drop_frames

logger = get_logger("web")

_MAX_BODY_BYTES = 4 * 1024 * 1024
_KEEPALIVE_S = 75.0
_MAX_HEADER_BYTES = 8190
# Time for which a client that was already answered may continue to send its body.
_LINGER_TIMEOUT_S = 1.0
# Part of the time of a stop that is left for answers to requests that it ends.
_LAST_ANSWERS_S = 0.5
_MAX_LAST_ANSWERS_SHARE = 0.5
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class _StopLimit:
    """Ends requests that are still at work when the time of a stop is over.

    Attributes
    ----------
    is_over : bool
        Whether it is over.
    """

    def __init__(self) -> None:
        self.is_over = False
        self._limits: set[asyncio.Timeout] = set()

    @asynccontextmanager
    async def apply(self) -> AsyncIterator[None]:
        """Raise TimeoutError in the body once the time is over."""
        async with asyncio.timeout(0.0 if self.is_over else None) as limit:
            self._limits.add(limit)
            try:
                yield
            finally:
                self._limits.discard(limit)

    def end(self) -> None:
        """End all requests."""
        self.is_over = True
        now = asyncio.get_running_loop().time()
        for limit in self._limits:
            limit.reschedule(now)


_STOP_LIMIT = web.AppKey("stop_limit", _StopLimit)


def _from_http(exc: web.HTTPException) -> EbonydealError:
    """Convert an error raised by aiohttp itself."""
    match exc.status:
        case 404 | 405:
            return EbonydealError(ErrorKind.NOT_FOUND, "path not found")
        case 413:
            return EbonydealError(ErrorKind.BODY_TOO_LARGE, "the body is too large")
        case 408:
            return EbonydealError(ErrorKind.SLOW_SENDER, "the body arrived too slowly")
    return EbonydealError(ErrorKind.BAD_REQUEST, exc.reason)


def error_middleware(metrics: Metrics) -> Callable:
    """Return a middleware that answers and counts every error."""

    def refuse(error: EbonydealError) -> web.Response:
        metrics.count_refusal(error.kind)
        drop_frames(error)
        return error_response(error)

    @web.middleware
    async def middleware(req: web.Request, handler: Handler) -> web.StreamResponse:
        stop_limit = req.app[_STOP_LIMIT]
        try:
            async with stop_limit.apply():
                return await handler(req)
        except EbonydealError as exc:
            return refuse(exc)
        except web.HTTPException as exc:
            if exc.status < 400:
                raise
            return refuse(_from_http(exc))
        except asyncio.CancelledError:
            raise
        except Exception as exc:
            if stop_limit.is_over and isinstance(exc, TimeoutError):
                if req.writer.output_size:
                    # The answer has begun: it ends visibly incomplete.
                    raise asyncio.CancelledError from None
                detail = "this process stopped before the answer was complete"
                return refuse(EbonydealError(ErrorKind.INSTANCE_STOPPED, detail))
            logger.error("Request handler failed.", path=req.path, exc_info=exc)
            return refuse(EbonydealError(ErrorKind.INTERNAL, "an internal error"))

    return middleware


async def read_json(req: web.BaseRequest) -> dict:
    """Return the body as a JSON object, or raise BAD_REQUEST."""
    try:
        body = json.loads(await req.text())
    except (ValueError, UnicodeDecodeError, LookupError) as exc:
        raise EbonydealError(ErrorKind.BAD_REQUEST, f"body is not JSON: {exc}") from exc
    except RecursionError as exc:
        raise EbonydealError(
            ErrorKind.BAD_REQUEST, "body is nested too deeply"
        ) from exc
    if not isinstance(body, dict):
        raise EbonydealError(ErrorKind.BAD_REQUEST, "body must be a JSON object")
    return body


def new_app(metrics: Metrics, max_body: int = _MAX_BODY_BYTES) -> web.Application:
    """Return an application with error handling, metrics and a liveness check."""
    app = web.Application(
        middlewares=[error_middleware(metrics)], client_max_size=max_body
    )
    app[_STOP_LIMIT] = _StopLimit()

    async def metrics_page(_req: web.Request) -> web.Response:
        return web.Response(body=metrics.render(), content_type="text/plain")

    async def live(_req: web.Request) -> web.Response:
        return web.json_response({"live": True})

    app.router.add_get("/metrics", metrics_page)
    app.router.add_get("/health/live", live)
    return app


class _Runner(web.AppRunner):
    """Runs an application whose connections are bounded."""

    def __init__(
        self, app: web.Application, bounds: ClientBounds | None, **options: Any
    ) -> None:
        super().__init__(app, **options)
        self._bounds = bounds

    async def _make_server(self) -> web.Server:
        server = await super()._make_server()
        if self._bounds is None:
            return server
        return BoundedServer(
            server.request_handler,
            self._bounds,
            request_factory=server.request_factory,
            handler_cancellation=server.handler_cancellation,
            **server._kwargs,
        )


class HttpServer(Service):
    """Owns one listening socket and its connections.

    Parameters
    ----------
    app : web.Application
        Application to serve.
    host, port : str, int
        Address to listen on; with port 0, read the chosen one from `port`.
    ssl_context : SSLContext, optional
        TLS context.
    drain_seconds : float
        Time that open requests may take to finish after a stop, seconds.
    idle_seconds : float
        Timeout of idle connections, seconds.
    max_header : int
        Maximum size of the request line and of one header field, bytes.
    bounds : ClientBounds, optional
        Bounds on what clients hold, for a listener that they reach.
    """

    def __init__(
        self,
        app: web.Application,
        host: str,
        port: int,
        *,
        ssl_context: SSLContext | None = None,
        drain_seconds: float = 60.0,
        idle_seconds: float = _KEEPALIVE_S,
        max_header: int = _MAX_HEADER_BYTES,
        bounds: ClientBounds | None = None,
    ) -> None:
        super().__init__()
        self.app = app
        self.host = host
        self.port = port
        self._ssl = ssl_context
        self._drain = drain_seconds
        self._idle = idle_seconds
        self._max_header = max_header
        self._bounds = bounds
        self._runner: web.AppRunner | None = None
        # Applications that aren't made by `new_app` have none of their own.
        self._stop_limit = app.get(_STOP_LIMIT, _StopLimit())

    @property
    def address(self) -> str:
        """``host:port`` that the server is bound to."""
        return f"{self.host}:{self.port}"

    async def on_start(self) -> None:
        """Bind the socket and start accepting."""
        self._runner = _Runner(
            self.app,
            self._bounds,
            access_log=None,
            shutdown_timeout=self._drain,
            keepalive_timeout=self._idle,
            lingering_time=_LINGER_TIMEOUT_S,
            max_line_size=self._max_header,
            max_field_size=self._max_header,
            handler_cancellation=True,
        )
        await self._runner.setup()
        is_bounded = self._bounds is not None
        sock = bind_listener(self.host, self.port, for_clients=is_bounded)
        site = web.SockSite(
            self._runner, sock, ssl_context=self._ssl, backlog=ACCEPTS_PER_TURN
        )
        await site.start()
        lengthen_backlog(sock)
        self.port = sock.getsockname()[1]

    @Service.task
    async def _check_connections(self) -> None:
        """Close connections whose clients take too long."""
        while self._bounds is not None and not self.should_stop:
            await self.sleep(CHECK_INTERVAL_S)
            server = None if self._runner is None else self._runner.server
            if isinstance(server, BoundedServer):
                server.check_connections()

    async def on_stop(self) -> None:
        """Stop accepting, wait for open requests, then close.

        Those still at work at the end are answered as ended by the stop.
        """
        if self._runner is None:
            return
        answers_s = min(_LAST_ANSWERS_S, self._drain * _MAX_LAST_ANSWERS_SHARE)
        timer = asyncio.get_running_loop().call_later(
            self._drain - answers_s, self._stop_limit.end
        )
        await self._runner.cleanup()
        timer.cancel()
        self._runner = None
