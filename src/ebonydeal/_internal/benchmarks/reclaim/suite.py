"""Runs the strategies over seeds, notices and faults."""

import math
import statistics
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from ebonydeal._internal.benchmarks.reclaim.engines import EngineSpec
from ebonydeal._internal.benchmarks.reclaim.mixes import Mix
from ebonydeal._internal.benchmarks.reclaim.pool import Faults, Pool, ReclaimBurst
from ebonydeal._internal.benchmarks.reclaim.strategies import Strategy, build

NOTICES_S = (0.0, 1.0, 2.0, 5.0, 10.0, 30.0)
TWO_ZONES = ((0.0, 0), (4.0, 1))
COMPARED = (Strategy.RETRY_LOAD, Strategy.RETRY, Strategy.PLANNED)
_MS_PER_S = 1000
_MAX_PAUSE_MS = 3_600_000
_CI95 = 1.96


class Case(NamedTuple):
    """Conditions of one row of the table."""

    mix: Mix
    reclaim: ReclaimBurst
    faults: Faults = Faults()
    spec: EngineSpec = EngineSpec()
    label: str = ""


class Row(NamedTuple):
    """One strategy's result over all seeds of a case.

    Attributes
    ----------
    case : Case
        Measured case.
    strategy : Strategy
        Measured strategy.
    recomputed : tuple of int
        Recomputed tokens of each seed.
    causes : Counter
        The same by cause, summed over seeds.
    broken, unfinished, moved : int
        Streams that broke for their callers, never ended, or were moved.
    pauses : tuple of float
        Percentiles 50, 95 and 99 of the time between tokens across a move, s.
    """

    case: Case
    strategy: Strategy
    recomputed: tuple[int, ...]
    causes: Counter[str]
    broken: int
    unfinished: int
    moved: int
    pauses: tuple[float, float, float]

    @property
    def mean(self) -> float:
        """Mean recomputed tokens of a run."""
        return statistics.fmean(self.recomputed)

    @property
    def spread(self) -> float:
        """Half the 95 % confidence interval of the mean."""
        if len(self.recomputed) < 2:
            return 0.0
        error = statistics.stdev(self.recomputed) / math.sqrt(len(self.recomputed))
        return _CI95 * error


def measure(case: Case, strategy: Strategy, seeds: Iterable[int]) -> Row:
    """Run one strategy on one case with each seed."""
    totals = []
    causes: Counter[str] = Counter()
    broken = unfinished = 0
    pauses = HdrHistogram(1, _MAX_PAUSE_MS, 2)
    for seed in seeds:
        pool = Pool(case.mix, case.reclaim, seed, case.spec, case.faults)
        strategy_run = build(strategy, pool)
        pool.run(strategy_run.on_notice, strategy_run.on_interrupted)
        totals.append(pool.tally.total())
        causes += pool.tally
        broken += pool.broken
        unfinished += sum(not stream.done for stream in pool.streams)
        for stream in pool.streams:
            for gap in stream.token_gaps:
                pauses.record_value(max(1, int(gap * _MS_PER_S)))
    return Row(
        case=case,
        strategy=strategy,
        recomputed=tuple(totals),
        causes=causes,
        broken=broken,
        unfinished=unfinished,
        moved=pauses.get_total_count(),
        pauses=_percentiles(pauses),
    )


def _percentiles(histogram: HdrHistogram) -> tuple[float, float, float]:
    """Return percentiles 50, 95 and 99 in seconds; zeros without samples."""
    if not histogram.get_total_count():
        return (0.0, 0.0, 0.0)
    values = [histogram.get_value_at_percentile(q) / _MS_PER_S for q in (50, 95, 99)]
    return (values[0], values[1], values[2])


def main_cases(mixes: Iterable[Mix]) -> list[Case]:
    """Return the cases of the main table: each mix with each notice."""
    return [Case(mix, ReclaimBurst(notice)) for mix in mixes for notice in NOTICES_S]


def stress_cases(mixes: Iterable[Mix]) -> list[Case]:
    """Return cases with two reclaimed zones, lost events and export faults."""
    cases = []
    for mix in mixes:
        cases += [
            Case(mix, ReclaimBurst(10.0, TWO_ZONES), label="second wave, 10 s"),
            Case(mix, ReclaimBurst(0.0, TWO_ZONES), label="second wave, no notice"),
            Case(
                mix,
                ReclaimBurst(0.0),
                Faults(event_loss_share=0.0),
                label="no events lost",
            ),
            Case(
                mix,
                ReclaimBurst(0.0),
                Faults(event_loss_share=0.5),
                label="half events lost",
            ),
            Case(
                mix,
                ReclaimBurst(10.0),
                Faults(export_failure_share=0.3),
                label="30 % break",
            ),
            Case(
                mix,
                ReclaimBurst(10.0),
                spec=EngineSpec(export_gb_per_s=0.1),
                label="slow export, 0.1 GB/s",
            ),
            Case(
                mix,
                ReclaimBurst(10.0),
                Faults(estimate_sigma=1.0),
                label="bad estimates",
            ),
        ]
    return cases
