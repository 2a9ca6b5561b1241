"""``ebonydeal bench load``: mixed load on running gateways."""

import asyncio
import json
import sys

import click

from ebonydeal._internal.standin.balancer import Balancer
from ebonydeal._internal.standin.check import check
from ebonydeal._internal.standin.load import LoadRun, LoadSpec
from ebonydeal._internal.standin.report import summary
from ebonydeal._internal.utils.clock import SystemClock


async def run_load(spec: LoadSpec, urls: tuple[str, ...]) -> dict:
    """Send the load and return its summary; endpoints' logs aren't checked."""
    balancer = Balancer(urls)
    await balancer.start()
    try:
        records = await LoadRun(spec, balancer, SystemClock()).run()
    finally:
        await balancer.stop()
    return summary(records, check(records, None), checked_runs=False)


@click.command("load")
@click.option("--url", "urls", multiple=True, required=True, help="A gateway's URL.")
@click.option("--key", required=True, envvar="EBONYDEAL_API_KEY", help="API key.")
@click.option("--model", required=True)
@click.option("--service", required=True)
@click.option("--seconds", type=click.FloatRange(0.1, 3600), default=10.0)
@click.option(
    "--streams", type=click.FloatRange(0, 1000), default=6.0, help="Per second."
)
@click.option("--lookups", type=click.FloatRange(0, 5000), default=10.0)
@click.option("--deferred", type=click.FloatRange(0, 1000), default=2.0)
@click.option("--commits", type=click.FloatRange(0, 1000), default=3.0)
@click.option("--max-tokens", type=click.IntRange(1, 4096), default=60)
@click.option("--max-open", type=click.IntRange(1, 5000), default=400)
@click.option("--patience", type=click.FloatRange(1, 3600), default=30.0)
@click.option("--seed", type=int, default=1)
def load_command(
    urls: tuple[str, ...],
    key: str,
    model: str,
    service: str,
    seconds: float,
    streams: float,
    lookups: float,
    deferred: float,
    commits: float,
    max_tokens: int,
    max_open: int,
    patience: float,
    seed: int,
) -> None:
    """Send mixed load and print one JSON line.

    The responses are checked against those of stand-in engines and services. Two
    runs with the same seed use the same idempotency keys.
    """
    spec = LoadSpec(
        api_key=key,
        model=model,
        service=service,
        seconds=seconds,
        streams_per_s=streams,
        lookups_per_s=lookups,
        deferred_per_s=deferred,
        commits_per_s=commits,
        max_tokens=max_tokens,
        max_open=max_open,
        timeout_s=patience,
        seed=seed,
    )
    result = asyncio.run(run_load(spec, tuple(url.rstrip("/") for url in urls)))
    click.echo(json.dumps(result))
    sys.exit(0 if result["ok"] else 1)
