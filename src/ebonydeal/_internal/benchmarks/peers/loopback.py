"""Measures a few real peer services on loopback, with sockets and HTTP."""

import asyncio
import random
import time
from typing import NamedTuple

from ebonydeal._internal.directory.service import Directory
from ebonydeal._internal.models.endpoints import EndpointView, LeavingMark
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.peers.service import PeerService
from ebonydeal._internal.settings.directory import DirectorySettings
from ebonydeal._internal.settings.sections import NodeSettings, PeerSettings
from ebonydeal._internal.utils.clock import SystemClock

_CREDENTIAL = "bench-only"
_TIMEOUT_S = 30.0
_POLL_INTERVAL_S = 0.001


class _NoInstances:
    """An empty instance list."""

    async def endpoints(self) -> list[EndpointView]:
        return []

    async def own_nodes(self) -> list[tuple[str, str]]:
        return []


class Loopback(NamedTuple):
    """Measurements of real services.

    Attributes
    ----------
    nodes : int
        Number of services, all in this process.
    bytes_per_s : float
        Bytes that a node sends a second, by its own counter.
    cpu_us : float
        Processor microseconds per node and second, with HTTP.
    spread_s : float
        Seconds until all nodes know a mark.
    """

    nodes: int
    bytes_per_s: float
    cpu_us: float
    spread_s: float


class _Node:
    def __init__(self, number: int, seeds: str) -> None:
        clock = SystemClock()
        rng = random.Random(number)
        self.metrics = Metrics()
        cfg = DirectorySettings()
        instance_list = _NoInstances()
        self.directory = Directory(cfg, instance_list, self.metrics, clock, rng)
        self.peers = PeerService.from_config(
            NodeSettings(id=f"node-{number}", drain_seconds=0.5),
            PeerSettings(port=0, seeds=seeds, credential=_CREDENTIAL),
            self.metrics,
            clock,
            rng,
            directory=self.directory,
        )

    def bytes_sent(self) -> float:
        return self.metrics.value("events", str(Event.PEER_BYTES_OUT))


async def measure_loopback(count: int, seconds: float) -> Loopback:
    """Start ``count`` services, measure them, then mark a zone at one of them."""
    nodes = [_Node(0, "")]
    await nodes[0].peers.start()
    try:
        for number in range(1, count):
            nodes.append(_Node(number, nodes[0].peers.address))
            await nodes[-1].peers.start()
        async with asyncio.timeout(_TIMEOUT_S):
            while any(len(node.peers.members()) < count - 1 for node in nodes):
                await asyncio.sleep(0.1)
        bytes_sent = sum(node.bytes_sent() for node in nodes)
        cpu_s = time.process_time()
        await asyncio.sleep(seconds)
        bytes_sent = sum(node.bytes_sent() for node in nodes) - bytes_sent
        cpu_s = time.process_time() - cpu_s
        spread = await _spread(nodes)
    finally:
        for node in nodes:
            await node.peers.stop()
    node_seconds = count * seconds
    return Loopback(
        count, bytes_sent / node_seconds, cpu_s * 1e6 / node_seconds, spread
    )


async def _spread(nodes: list[_Node]) -> float:
    """Return the seconds until all nodes know a mark set at one of them."""
    now = time.time()
    started = time.perf_counter()
    nodes[-1].directory.mark(LeavingMark("", 0, "zone-9", now + 30.0, "cloud", now))
    async with asyncio.timeout(_TIMEOUT_S):
        while any(len(node.directory.marks) == 0 for node in nodes):
            await asyncio.sleep(_POLL_INTERVAL_S)
    return time.perf_counter() - started
