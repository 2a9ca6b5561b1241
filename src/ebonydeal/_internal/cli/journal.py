"""Entry point of ``ebonydeal-journal``."""

import random
import sys
from pathlib import Path

import click
from returns.pipeline import is_successful

from ebonydeal import __version__
from ebonydeal._internal.cli.run import run_program
from ebonydeal._internal.journal.program import JournalProgram
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.observe.logs import configure_logs
from ebonydeal._internal.settings.parse import parse_settings
from ebonydeal._internal.settings.registry import ALL_SECTIONS
from ebonydeal._internal.utils.clock import SystemClock

EXIT_SETTINGS = 2


@click.command(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__)
@click.option(
    "--settings",
    "file",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    required=True,
    help="INI file with this node's settings.",
)
def main(file: Path) -> None:
    """Keep accepted requests, and run them to their end."""
    parsed = parse_settings(file.read_text(), str(file), ALL_SECTIONS)
    if not is_successful(parsed):
        for problem in parsed.failure():
            click.echo(str(problem), err=True)
        sys.exit(EXIT_SETTINGS)
    settings = parsed.unwrap()
    configure_logs(settings["logs"])
    sys.exit(
        run_program(
            lambda: JournalProgram.from_config(
                settings, Metrics(), SystemClock(), random.Random()
            )
        )
    )
