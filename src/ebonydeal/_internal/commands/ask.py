"""Questions to one relay's listener for other relays."""

import json
from typing import Any

from aiohttp import ClientSession, ClientTimeout

_TIMEOUT_S = 10.0


async def ask_relay(address: str, path: str) -> list[dict[str, Any]]:
    """Return what a relay shows; raises OSError, TimeoutError or ValueError."""
    timeout = ClientTimeout(total=_TIMEOUT_S)
    async with ClientSession(timeout=timeout) as http:
        async with http.get(f"http://{address}{path}") as resp:
            return json.loads(await resp.read())
