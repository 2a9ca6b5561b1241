"""``ebonydeal bench journal``: group commit, replay and takeover."""

import asyncio
import logging
from pathlib import Path

import click

from ebonydeal._internal.benchmarks.journal.report import measure
from ebonydeal._internal.observe.logs import configure_logs
from ebonydeal._internal.settings.sections import LogSettings

_MS = 1000.0


@click.command("journal")
@click.option("--seed", type=int, default=1)
@click.option("--seconds", type=click.FloatRange(1, 600), default=10.0)
@click.option("--latency-ms", type=click.FloatRange(0, 1000), default=10.0)
@click.option(
    "--out",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Also write the figures to this file.",
)
def journal_command(
    seed: int, seconds: float, latency_ms: float, out: Path | None
) -> None:
    """Measure durable accepts per table write, replay and takeover."""
    configure_logs(LogSettings(level="error"))
    logging.getLogger("mode").setLevel(logging.ERROR)
    lines = asyncio.run(measure(seconds, latency_ms / _MS, seed))
    text = "".join(f"{line}\n" for line in lines)
    click.echo(text, nl=False)
    if out is not None:
        out.write_text(text)
