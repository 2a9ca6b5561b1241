"""Cost of the cheapest schedule that knows the whole trace, by linear programming.

This is a lower bound: instances may be fractional, and start at once without cost.
It meets the same constraints: enough replicas after the loss of any one zone, every
deadline, and the ceiling.
"""

import numpy as np
from scipy.optimize import linprog
from scipy.sparse import coo_matrix

from ebonydeal._internal.benchmarks.spend.simulate import needed_replicas
from ebonydeal._internal.benchmarks.spend.traces import STEP_S, ZONES, Trace

_HOUR = 3600.0


class _Rows:
    """Builds sparse rows ``A x <= b``."""

    def __init__(self) -> None:
        self.cells: list[tuple[int, int, float]] = []
        self.bounds: list[float] = []

    def add(self, cells: list[tuple[int, float]], bound: float) -> None:
        """Add one row."""
        row = len(self.bounds)
        self.cells.extend((row, column, value) for column, value in cells)
        self.bounds.append(bound)


def hindsight_cost(trace: Trace, ceiling: float) -> float:
    """Return the minimum cost of a schedule for ``trace``; infinity if none exists."""
    keys = sorted(trace.offers[0])
    width = len(keys)
    columns = trace.steps * width
    shares: list[list[tuple[int, int]]] = [[] for _ in range(trace.steps)]
    for index, job in enumerate(trace.jobs):
        for step in range(job.arrival, job.deadline):
            shares[step].append((index, columns))
            columns += 1
    cost = np.zeros(columns)
    upper_bounds: list[float | None] = [None] * columns
    rows = _Rows()
    for step in range(trace.steps):
        base = step * width
        need = needed_replicas(trace.in_flight[step])
        prices = [trace.offers[step][key].price_per_hour for key in keys]
        for position, key in enumerate(keys):
            cost[base + position] = prices[position] * STEP_S / _HOUR
            if key.reclaimable and key.zone in trace.refusing[step]:
                upper_bounds[base + position] = 0.0
        for zone in ZONES:
            other_zones = [
                (base + position, -1.0)
                for position, key in enumerate(keys)
                if key.zone != zone
            ]
            rows.add(other_zones, -float(need))
        rows.add(
            [(base + position, prices[position]) for position in range(width)], ceiling
        )
        deadline_work = [(column, 1.0) for _index, column in shares[step]]
        capacity = [(base + position, -1.0) for position in range(width)]
        rows.add(deadline_work + capacity, -float(need))
    for index, job in enumerate(trace.jobs):
        work = [
            (column, -1.0)
            for step in range(job.arrival, job.deadline)
            for owner, column in shares[step]
            if owner == index
        ]
        rows.add(work, -job.work_s / STEP_S)
    row, column, value = zip(*rows.cells, strict=True)
    matrix = coo_matrix((value, (row, column)), shape=(len(rows.bounds), columns))
    result = linprog(
        cost,
        A_ub=matrix.tocsr(),
        b_ub=rows.bounds,
        bounds=[(0.0, limit) for limit in upper_bounds],
        method="highs",
    )
    return float(result.fun) if result.status == 0 else float("inf")
