"""Client of the console's JSON API for commands."""

import asyncio
import json
import sys
from collections.abc import Callable
from typing import Any, NamedTuple, NoReturn

import click
from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientSession,
    ClientTimeout,
    InvalidURL,
)

from ebonydeal._internal.commands.exits import ExitCode

_TIMEOUT_S = 30.0

_EXIT_CODES = {
    401: ExitCode.UNAUTHORIZED,
    403: ExitCode.UNAUTHORIZED,
    409: ExitCode.CONFLICT,
    422: ExitCode.REFUSED,
    502: ExitCode.UNAVAILABLE,
    503: ExitCode.UNAVAILABLE,
    504: ExitCode.UNAVAILABLE,
}


class ConsoleResponse(NamedTuple):
    """A complete response; ``body`` is a JSON object."""

    status: int
    body: dict[str, Any]


class Console(NamedTuple):
    """The console's URL and the operator's token."""

    url: str
    token: str

    def get(self, path: str, **query: Any) -> ConsoleResponse:
        """Send a GET request; print an error and exit without a response."""
        params = {name: str(value) for name, value in query.items()}
        return self._run("GET", path, params=params)

    def post(self, path: str, body: dict[str, Any]) -> ConsoleResponse:
        """Send a POST request; print an error and exit without a response."""
        return self._run("POST", path, json=body)

    def _run(self, method: str, path: str, **options: Any) -> ConsoleResponse:
        try:
            return asyncio.run(self._call(method, path, **options))
        except (ClientError, TimeoutError, OSError, ValueError) as exc:
            sent = method == "POST" and not _never_connected(exc)
            _exit_without_response(self.url, exc, sent)

    async def _call(self, method: str, path: str, **options: Any) -> ConsoleResponse:
        headers = {"Authorization": f"Bearer {self.token}"}
        timeout = ClientTimeout(total=_TIMEOUT_S)
        url = self.url.rstrip("/") + path
        async with (
            ClientSession(timeout=timeout) as session,
            session.request(method, url, headers=headers, **options) as resp,
        ):
            body = json.loads(await resp.read())
        if not isinstance(body, dict):
            raise ValueError("the response is not a JSON object")
        return ConsoleResponse(resp.status, body)


def _never_connected(exc: Exception) -> bool:
    """Return whether no connection was established for certain."""
    return isinstance(exc, ClientConnectorError | InvalidURL)


def _exit_without_response(url: str, exc: Exception, sent: bool) -> NoReturn:
    """Print why there is no response, and exit."""
    reason = str(exc) or type(exc).__name__
    click.echo(f"No answer from the console at {url}: {reason}", err=True)
    if sent:
        click.echo(
            "The change may have been accepted: look at 'ebonydeal document "
            "history', or repeat with the same --proposal.",
            err=True,
        )
        sys.exit(ExitCode.IN_DOUBT)
    click.echo("Check --console (or EBONYDEAL_CONSOLE) and that it runs.", err=True)
    sys.exit(ExitCode.UNAVAILABLE)


def body_or_exit(response: ConsoleResponse) -> dict[str, Any]:
    """Return the body of a success, or print the error and exit."""
    if response.status < 400:
        return response.body
    error = response.body.get("error")
    error = error if isinstance(error, dict) else {}
    click.echo(str(error.get("message") or f"HTTP {response.status}"), err=True)
    for problem in response.body.get("problems", ()):
        click.echo(f"  {problem.get('where')}: {problem.get('message')}", err=True)
    _print_conflict(response.body.get("conflict"))
    if response.status == 401:
        click.echo("Give a token with --token or EBONYDEAL_TOKEN.", err=True)
    code = _EXIT_CODES.get(response.status, ExitCode.FAILED)
    if error.get("code") == "store_in_doubt":
        code = ExitCode.IN_DOUBT
    sys.exit(code)


def _print_conflict(conflict: Any) -> None:
    """Print the versions and differences that conflict."""
    if not isinstance(conflict, dict):
        return
    for info in conflict.get("versions", ()):
        line = f"  version {info.get('version')} by {info.get('by')}"
        click.echo(f"{line}: {info.get('note', '')}".rstrip(": "), err=True)
    for line in conflict.get("differences", ()):
        click.echo(f"  {line}", err=True)


def console_options(function: Callable) -> Callable:
    """Add ``--console``, ``--token`` and ``--json`` to a command."""
    options = [
        click.option(
            "--console",
            "url",
            envvar="EBONYDEAL_CONSOLE",
            default="http://127.0.0.1:9400",
            show_default=True,
            help="Console's URL; also EBONYDEAL_CONSOLE.",
        ),
        click.option(
            "--token",
            envvar="EBONYDEAL_TOKEN",
            default="",
            help="Operator token; better in EBONYDEAL_TOKEN than here.",
        ),
        click.option("--json", "as_json", is_flag=True, help="Print JSON."),
    ]
    for option in reversed(options):
        function = option(function)
    return function


def print_json(value: Any) -> None:
    """Print a value as JSON."""
    click.echo(json.dumps(value, indent=2, ensure_ascii=False))


def print_table(headings: list[str], rows: list[list[str]]) -> None:
    """Print a table with aligned columns."""
    widths = [
        max(len(str(row[column])) for row in [headings, *rows])
        for column in range(len(headings))
    ]
    for row in [headings, *rows]:
        cells = [
            str(cell).ljust(width) for cell, width in zip(row, widths, strict=True)
        ]
        click.echo("  ".join(cells).rstrip())
