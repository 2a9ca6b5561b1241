"""Whether a process still listens at an address."""

import asyncio
from ipaddress import ip_address


async def refuses_connections(address: str, seconds: float) -> bool:
    """Return whether ``host:port`` refuses connections: no process is there.

    False for one that takes a connection, and for one that can't be reached within
    ``seconds``: unreachable isn't gone. Hosts are numbers, since a name's look-up may
    take longer than the answer is of use.
    """
    host, _sep, port = address.rpartition(":")
    try:
        ip_address(host)
        async with asyncio.timeout(seconds):
            _reader, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, ValueError, OverflowError):
        # TimeoutError is an OSError; a port may be too large.
        return False
    writer.close()
    return False
