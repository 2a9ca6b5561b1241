"""``ebonydeal soak``: real relays under random faults, checked from outside."""

import asyncio
import json
import sys
from collections.abc import Collection, Iterable
from pathlib import Path

import click

from ebonydeal._internal.observe.logs import configure_logs
from ebonydeal._internal.settings.sections import LogSettings
from ebonydeal._internal.soak.overload import CASES, parse_policy, replay
from ebonydeal._internal.soak.plan import Fault
from ebonydeal._internal.soak.plants import PLANTS
from ebonydeal._internal.soak.regressions import REGRESSIONS
from ebonydeal._internal.soak.run import Size, Verdict, run_seed


@click.command("soak")
@click.option("--seed", type=int, default=1, show_default=True, help="First seed.")
@click.option("--seeds", type=click.IntRange(1, 1000), default=1, show_default=True)
@click.option(
    "--seconds", type=click.FloatRange(5, 600), default=12.0, show_default=True
)
@click.option("--relays", type=click.IntRange(1, 30), default=3, show_default=True)
@click.option("--endpoints", type=click.IntRange(2, 60), default=4, show_default=True)
@click.option("--clients", type=click.IntRange(1, 200), default=12, show_default=True)
@click.option(
    "--slow-clients",
    type=click.IntRange(0, 50),
    default=0,
    show_default=True,
    help="More clients, whose links are slow.",
)
@click.option("--jobs", type=click.IntRange(1, 16), default=1, show_default=True)
@click.option("--regressions", is_flag=True, help="Run the seeds that once failed.")
@click.option(
    "--plant",
    type=click.Choice(sorted(PLANTS)),
    help="Falsify the observations.",
)
@click.option(
    "--logs",
    type=click.Path(file_okay=False, path_type=Path),
    help="Keep the relays' logs of failed seeds in this folder.",
)
@click.option(
    "--only",
    type=click.Choice([fault.name.lower() for fault in Fault]),
    multiple=True,
    help="Inject only these of a seed's faults.",
)
@click.option(
    "--overload",
    type=click.Choice(sorted(CASES)),
    multiple=True,
    help="Replay this case of overload instead of seeds, and print its figures.",
)
@click.option(
    "--policy",
    default="",
    metavar="KEY=VALUE,...",
    help="Keys of [policy] for the relays of a replay.",
)
def soak_command(
    seed: int,
    seeds: int,
    seconds: float,
    relays: int,
    endpoints: int,
    clients: int,
    slow_clients: int,
    jobs: int,
    regressions: bool,
    plant: str | None,
    logs: Path | None,
    only: tuple[str, ...],
    overload: tuple[str, ...],
    policy: str,
) -> None:
    """Run relays as processes, inject faults around them, and check guarantees.

    One line of JSON is printed for each seed. The exit code is 0 only if no
    guarantee was violated. All processes listen on loopback and are stopped by id.
    """
    configure_logs(LogSettings(level="error"))
    if overload:
        try:
            keys = parse_policy(policy)
        except ValueError as exc:
            raise click.BadParameter(str(exc), param_hint="--policy") from None
        for name in overload:
            kept = logs and logs / name
            figures = asyncio.run(
                replay(CASES[name], relays, seconds, keys, seed, kept)
            )
            played = {"case": name, "relays": relays, "seconds": seconds}
            click.echo(json.dumps(played | figures))
        return
    size = Size(relays, endpoints, clients, seconds, slow_clients)
    chosen = sorted(REGRESSIONS) if regressions else range(seed, seed + seeds)
    faults = [fault for fault in Fault if not only or fault.name.lower() in only]
    verdicts = asyncio.run(_run_seeds(chosen, size, jobs, plant, logs, faults))
    sys.exit(any(verdict.violations for verdict in verdicts))


async def _run_seeds(
    seeds: Iterable[int],
    size: Size,
    jobs: int,
    plant: str | None,
    logs: Path | None,
    faults: Collection[Fault],
) -> list[Verdict]:
    """Run seeds, several at a time, and print each verdict when it is ready."""
    semaphore = asyncio.Semaphore(jobs)

    async def run_one(seed: int) -> Verdict:
        async with semaphore:
            verdict = await run_seed(seed, size, plant, logs, faults)
        found = [violation._asdict() for violation in verdict.violations]
        click.echo(json.dumps({**verdict._asdict(), "violations": found}))
        return verdict

    return list(await asyncio.gather(*(run_one(seed) for seed in seeds)))
