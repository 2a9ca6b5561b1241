"""How the system ends a connection that is closed."""

import asyncio
import socket
import struct

# SO_LINGER, on or off, with a time of 0 s.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_END_ON_CLOSE = struct.pack("ii", 0, 0)


def set_reset_on_close(transport: asyncio.BaseTransport, resets: bool) -> None:
    """Let a close reset the connection, or end it as usual.

    Nothing is done if it is closed.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        option = _RESET_ON_CLOSE if resets else _END_ON_CLOSE
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
