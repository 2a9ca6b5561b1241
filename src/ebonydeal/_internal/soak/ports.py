"""Ports that are known before the process that listens on them starts."""

from random import SystemRandom
from socket import SOCK_DGRAM, socket

# Below what systems give to outgoing connections (32768 and up on Linux, 49152 by the
# standard): one of these took a port between its choice and its use.
_FIRST, _LAST = 20_000, 32_000
_MOST_TRIES = 1000
_HOST = "127.0.0.1"

# A reserved port's number is held by a datagram socket, which no listener of ours is
# in the way of, until this process ends: others that reserve ports see it.
_held: list[socket] = []


def reserve_port() -> int:
    """Return a loopback port that nobody listens on and nobody else reserves."""
    rng = SystemRandom()
    for _ in range(_MOST_TRIES):
        port = rng.randrange(_FIRST, _LAST)
        mark = socket(type=SOCK_DGRAM)
        try:
            mark.bind((_HOST, port))
            with socket() as probe:
                probe.bind((_HOST, port))
        except OSError:
            mark.close()
            continue
        _held.append(mark)
        return port
    raise OSError(f"no port from {_FIRST} to {_LAST} is free")
