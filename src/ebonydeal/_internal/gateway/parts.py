"""Ports and settings that a gateway is built from."""

from ssl import SSLContext
from typing import NamedTuple

from mode import Service

from ebonydeal._internal.gateway.ports import (
    AdmissionPort,
    ConfigPort,
    DirectoryPort,
    JournalPort,
    PeerPort,
    RetryPort,
    RoutePort,
)
from ebonydeal._internal.observe.trail import Trails
from ebonydeal._internal.outside.interfaces import Engine, PlainServices
from ebonydeal._internal.settings.gateway import GatewaySettings
from ebonydeal._internal.settings.sections import NodeSettings


class GatewayPorts(NamedTuple):
    """Interfaces of the gateway to the other components.

    ``children`` are the components' services. They start before the gateway's
    own services and stop after them.
    """

    engine: Engine
    services: PlainServices
    routes: RoutePort
    retries: RetryPort
    admission: AdmissionPort
    directory: DirectoryPort
    config: ConfigPort
    journal: JournalPort
    peers: PeerPort
    trails: Trails
    children: tuple[Service, ...] = ()


class GatewayConfig(NamedTuple):
    """The gateway's own settings."""

    node: NodeSettings
    gateway: GatewaySettings
    credential: str
    shards: int
    ssl_server: SSLContext | None = None
