"""``ebonydeal quarantine``: what is refused because it crashed endpoints."""

import json
from typing import Any

import click

from ebonydeal._internal.commands.relay_client import fetch_or_exit


@click.command("quarantine")
@click.option(
    "--relay",
    "address",
    required=True,
    help="host:port of a relay's listener for other relays.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def quarantine_command(address: str, as_json: bool) -> None:
    """Show the quarantined requests and prompt parts, and the endpoints they crashed.

    All relays refuse the same requests. The digest, of a request or of parts of its
    prompt, is in the client's response and in the log lines of each send.
    """
    found = fetch_or_exit(address, "/quarantine")
    if as_json:
        click.echo(json.dumps(found))
        return
    for item in found:
        click.echo(f"{_describe(item)}  {' '.join(item['endpoints'])}")
    if not found:
        click.echo("No request is refused.")


def _describe(item: dict[str, Any]) -> str:
    if "digest" in item:
        return str(item["digest"])
    accounts = ", ".join(item["accounts"]) or "all accounts"
    return f"part {'+'.join(item['parts'])} ({accounts})"
