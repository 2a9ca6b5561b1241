"""Supervisor tree of ``ebonydeal-console``."""

import random
from pathlib import Path
from typing import Any

from aiohttp import web
from mode import Service

from ebonydeal._internal.config.follower import ConfigFollower
from ebonydeal._internal.config.peer_routes import register_with_peers
from ebonydeal._internal.config.store import ConfigStore
from ebonydeal._internal.console.api import Api
from ebonydeal._internal.console.edit_pages import EditPages
from ebonydeal._internal.console.guard import page_middleware
from ebonydeal._internal.console.operators import Operators
from ebonydeal._internal.console.parts import ConsoleParts
from ebonydeal._internal.console.render import Renderer
from ebonydeal._internal.console.sessions import Sessions
from ebonydeal._internal.console.simple_pages import SimplePages
from ebonydeal._internal.console.status import StatusReader
from ebonydeal._internal.console.view_pages import ViewPages
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.outside.cloud import HttpCloud
from ebonydeal._internal.outside.instances import HttpInstanceList
from ebonydeal._internal.outside.tables import HttpTables
from ebonydeal._internal.peers.service import PeerService
from ebonydeal._internal.settings.config import ConfigSettings
from ebonydeal._internal.settings.console import ConsoleSettings
from ebonydeal._internal.settings.sections import (
    LogSettings,
    NodeSettings,
    PeerSettings,
    PlatformSettings,
    TlsSettings,
)
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.peerclient import PeerClient
from ebonydeal._internal.utils.tls import TlsContexts
from ebonydeal._internal.utils.web import HttpServer, new_app

SECTIONS: dict[str, type] = {
    "node": NodeSettings,
    "platform": PlatformSettings,
    "peers": PeerSettings,
    "tls": TlsSettings,
    "logs": LogSettings,
    "config": ConfigSettings,
    "console": ConsoleSettings,
}
_STATIC = Path(__file__).parent / "static"


def console_app(parts: ConsoleParts) -> web.Application:
    """Return the web application with all pages and the JSON API."""
    app = new_app(parts.metrics)
    app.middlewares.append(page_middleware(parts))
    app.add_routes(Api(parts).routes())
    app.add_routes(ViewPages(parts).routes())
    app.add_routes(EditPages(parts).routes())
    app.add_routes(SimplePages(parts).routes())
    app.router.add_static("/static/", _STATIC)
    return app


class ConsoleProgram(Service):
    """All services of one console process.

    Children, in the order of their start: TLS, peers, follower, listener.

    Parameters
    ----------
    children : tuple of Service
        In the order of their start; the listener last.
    clients : tuple
        Closed on shutdown.
    server : HttpServer
        The operators' listener.
    follower : ConfigFollower
        One of the children.
    """

    def __init__(
        self,
        children: tuple[Service, ...],
        clients: tuple[Any, ...],
        server: HttpServer,
        follower: ConfigFollower,
    ) -> None:
        super().__init__()
        self.follower = follower
        self._children_to_start = children
        self._clients = clients
        self._server = server

    @classmethod
    def from_config(
        cls,
        settings: dict[str, Any],
        metrics: Metrics,
        clock: Clock,
        rng: random.Random,
    ) -> "ConsoleProgram":
        """Build the tree from typed settings sections (see `SECTIONS`)."""
        cfg: ConsoleSettings = settings["console"]
        node: NodeSettings = settings["node"]
        tls = TlsContexts.from_config(settings["tls"], clock)
        tables = HttpTables.from_config(settings["platform"])
        instances = HttpInstanceList.from_config(settings["platform"])
        cloud = HttpCloud.from_config(settings["platform"])
        client = PeerClient(settings["peers"].credential, tls.client)
        peers = PeerService.from_config(
            node,
            settings["peers"],
            metrics,
            clock,
            rng,
            instances=instances,
            roles=("console",),
            ssl_server=tls.server,
            ssl_client=tls.client,
        )
        follower = ConfigFollower.from_config(
            settings["config"],
            tables,
            metrics,
            clock,
            rng,
            lambda: 1 + len(peers.members()),
        )
        register_with_peers(peers, follower, metrics)
        operators = Operators.from_config(cfg.operators)
        parts = ConsoleParts(
            store=ConfigStore(tables, clock, rng),
            follower=follower,
            status=StatusReader(follower, tables, instances, peers, client, metrics),
            operators=operators,
            sessions=Sessions.from_config(cfg, operators, tls.server is not None),
            render=Renderer(),
            offers=cloud.offers,
            metrics=metrics,
            clock=clock,
            rng=rng,
        )
        server = HttpServer(
            console_app(parts),
            node.host,
            cfg.port,
            ssl_context=tls.server,
            drain_seconds=node.drain_seconds,
        )
        children = (tls, peers, follower, server)
        clients = (tables, instances, cloud, client)
        return cls(children, clients, server, follower)

    @property
    def address(self) -> str:
        """``host:port`` of the operators' listener; available after the start."""
        return self._server.address

    async def on_start(self) -> None:
        """Start the children in order."""
        for child in self._children_to_start:
            await self.add_runtime_dependency(child)

    async def on_shutdown(self) -> None:
        """Close the clients."""
        for client in self._clients:
            await client.close()
