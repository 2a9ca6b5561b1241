"""Clients that send without end, read nothing, or leave again and again."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import NamedTuple

MB = 1_000_000
# Clients with small windows, whose connections block soon.
_RECEIVE_BUFFER_BYTES = 4096
# A client that can't send for this long is blocked.
_BLOCKED_S = 1.5
_CONNECT_TIMEOUT_S = 10.0
_READ_INTERVAL_S = 0.02
_ROUND_PAUSE_S = 0.005
_MAX_TRIES = 10
_RETRY_DELAY_S = 0.5
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Behaviour(NamedTuple):
    """What one client does.

    Attributes
    ----------
    first : bytes
        Sent once.
    repeated : bytes
        Sent again and again, until the connection ends, blocks, or ``most_bytes`` were
        sent.
    reads : bool
        Whether it takes its answers, a byte at a time.
    rounds : int
        How often it connects, sends ``first``, and resets the connection; 0 for one
        connection that stays open.
    pause : float
        Seconds between two of ``repeated``.
    """

    first: bytes
    repeated: bytes = b""
    most_bytes: int = 24 * MB
    reads: bool = False
    rounds: int = 0
    pause: float = 0.0


class Crowd:
    """Clients of one port; their connections stay open until `close`."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._sockets: list[socket.socket] = []
        self._readers: list[asyncio.Task[None]] = []

    async def behave(self, connections: int, behaviour: Behaviour) -> None:
        """Run so many clients until each has sent all, is blocked, or was closed."""
        client = self._reset_again if behaviour.rounds else self._send
        await asyncio.gather(*(client(behaviour) for _ in range(connections)))

    async def close(self) -> None:
        """Close all connections."""
        for task in self._readers:
            task.cancel()
        await asyncio.gather(*self._readers, return_exceptions=True)
        for sock in self._sockets:
            sock.close()
        self._sockets.clear()

    async def _connect(self) -> socket.socket | None:
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                await loop.sock_connect(sock, ("127.0.0.1", self._port))
        except (OSError, TimeoutError):
            sock.close()
            return None
        self._sockets.append(sock)
        return sock

    async def _send(self, behaviour: Behaviour) -> None:
        sock = await self._connect()
        if sock is None:
            return
        if behaviour.reads:
            self._readers.append(asyncio.create_task(_read_slowly(sock)))
        loop = asyncio.get_running_loop()
        if not behaviour.first:
            await asyncio.sleep(_BLOCKED_S)
        sent, data = 0, behaviour.first
        with suppress(OSError, TimeoutError):
            while data and sent < behaviour.most_bytes:
                async with asyncio.timeout(_BLOCKED_S):
                    await loop.sock_sendall(sock, data)
                sent += len(data)
                data = behaviour.repeated
                await asyncio.sleep(behaviour.pause)

    async def _reset_again(self, behaviour: Behaviour) -> None:
        for _ in range(behaviour.rounds):
            sock = await self._connect()
            if sock is None:
                continue
            self._sockets.remove(sock)
            with suppress(OSError, TimeoutError):
                async with asyncio.timeout(_BLOCKED_S):
                    loop = asyncio.get_running_loop()
                    await loop.sock_sendall(sock, behaviour.first)
            await asyncio.sleep(_ROUND_PAUSE_S)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            sock.close()


async def _read_slowly(sock: socket.socket) -> None:
    loop = asyncio.get_running_loop()
    with suppress(OSError):
        while await loop.sock_recv(sock, 1):
            await asyncio.sleep(_READ_INTERVAL_S)


async def is_answered(ask: Callable[[], Awaitable[bool]]) -> bool:
    """Return whether an ordinary request is answered, if need be after retries.

    It may be repeated: while a crowd is there it may be refused, or late.
    """
    for _ in range(_MAX_TRIES):
        if await ask():
            return True
        await asyncio.sleep(_RETRY_DELAY_S)
    return False


class Requests:
    """Requests of misbehaving clients, as bytes.

    Parameters
    ----------
    fields : str
        Header fields of a sound request, each with its line end.
    """

    def __init__(self, fields: str) -> None:
        self._fields = fields

    def get(self, path: str, extra: str = "") -> bytes:
        """Return a request without a body."""
        return f"GET {path} HTTP/1.1\r\n{self._fields}{extra}\r\n".encode()

    def post(self, path: str, body: bytes, extra: str = "", missing: int = 0) -> bytes:
        """Return a request whose body lacks its last ``missing`` bytes."""
        head = (
            f"POST {path} HTTP/1.1\r\n{self._fields}{extra}"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body[: len(body) - missing]

    def chunked(self, path: str) -> bytes:
        """Return the head of a request whose body comes in chunks."""
        head = (
            f"POST {path} HTTP/1.1\r\n{self._fields}Transfer-Encoding: chunked\r\n\r\n"
        )
        return head.encode()

    def with_fields(self, path: str, count: int, size: int) -> bytes:
        """Return a request with ``count`` more fields of ``size`` bytes."""
        return self.get(path, _fields(count, size))

    def endless_head(self, path: str) -> bytes:
        """Return the beginning of a request whose head doesn't end."""
        return f"GET {path} HTTP/1.1\r\n{self._fields}".encode()


def _fields(count: int, size: int) -> str:
    return "".join(f"X-F{n}: {'f' * size}\r\n" for n in range(count))


def fields(count: int, size: int) -> bytes:
    """Return header fields, or trailers, of ``size`` bytes each."""
    return _fields(count, size).encode()


class Misbehaviour(NamedTuple):
    """A crowd of clients that all do the same, and the machine that they meet.

    ``behaviour`` is built from the requests of the process's interface.
    """

    connections: int
    behaviour: Callable[[Requests], Behaviour]
    max_descriptors: int = 4100
    body_bytes: int = 100_000
