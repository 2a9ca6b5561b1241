"""HTTP listeners of the simulated systems, with injected connection failures."""

import asyncio
from collections.abc import Callable
from typing import Any

from aiohttp import web

from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.utils.web import Handler, HttpServer, new_app

_DRAIN_S = 0.2
_MAX_BODY = 64 * 1024 * 1024


def standin_app() -> web.Application:
    """Return a web application for a simulated system, with its own metrics."""
    return new_app(Metrics(), _MAX_BODY)


class StandinServer(HttpServer):
    """An `HttpServer` that can be killed, and whose connections can fall silent.

    Parameters
    ----------
    app : web.Application
        Application to serve.
    host, port : str, int
        Address to listen on; port 0 picks a free port.
    """

    def __init__(
        self, app: web.Application, host: str = "127.0.0.1", port: int = 0
    ) -> None:
        super().__init__(app, host, port, drain_seconds=_DRAIN_S)
        self.killed = False
        self._silent: set[asyncio.BaseTransport] = set()
        app.middlewares.append(self._silence_middleware())

    def silence_open_connections(self) -> None:
        """Answer no more requests on open connections; new ones work."""
        runner: Any = self._runner
        transports = {conn.transport for conn in runner.server.connections}
        self._silent = transports - {None}

    def _silence_middleware(self) -> Callable:
        """Return a middleware that never answers on connections that fell silent."""

        @web.middleware
        async def middleware(req: web.Request, handler: Handler) -> web.StreamResponse:
            if req.transport in self._silent:
                await asyncio.Future()
            return await handler(req)

        return middleware

    async def kill(self) -> None:
        """Stop listening and reset every connection, like a killed process."""
        self.killed = True
        await reset_connections(self)


async def reset_connections(server: HttpServer) -> None:
    """Stop listening and reset every connection of ``server``."""
    runner: Any = server._runner
    if runner is None:
        return
    for site in list(runner.sites):
        await site.stop()
    for conn in list(runner.server.connections):
        if conn.transport is not None:
            conn.transport.abort()


def abort_connection(req: web.Request) -> web.Response:
    """Reset the connection of ``req``, so that its answer is lost."""
    if req.transport is not None:
        req.transport.abort()
    return web.Response(status=500)
