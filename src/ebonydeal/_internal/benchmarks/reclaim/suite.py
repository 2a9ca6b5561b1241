"""Runs of all strategies over seeds, notices and faults."""

import math
import statistics
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from ebonydeal._internal.benchmarks.reclaim.engines import EngineSpec
from ebonydeal._internal.benchmarks.reclaim.mixes import Mix
from ebonydeal._internal.benchmarks.reclaim.pool import Faults, Pool, Wave
from ebonydeal._internal.benchmarks.reclaim.strategies import Strategy, build

NOTICES_S = (0.0, 1.0, 2.0, 5.0, 10.0, 30.0)
SECOND_WAVE = ((0.0, 0), (4.0, 1))
COMPARED = (Strategy.RETRY_LOAD, Strategy.RETRY, Strategy.PLANNED)
_MS = 1000
_HIGHEST_MS = 3_600_000
_CI95 = 1.96


class Case(NamedTuple):
    """What one row of the table is measured on."""

    mix: Mix
    wave: Wave
    faults: Faults = Faults()
    spec: EngineSpec = EngineSpec()
    label: str = ""


class Row(NamedTuple):
    """One strategy's result over all seeds of a case.

    Attributes
    ----------
    case : Case
        On what.
    strategy : Strategy
        Whose.
    recomputed : tuple of int
        Recomputed tokens of each seed.
    causes : Counter
        The same by cause, summed over seeds.
    broken, unfinished, moved : int
        Streams that callers saw break, that never ended, and that were moved.
    pauses : tuple of float
        Percentiles 50, 95 and 99 of the time between tokens over a move, s.
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
        """Recomputed tokens a wave."""
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
    pauses = HdrHistogram(1, _HIGHEST_MS, 2)
    for seed in seeds:
        pool = Pool(case.mix, case.wave, seed, case.spec, case.faults)
        acting = build(strategy, pool)
        pool.run(acting.on_notice, acting.on_cut)
        totals.append(pool.tally.total())
        causes += pool.tally
        broken += pool.broken
        unfinished += sum(not stream.done for stream in pool.streams)
        for stream in pool.streams:
            for gap in stream.gaps:
                pauses.record_value(max(1, int(gap * _MS)))
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
    values = [histogram.get_value_at_percentile(q) / _MS for q in (50, 95, 99)]
    return (values[0], values[1], values[2])


def main_cases(mixes: Iterable[Mix]) -> list[Case]:
    """Return the cases of the main table: each mix with each notice."""
    return [Case(mix, Wave(notice)) for mix in mixes for notice in NOTICES_S]


def stress_cases(mixes: Iterable[Mix]) -> list[Case]:
    """Return cases with a second wave, lost events, slow and broken exports."""
    cases = []
    for mix in mixes:
        cases += [
            Case(mix, Wave(10.0, SECOND_WAVE), label="second wave, 10 s"),
            Case(mix, Wave(0.0, SECOND_WAVE), label="second wave, no notice"),
            Case(mix, Wave(0.0), Faults(events_lost=0.0), label="no events lost"),
            Case(mix, Wave(0.0), Faults(events_lost=0.5), label="half events lost"),
            Case(mix, Wave(10.0), Faults(export_breaks=0.3), label="30 % break"),
            Case(
                mix,
                Wave(10.0),
                spec=EngineSpec(export_gb_per_s=0.1),
                label="slow export, 0.1 GB/s",
            ),
            Case(mix, Wave(10.0), Faults(estimate_sigma=1.0), label="bad estimates"),
        ]
    return cases
