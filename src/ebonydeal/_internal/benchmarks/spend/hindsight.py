"""The cheapest schedule that knows the whole trace, by linear programming.

A lower bound: instances may be split, start at once and cost nothing to start.
It keeps the same promises: strength through the loss of any one zone, every
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
    """Return the least cost of any schedule on ``trace``, or infinity."""
    keys = sorted(trace.offers[0])
    width = len(keys)
    columns = trace.steps * width
    shares: list[list[tuple[int, int]]] = [[] for _ in range(trace.steps)]
    for index, job in enumerate(trace.jobs):
        for step in range(job.arrival, job.deadline):
            shares[step].append((index, columns))
            columns += 1
    cost = np.zeros(columns)
    upper: list[float | None] = [None] * columns
    rows = _Rows()
    for step in range(trace.steps):
        base = step * width
        need = needed_replicas(trace.in_flight[step])
        prices = [trace.offers[step][key].price_per_hour for key in keys]
        for place, key in enumerate(keys):
            cost[base + place] = prices[place] * STEP_S / _HOUR
            if key.reclaimable and key.zone in trace.closed[step]:
                upper[base + place] = 0.0
        for zone in ZONES:
            rest = [
                (base + place, -1.0)
                for place, key in enumerate(keys)
                if key.zone != zone
            ]
            rows.add(rest, -float(need))
        rows.add([(base + place, prices[place]) for place in range(width)], ceiling)
        used = [(column, 1.0) for _index, column in shares[step]]
        have = [(base + place, -1.0) for place in range(width)]
        rows.add(used + have, -float(need))
    for index, job in enumerate(trace.jobs):
        done = [
            (column, -1.0)
            for step in range(job.arrival, job.deadline)
            for owner, column in shares[step]
            if owner == index
        ]
        rows.add(done, -job.work_s / STEP_S)
    row, column, value = zip(*rows.cells, strict=True)
    matrix = coo_matrix((value, (row, column)), shape=(len(rows.bounds), columns))
    result = linprog(
        cost,
        A_ub=matrix.tocsr(),
        b_ub=rows.bounds,
        bounds=[(0.0, top) for top in upper],
        method="highs",
    )
    return float(result.fun) if result.status == 0 else float("inf")
