"""``ebonydeal soak``: real relays under random faults, checked from outside."""

import asyncio
import json
import sys
from collections.abc import Iterable

import click

from ebonydeal._internal.observe.logs import configure_logs
from ebonydeal._internal.settings.sections import LogSettings
from ebonydeal._internal.soak.plants import PLANTS
from ebonydeal._internal.soak.regressions import REGRESSIONS
from ebonydeal._internal.soak.run import Size, Verdict, run_seed


@click.command("soak")
@click.option("--seed", type=int, default=1, show_default=True, help="The first one.")
@click.option("--seeds", type=click.IntRange(1, 1000), default=1, show_default=True)
@click.option(
    "--seconds", type=click.FloatRange(5, 600), default=12.0, show_default=True
)
@click.option("--relays", type=click.IntRange(1, 30), default=3, show_default=True)
@click.option("--endpoints", type=click.IntRange(2, 60), default=4, show_default=True)
@click.option("--clients", type=click.IntRange(1, 200), default=12, show_default=True)
@click.option("--jobs", type=click.IntRange(1, 16), default=1, show_default=True)
@click.option("--regressions", is_flag=True, help="Play the seeds that ever failed.")
@click.option(
    "--plant", type=click.Choice(sorted(PLANTS)), help="Falsify what was seen."
)
def soak_command(
    seed: int,
    seeds: int,
    seconds: float,
    relays: int,
    endpoints: int,
    clients: int,
    jobs: int,
    regressions: bool,
    plant: str | None,
) -> None:
    """Start relays as processes, harm them and all around them, check promises.

    One line of JSON is printed for each seed. The exit code is 0 only if no
    promise was broken. Everything is started on loopback and ended by its id.
    """
    configure_logs(LogSettings(level="error"))
    size = Size(relays, endpoints, clients, seconds)
    chosen = sorted(REGRESSIONS) if regressions else range(seed, seed + seeds)
    verdicts = asyncio.run(_run_seeds(chosen, size, jobs, plant))
    sys.exit(any(verdict.violations for verdict in verdicts))


async def _run_seeds(
    seeds: Iterable[int], size: Size, jobs: int, plant: str | None
) -> list[Verdict]:
    """Play seeds, several at a time, and print each when it is done."""
    semaphore = asyncio.Semaphore(jobs)

    async def run_one(seed: int) -> Verdict:
        async with semaphore:
            verdict = await run_seed(seed, size, plant)
        found = [violation._asdict() for violation in verdict.violations]
        click.echo(json.dumps({**verdict._asdict(), "violations": found}))
        return verdict

    return list(await asyncio.gather(*(run_one(seed) for seed in seeds)))
