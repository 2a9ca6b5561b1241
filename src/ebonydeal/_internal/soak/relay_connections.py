"""Connections of a relay's process to endpoints and other relays that can fail.

The event loop is patched before the relay starts: connections get the relay's source
address, those to endpoints fail while the cut file exists, and those to other relays
are made to their proxies.
"""

import asyncio
import json
import os
from asyncio.selector_events import BaseSelectorEventLoop
from pathlib import Path
from socket import socket
from typing import Any

from ebonydeal._internal.soak.link_cuts import (
    CUT_FILE_VARIABLE,
    ENDPOINT_HOST,
    PEER_PROXIES_VARIABLE,
    SOURCE_VARIABLE,
    CutMode,
)
from ebonydeal._internal.utils import http_sessions

# A soak is shorter than the time after which sessions are closed otherwise.
_UNUSED_TIMEOUT_S = 1.0
# Longer than any connect timeout.
_UNREACHABLE_S = 60.0


def _read_mode(cut_file: Path) -> CutMode | None:
    try:
        return CutMode(cut_file.read_text(encoding="utf-8"))
    except FileNotFoundError:
        return None


def _read_proxies(path: Path) -> dict[int, int]:
    """Return the port of each relay's proxy by its own; empty if there are none."""
    if not path.exists():
        return {}
    ports = json.loads(path.read_text(encoding="utf-8"))
    return {int(port): int(proxy) for port, proxy in ports.items()}


def install(source: str, cut_file: Path, peer_proxies: dict[int, int]) -> None:
    """Patch the event loop's connections, and shorten the life of unused sessions."""
    http_sessions._UNUSED_TIMEOUT_S = _UNUSED_TIMEOUT_S
    connect = BaseSelectorEventLoop.sock_connect

    async def sock_connect(
        loop: BaseSelectorEventLoop, sock: socket, address: Any
    ) -> None:
        if address[0] == ENDPOINT_HOST:
            mode = _read_mode(cut_file)
            if mode is not None and mode.refuses:
                raise ConnectionRefusedError(f"{address} is cut off")
            if mode is not None:
                await asyncio.sleep(_UNREACHABLE_S)
            sock.bind((source, 0))
        host, port = address[:2]
        await connect(loop, sock, (host, peer_proxies.get(port, port)))

    BaseSelectorEventLoop.sock_connect = (  # type: ignore[method-assign]
        sock_connect  # type: ignore[assignment]
    )


def install_from_environment() -> None:
    """Patch the connections as the environment says."""
    install(
        os.environ[SOURCE_VARIABLE],
        Path(os.environ[CUT_FILE_VARIABLE]),
        _read_proxies(Path(os.environ[PEER_PROXIES_VARIABLE])),
    )
