"""Clients of a soak: each asks one relay after the other, on kept connections."""

import asyncio
import json
import re
import time
from random import Random

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from ebonydeal._internal.platform.server_side import (
    PROMPT_TOKENS,
    AccountSpec,
    client_headers,
)
from ebonydeal._internal.soak.endpoints import RELAY_HEADER
from ebonydeal._internal.soak.processes import RelayProcess
from ebonydeal._internal.soak.records import Kind, Log, Seen

HOST = "play.example"
_WAIT_S = 5.0
# What streams say that they will need, at the most.
_TOKENS = (100, 100, 100, 600)
_EVENT_ID = re.compile(rb"(?:^|\n)id: (\d+)\ndata: [^\n]*\n(?=\n)")
_KINDS = (Kind.SAFE, Kind.ONCE, Kind.LIVE, Kind.AGAIN)


class Client:
    """Sends requests to relays, and notes what it gets.

    Parameters
    ----------
    log : Log
        Takes what is seen.
    relays : list of RelayProcess
        Whom to ask.
    rng : random.Random
        Kinds, relays and pauses.
    """

    def __init__(self, log: Log, relays: list[RelayProcess], rng: Random) -> None:
        self._log = log
        self._relays = relays
        self._rng = rng
        self._session = ClientSession(
            connector=TCPConnector(limit=0), auto_decompress=False
        )
        # A repeat by the library would be a second request with the same id.
        self._session._retry_connection = False

    async def play(self, account: AccountSpec, pause: float) -> None:
        """Ask until cancelled."""
        while True:
            kind = self._rng.choice(_KINDS)
            relay = self._rng.choice(self._relays)
            await self.ask(kind, relay, account)
            await asyncio.sleep(self._rng.uniform(0.0, 2.0 * pause))

    async def probe(self, relay: RelayProcess, key: str, version: int) -> None:
        """Ask on the route that only one version of the configuration has."""
        account = AccountSpec("", key)
        await self.ask(Kind.PROBE, relay, account, version)

    async def repeat(
        self, body: bytes, kind: Kind, relays: list[RelayProcess], key: str
    ) -> None:
        """Send one body to several relays at the same moment."""
        account = AccountSpec("", key)
        await asyncio.gather(
            *(self.ask(kind, relay, account, body=body) for relay in relays)
        )

    async def ask(
        self,
        kind: Kind,
        relay: RelayProcess,
        account: AccountSpec,
        version: int = 0,
        body: bytes = b"",
    ) -> None:
        """Send one request and note its end."""
        request_id = f"{self._rng.getrandbits(64):016x}"
        path = f"{kind.value}{version}/x" if version else f"{kind.value}x"
        tokens = self._rng.choice(_TOKENS) if kind.is_stream else 0
        counts = PROMPT_TOKENS + tokens if tokens else account.plain_tokens
        self._log.tokens[request_id] = counts
        headers = client_headers(HOST, request_id, account.key, _WAIT_S, tokens)
        headers[RELAY_HEADER] = relay.name
        sent = time.monotonic()
        pid = relay.pid
        place = f"{relay.address}{path}"
        status, whole, text = await self._send(kind, place, headers, body)
        self._log.seen.append(
            Seen(
                request_id,
                kind,
                relay.name,
                pid,
                sent,
                time.monotonic(),
                status,
                whole,
                "" if kind.is_stream else _body_id(text),
                tuple(int(n) for n in _EVENT_ID.findall(text)) if status == 200 else (),
                version,
            )
        )

    async def _send(
        self, kind: Kind, place: str, headers: dict[str, str], sent: bytes
    ) -> tuple[int, bool, bytes]:
        """Return status (0 without an answer), whether it was whole, the body."""
        method = "GET" if kind in (Kind.SAFE, Kind.PROBE) and not sent else "POST"
        status, body = 0, b""
        timeout = ClientTimeout(total=_WAIT_S + 2.0, sock_connect=1.0)
        try:
            async with self._session.request(
                method,
                f"http://{place}",
                headers=headers,
                timeout=timeout,
                data=sent or None,
            ) as resp:
                status = resp.status
                while data := await resp.content.readany():
                    body += data
            return status, True, body
        except (TimeoutError, ClientError, OSError):
            return status, False, body

    async def close(self) -> None:
        """Close connections."""
        await self._session.close()


def _body_id(body: bytes) -> str:
    """Return the request that a plain answer says it is for."""
    try:
        return str(json.loads(body)["request"])
    except (ValueError, KeyError, TypeError):
        return ""
