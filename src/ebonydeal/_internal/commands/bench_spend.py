"""``ebonydeal bench spend``: cost, deadlines, repair and the controller's cost."""

import asyncio
import sys

import click

from ebonydeal._internal.observe.logs import configure_logs
from ebonydeal._internal.settings.sections import LogSettings

_MISSED = 1
_REPAIRED = (4, 20, 60)
_NOTICES = (30.0, 0.0)


@click.command("spend")
@click.option("--seed", default=1, show_default=True, help="First trace.")
@click.option("--traces", default=5, show_default=True, help="Number of traces.")
@click.option(
    "--largest",
    default=2000,
    show_default=True,
    help="Most replicas for which the controller's own cost is measured.",
)
def spend_command(seed: int, traces: int, largest: int) -> None:
    """Compare the cost at the latency target, and time the controller.

    Prices, demand, reclaim waves and deadline work come from seeded traces of
    three days; the decisions are the controller's own. Exit code 1 if a target
    is missed.
    """
    # Not needed by other commands: the hindsight schedule needs scipy.
    from ebonydeal._internal.benchmarks.spend.compare import (
        compare,
        table,
        targets,
        tight_ceiling,
    )
    from ebonydeal._internal.benchmarks.spend.traces import TRACE_KINDS

    configure_logs(LogSettings(level="error"))
    seeds = range(seed, seed + traces)
    click.echo(f"Spend over traces {seeds[0]} to {seeds[-1]}, three days each")
    checks = []
    for kind in TRACE_KINDS:
        result = compare(seeds, kind)
        click.echo(f"\n{kind.name} prices and waves\n{table(result)}")
        checks += [(f"{kind.name}: {words}", ok) for words, ok in targets(result)]
    click.echo("\nUnder a price ceiling that binds")
    click.echo(tight_ceiling(seeds, 0.25))
    click.echo("\nThe loss of a zone, simulated seconds (notice of 30 s, then none)")
    asyncio.run(_repairs(seed))
    click.echo("\nThe controller's own cost, quiet rounds")
    asyncio.run(_slopes(seed, largest))
    click.echo("\nTargets")
    for words, holds in checks:
        click.echo(f"{'met   ' if holds else 'MISSED'} {words}")
    sys.exit(0 if all(holds for _words, holds in checks) else _MISSED)


async def _repairs(seed: int) -> None:
    """Print the table of zone losses."""
    from ebonydeal._internal.benchmarks.spend.repair import (
        measure_zone_loss,
        repair_table,
    )

    repairs = [
        await measure_zone_loss(target, seed, notice)
        for target in _REPAIRED
        for notice in _NOTICES
    ]
    click.echo(repair_table(repairs))


async def _slopes(seed: int, largest: int) -> None:
    """Print processor time and table operations by number of replicas."""
    from ebonydeal._internal.benchmarks.spend.slopes import (
        SIZES,
        measure,
        slopes_table,
    )

    points = [await measure(size, seed) for size in SIZES if size <= largest]
    click.echo(slopes_table(points))
