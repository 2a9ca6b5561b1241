"""Supervisor tree of ``ebonydeal-journal``."""

import random
from collections.abc import Iterable
from typing import Any, NamedTuple, Protocol

from mode import Service

from ebonydeal._internal.config.follower import ConfigFollower
from ebonydeal._internal.config.peer_routes import register_with_peers
from ebonydeal._internal.directory.service import Directory
from ebonydeal._internal.directory.table import TableChange
from ebonydeal._internal.journal.backlog_rows import BacklogRows
from ebonydeal._internal.journal.claims import Identity
from ebonydeal._internal.journal.dispatcher import Dispatcher
from ebonydeal._internal.journal.node import JournalNode
from ebonydeal._internal.journal.pacing import Budget, Pacer
from ebonydeal._internal.journal.parts import OwnerParts
from ebonydeal._internal.journal.picker import (
    RoutedPicker,
    min_known_slots,
    weights_from,
)
from ebonydeal._internal.journal.service import http_offer, journal_app
from ebonydeal._internal.models.places import Place
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.outside.cloud import HttpCloud
from ebonydeal._internal.outside.engines import HttpEngine
from ebonydeal._internal.outside.instances import HttpInstanceList
from ebonydeal._internal.outside.objects import HttpObjects
from ebonydeal._internal.outside.services import HttpPlainServices
from ebonydeal._internal.outside.tables import HttpTables
from ebonydeal._internal.peers.service import PeerService
from ebonydeal._internal.routing.placement.router import Router
from ebonydeal._internal.settings.config import ConfigSettings
from ebonydeal._internal.settings.directory import DirectorySettings
from ebonydeal._internal.settings.journal import JournalSettings
from ebonydeal._internal.settings.routing import RoutingSettings
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
from ebonydeal._internal.utils.web import HttpServer

SECTIONS: dict[str, type] = {
    "node": NodeSettings,
    "platform": PlatformSettings,
    "peers": PeerSettings,
    "logs": LogSettings,
    "tls": TlsSettings,
    "directory": DirectorySettings,
    "routing": RoutingSettings,
    "journal": JournalSettings,
    "config": ConfigSettings,
}
_MS = 1000


class Platform(NamedTuple):
    """Clients of the external systems, which the program closes."""

    tables: HttpTables
    objects: HttpObjects
    instances: HttpInstanceList
    cloud: HttpCloud
    engine: HttpEngine
    services: HttpPlainServices

    @classmethod
    def from_config(cls, cfg: PlatformSettings) -> "Platform":
        """Build all clients from ``[platform]``."""
        return cls(
            HttpTables.from_config(cfg),
            HttpObjects.from_config(cfg),
            HttpInstanceList.from_config(cfg),
            HttpCloud.from_config(cfg),
            HttpEngine.from_config(cfg),
            HttpPlainServices.from_config(cfg),
        )


class Closable(Protocol):
    """A client that owns connections."""

    async def close(self) -> None:
        """Close the connections."""


