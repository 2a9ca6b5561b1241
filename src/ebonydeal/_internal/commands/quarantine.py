"""``ebonydeal quarantine``: requests that relays refuse since endpoints crashed."""

import json

import click

from ebonydeal._internal.commands.relay_client import fetch_or_exit


@click.command("quarantine")
@click.option(
    "--relay", "address", required=True, help="host:port of a relay for other relays."
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def quarantine_command(address: str, as_json: bool) -> None:
    """Show the requests under which endpoints crashed, and which of these did.

    All relays refuse the same; the digest is in the caller's answer and in the lines
    of each of the request's sends.
    """
    found = fetch_or_exit(address, "/quarantine")
    if as_json:
        click.echo(json.dumps(found))
        return
    for item in found:
        click.echo(f"{item['digest']}  {' '.join(item['endpoints'])}")
    if not found:
        click.echo("No request is refused.")
