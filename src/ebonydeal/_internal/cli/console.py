"""Entry point of ``ebonydeal-console``."""

import sys
from pathlib import Path
from typing import Any

import click

from ebonydeal._internal.cli.program import program_command
from ebonydeal._internal.commands.exits import ExitCode
from ebonydeal._internal.console.operators import Operators
from ebonydeal._internal.console.program import ConsoleProgram
from ebonydeal._internal.errors import EbonydealError


def _check_operators(file: Path, settings: dict[str, Any]) -> None:
    """Exit with a message if the operators in the settings can't be parsed."""
    try:
        Operators.from_config(settings["console"].operators)
    except EbonydealError as exc:
        click.echo(f"{file}: {exc.detail}", err=True)
        sys.exit(ExitCode.BAD_INPUT)


main = program_command(
    "ebonydeal-console",
    "Serve operators: forms, documents, history and status.",
    ConsoleProgram.from_config,
    _check_operators,
)
