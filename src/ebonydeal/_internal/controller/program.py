"""Supervisor tree of ``ebonydeal-controller``."""

import random
from typing import Any, NamedTuple

from mode import Service

from ebonydeal._internal.config.follower import ConfigFollower
from ebonydeal._internal.config.peer_routes import register_with_peers
from ebonydeal._internal.controller.lease import new_holder
from ebonydeal._internal.controller.notices import MarkCallback
from ebonydeal._internal.controller.routes import controller_routes
from ebonydeal._internal.controller.service import Controller
from ebonydeal._internal.directory.service import Directory
from ebonydeal._internal.models.endpoints import LeavingMark
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.outside.cloud import HttpCloud
from ebonydeal._internal.outside.engines import HttpEngine
from ebonydeal._internal.outside.instances import HttpInstanceList
from ebonydeal._internal.outside.tables import HttpTables
from ebonydeal._internal.outside.weights import HttpWeightStore
from ebonydeal._internal.peers.service import PeerService
from ebonydeal._internal.settings.config import ConfigSettings
from ebonydeal._internal.settings.controller import ControllerSettings
from ebonydeal._internal.settings.directory import DirectorySettings
from ebonydeal._internal.settings.sections import (
    LogSettings,
    NodeSettings,
    PeerSettings,
    PlatformSettings,
    TlsSettings,
)
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.tls import TlsContexts

SECTIONS: dict[str, type] = {
    "node": NodeSettings,
    "platform": PlatformSettings,
    "peers": PeerSettings,
    "logs": LogSettings,
    "tls": TlsSettings,
    "directory": DirectorySettings,
    "config": ConfigSettings,
    "controller": ControllerSettings,
}


class Platform(NamedTuple):
    """Clients of external systems, which the program closes."""

    tables: HttpTables
    cloud: HttpCloud
    instances: HttpInstanceList
    engine: HttpEngine
    weights: HttpWeightStore

    @classmethod
    def from_config(cls, cfg: PlatformSettings) -> "Platform":
        """Build all clients from ``[platform]``."""
        return cls(
            HttpTables.from_config(cfg),
            HttpCloud.from_config(cfg),
            HttpInstanceList.from_config(cfg),
            HttpEngine.from_config(cfg),
            HttpWeightStore.from_config(cfg),
        )


class ControllerProgram(Service):
    """Supervises the services of one controller process.

    They start in this order: TLS files, directory, peers, configuration,
    controller. On a stop, all leases are released first.
    """

    def __init__(
        self,
        directory: Directory,
        peers: PeerService,
        follower: ConfigFollower,
        controller: Controller,
        tls: TlsContexts,
        platform: Platform,
    ) -> None:
        super().__init__()
        self.directory = directory
        self.peers = peers
        self.follower = follower
        self.controller = controller
        self._tls = tls
        self._platform = platform

    @classmethod
    def from_config(
        cls,
        settings: dict[str, Any],
        metrics: Metrics,
        clock: Clock,
        rng: random.Random,
    ) -> "ControllerProgram":
        """Build the tree from typed settings sections (see `SECTIONS`)."""
        node: NodeSettings = settings["node"]
        platform = Platform.from_config(settings["platform"])
        tls = TlsContexts.from_config(settings["tls"], clock)
        directory = Directory.from_config(
            settings["directory"],
            platform.instances,
            metrics,
            clock,
            rng,
            cloud=platform.cloud,
        )
        peers = PeerService.from_config(
            node,
            settings["peers"],
            metrics,
            clock,
            rng,
            instances=platform.instances,
            directory=directory,
            roles=("controller",),
            ssl_server=tls.server,
            ssl_client=tls.client,
        )
        follower = ConfigFollower.from_config(
            settings["config"],
            platform.tables,
            metrics,
            clock,
            rng,
            lambda: 1 + len(peers.members()),
        )
        register_with_peers(peers, follower, metrics)
        peers.add_routes(controller_routes(platform.tables))
        controller = Controller(
            settings["controller"],
            new_holder(node.id, f"{node.host}:{settings['peers'].port}", rng),
            platform.tables,
            platform.cloud,
            platform.instances,
            platform.engine,
            platform.weights,
            lambda: follower.document,
            _mark_callback(directory),
            metrics,
            clock,
            rng,
        )
        return cls(directory, peers, follower, controller, tls, platform)

    @property
    def address(self) -> str:
        """Bound ``host:port`` of the peer listener."""
        return self.peers.address

    async def on_start(self) -> None:
        """Start the children."""
        await self.add_runtime_dependency(self._tls)
        await self.add_runtime_dependency(self.directory)
        await self.add_runtime_dependency(self.peers)
        await self.add_runtime_dependency(self.follower)
        await self.add_runtime_dependency(self.controller)

    async def on_stop(self) -> None:
        """Release the leases while the table client is still open."""
        await self.controller.step_down()

    async def on_shutdown(self) -> None:
        """Close the clients."""
        for client in self._platform:
            await client.close()


def _mark_callback(directory: Directory) -> MarkCallback:
    """Return the callback that puts a mark into the directory, which shares it.

    A mark without an incarnation is skipped, as its endpoint is not listed yet:
    the directory keeps the cloud's own notice until the endpoint is listed.
    """

    def mark(item: LeavingMark) -> None:
        if item.endpoint_id and item.incarnation == 0:
            return
        directory.mark(item)

    return mark
