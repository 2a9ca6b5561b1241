"""``ebonydeal spend``: costs of deployments and their ceilings."""

import asyncio
import json
import sys
from pathlib import Path

import click

from ebonydeal._internal.commands.exits import ExitCode
from ebonydeal._internal.commands.reclaims import json_option, settings_option
from ebonydeal._internal.commands.settings import load_settings
from ebonydeal._internal.controller.events import SpendRow, read_spend
from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.outside.tables import HttpTables
from ebonydeal._internal.settings.sections import PlatformSettings


@click.command("spend")
@settings_option
@json_option
def spend_command(file: Path, as_json: bool) -> None:
    """Show each deployment's current and total cost."""
    cfg = load_settings(file)["platform"]
    try:
        rows = asyncio.run(_read(cfg))
    except EbonydealError as exc:
        click.echo(f"The table service can't be read: {exc}", err=True)
        sys.exit(ExitCode.UNAVAILABLE)
    if as_json:
        click.echo(json.dumps([row._asdict() for row in rows]))
        return
    if not rows:
        click.echo("No spend is recorded.")
    for row in rows:
        click.echo(spend_line(row))


async def _read(cfg: PlatformSettings) -> list[SpendRow]:
    """Return the spend from the table service."""
    tables = HttpTables.from_config(cfg)
    try:
        return await read_spend(tables)
    finally:
        await tables.close()


def spend_line(row: SpendRow) -> str:
    """Format a deployment's spend as one line."""
    line = (
        f"{row.deployment}: {row.per_hour:.2f}/h of at most {row.ceiling:.2f}/h, "
        f"{row.total:.2f} so far; {row.ready} of {row.replicas} instances ready, "
        f"{row.target} needed"
    )
    if row.on_demand_per_hour > 0:
        line += f"; on-demand would be {row.on_demand_per_hour:.2f}/h"
    return line
