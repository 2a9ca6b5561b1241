"""Listening sockets that are open before a program has loaded.

Loading takes a few tenths of a second. A client that connects meanwhile would be
reset, and most clients try only once more. With the socket open, its connection
waits in the socket's queue and is served as soon as the program runs.

Only light modules are imported here: this runs before all else.
"""

import os
import socket
from collections.abc import Sequence
from configparser import ConfigParser, Error

from ebonydeal._internal.settings.keys import env_name

_OPTION = "--settings"
# Connections that wait to be taken.
LISTEN_BACKLOG = 1024


def open_listeners(args: Sequence[str], section: str, keys: Sequence[str]) -> list[int]:
    """Open the listening sockets that the settings named in ``args`` tell.

    Whatever speaks against that is left to the program itself, which says what
    is wrong: then fewer sockets are open, or none.

    Parameters
    ----------
    args : sequence of str
        The program's arguments.
    section, keys : str, sequence of str
        Where the settings hold the addresses, ``host:port`` each.

    Returns
    -------
    list of int
        File descriptors, for `find_listener`.
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
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((host, int(port)))
            sock.listen(LISTEN_BACKLOG)
        except OSError:
            sock.close()
            continue
        sock.setblocking(False)
        opened.append(sock.detach())
    return opened


def find_listener(opened: Sequence[int], address: str) -> socket.socket | None:
    """Return the socket among ``opened`` that listens on ``address``, or None."""
    for fd in opened:
        sock = socket.socket(fileno=fd)
        host, port = sock.getsockname()[:2]
        if f"{host}:{port}" == address:
            return sock
        sock.detach()
    return None
