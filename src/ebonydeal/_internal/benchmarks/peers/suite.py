"""Measures peer rounds against the number of nodes and lost messages."""

import statistics
import time
from collections.abc import Sequence
from typing import NamedTuple

from ebonydeal._internal.benchmarks.peers.net import Net
from ebonydeal._internal.models.endpoints import LeavingMark

SIZES = (9, 18, 45, 90, 180, 350)
SPREAD_SIZES = (9, 90, 350)
LOSSES = (0.0, 0.1, 0.2)
SETTLE_S = 5.0
MEASURE_S = 10.0
SPREAD_S = 10.0


class Traffic(NamedTuple):
    """Steady traffic at one size.

    Attributes
    ----------
    nodes : int
        Number of nodes.
    mean, worst : float
        Bytes a second that a node sends; all of `MEASURE_S` seconds.
    cpu_us : float
        Processor microseconds a node and second, both ends of rounds, with the
        JSON coding but without HTTP.
    """

    nodes: int
    mean: float
    worst: float
    cpu_us: float


class Spread(NamedTuple):
    """How a mark reaches all nodes.

    Attributes
    ----------
    nodes : int
        Number of nodes.
    loss : float
        Share of lost messages, each way.
    median_s, last_s : float
        Seconds until half of the nodes and until all know; the worst over seeds.
    unreached : int
        Nodes that didn't know after `SPREAD_S`, over seeds.
    bytes_per_node : float
        Bytes that the push cost a node in the first 3 s, rounds included.
    """

    nodes: int
    loss: float
    median_s: float
    last_s: float
    unreached: int
    bytes_per_node: float


def measure_traffic(nodes: int, seed: int, *, with_demand: bool) -> Traffic:
    """Run rounds with nothing new but demand."""
    net = Net(nodes, seed, with_demand=with_demand)
    net.settle(SETTLE_S)
    started = time.process_time()
    net.scheduler.run(until=SETTLE_S + MEASURE_S)
    used = time.process_time() - started
    sent = net.bytes_per_s(MEASURE_S)
    cpu_us = used * 1e6 / nodes / MEASURE_S
    return Traffic(nodes, statistics.fmean(sent), max(sent), cpu_us)


def measure_spread(nodes: int, loss: float, seeds: Sequence[int]) -> Spread:
    """Mark one zone at one node; see when the others know."""
    medians, lasts, costs = [], [], []
    unreached = 0
    for seed in seeds:
        net = Net(nodes, seed, loss=loss, with_demand=False)
        net.settle(SETTLE_S)
        net.nodes[seed % nodes].mark(
            LeavingMark("", 0, "zone-9", SETTLE_S + 30.0, "cloud", SETTLE_S)
        )
        net.scheduler.run(until=SETTLE_S + 3.0)
        costs.append(statistics.fmean(node.bytes_out for node in net.nodes))
        net.scheduler.run(until=SETTLE_S + SPREAD_S)
        times = sorted(
            node.marked_at["zone-9"] - SETTLE_S
            for node in net.nodes
            if "zone-9" in node.marked_at
        )
        unreached += nodes - len(times)
        medians.append(statistics.median(times))
        lasts.append(times[-1])
    cost = statistics.fmean(costs)
    return Spread(nodes, loss, max(medians), max(lasts), unreached, cost)


def slope(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Return (per node, fixed) of the least-squares line through the points."""
    fit = statistics.linear_regression([x for x, _ in points], [y for _, y in points])
    return fit.slope, fit.intercept
