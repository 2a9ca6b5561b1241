"""Clients of a soak on slow links: bodies arrive late, and answers are read slowly."""

import asyncio
import socket
from collections.abc import AsyncIterator
from random import Random

from aiohttp import AddrInfoType, ClientResponse, TCPConnector

from ebonydeal._internal.platform.server_side import AccountSpec
from ebonydeal._internal.soak.clients import Client
from ebonydeal._internal.soak.endpoints import LARGE_ANSWER_PREFIX
from ebonydeal._internal.soak.processes import RelayProcess
from ebonydeal._internal.soak.records import Kind, Log

# A body takes up to this long to send, and an answer two seconds to read.
_MAX_UPLOAD_S = 0.4
_READ_BYTES_PER_S = 1_000_000.0
_PIECES = 10
_PIECE = b"x" * 2000
_PIECE_READ = 65536
# As on Ethernet. With those of loopback, and with a larger buffer, the system would
# take a whole answer from the relay at once.
_SEGMENT_BYTES = 1448
_RECEIVE_BYTES = 16384


class SlowClient(Client):
    """Sends requests in pieces on kept connections, and reads large answers slowly."""

    def __init__(self, log: Log, relays: list[RelayProcess], rng: Random) -> None:
        connector = TCPConnector(limit=0, socket_factory=_small_socket)
        super().__init__(log, relays, rng, connector=connector)

    async def run(self, account: AccountSpec, mean_pause: float) -> None:
        """Send requests until cancelled."""
        while True:
            relay = self._rng.choice(self._relays)
            await self.send(Kind.SLOW, relay, account, body=LARGE_ANSWER_PREFIX)
            await asyncio.sleep(self._rng.uniform(0.0, 2.0 * mean_pause))

    def _upload(self, body: bytes) -> AsyncIterator[bytes]:
        """Return the body in pieces."""
        return _pieces(body, self._rng.uniform(0.0, _MAX_UPLOAD_S))

    async def _read_some(self, resp: ClientResponse) -> bytes:
        """Return the next bytes of an answer, none at its end."""
        data = await resp.content.read(_PIECE_READ)
        await asyncio.sleep(len(data) / _READ_BYTES_PER_S)
        return data


async def _pieces(begin: bytes, seconds: float) -> AsyncIterator[bytes]:
    yield begin
    for _ in range(_PIECES):
        await asyncio.sleep(seconds / _PIECES)
        yield _PIECE


def _small_socket(info: AddrInfoType) -> socket.socket:
    """Return a socket that takes little of an answer before it is read."""
    family, kind, protocol, _name, _address = info
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, _SEGMENT_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BYTES)
    return sock
