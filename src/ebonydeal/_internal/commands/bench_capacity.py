"""``ebonydeal bench capacity``: cost slopes, and their extrapolation to full size."""

from pathlib import Path

import click

from ebonydeal._internal.benchmarks.capacity.component_measures import (
    measure_components,
)
from ebonydeal._internal.benchmarks.capacity.measures import measure_in_process
from ebonydeal._internal.benchmarks.capacity.plan import FULL_PLAN
from ebonydeal._internal.benchmarks.capacity.report import replace_tables, tables
from ebonydeal._internal.observe.logs import configure_logs
from ebonydeal._internal.settings.sections import LogSettings


@click.command("capacity")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--page",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="Write the tables into this page, between its markers.",
)
def capacity_command(seed: int, page: Path | None) -> None:
    """Measure every slope and print the tables of docs/CAPACITY.md.

    Takes some minutes; uses loopback and under a gigabyte of memory.
    """
    configure_logs(LogSettings(level="error"))
    slopes = [*measure_in_process(), *measure_components(seed)]
    text = tables(slopes, FULL_PLAN)
    click.echo(text)
    if page is not None:
        page.write_text(replace_tables(page.read_text(), text))
