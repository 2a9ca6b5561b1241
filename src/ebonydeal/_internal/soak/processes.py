"""Relays of a soak as separate processes; each is stopped by its process id."""

import asyncio
import json
import os
import signal
import sys
from collections.abc import Callable, Iterable
from configparser import ConfigParser
from contextlib import suppress
from pathlib import Path

from aiohttp import ClientError, ClientSession, ClientTimeout

from ebonydeal._internal.soak.link_cuts import (
    CUT_FILE_VARIABLE,
    PEER_PROXIES_VARIABLE,
    SOURCE_VARIABLE,
)
from ebonydeal._internal.soak.ports import reserve_port
from ebonydeal._internal.soak.proxy import Proxy

_TERMINATE_TIMEOUT_S = 12.0
# A start takes a second, or several on a busy machine. A relay isn't ready while the
# store is unavailable, so the wait is bounded.
_READY_TIMEOUT_S = 10.0
_READY_POLL_INTERVAL_S = 0.1
_PEER_PROXIES_FILE = "peers.json"


class RelayProcess:
    """One relay, which can be restarted after its process ends.

    Parameters
    ----------
    name : str
        Node id.
    folder : Path
        Folder of its settings file and log.
    store : Proxy
        Its connection to the platform.
    relay_settings : dict
        Settings of section ``[relay]`` besides the addresses.
    source : str
        Loopback address from which it connects to endpoints.
    policy : dict, optional
        Settings of section ``[policy]``.
    """

    def __init__(
        self,
        name: str,
        folder: Path,
        store: Proxy,
        relay_settings: dict[str, str],
        source: str,
        policy: dict[str, str] | None = None,
    ) -> None:
        self.name = name
        self.source = source
        # Connections to endpoints fail while it exists.
        self.cut_file = folder / f"{name}.cut"
        self.store = store
        # The proxy by which other relays reach it; None if they do so directly.
        self.peers: Proxy | None = None
        self.address = f"127.0.0.1:{reserve_port()}"
        self.peer_address = f"127.0.0.1:{reserve_port()}"
        self._ready_address = f"127.0.0.1:{reserve_port()}"
        self._relay_settings = relay_settings
        self._policy = policy or {}
        self._peer_proxies = folder / _PEER_PROXIES_FILE
        self._settings_path = folder / f"{name}.ini"
        self._log_path = folder / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None
        # Whether a signal told the process to end.
        self._is_ending = False
        # Called with the exit code of a process that ended without such a signal.
        self.on_own_end: Callable[[int], None] = lambda _code: None
        self._watcher: asyncio.Task[None] | None = None
        # Overlapping faults must not start two processes of one relay.
        self.lock = asyncio.Lock()

    def write_settings(self, seeds: list[str]) -> None:
        """Write the settings file."""
        file = ConfigParser(interpolation=None)
        url = f"http://{self.store.address}"
        file["node"] = {"id": self.name, "host": "127.0.0.1", "zone": "z1"}
        file["platform"] = {"tables_url": url, "cloud_url": url, "timeout": "2.0"}
        file["peers"] = {"seeds": ",".join(seeds)}
        file["relay"] = {
            "address": self.address,
            "ready_address": self._ready_address,
            "peer_address": self.peer_address,
            **self._relay_settings,
        }
        file["policy"] = self._policy
        with self._settings_path.open("w", encoding="utf-8") as out:
            file.write(out)

    @property
    def pid(self) -> int:
        """Process id, or 0 if no process runs."""
        process = self._process
        return 0 if process is None or process.returncode is not None else process.pid

    async def start(self) -> None:
        """Start the process unless it runs already."""
        if self.pid:
            return
        self._is_ending = False
        with self._log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "ebonydeal._internal.soak.relay_process",
                "--settings",
                str(self._settings_path),
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    SOURCE_VARIABLE: self.source,
                    CUT_FILE_VARIABLE: str(self.cut_file),
                    PEER_PROXIES_VARIABLE: str(self._peer_proxies),
                },
            )
        self._watcher = asyncio.create_task(self._watch(self._process))

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        """Report a process that ends by itself."""
        code = await process.wait()
        if not self._is_ending:
            self.on_own_end(code)

    async def wait_ready(self) -> None:
        """Wait until the process is ready, but no longer than the timeout."""
        url = f"http://{self._ready_address}/"
        async with ClientSession(timeout=ClientTimeout(total=1.0)) as http:
            with suppress(TimeoutError):
                async with asyncio.timeout(_READY_TIMEOUT_S):
                    while not await _is_ready(http, url):
                        await asyncio.sleep(_READY_POLL_INTERVAL_S)

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        self._is_ending |= signal_number in (signal.SIGKILL, signal.SIGTERM)
        if self.pid:
            # It may have ended just now.
            with suppress(ProcessLookupError):
                os.kill(self.pid, signal_number)

    async def wait_ended(self) -> None:
        """Wait until the process ends; kill it after a timeout."""
        if self._process is None:
            return
        try:
            await asyncio.wait_for(self._process.wait(), _TERMINATE_TIMEOUT_S)
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self._process.wait()

    async def stop(self) -> None:
        """Kill the process."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        await self.wait_ended()


def write_peer_proxies(folder: Path, relays: Iterable[RelayProcess]) -> None:
    """Write for all relays by which proxy each one is reached."""
    ports = {
        _port(relay.peer_address): _port(relay.peers.address)
        for relay in relays
        if relay.peers is not None
    }
    path = folder / _PEER_PROXIES_FILE
    path.write_text(json.dumps(ports), encoding="utf-8")


def _port(address: str) -> int:
    return int(address.rpartition(":")[2])


async def _is_ready(http: ClientSession, url: str) -> bool:
    """Return whether a relay reports that it is ready."""
    try:
        async with http.get(url) as resp:
            return resp.status == 200
    except (ClientError, OSError, TimeoutError):
        return False
