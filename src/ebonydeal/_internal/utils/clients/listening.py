"""Accepts the connections of a listening socket."""

import asyncio
import socket

from aiohttp import web

from ebonydeal._internal.utils.early_listen import LISTEN_BACKLOG

# Connections that one turn of the event loop accepts. More at once could use up the
# descriptors before any is closed.
ACCEPTS_PER_TURN = 64


async def listen(server: web.Server, sock: socket.socket) -> asyncio.Server:
    """Accept connections on a socket that listens."""
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server, sock=sock, backlog=ACCEPTS_PER_TURN)
    lengthen_backlog(sock)
    return listener


def lengthen_backlog(sock: socket.socket) -> None:
    """Let more connections wait than the event loop accepts in one turn.

    The event loop sets the system's queue to the number that it accepts.
    """
    sock.listen(LISTEN_BACKLOG)