class JournalProgram(Service):
    """All services of one journal process.

    Children, in start order: TLS files, directory, peers, configuration, listener,
    dispatcher, node, backlog rows. A stop first hands over all shards, while the
    listener still replies to waiting callers.
    """

    def __init__(
        self,
        directory: Directory,
        peers: PeerService,
        follower: ConfigFollower,
        dispatcher: Dispatcher,
        node: JournalNode,
        backlog: BacklogRows,
        server: HttpServer,
        tls: TlsContexts,
        clients: Iterable[Closable],
    ) -> None:
        super().__init__()
        self.directory = directory
        self.peers = peers
        self.follower = follower
        self.dispatcher = dispatcher
        self.node = node
        self.backlog = backlog
        self.server = server
        self._tls = tls
        self._clients = tuple(clients)

    @classmethod
    def from_config(
        cls,
        settings: dict[str, Any],
        metrics: Metrics,
        clock: Clock,
        rng: random.Random,
    ) -> "JournalProgram":
        """Build the tree from typed settings sections (see `SECTIONS`)."""
        cfg: JournalSettings = settings["journal"]
        node_cfg: NodeSettings = settings["node"]
        place = Place(node_cfg.region, node_cfg.zone)
        platform = Platform.from_config(settings["platform"])
        tls = TlsContexts.from_config(settings["tls"], clock)
        directory = Directory.from_config(
            settings["directory"],
            platform.instances,
            metrics,
            clock,
            rng,
            cloud=platform.cloud,
            engine=platform.engine,
        )
        platform.engine.on_load = directory.observe_load
        platform.services.on_load = directory.observe_load
        peers = PeerService.from_config(
            node_cfg,
            settings["peers"],
            metrics,
            clock,
            rng,
            instances=platform.instances,
            directory=directory,
            roles=("journal",),
            ssl_server=tls.server,
            ssl_client=tls.client,
        )
        follower = ConfigFollower.from_config(
            settings["config"],
            platform.tables,
            metrics,
            clock,
            rng,
            process_count=lambda: 1 + len(peers.members()),
        )
        register_with_peers(peers, follower, metrics)
        router = Router.from_config(settings["routing"], rng)
        picker = RoutedPicker(
            directory, router, place, clock, weights_from(lambda: follower.document)
        )
        platform.engine.on_backoff = platform.services.on_backoff = picker.back_off
        dispatcher = Dispatcher(
            picker,
            platform.engine,
            platform.services,
            cfg=cfg,
            clock=clock,
            metrics=metrics,
        )
        budget = Budget(cfg.writes_per_s, cfg.urgent_writes_per_s)
        parts = OwnerParts(
            platform.tables,
            platform.objects,
            dispatcher,
            Pacer(budget, clock.now()),
            cfg,
            clock,
            rng,
            metrics,
        )
        me = Identity(node_cfg.id, "", int(clock.wall() * _MS))
        credential = settings["peers"].credential
        peer_client = PeerClient(credential, tls.client)
        node = JournalNode(
            me, place, parts, node_cfg.drain_seconds, http_offer(peer_client)
        )
        backlog = BacklogRows(
            dispatcher.waiting_requests,
            lambda: follower.document,
            lambda name: min_known_slots(directory, name),
            node_cfg.id,
            lambda: node.live_nodes,
            platform.tables,
            clock=clock,
            rng=rng,
            metrics=metrics,
        )
        app = journal_app(node, credential, metrics)
        server = HttpServer(
            app,
            node_cfg.host,
            cfg.port,
            ssl_context=tls.server,
            drain_seconds=node_cfg.drain_seconds,
        )
        clients = (*platform, peer_client)
        return cls(
            directory, peers, follower, dispatcher, node, backlog, server, tls, clients
        )

    @property
    def address(self) -> str:
        """``host:port`` of the journal listener, as bound."""
        return self.server.address

    async def on_start(self) -> None:
        """Bind the listener, then claim shards under its address."""
        self.directory.on_mark(self.dispatcher.on_endpoint_leaving)
        self.directory.on_change(self._endpoints_changed)
        await self.add_runtime_dependency(self._tls)
        await self.add_runtime_dependency(self.directory)
        await self.add_runtime_dependency(self.peers)
        await self.add_runtime_dependency(self.follower)
        await self.add_runtime_dependency(self.server)
        await self.add_runtime_dependency(self.dispatcher)
        self.node.me = self.node.me._replace(address=self.address)
        await self.add_runtime_dependency(self.node)
        await self.add_runtime_dependency(self.backlog)

    def _endpoints_changed(self, _change: TableChange) -> None:
        self.dispatcher.on_endpoints_changed()

    async def on_stop(self) -> None:
        """Hand over all shards while the children are still running."""
        await self.node.leave()

    async def on_shutdown(self) -> None:
        """Close the clients."""
        for client in self._clients:
            await client.close()
