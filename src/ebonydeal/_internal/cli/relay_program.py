"""Builds the relay with the clients of the platform."""

import random
from collections.abc import Sequence
from typing import Any

from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.platform.duties import PlatformDuties
from ebonydeal._internal.platform.engines import PlatformEngines
from ebonydeal._internal.platform.store import PlatformStore
from ebonydeal._internal.platform.wire import PlatformWire
from ebonydeal._internal.relay.ports import RelayPorts
from ebonydeal._internal.relay.program import RelayProgram
from ebonydeal._internal.utils.clock import Clock

# Timeout of an order to an engine: about a quarter of the shortest notice that
# endpoints give before they are reclaimed.
_ORDER_TIMEOUT_S = 0.5


def build(
    settings: dict[str, Any],
    metrics: Metrics,
    clock: Clock,
    rng: random.Random,
    opened: Sequence[int] = (),
) -> RelayProgram:
    """Build the relay; ``opened`` are sockets that already listen."""
    cfg = settings["platform"]
    ports = RelayPorts(
        wire=PlatformWire(),
        store=PlatformStore(cfg.tables_url, cfg.timeout, clock),
        duties=PlatformDuties(cfg.cloud_url, cfg.timeout, settings["node"].id),
        engines=PlatformEngines(_ORDER_TIMEOUT_S),
    )
    return RelayProgram(settings, ports, metrics, clock, rng, opened)
