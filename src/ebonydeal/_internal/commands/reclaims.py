"""``ebonydeal reclaims``: starts and stops of instances, with reasons and costs."""

import asyncio
import json
import sys
from datetime import UTC, datetime
from pathlib import Path

import click

from ebonydeal._internal.commands.exits import ExitCode
from ebonydeal._internal.commands.settings import load_settings
from ebonydeal._internal.controller.events import TrailEvent, read_trail
from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.outside.tables import HttpTables
from ebonydeal._internal.settings.sections import PlatformSettings

settings_option = click.option(
    "--settings",
    "file",
    type=click.Path(dir_okay=False, path_type=Path),
    required=True,
    help="INI file that names the platform's table service.",
)
json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


@click.command("reclaims")
@settings_option
@json_option
@click.option("--deployment", default="", help="Only this deployment.")
@click.option(
    "--limit",
    default=50,
    show_default=True,
    type=click.IntRange(1, 10000),
    help="Maximum number of events, the newest ones.",
)
def reclaims_command(file: Path, as_json: bool, deployment: str, limit: int) -> None:
    """Show why instances started and stopped, and what replaced them."""
    cfg = load_settings(file)["platform"]
    try:
        events = asyncio.run(_read(cfg, deployment))[-limit:]
    except EbonydealError as exc:
        click.echo(f"The table service can't be read: {exc}", err=True)
        sys.exit(ExitCode.UNAVAILABLE)
    if as_json:
        click.echo(json.dumps([event._asdict() for event in events]))
        return
    if not events:
        click.echo("No events are recorded.")
    for event in events:
        click.echo(event_line(event))


async def _read(cfg: PlatformSettings, deployment: str) -> list[TrailEvent]:
    """Return the trail from the table service."""
    tables = HttpTables.from_config(cfg)
    try:
        return await read_trail(tables, deployment)
    finally:
        await tables.close()


def event_line(event: TrailEvent) -> str:
    """Format an event as one line."""
    when = datetime.fromtimestamp(event.at, UTC).strftime("%Y-%m-%d %H:%M:%S")
    market = "reclaimable" if event.reclaimable else "on-demand"
    name = event.instance_id or event.token
    line = (
        f"{when}Z {event.deployment}: {event.kind} {name} ({event.zone}, "
        f"{event.machine_class}, {market}, {event.price_per_hour:.2f}/h): {event.why}"
    )
    if event.replaces:
        line += f", in place of {event.replaces}"
    return line
