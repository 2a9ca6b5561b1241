"""``ebonydeal quarantine``: requests refused because they crashed endpoints."""

import json

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
    """Show the quarantined requests and the endpoints that each one crashed.

    All relays refuse the same requests. The digest is in the client's response and in
    the log lines of each send of the request.
    """
    found = fetch_or_exit(address, "/quarantine")
    if as_json:
        click.echo(json.dumps(found))
        return
    for item in found:
        click.echo(f"{item['digest']}  {' '.join(item['endpoints'])}")
    if not found:
        click.echo("No request is refused.")
