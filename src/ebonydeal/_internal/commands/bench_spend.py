"""``ebonydeal bench spend``: fleet cost, deadlines, recovery, controller overhead."""

import asyncio
import sys

import click

from ebonydeal._internal.observe.logs import configure_logs
from ebonydeal._internal.settings.sections import LogSettings

_EXIT_MISSED = 1
_REPAIR_TARGETS = (4, 20, 60)
_NOTICES_S = (30.0, 0.0)


@click.command("spend")
@click.option("--seed", default=1, show_default=True, help="First trace.")
@click.option("--traces", default=5, show_default=True, help="Number of traces.")
@click.option(
    "--largest",
    default=2000,
    show_default=True,
    help="Maximum number of replicas at which the controller's overhead is measured.",
)
def spend_command(seed: int, traces: int, largest: int) -> None:
    """Compare the cost at the latency target and measure the controller's overhead.

    Prices, demand, reclaim bursts and work with deadlines come from seeded traces of
    three days; the controller's real code decides. The exit code is 1 if a target is
    missed.
    """
    # Imported here because the hindsight schedule needs scipy; other commands don't.
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
        checks += [(f"{kind.name}: {text}", ok) for text, ok in targets(result)]
    click.echo("\nUnder a price ceiling that binds")
    click.echo(tight_ceiling(seeds, 0.25))
    click.echo("\nThe loss of a zone, simulated seconds (notice of 30 s, then none)")
    asyncio.run(_repairs(seed))
    click.echo("\nThe controller's own cost, quiet rounds")
    asyncio.run(_slopes(seed, largest))
    click.echo("\nTargets")
    for text, holds in checks:
        click.echo(f"{'met   ' if holds else 'MISSED'} {text}")
    sys.exit(0 if all(holds for _words, holds in checks) else _EXIT_MISSED)


async def _repairs(seed: int) -> None:
    """Print the table of zone losses."""
    from ebonydeal._internal.benchmarks.spend.repair import (
        measure_zone_loss,
        repair_table,
    )

    repairs = [
        await measure_zone_loss(target, seed, notice)
        for target in _REPAIR_TARGETS
        for notice in _NOTICES_S
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
