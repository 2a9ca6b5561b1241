"""Clients of a soak: they send requests to random relays on keep-alive connections."""

import asyncio
import json
import re
import time
from collections.abc import AsyncIterator, Sequence
from random import Random

from aiohttp import (
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    TCPConnector,
)

from ebonydeal._internal.platform.server_side import (
    PROMPT_TOKENS,
    AccountSpec,
    client_headers,
    resume_headers,
)
from ebonydeal._internal.soak.endpoints import RELAY_HEADER
from ebonydeal._internal.soak.processes import RelayProcess
from ebonydeal._internal.soak.records import ClientResult, Kind, Log

HOST = "play.example"
REQUEST_TIMEOUT_S = 5.0
# Values of max_tokens that streams ask for.
_MAX_TOKENS_CHOICES = (100, 100, 100, 600)
# Events name their number, and the software version of their endpoint.
_EVENT = re.compile(rb"(?:^|\n)id: (\d+)\ndata: ([^\n]*)\n(?=\n)")
# The part with which all prompts begin.
SHARED_PART = "5a"
# Times that a client comes back for the rest of one stream.
_MAX_RESUMES = 2
_KINDS = (Kind.IDEMPOTENT, Kind.AT_MOST_ONCE, Kind.STREAM, Kind.RESUMABLE_STREAM)


_GET_KINDS = (Kind.IDEMPOTENT, Kind.PROBE, Kind.PLAIN)


class Client:
    """Sends requests to relays and records the results.

    Parameters
    ----------
    log : Log
        Receives the results.
    relays : list of RelayProcess
        Relays to send to.
    rng : random.Random
        Draws kinds, relays and pauses.
    reuse : bool
        Keep connections; False for a new one for each request.
    connector : TCPConnector, optional
        Makes the connections.
    """

    def __init__(
        self,
        log: Log,
        relays: list[RelayProcess],
        rng: Random,
        reuse: bool = True,
        connector: TCPConnector | None = None,
    ) -> None:
        self._log = log
        self._relays = relays
        self._rng = rng
        self._session = ClientSession(
            connector=connector or TCPConnector(limit=0, force_close=not reuse),
            auto_decompress=False,
        )
        # A retry by the library would be a second request with the same id.
        self._session._retry_connection = False

    async def run(self, account: AccountSpec, mean_pause: float) -> None:
        """Send requests until cancelled."""
        while True:
            kind = self._rng.choice(_KINDS)
            relay = self._rng.choice(self._relays)
            result = await self.send(kind, relay, account)
            for _ in range(_MAX_RESUMES):
                if not may_resume(result):
                    break
                relay = self._rng.choice(self._relays)
                result = await self.send(kind, relay, account, resumed=result)
            await asyncio.sleep(self._rng.uniform(0.0, 2.0 * mean_pause))

    async def probe(self, relay: RelayProcess, key: str, version: int) -> None:
        """Send a request on the route that only one configuration version has."""
        account = AccountSpec("", key)
        await self.send(Kind.PROBE, relay, account, version)

    async def send_to_all(
        self, body: bytes, kind: Kind, relays: list[RelayProcess], key: str
    ) -> None:
        """Send one body to several relays concurrently."""
        account = AccountSpec("", key)
        await asyncio.gather(
            *(self.send(kind, relay, account, body=body) for relay in relays)
        )

    async def send(
        self,
        kind: Kind,
        relay: RelayProcess,
        account: AccountSpec,
        version: int = 0,
        body: bytes = b"",
        parts: Sequence[str] = (SHARED_PART,),
        resumed: ClientResult | None = None,
        leave_after: int = 0,
    ) -> ClientResult:
        """Send one request, or ``resumed`` again; record and return its result.

        With ``leave_after`` the connection is closed after as many events.
        """
        request_id = f"{self._rng.getrandbits(64):016x}"
        path = f"{kind.value}{version}/x" if version else f"{kind.value}x"
        tokens = self._rng.choice(_MAX_TOKENS_CHOICES) if kind.is_stream else 0
        counts = PROMPT_TOKENS + tokens if tokens else account.plain_tokens
        self._log.tokens[request_id] = counts
        headers = client_headers(
            HOST, request_id, account.key, REQUEST_TIMEOUT_S, tokens, parts
        )
        headers[RELAY_HEADER] = relay.name
        first_attempt, events_before = "", 0
        if resumed is not None:
            first_attempt = resumed.stream
            events_before = resumed.events_before + len(resumed.event_ids)
            headers |= resume_headers(first_attempt, events_before)
        sent = time.monotonic()
        pid = relay.pid
        url = f"{relay.address}{path}"
        status, complete, received = await self._send(
            kind, url, headers, body, leave_after
        )
        events = _EVENT.findall(received) if status == 200 else []
        result = ClientResult(
            request_id,
            kind,
            relay.name,
            pid,
            sent,
            time.monotonic(),
            status,
            complete,
            "" if kind.is_stream else _body_id(received),
            tuple(int(number) for number, _version in events),
            version,
            owed=not (account.rate or body or kind.is_plain) and resumed is None,
            first_attempt=first_attempt,
            events_before=events_before,
            event_versions=frozenset(version.decode() for _number, version in events),
            account=account.name,
            left=leave_after > 0,
        )
        self._log.results.append(result)
        return result

    async def _send(
        self,
        kind: Kind,
        url: str,
        headers: dict[str, str],
        sent: bytes,
        leave_after: int = 0,
    ) -> tuple[int, bool, bytes]:
        """Return status (0 without a response), whether it was complete, and body."""
        method = "GET" if kind in _GET_KINDS and not sent else "POST"
        status, body = 0, b""
        timeout = ClientTimeout(total=REQUEST_TIMEOUT_S + 2.0, sock_connect=1.0)
        try:
            async with self._session.request(
                method,
                f"http://{url}",
                headers=headers,
                timeout=timeout,
                data=self._upload(sent),
            ) as resp:
                status = resp.status
                while data := await self._read_some(resp):
                    body += data
                    if leave_after and len(_EVENT.findall(body)) >= leave_after:
                        resp.close()
                        return status, False, body
            return status, True, body
        except (TimeoutError, ClientError, OSError):
            return status, False, body

    def _upload(self, body: bytes) -> bytes | AsyncIterator[bytes] | None:
        """Return the body as it is sent."""
        return body or None

    async def _read_some(self, resp: ClientResponse) -> bytes:
        """Return the next bytes of an answer, none at its end."""
        return await resp.content.readany()

    async def close(self) -> None:
        """Close connections."""
        await self._session.close()


def may_resume(result: ClientResult) -> bool:
    """Return whether a stream broke off that a client may resume."""
    return (
        result.kind is Kind.RESUMABLE_STREAM
        and not result.complete
        and result.events_before + len(result.event_ids) > 0
    )


def _body_id(body: bytes) -> str:
    """Return the request id that a plain response contains."""
    try:
        return str(json.loads(body)["request"])
    except (ValueError, KeyError, TypeError):
        return ""
