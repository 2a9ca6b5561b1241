"""Processor time and table operations of a controller by number of replicas."""

import time
from statistics import linear_regression
from typing import NamedTuple

from ebonydeal._internal.benchmarks.spend.fleet_run import FleetRun

SIZES = (10, 50, 200, 500, 1000, 2000)
_ROUNDS = 20


class Point(NamedTuple):
    """Cost of one round at one size in a steady state.

    Attributes
    ----------
    replicas : int
        Running instances.
    cpu_ms : float
        Processor milliseconds of one round.
    operations : float
        Table operations of one round.
    calls : float
        Calls to engines in one round.
    """

    replicas: int
    cpu_ms: float
    operations: float
    calls: float


async def measure(replicas: int, seed: int) -> Point:
    """Fill a fleet of about ``replicas`` instances, then measure idle rounds."""
    run = FleetRun(max(1, replicas * 2 // 3), seed)
    await run.fill_to_target()
    await run.rounds(10)
    operations = run.table_operations
    calls = run.platform.calls.get("load", 0) + run.platform.calls.get("order_state", 0)
    cpu_before = time.process_time()
    await run.rounds(_ROUNDS)
    cpu_s = time.process_time() - cpu_before
    calls_after = run.platform.calls.get("load", 0) + run.platform.calls.get(
        "order_state", 0
    )
    return Point(
        len(run.platform.live()),
        1000 * cpu_s / _ROUNDS,
        (run.table_operations - operations) / _ROUNDS,
        (calls_after - calls) / _ROUNDS,
    )


def slope(points: list[Point], field: str) -> float:
    """Return the least-squares slope of ``field`` by number of replicas."""
    xs = [float(point.replicas) for point in points]
    ys = [float(getattr(point, field)) for point in points]
    return linear_regression(xs, ys).slope


def slopes_table(points: list[Point]) -> str:
    """Return the table and the slopes as text."""
    lines = [f"{'replicas':>9} {'cpu ms/round':>13} {'table ops':>10} {'calls':>7}"]
    lines.extend(
        f"{item.replicas:9d} {item.cpu_ms:13.2f} {item.operations:10.2f} "
        f"{item.calls:7.1f}"
        for item in points
    )
    lines.append(
        f"slope: {1000 * slope(points, 'cpu_ms'):.2f} microseconds of processor "
        f"time and {slope(points, 'operations'):.5f} table operations a round for "
        "each replica"
    )
    return "\n".join(lines)
