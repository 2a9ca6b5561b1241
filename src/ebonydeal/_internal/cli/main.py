"""Entry point of ``ebonydeal``, the operators' command line."""

import click

from ebonydeal import __version__


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__)
def main() -> None:
    """Serve language models and plain services on reclaimable instances."""
