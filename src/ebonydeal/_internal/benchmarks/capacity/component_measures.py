"""Slopes of whole components: gossip, table calls, journals, controller, gateway."""

import asyncio
import time
from statistics import median

from ebonydeal._internal.benchmarks.capacity.fit import Point, Slope, fit
from ebonydeal._internal.benchmarks.gateway.cost import CostSpec, measure
from ebonydeal._internal.benchmarks.journal.rounds import measure_idle
from ebonydeal._internal.benchmarks.peers.loopback import measure_loopback
from ebonydeal._internal.benchmarks.peers.suite import measure_traffic
from ebonydeal._internal.benchmarks.spend.slopes import measure as measure_rounds
from ebonydeal._internal.outside.tables import HttpTables
from ebonydeal._internal.settings.journal import JournalSettings
from ebonydeal._internal.settings.sections import PlatformSettings
from ebonydeal._internal.standin.stores import TablesServer

_US_PER_S = 1_000_000
_PEER_SIZES = (9, 24, 48, 96)
_PEER_DURATION_S = 4.0
_TRAFFIC_SIZES = (9, 90, 350)
_JOURNAL_SIZES = (3, 9, 18)
_JOURNAL_DURATION_S = 12.0
_JOURNAL_LATENCY_S = 0.01
_REPLICA_SIZES = (50, 200, 500, 1000)
_CALL_COUNTS = (200, 400, 800)


def measure_components(seed: int) -> list[Slope]:
    """Return the slopes of whole components; takes some minutes."""
    return [
        *_peers(seed),
        _table_calls(),
        *_journals(seed),
        *_controller(seed),
        *_gateway(seed),
    ]


def _peers(seed: int) -> list[Slope]:
    over_http = [
        asyncio.run(measure_loopback(n, _PEER_DURATION_S)) for n in _PEER_SIZES
    ]
    with_demand = [measure_traffic(n, seed, with_demand=True) for n in _TRAFFIC_SIZES]
    without_demand = [
        measure_traffic(n, seed, with_demand=False) for n in _TRAFFIC_SIZES
    ]
    return [
        fit(
            "peers.cpu",
            "us of processor time a second for rounds, with HTTP on loopback",
            "own process",
            [Point(row.nodes, row.cpu_us) for row in over_http],
        ),
        fit(
            "peers.bytes",
            "bytes a second that one process sends to peers, 5 client accounts",
            "own process",
            [Point(row.nodes, row.mean) for row in with_demand],
        ),
        fit(
            "peers.bare",
            "the same without demand, as all but gateways send",
            "own process",
            [Point(row.nodes, row.mean) for row in without_demand],
        ),
    ]


async def _time_calls(count: int) -> float:
    """Return processor microseconds of ``count`` table reads, client and server."""
    server = TablesServer()
    await server.start()
    tables = HttpTables.from_config(PlatformSettings(tables_url=server.url))
    try:
        await tables.get("warm")
        start = time.process_time()
        for _ in range(count):
            await tables.get("none")
        return (time.process_time() - start) * _US_PER_S
    finally:
        await tables.close()
        await server.stop()


def _table_calls() -> Slope:
    points = [Point(n, asyncio.run(_time_calls(n))) for n in _CALL_COUNTS]
    return fit("call.cpu", "us of processor time, both ends", "small call", points)


def _journals(seed: int) -> list[Slope]:
    cfg = JournalSettings()
    rows = [
        asyncio.run(measure_idle(cfg, n, _JOURNAL_DURATION_S, _JOURNAL_LATENCY_S, seed))
        for n in _JOURNAL_SIZES
    ]
    return [
        fit(
            "journal.reads",
            "table reads a second of all idle journals",
            "journal",
            [Point(row.nodes, row.reads_per_s) for row in rows],
        ),
        fit(
            "journal.writes",
            "table writes a second of all idle journals",
            "journal",
            [Point(row.nodes, row.writes_per_s) for row in rows],
        ),
    ]


def _controller(seed: int) -> list[Slope]:
    rows = [asyncio.run(measure_rounds(n, seed)) for n in _REPLICA_SIZES]
    return [
        fit(
            "round.cpu",
            "us of processor time of one quiet controller round",
            "replica",
            [Point(row.replicas, row.cpu_ms * 1000) for row in rows],
        ),
        fit(
            "round.tables",
            "table operations of one quiet controller round",
            "replica",
            [Point(row.replicas, row.operations) for row in rows],
        ),
    ]


def _gateway(seed: int) -> list[Slope]:
    """Fit processor time to answer length, for the cost of a request and a token."""
    points = []
    for tokens in (20, 100, 200):
        spec = CostSpec(rounds=3, requests=40, tokens=tokens, concurrency=20, seed=seed)
        cost = next(item for item in measure(spec) if item.name == "gateway")
        per_request_us = median(cost.per_request_us)
        per_token_us = median(cost.per_token_us)
        points.append(Point(tokens, per_request_us + per_token_us * (tokens - 1)))
    return [
        fit("relay.cpu", "us of processor time of one stream", "token", points),
    ]
