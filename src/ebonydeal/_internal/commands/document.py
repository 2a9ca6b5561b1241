"""``ebonydeal document``: check, apply, show, diff and history."""

import json
import random
import sys
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import click
from returns.result import Failure

from ebonydeal._internal.commands.client import (
    Console,
    body_or_exit,
    console_options,
    print_json,
    print_table,
)
from ebonydeal._internal.commands.exits import ExitCode
from ebonydeal._internal.commands.settings import read_text_file
from ebonydeal._internal.config.examples import EXAMPLE_NAMES, example_document
from ebonydeal._internal.config.validate import schema, validate
from ebonydeal._internal.utils.ids import new_token

_MAX_NAMED_ITEMS = 3

file_argument = click.argument("file", type=click.Path(path_type=Path))


@click.group("document")
def document_command() -> None:
    """Check, apply and show configuration documents (JSON)."""


def read_document(file: Path) -> Any:
    """Return a file's JSON, or print the error's location and exit."""
    try:
        return json.loads(read_text_file(file))
    except json.JSONDecodeError as exc:
        where = f"line {exc.lineno}, column {exc.colno}"
        click.echo(f"{file}: not JSON: {where}: {exc.msg}", err=True)
    except (ValueError, RecursionError) as exc:
        click.echo(f"{file}: not JSON: {exc}", err=True)
    sys.exit(ExitCode.BAD_INPUT)


@document_command.command("check")
@file_argument
@click.option("--online", is_flag=True, help="Also check prices, through the console.")
@console_options
def check(file: Path, online: bool, url: str, token: str, as_json: bool) -> None:
    """Report every problem in FILE; exit code 3 if there is any."""
    document = read_document(file)
    if online:
        response = body_or_exit(
            Console(url, token).post("/api/check", {"document": document})
        )
        problems = response["problems"]
    else:
        checked = validate(document)
        found = checked.failure() if isinstance(checked, Failure) else []
        problems = [problem.to_message() for problem in found]
    if as_json:
        print_json({"problems": problems})
    for problem in problems if not as_json else ():
        click.echo(f"{file}: {problem['where']}: {problem['message']}", err=True)
    if problems:
        sys.exit(ExitCode.REFUSED)
    if not as_json:
        click.echo(f"{file}: no problems")


@document_command.command("apply")
@file_argument
@click.option(
    "--base",
    type=int,
    help="Version that FILE is based on; by default the current one.",
)
@click.option("--note", default="", help="Reason, for the history.")
@click.option(
    "--proposal", default="", help="Proposal id, to retry an earlier attempt."
)
@console_options
def apply_command(
    file: Path,
    base: int | None,
    note: str,
    proposal: str,
    url: str,
    token: str,
    as_json: bool,
) -> None:
    """Apply FILE: accept it completely, or refuse it with every reason."""
    document = read_document(file)
    console = Console(url, token)
    if base is None:
        base = body_or_exit(console.get("/api/document"))["version"]
    proposal = proposal or new_token("p", random.SystemRandom())
    click.echo(f"proposal {proposal}, on version {base}", err=True)
    response = console.post(
        "/api/document",
        {
            "document": document,
            "base_version": base,
            "note": note,
            "proposal": proposal,
        },
    )
    version = body_or_exit(response)["version"]
    if as_json:
        print_json({"version": version, "proposal": proposal})
    else:
        click.echo(f"version {version} is in force")


@document_command.command("show")
@click.option("--version", type=int, help="Version; by default the current one.")
@console_options
def show(version: int | None, url: str, token: str, as_json: bool) -> None:
    """Print the document; with --json also its version."""
    query = {} if version is None else {"version": version}
    response = body_or_exit(Console(url, token).get("/api/document", **query))
    print_json(response if as_json else response["document"])


@document_command.command("diff")
@click.argument("a", type=int)
@click.argument("b", type=int, required=False)
@console_options
def diff(a: int, b: int | None, url: str, token: str, as_json: bool) -> None:
    """Print the differences from version A to version B (or the current one)."""
    query = {"a": a} if b is None else {"a": a, "b": b}
    response = body_or_exit(Console(url, token).get("/api/diff", **query))
    if as_json:
        print_json(response)
        return
    for line in response["differences"]:
        click.echo(line)


@document_command.command("history")
@click.option("--limit", type=click.IntRange(1, 10000), default=20, show_default=True)
@console_options
def history(limit: int, url: str, token: str, as_json: bool) -> None:
    """Print all changes with author and time, newest first."""
    response = body_or_exit(Console(url, token).get("/api/history", limit=limit))
    if as_json:
        print_json(response)
        return
    rows = [
        [
            info["version"],
            datetime.fromtimestamp(info["at"], UTC).strftime("%Y-%m-%d %H:%M:%SZ"),
            info["by"],
            _changes_text([*info["changed"], *(f"-{key}" for key in info["removed"])]),
            info["note"],
        ]
        for info in response["versions"]
    ]
    print_table(["version", "when", "who", "changed", "note"], rows)


def _changes_text(items: list[str]) -> str:
    """Return the names of a few changed items, or the number of many."""
    if len(items) > _MAX_NAMED_ITEMS:
        return f"{len(items)} items"
    return ", ".join(items)


@document_command.command("example")
@click.argument("name", type=click.Choice(EXAMPLE_NAMES))
def example(name: str) -> None:
    """Print an example document to start from."""
    print_json(example_document(name))


@document_command.command("schema")
def schema_command() -> None:
    """Print the document's JSON Schema."""
    print_json(schema())
