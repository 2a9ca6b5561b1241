"""Measures gossip rounds by number of nodes and share of lost messages."""

import statistics
import time
from collections.abc import Sequence
from typing import NamedTuple

from ebonydeal._internal.benchmarks.peers.network import SimulatedNetwork
from ebonydeal._internal.models.endpoints import LeavingMark

SIZES = (9, 18, 45, 90, 180, 350)
SPREAD_SIZES = (9, 90, 350)
LOSSES = (0.0, 0.1, 0.2)
SETTLE_S = 5.0
MEASURE_S = 10.0
SPREAD_S = 10.0


class Traffic(NamedTuple):
    """Steady-state traffic at one number of nodes.

    Attributes
    ----------
    nodes : int
        Number of nodes.
    mean, worst : float
        Bytes a second that a node sends, over `MEASURE_S` seconds.
    cpu_us : float
        Processor microseconds per node and second, both ends of rounds, with JSON
        encoding but without HTTP.
    """

    nodes: int
    mean: float
    worst: float
    cpu_us: float


class Spread(NamedTuple):
    """Spread of a mark to all nodes.

    Attributes
    ----------
    nodes : int
        Number of nodes.
    loss : float
        Share of lost messages, in each direction.
    median_s, last_s : float
        Seconds until half of the nodes and until all know; maximum over seeds.
    unreached : int
        Nodes that didn't know after `SPREAD_S`, summed over seeds.
    bytes_per_node : float
        Mean bytes that a node sent in the first 3 s, rounds included.
    """

    nodes: int
    loss: float
    median_s: float
    last_s: float
    unreached: int
    bytes_per_node: float


def measure_traffic(nodes: int, seed: int, *, with_demand: bool) -> Traffic:
    """Measure rounds in which at most demand changes."""
    network = SimulatedNetwork(nodes, seed, with_demand=with_demand)
    network.settle(SETTLE_S)
    started = time.process_time()
    network.scheduler.run(until=SETTLE_S + MEASURE_S)
    cpu_s = time.process_time() - started
    bytes_per_s = network.bytes_per_s(MEASURE_S)
    cpu_us = cpu_s * 1e6 / nodes / MEASURE_S
    return Traffic(nodes, statistics.fmean(bytes_per_s), max(bytes_per_s), cpu_us)


def measure_spread(nodes: int, loss: float, seeds: Sequence[int]) -> Spread:
    """Mark a zone at one node, and measure when the others know."""
    medians, last_times, costs = [], [], []
    unreached = 0
    for seed in seeds:
        network = SimulatedNetwork(nodes, seed, loss=loss, with_demand=False)
        network.settle(SETTLE_S)
        network.nodes[seed % nodes].mark(
            LeavingMark("", 0, "zone-9", SETTLE_S + 30.0, "cloud", SETTLE_S)
        )
        network.scheduler.run(until=SETTLE_S + 3.0)
        costs.append(statistics.fmean(node.bytes_out for node in network.nodes))
        network.scheduler.run(until=SETTLE_S + SPREAD_S)
        times = sorted(
            node.marked_at["zone-9"] - SETTLE_S
            for node in network.nodes
            if "zone-9" in node.marked_at
        )
        unreached += nodes - len(times)
        medians.append(statistics.median(times))
        last_times.append(times[-1])
    cost = statistics.fmean(costs)
    return Spread(nodes, loss, max(medians), max(last_times), unreached, cost)


def slope(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Return (per node, fixed) of the least-squares line through the points."""
    fit = statistics.linear_regression([x for x, _ in points], [y for _, y in points])
    return fit.slope, fit.intercept
