"""Text and plot of the reclaim benchmark's results."""

from collections.abc import Sequence

from ebonydeal._internal.benchmarks.reclaim.strategies import Strategy
from ebonydeal._internal.benchmarks.reclaim.suite import Row

_HEADER = (
    f"{'mix':10} {'case':24} {'strategy':18} {'recomputed/wave':>17} "
    f"{'of load':>8} {'of pref':>8} {'broken':>6} {'undone':>6} {'moved':>6} "
    f"{'p50 s':>6} {'p95 s':>6} {'p99 s':>6}  causes (tokens, all seeds)"
)
LONG_NOTICE_S = 10.0
LONG_SHARE = 0.1
NO_NOTICE_SHARE = 0.5


def _label(row: Row) -> str:
    """Return the label of a case."""
    return row.case.label or f"notice {row.case.reclaim.notice:g} s"


def _find(rows: Sequence[Row], reference: Row, strategy: Strategy) -> Row:
    """Return a strategy's row of the same case."""
    return next(r for r in rows if r.case == reference.case and r.strategy is strategy)


def recomputed_share(rows: Sequence[Row], row: Row, baseline: Strategy) -> float | None:
    """Return recomputed tokens relative to a baseline's; None if that is 0."""
    base = _find(rows, row, baseline).mean
    return row.mean / base if base else None


def _format_share(value: float | None) -> str:
    return "-" if value is None else f"{value:.3f}"


def table(rows: Sequence[Row]) -> str:
    """Return the table of all rows."""
    lines = [_HEADER]
    for row in rows:
        tokens = f"{row.mean:,.0f} ± {row.spread:,.0f}"
        causes = ", ".join(f"{name} {n:,}" for name, n in sorted(row.causes.items()))
        p50, p95, p99 = row.pauses
        lines.append(
            f"{row.case.mix.name:10} {_label(row):24} {row.strategy:18} {tokens:>17} "
            f"{_format_share(recomputed_share(rows, row, Strategy.RETRY_LOAD)):>8} "
            f"{_format_share(recomputed_share(rows, row, Strategy.RETRY)):>8} "
            f"{row.broken:>6} {row.unfinished:>6} {row.moved:>6} "
            f"{p50:>6.2f} {p95:>6.2f} {p99:>6.2f}  {causes}".rstrip()
        )
    return "\n".join(lines)


def _met_text(met: bool) -> str:
    return "met" if met else "NOT MET"


def verdicts(rows: Sequence[Row]) -> str:
    """Return each target with the measured value, met or not."""
    lines = []
    for row in rows:
        limit = _limit(row)
        if limit is None:
            continue
        for baseline in (Strategy.RETRY_LOAD, Strategy.RETRY):
            value = recomputed_share(rows, row, baseline)
            lines.append(
                f"{row.case.mix.name}, {_label(row)}: {_format_share(value)} of "
                f"'{baseline}', at most {limit:g}: "
                f"{_met_text(value is not None and value <= limit)}"
            )
    planned = [row for row in rows if row.strategy is Strategy.PLANNED]
    broken = sum(row.broken + row.unfinished for row in planned)
    lines.append(
        f"streams broken or unfinished when planned: {broken}, "
        f"must be 0: {_met_text(broken == 0)}"
    )
    return "\n".join(lines)


def _limit(row: Row) -> float | None:
    """Return the target share of a row, if it has one."""
    if row.strategy is not Strategy.PLANNED or row.case.label:
        return None
    if row.case.reclaim.notice == LONG_NOTICE_S:
        return LONG_SHARE
    return NO_NOTICE_SHARE if row.case.reclaim.notice == 0.0 else None


def plot(rows: Sequence[Row], path: str) -> bool:
    """Plot recomputed tokens by notice time; return False without matplotlib."""
    try:
        from matplotlib.figure import Figure
    except ImportError:
        return False
    names = sorted({row.case.mix.name for row in rows})
    figure = Figure(figsize=(5 * len(names), 4), layout="constrained")
    panels = figure.subplots(1, len(names), squeeze=False)[0]
    for axes, name in zip(panels, names, strict=True):
        for strategy in Strategy:
            points = [r for r in rows if r.case.mix.name == name]
            points = [r for r in points if r.strategy is strategy and not r.case.label]
            notices = [row.case.reclaim.notice for row in points]
            means = [row.mean for row in points]
            spreads = [row.spread for row in points]
            axes.errorbar(notices, means, yerr=spreads, label=str(strategy), marker=".")
        axes.set_title(name)
        axes.set_xlabel("notice (s)")
        axes.set_ylabel("recomputed tokens a wave")
        axes.set_yscale("symlog", linthresh=100)
        axes.legend()
    figure.savefig(path)
    return True
