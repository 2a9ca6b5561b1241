"""Reserves ports for processes that start later."""

from random import SystemRandom
from socket import SOCK_DGRAM, socket

# Below the ephemeral ports (from 32768 on Linux, from 49152 by the standard): an
# outgoing connection took a port between its reservation and its use.
_MIN_PORT, _MAX_PORT = 20_000, 32_000
_MAX_ATTEMPTS = 1000
_HOST = "127.0.0.1"

# UDP sockets bound to the reserved port numbers until this process ends. They keep
# other processes from reserving the same ports, and don't block TCP listeners.
_reservations: list[socket] = []


def reserve_port() -> int:
    """Return a loopback port that no process listens on or has reserved."""
    rng = SystemRandom()
    for _ in range(_MAX_ATTEMPTS):
        port = rng.randrange(_MIN_PORT, _MAX_PORT)
        reservation = socket(type=SOCK_DGRAM)
        try:
            reservation.bind((_HOST, port))
            with socket() as probe:
                probe.bind((_HOST, port))
        except OSError:
            reservation.close()
            continue
        _reservations.append(reservation)
        return port
    raise OSError(f"no port from {_MIN_PORT} to {_MAX_PORT} is free")
