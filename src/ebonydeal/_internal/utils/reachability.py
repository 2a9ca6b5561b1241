"""Checks whether a process still listens at an address."""

import asyncio
from collections.abc import Iterable
from contextlib import suppress
from ipaddress import ip_address


async def refuses_connections(address: str, seconds: float) -> bool:
    """Return whether ``host:port`` refuses connections, so no process listens there.

    False if it accepts a connection, and if it can't be reached within ``seconds``:
    an unreachable process may still run. The host must be an IP address, since
    resolving a name may take longer than the result is useful.
    """
    host, _sep, port = address.rpartition(":")
    try:
        ip_address(host)
        async with asyncio.timeout(seconds):
            _reader, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, ValueError, OverflowError):
        # TimeoutError is an OSError; OverflowError means that the port is too large.
        return False
    writer.close()
    return False


async def accepts_connections(address: str, seconds: float) -> bool:
    """Return whether ``host:port`` accepts a connection within ``seconds``."""
    host, _sep, port = address.rpartition(":")
    try:
        async with asyncio.timeout(seconds):
            _reader, writer = await asyncio.open_connection(host, int(port))
    except (OSError, ValueError, OverflowError):
        return False
    writer.close()
    return True


async def any_accepts(
    tests: Iterable["asyncio.Future[bool]"], timeout_s: float | None = None
) -> bool:
    """Return whether one of several tests of `accepts_connections` succeeds in time."""
    with suppress(TimeoutError):
        for test in asyncio.as_completed(tests, timeout=timeout_s):
            if await test:
                return True
    return False
