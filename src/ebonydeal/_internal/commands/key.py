"""``ebonydeal key``: generate API keys and operator tokens, and their hashes."""

import secrets

import click

from ebonydeal._internal.utils.keys import hash_key

_KEY_BYTES = 24


@click.group("key")
def key_command() -> None:
    """Generate keys and their salted hashes; store only the hashes in files."""


@key_command.command("new")
def new() -> None:
    """Print a new random key and its hash, on separate lines."""
    key = secrets.token_urlsafe(_KEY_BYTES)
    click.echo(key)
    click.echo(hash_key(key))


@key_command.command("hash")
@click.option(
    "--key", prompt=True, hide_input=True, help="The key; prompted for if absent."
)
def hash_command(key: str) -> None:
    """Print the salted hash of a key."""
    click.echo(hash_key(key))
