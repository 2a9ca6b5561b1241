"""A client that reads its answer at the pace of its link."""

import asyncio
import socket
from contextlib import suppress
from typing import NamedTuple

from standins.operator import HOST, KEY

# As on Ethernet; loopback itself has segments of 64 KB.
_SEGMENT_BYTES = 1448
_RECEIVE_BYTES = 65536
_CHUNK_BYTES = 16384


class Answer(NamedTuple):
    """What a client got; ``status`` is 0 without an answer.

    ``complete`` says whether the answer looks complete by its framing: the stated
    length came, or without one the connection ended by a close and not by a reset.
    """

    status: int
    signed: bool
    complete: bool
    framed: bool
    body_bytes: int


NONE = Answer(0, False, False, False, 0)


async def fetch(port: int, target: str, request_id: str, bytes_per_s: float) -> Answer:
    """Send a GET on a connection of its own, and read the answer at a pace."""
    sock = socket.socket()
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, _SEGMENT_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BYTES)
    sock.setblocking(False)
    try:
        await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
    except OSError:
        sock.close()
        return NONE
    reader, writer = await asyncio.open_connection(sock=sock, limit=_CHUNK_BYTES)
    writer.write(
        f"GET {target} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"Ebonydeal-Request-Id: {request_id}\r\nEbonydeal-Deadline-Ms: 10000\r\n"
        f"Authorization: Bearer {KEY}\r\n\r\n".encode()
    )
    try:
        return await _read(reader, bytes_per_s)
    except (asyncio.IncompleteReadError, ConnectionError):
        return NONE
    finally:
        writer.close()
        with suppress(ConnectionError):
            await writer.wait_closed()


async def _read(reader: asyncio.StreamReader, bytes_per_s: float) -> Answer:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in head[1:] if line)
    headers = {name.lower(): value.strip() for name, _sep, value in pairs}
    length = headers.get("content-length")
    received, reset = 0, False
    while length is None or received < int(length):
        try:
            data = await reader.read(_CHUNK_BYTES)
        except ConnectionError:
            reset = True
            break
        if not data:
            break
        received += len(data)
        await asyncio.sleep(len(data) / bytes_per_s)
    complete = not reset if length is None else received == int(length)
    return Answer(
        int(head[0].split()[1]),
        "ebonydeal-server-signature" in headers,
        complete,
        length is not None,
        received,
    )
