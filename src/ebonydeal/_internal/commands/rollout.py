"""``ebonydeal rollout``: running roll-outs, and the verdicts of the last ones."""

import json
from typing import Any

import click

from ebonydeal._internal.commands.relay_client import fetch_or_exit


@click.command("rollout")
@click.option(
    "--relay",
    "address",
    required=True,
    help="host:port on which the coordinator serves other relays.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def rollout_command(address: str, as_json: bool) -> None:
    """Show each service's roll-out: its phase, evidence, shares and time left.

    Only the coordinator knows; its log has the line "Lease gained.".
    """
    found = fetch_or_exit(address, "/rollouts")
    if as_json:
        click.echo(json.dumps(found))
        return
    for item in found:
        click.echo(_line(item))
    if not found:
        click.echo("No roll-out is known here.")


def _line(item: dict[str, Any]) -> str:
    """Format a roll-out as one line."""
    shares = item["shares"].values()
    largest = max(shares, default=0.0)
    return (
        f"{item['service']} to {item['to']}: {item['phase']}, "
        f"{item['left_s']:.1f} s left, "
        f"{item['exposed']} of {item['requests']} requests, "
        f"{item['answers']} answers, {item['failed']} failed, "
        f"evidence {item['evidence']:.1f}"
        f"{' on ' + item['route'] if item['route'] else ''}, "
        f"largest share {largest:.3f}"
    )
