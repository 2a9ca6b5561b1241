"""``ebonydeal story``: one request's log lines from all nodes, ordered by time."""

import json
import sys
from collections.abc import Iterable
from typing import Any, TextIO

import click

# Fields that have their own columns, or that are the same in all lines.
_COLUMN_FIELDS = ("event", "level", "timestamp", "request")


def find_request_lines(request_id: str, lines: Iterable[str]) -> list[dict[str, Any]]:
    """Return the log lines of a request, ordered by time; skip all other lines.

    A line may have a prefix before its JSON, such as the node that wrote it.
    """
    messages = []
    for line in lines:
        start = line.find("{")
        if start < 0 or request_id not in line:
            continue
        try:
            message = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(message, dict) and message.get("request") == request_id:
            message["node"] = " ".join(line[:start].split()[-1:])
            messages.append(message)
    return sorted(messages, key=lambda message: str(message.get("timestamp", "")))


def story_text(messages: list[dict[str, Any]]) -> str:
    """Format log lines as text."""
    rows = []
    for message in messages:
        fields = "  ".join(
            f"{name}={value}"
            for name, value in message.items()
            if name not in (*_COLUMN_FIELDS, "node")
        )
        at = str(message.get("timestamp", ""))
        node = message["node"] or "-"
        rows.append(f"{at}  {node}  {message.get('event', '')}  {fields}".rstrip())
    return "\n".join(rows)


@click.command("story")
@click.argument("request_id")
@click.argument("file", type=click.File("r", encoding="utf-8"), default="-")
def story_command(request_id: str, file: TextIO) -> None:
    """Show the lines of REQUEST_ID from JSON logs in FILE or standard input."""
    messages = find_request_lines(request_id, file)
    if not messages:
        click.echo(f"no line names request {request_id}", err=True)
        sys.exit(1)
    click.echo(story_text(messages))
