"""Builds the components behind the gateway's ports."""

from collections.abc import Iterable
from random import Random
from typing import Any, NamedTuple

from aiohttp import web
from mode import Service

from ebonydeal._internal.config.follower import ConfigFollower
from ebonydeal._internal.config.peer_routes import register_with_peers
from ebonydeal._internal.directory.service import Directory
from ebonydeal._internal.gateway.admission_queue import AdmissionQueue
from ebonydeal._internal.gateway.budget import RetryBudget
from ebonydeal._internal.gateway.endpoint_subset import EndpointSubset
from ebonydeal._internal.gateway.parts import GatewayConfig, GatewayPorts
from ebonydeal._internal.gateway.routes import RouterAdapter
from ebonydeal._internal.models.places import Place
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.observe.trail import Trails
from ebonydeal._internal.outside.cloud import HttpCloud
from ebonydeal._internal.outside.engines import HttpEngine
from ebonydeal._internal.outside.instances import HttpInstanceList
from ebonydeal._internal.outside.interfaces import CacheEvent
from ebonydeal._internal.outside.services import HttpPlainServices
from ebonydeal._internal.outside.tables import HttpTables
from ebonydeal._internal.peers.demand import DemandTopic
from ebonydeal._internal.peers.journal_client import JournalClient
from ebonydeal._internal.peers.service import PeerService
from ebonydeal._internal.routing.admission.admission import Admission
from ebonydeal._internal.routing.limits.account_limits import AccountLimits
from ebonydeal._internal.routing.placement.router import Router
from ebonydeal._internal.routing.placement.subset import PlacedProcess
from ebonydeal._internal.routing.retries.retries import RetryPolicy
from ebonydeal._internal.settings.config import ConfigSettings
from ebonydeal._internal.settings.directory import DirectorySettings
from ebonydeal._internal.settings.gateway import GatewaySettings
from ebonydeal._internal.settings.journal import JournalSettings
from ebonydeal._internal.settings.routing import (
    AdmissionSettings,
    RetrySettings,
    RoutingSettings,
)
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

SECTIONS: dict[str, type] = {
    "node": NodeSettings,
    "platform": PlatformSettings,
    "peers": PeerSettings,
    "logs": LogSettings,
    "tls": TlsSettings,
    "gateway": GatewaySettings,
    "directory": DirectorySettings,
    "config": ConfigSettings,
    "routing": RoutingSettings,
    "admission": AdmissionSettings,
    "retries": RetrySettings,
    "journal": JournalSettings,
}
_ROLE = "gateway"
_PEER_CALL_TIMEOUT_S = 3.0


class _Clients:
    """Clients of the external systems."""

    def __init__(self, cfg: PlatformSettings) -> None:
        self.tables = HttpTables.from_config(cfg)
        self.instances = HttpInstanceList.from_config(cfg)
        self.cloud = HttpCloud.from_config(cfg)
        self.engine = HttpEngine.from_config(cfg)
        self.services = HttpPlainServices.from_config(cfg)

    async def close(self) -> None:
        """Close all connections."""
        for client in (
            self.tables,
            self.instances,
            self.cloud,
            self.engine,
            self.services,
        ):
            await client.close()


class _Peers:
    """`PeerPort` on top of the peer service."""

    def __init__(self, service: PeerService, client: PeerClient) -> None:
        self._service = service
        self._client = client

    @property
    def address(self) -> str:
        """``host:port`` of this gateway's peer listener; set after the start."""
        return self._service.address

    def add_routes(self, routes: Iterable[web.AbstractRouteDef]) -> None:
        """Add routes to the peer listener; only before the start."""
        self._service.add_routes(routes)

    async def call(
        self, address: str, path: str, message: dict[str, Any]
    ) -> dict[str, Any]:
        """Call another gateway; raises its `EbonydealError`."""
        return await self._client.call(address, path, message, _PEER_CALL_TIMEOUT_S)


class _Components(NamedTuple):
    """Components that are put behind the ports."""

    clients: _Clients
    tls: TlsContexts
    directory: Directory
    peers: PeerService
    follower: ConfigFollower
    journal: JournalClient
    client: PeerClient


