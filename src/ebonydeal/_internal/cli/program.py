"""Command line shared by the entry points of all programs."""

import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from ebonydeal import __version__
from ebonydeal._internal.commands.settings import load_settings, reread_settings
from ebonydeal._internal.utils.run import Build, start_program

SettingsCheck = Callable[[Path, dict[str, Any]], None]


def program_command(
    name: str, text: str, build: Build, check: SettingsCheck | None = None
) -> click.Command:
    """Return the command line of one program.

    Parameters
    ----------
    name : str
        Name of the console script.
    text : str
        One sentence for ``--help``.
    build : callable
        ``from_config`` of the program.
    check : callable, optional
        Validates settings beyond their types; exits with a message if they are wrong.
    """

    @click.command(
        name, help=text, context_settings={"help_option_names": ["-h", "--help"]}
    )
    @click.version_option(__version__)
    @click.option(
        "--settings",
        "file",
        type=click.Path(path_type=Path),
        required=True,
        help="INI file with this node's settings.",
    )
    def command(file: Path) -> None:
        settings = load_settings(file)
        if check is not None:
            check(file, settings)
        sys.exit(start_program(build, settings, lambda: reread_settings(file)))

    return command
