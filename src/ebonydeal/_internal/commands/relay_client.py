"""Queries to the listener on which a relay serves other relays."""

import asyncio
import json
import sys
from typing import Any

import click
from aiohttp import ClientError, ClientSession, ClientTimeout

_TIMEOUT_S = 10.0


async def fetch_from_relay(address: str, path: str) -> list[dict[str, Any]]:
    """Return a relay's JSON response; raises OSError, TimeoutError or ValueError."""
    timeout = ClientTimeout(total=_TIMEOUT_S)
    async with ClientSession(timeout=timeout) as http:
        async with http.get(f"http://{address}{path}") as resp:
            return json.loads(await resp.read())


def fetch_or_exit(address: str, path: str) -> list[dict[str, Any]]:
    """Return a relay's JSON response, or print an error and exit with code 1."""
    try:
        return asyncio.run(fetch_from_relay(address, path))
    except (ClientError, OSError, ValueError) as exc:
        click.echo(f"{address} gives no readable answer: {exc}", err=True)
        sys.exit(1)