def _build(
    settings: dict[str, Any], metrics: Metrics, clock: Clock, rng: Random
) -> _Components:
    """Build the components that own sockets."""
    clients = _Clients(settings["platform"])
    tls = TlsContexts.from_config(settings["tls"], clock)
    credential = settings["peers"].credential
    directory = Directory.from_config(
        settings["directory"],
        clients.instances,
        metrics,
        clock,
        rng,
        cloud=clients.cloud,
        engine=clients.engine,
    )
    clients.engine.on_load = directory.observe_load
    clients.services.on_load = directory.observe_load
    peers = PeerService.from_config(
        settings["node"],
        settings["peers"],
        metrics,
        clock,
        rng,
        instances=clients.instances,
        directory=directory,
        roles=(_ROLE,),
        ssl_server=tls.server,
        ssl_client=tls.client,
    )
    follower = ConfigFollower.from_config(
        settings["config"],
        clients.tables,
        metrics,
        clock,
        rng,
        lambda: 1 + len(peers.members()),
    )
    journal = JournalClient.from_config(
        settings["journal"],
        credential,
        clients.tables,
        clock=clock,
        rng=rng,
        metrics=metrics,
        ssl_context=tls.client,
    )
    client = PeerClient(credential, tls.client)
    return _Components(clients, tls, directory, peers, follower, journal, client)


class _Routing(NamedTuple):
    """The router behind its port, and the subset that it chooses from."""

    routes: RouterAdapter
    subset: EndpointSubset


def _new_routing(
    settings: dict[str, Any], parts: _Components, clock: Clock, rng: Random
) -> _Routing:
    """Build the router and subscribe it to the directory and the peers."""
    node: NodeSettings = settings["node"]
    place = Place(node.region, node.zone)
    directory = parts.directory
    router = Router.from_config(settings["routing"], rng)

    def gateways() -> list[PlacedProcess]:
        return [
            PlacedProcess(peer.id, Place(peer.region, peer.zone))
            for peer in parts.peers.members()
            if _ROLE in peer.roles
        ]

    def cache_events(endpoint_id: str, events: list[CacheEvent]) -> None:
        router.apply_cache_events(endpoint_id, events, clock.wall())

    def back_off(endpoint_id: str, seconds: float) -> None:
        router.back_off(endpoint_id, seconds, clock.wall())

    subset = EndpointSubset(
        PlacedProcess(node.id, place),
        gateways,
        directory,
        settings["routing"],
        router.retain_only,
        clock,
    )
    directory.set_poll_filter(subset.includes)
    directory.on_cache_events(cache_events)
    parts.clients.engine.on_backoff = parts.clients.services.on_backoff = back_off
    directory.on_change(lambda _change: subset.refresh())
    return _Routing(RouterAdapter(router, directory, place, subset.includes), subset)


def new_demand_topic(limits: AccountLimits, clock: Clock) -> DemandTopic:
    """Return the gossip topic for the accounts' demand at each gateway."""
    return DemandTopic(
        lambda: limits.report(clock.wall()),
        lambda report: limits.merge_report(report, clock.wall()),
    )


class _ClientCloser(Service):
    """Closes the clients after the services that use them have stopped."""

    def __init__(self, parts: _Components) -> None:
        super().__init__()
        self._parts = parts

    async def on_shutdown(self) -> None:
        """Close all connections."""
        await self._parts.journal.close()
        await self._parts.client.close()
        await self._parts.clients.close()


def build_ports(
    settings: dict[str, Any], metrics: Metrics, clock: Clock, rng: Random
) -> tuple[GatewayConfig, GatewayPorts]:
    """Build settings and ports from the settings sections (see `SECTIONS`)."""
    node: NodeSettings = settings["node"]
    gateway: GatewaySettings = settings["gateway"]
    parts = _build(settings, metrics, clock, rng)
    trails = Trails(gateway.explain_requests)
    register_with_peers(parts.peers, parts.follower, metrics, trails.steps)
    admission = Admission.from_config(settings["admission"], node.id, rng)
    parts.peers.register(new_demand_topic(admission.limits, clock))
    routes, subset = _new_routing(settings, parts, clock, rng)
    queue = AdmissionQueue(
        admission, routes.capacity, parts.follower, metrics, trails, clock, rng
    )
    ports = GatewayPorts(
        engine=parts.clients.engine,
        services=parts.clients.services,
        routes=routes,
        retries=RetryBudget(RetryPolicy.from_config(settings["retries"], rng)),
        admission=queue,
        directory=parts.directory,
        config=parts.follower,
        journal=parts.journal,
        peers=_Peers(parts.peers, parts.client),
        trails=trails,
        children=(
            _ClientCloser(parts),
            parts.tls,
            parts.directory,
            parts.peers,
            parts.follower,
            subset,
            queue,
        ),
    )
    cfg = GatewayConfig(
        node,
        gateway,
        settings["peers"].credential,
        settings["journal"].shards,
        parts.tls.server,
    )
    return cfg, ports
