"""``ebonydeal settings``: check, show and generate settings files."""

import sys
from pathlib import Path
from typing import Any

import click
from returns.result import Failure

from ebonydeal._internal.commands.exits import ExitCode
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.settings.parse import parse_settings
from ebonydeal._internal.settings.registry import ALL_SECTIONS
from ebonydeal._internal.settings.text import example_text, settings_text

logger = get_logger("settings")

file_argument = click.argument("file", type=click.Path(path_type=Path))


def read_text_file(file: Path) -> str:
    """Return a file's text, or print an error and exit."""
    try:
        return file.read_text(encoding="utf-8")
    except OSError as exc:
        click.echo(f"{file}: can't be read: {exc.strerror}", err=True)
    except UnicodeDecodeError as exc:
        click.echo(f"{file}: not UTF-8: {exc.reason}", err=True)
    sys.exit(ExitCode.BAD_INPUT)


def load_settings(file: Path) -> dict[str, Any]:
    """Return a file's typed sections, or print every error and exit."""
    parsed = parse_settings(read_text_file(file), str(file), ALL_SECTIONS)
    if isinstance(parsed, Failure):
        for problem in parsed.failure():
            click.echo(str(problem), err=True)
        click.echo("See 'ebonydeal settings example' for every key.", err=True)
        sys.exit(ExitCode.BAD_INPUT)
    return parsed.unwrap()


def reread_settings(file: Path) -> dict[str, Any] | None:
    """Return a file's typed sections, or log every error and return None."""
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        logger.error("Settings can't be read.", file=str(file), reason=str(exc))
        return None
    parsed = parse_settings(text, str(file), ALL_SECTIONS)
    if isinstance(parsed, Failure):
        for problem in parsed.failure():
            logger.error("Settings are wrong.", problem=str(problem))
        return None
    return parsed.unwrap()


@click.group("settings")
def settings_command() -> None:
    """Check, show or write settings files (INI)."""


@settings_command.command("check")
@file_argument
def check(file: Path) -> None:
    """Report every error in FILE; exit code 2 if there is any."""
    load_settings(file)
    click.echo(f"{file}: no mistakes")


@settings_command.command("show")
@file_argument
def show(file: Path) -> None:
    """Print the effective settings of FILE, with secrets masked."""
    click.echo(settings_text(load_settings(file), ALL_SECTIONS), nl=False)


@settings_command.command("example")
def example() -> None:
    """Print a complete commented settings file."""
    click.echo(example_text(ALL_SECTIONS), nl=False)
