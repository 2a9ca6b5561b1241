"""What the entry points of all programs share."""

import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from ebonydeal import __version__
from ebonydeal._internal.commands.settings import load_settings, reread_settings
from ebonydeal._internal.utils.run import Build, start_program

Check = Callable[[Path, dict[str, Any]], None]


def program_command(
    name: str, text: str, build: Build, check: Check | None = None
) -> click.Command:
    """Return the command line of one program.

    Parameters
    ----------
    name : str
        Console script.
    text : str
        One sentence for ``--help``.
    build : callable
        The program's ``from_config``.
    check : callable, optional
        Checks settings beyond their types, and exits with a message if it must.
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
