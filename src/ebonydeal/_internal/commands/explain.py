"""``ebonydeal explain``: the decisions for a request and their reasons."""

import asyncio
import json
import sys
from typing import Any

import click
from aiohttp import ClientError, ClientSession, ClientTimeout

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.gateway.api import OPERATOR_HEADER

_TIMEOUT_S = 10.0
_INDENT = " " * 12


async def fetch_trail(url: str, token: str, request_id: str) -> dict[str, Any]:
    """Return a gateway's trail of a request; raises `EbonydealError`."""
    headers = {OPERATOR_HEADER: token}
    timeout = ClientTimeout(total=_TIMEOUT_S)
    path = f"{url.rstrip('/')}/ops/explain/{request_id}"
    try:
        async with ClientSession(headers=headers, timeout=timeout) as http:
            async with http.get(path) as resp:
                body = json.loads(await resp.read())
    except (ClientError, TimeoutError, ValueError) as exc:
        detail = f"{url} gives no readable answer"
        raise EbonydealError(ErrorKind.CONNECT_FAILED, detail) from exc
    if resp.status != 200:
        raise EbonydealError.from_body(body)
    return body


async def find_in_gateways(
    urls: tuple[str, ...], token: str, request_id: str
) -> dict[str, Any]:
    """Return the trail of the first gateway that has one.

    Raises the last gateway's error if none has.
    """
    error = EbonydealError(ErrorKind.NOT_FOUND, "no gateway URL was given")
    for url in urls:
        try:
            return await fetch_trail(url, token, request_id)
        except EbonydealError as exc:
            error = exc
    raise error


def trail_text(trail: dict[str, Any]) -> str:
    """Format a trail, one line per step, with times since the first step."""
    steps = trail["steps"]
    start = steps[0]["at"] if steps else 0.0
    lines = [f"request {trail['request_id']}"]
    for item in steps:
        details = dict(item["what"])
        choices = details.pop("choices", [])
        fields = "  ".join(f"{name}={value}" for name, value in details.items())
        elapsed = item["at"] - start
        lines.append(f"{elapsed:9.3f} s  {item['step']:<13} {fields}".rstrip())
        lines.extend(_choice_text(choice) for choice in choices)
    return "\n".join(lines)


def _choice_text(choice: dict[str, Any]) -> str:
    """Format a scored endpoint with the terms of its score."""
    terms = "  ".join(
        f"{name}={value:g}" for name, value in choice.get("terms", {}).items()
    )
    head = f"{choice.get('endpoint', '?')} ({choice.get('zone', '?')})"
    return f"{_INDENT}{head}  score={choice.get('score', 0.0):g}  {terms}".rstrip()


@click.command("explain")
@click.argument("request_id")
@click.option(
    "--url",
    "urls",
    multiple=True,
    required=True,
    help="A gateway's URL; may be repeated.",
)
@click.option(
    "--token", required=True, envvar="EBONYDEAL_OPERATOR_TOKEN", help="Operator token."
)
@click.option("--json", "as_json", is_flag=True, help="Print the trail as JSON.")
def explain_command(
    request_id: str, urls: tuple[str, ...], token: str, as_json: bool
) -> None:
    """Show the gateways' decisions for REQUEST_ID and their reasons."""
    try:
        trail = asyncio.run(find_in_gateways(urls, token, request_id))
    except EbonydealError as exc:
        click.echo(f"{exc.kind}: {exc.detail}", err=True)
        sys.exit(1)
    click.echo(json.dumps(trail) if as_json else trail_text(trail))
