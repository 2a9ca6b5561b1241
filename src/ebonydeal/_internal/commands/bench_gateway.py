"""``ebonydeal bench gateway``: processor time of the gateway."""

from pathlib import Path

import click

from ebonydeal._internal.benchmarks.gateway.cost import CostSpec, measure, report


@click.command("gateway")
@click.option("--rounds", type=click.IntRange(1, 100), default=5)
@click.option("--requests", type=click.IntRange(1, 100000), default=200)
@click.option("--tokens", type=click.IntRange(2, 10000), default=100)
@click.option("--at-once", type=click.IntRange(1, 1000), default=50)
@click.option("--seed", type=int, default=1)
@click.option(
    "--out",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Also write the figures to this file.",
)
def gateway_command(
    rounds: int, requests: int, tokens: int, at_once: int, seed: int, out: Path | None
) -> None:
    """Measure processor time per request and per token against a plain relay."""
    spec = CostSpec(rounds, requests, tokens, at_once, seed)
    text = report(spec, measure(spec), "asyncio")
    click.echo(text, nl=False)
    if out is not None:
        out.write_text(text)
