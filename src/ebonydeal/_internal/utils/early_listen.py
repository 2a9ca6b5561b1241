"""Opens listening sockets before the program has loaded.

Loading takes a few tenths of a second. Connections of clients would be reset during
that time, and most clients retry only once. With the socket open, a connection waits
in the listen queue and is served as soon as the program runs.

This module runs before all others, so it imports only what loads fast.
"""

import os
import socket
from collections.abc import Sequence
from configparser import ConfigParser, Error

from ebonydeal._internal.settings.keys import env_name

_OPTION = "--settings"
# Maximum number of connections that wait to be accepted.
LISTEN_BACKLOG = 1024
# Size of the system's receive buffer of each connection of a client. Bytes that have
# arrived and aren't read count as the process's memory.
RECEIVE_BUFFER_BYTES = 16_384


def open_listeners(args: Sequence[str], section: str, keys: Sequence[str]) -> list[int]:
    """Open the listening sockets for addresses in the settings file of ``args``.

    Errors are left for the program to report: an address that can't be opened is
    skipped, and no socket is opened if the settings can't be read.

    Parameters
    ----------
    args : sequence of str
        The program's arguments.
    section, keys : str, sequence of str
        Settings that hold the addresses, ``host:port`` each.

    Returns
    -------
    list of int
        File descriptors, to be passed to `find_listener`.
    """
    parser = ConfigParser(interpolation=None)
    try:
        file = args[list(args).index(_OPTION) + 1]
        parser.read(file, encoding="utf-8")
    except (ValueError, IndexError, Error, UnicodeDecodeError):
        return []
    opened = []
    for key in keys:
        address = os.environ.get(
            env_name(section, key),
            parser.get(section, key, fallback=""),
        )
        host, _sep, port = address.rpartition(":")
        if not host or not port.isdigit() or int(port) == 0:
            continue
        try:
            sock = bind_listener(host, int(port), for_clients=True)
        except OSError:
            continue
        opened.append(sock.detach())
    return opened


def bind_listener(host: str, port: int, for_clients: bool) -> socket.socket:
    """Return a listening socket; raises OSError if the address can't be used.

    Connections ``for_clients`` have a small receive buffer.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if for_clients:
            # Accepted connections inherit it.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.bind((host, port))
        sock.listen(LISTEN_BACKLOG)
    except OSError:
        sock.close()
        raise
    sock.setblocking(False)
    return sock


def find_listener(opened: Sequence[int], address: str) -> socket.socket | None:
    """Return the socket among ``opened`` that listens on ``address``, or None."""
    for fd in opened:
        sock = socket.socket(fileno=fd)
        host, port = sock.getsockname()[:2]
        if f"{host}:{port}" == address:
            return sock
        sock.detach()
    return None
