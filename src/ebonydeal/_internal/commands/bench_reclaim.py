"""``ebonydeal bench reclaim``: tokens recomputed when a zone is reclaimed."""

from pathlib import Path

import click

from ebonydeal._internal.benchmarks.reclaim.mixes import MIXES
from ebonydeal._internal.benchmarks.reclaim.report import plot, table, verdicts
from ebonydeal._internal.benchmarks.reclaim.strategies import Strategy
from ebonydeal._internal.benchmarks.reclaim.suite import (
    COMPARED,
    main_cases,
    measure,
    stress_cases,
)


@click.command("reclaim")
@click.option("--seed", type=int, default=1, help="First seed.")
@click.option("--runs", type=click.IntRange(1, 200), default=20, help="Seeds per row.")
@click.option(
    "--output",
    type=click.Path(file_okay=False, path_type=Path),
    default=None,
    help="Directory for the tables as text and a plot.",
)
def reclaim_command(seed: int, runs: int, output: Path | None) -> None:
    """Compare reclaim decisions with baselines on a small engine model.

    One of three availability zones is reclaimed, with notices from 0 to 30 s.
    """
    rows = []
    seeds = range(seed, seed + runs)
    for case in main_cases(MIXES):
        rows += [measure(case, strategy, seeds) for strategy in Strategy]
    for case in stress_cases(MIXES):
        rows += [measure(case, strategy, seeds) for strategy in COMPARED]
    head = f"ebonydeal bench reclaim --seed {seed} --runs {runs}"
    text = f"{head}\n\n{table(rows)}\n\n{verdicts(rows)}\n"
    click.echo(text, nl=False)
    if output is None:
        return
    output.mkdir(parents=True, exist_ok=True)
    (output / "reclaim.txt").write_text(text)
    if not plot(rows, str(output / "reclaim.svg")):
        click.echo("no plot: matplotlib is not installed", err=True)
