"""Entry point of ``ebonydeal-journal``."""

import random
import sys
from pathlib import Path

import click

from ebonydeal import __version__
from ebonydeal._internal.cli.run import run_program
from ebonydeal._internal.commands.settings import load_settings
from ebonydeal._internal.journal.program import JournalProgram
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.observe.logs import configure_logs
from ebonydeal._internal.utils.clock import SystemClock


@click.command(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__)
@click.option(
    "--settings",
    "file",
    type=click.Path(path_type=Path),
    required=True,
    help="INI file with this node's settings.",
)
def main(file: Path) -> None:
    """Keep accepted requests, and run them to their end."""
    settings = load_settings(file)
    configure_logs(settings["logs"])
    sys.exit(
        run_program(
            lambda: JournalProgram.from_config(
                settings, Metrics(), SystemClock(), random.Random()
            )
        )
    )
