"""``ebonydeal bench routing``: measurements of routing, limits and retries."""

from pathlib import Path

import click

from ebonydeal._internal.benchmarks.routing.plot import save_plot
from ebonydeal._internal.benchmarks.routing.report import RunPlan, all_tables


@click.command("routing")
@click.option("--seed", default=1, show_default=True, help="First seed.")
@click.option(
    "--seeds",
    default=3,
    show_default=True,
    type=click.IntRange(1, 30),
    help="Number of consecutive seeds.",
)
@click.option(
    "--seconds",
    default=60.0,
    show_default=True,
    type=click.FloatRange(5.0, 3600.0),
    help="Length of each trace.",
)
@click.option(
    "--load",
    default=1.0,
    show_default=True,
    type=click.FloatRange(0.05, 10.0),
    help="Scale of the arrival rates.",
)
@click.option(
    "--out",
    default="bench/results",
    show_default=True,
    type=click.Path(file_okay=False, path_type=Path),
    help="Folder for the text and the plot.",
)
def routing_command(
    seed: int, seeds: int, seconds: float, load: float, out: Path
) -> None:
    """Compare the routing decisions with baselines; print and write tables."""
    plan = RunPlan(tuple(range(seed, seed + seeds)), seconds, load)
    tables, points = all_tables(plan)
    text = "\n".join(table.text() for table in tables)
    click.echo(text)
    out.mkdir(parents=True, exist_ok=True)
    path = out / f"routing-seed{seed}.txt"
    path.write_text(text, encoding="utf-8")
    click.echo(f"Written: {path}")
    picture = path.with_suffix(".png")
    if save_plot(points, picture):
        click.echo(f"Written: {picture}")
    else:
        click.echo("No plot: install the extra 'bench' for matplotlib.")
