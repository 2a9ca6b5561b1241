"""Entry point of ``ebonydeal-console``."""

import random
import sys
from pathlib import Path

import click

from ebonydeal import __version__
from ebonydeal._internal.cli.run import run_program
from ebonydeal._internal.commands.exits import ExitCode
from ebonydeal._internal.commands.settings import load_settings
from ebonydeal._internal.console.operators import Operators
from ebonydeal._internal.console.program import ConsoleProgram
from ebonydeal._internal.errors import EbonydealError
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
    """Serve operators: forms, documents, history and status."""
    settings = load_settings(file)
    try:
        Operators.from_config(settings["console"].operators)
    except EbonydealError as exc:
        click.echo(f"{file}: {exc.detail}", err=True)
        sys.exit(ExitCode.BAD_INPUT)
    configure_logs(settings["logs"])
    sys.exit(
        run_program(
            lambda: ConsoleProgram.from_config(
                settings, Metrics(), SystemClock(), random.Random()
            )
        )
    )
