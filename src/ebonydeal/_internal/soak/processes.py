"""Relays of a soak as processes of their own; each is ended by its id."""

import asyncio
import os
import signal
import sys
from configparser import ConfigParser
from contextlib import suppress
from pathlib import Path

from aiohttp import ClientError, ClientSession, ClientTimeout

from ebonydeal._internal.soak.ports import reserve_port
from ebonydeal._internal.soak.proxy import Proxy

_KILL_AFTER_S = 12.0
# A start takes a second, on a busy machine several; while the store is away a relay
# isn't ready, and isn't waited for any longer.
_READY_AFTER_S = 10.0
_LOOK_S = 0.1


class RelayProcess:
    """One relay, started again after each end.

    Parameters
    ----------
    name : str
        Its node id.
    folder : Path
        Where its settings and its log lie.
    store : Proxy
        Its own way to the platform.
    terms : dict
        Settings of ``[relay]`` beside its addresses.
    """

    def __init__(
        self, name: str, folder: Path, store: Proxy, terms: dict[str, str]
    ) -> None:
        self.name = name
        self.store = store
        self.address = f"127.0.0.1:{reserve_port()}"
        self.peer_address = f"127.0.0.1:{reserve_port()}"
        self._ready_address = f"127.0.0.1:{reserve_port()}"
        self._terms = terms
        self._settings = folder / f"{name}.ini"
        self._log = folder / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None
        # Faults that overlap must not start two processes of one relay.
        self.turn = asyncio.Lock()

    def write_settings(self, seeds: list[str]) -> None:
        """Write the settings file."""
        file = ConfigParser(interpolation=None)
        url = f"http://{self.store.address}"
        file["node"] = {"id": self.name, "host": "127.0.0.1", "zone": "z1"}
        file["platform"] = {"tables_url": url, "cloud_url": url, "timeout": "1.0"}
        file["peers"] = {"seeds": ",".join(seeds)}
        file["relay"] = {
            "address": self.address,
            "ready_address": self._ready_address,
            "peer_address": self.peer_address,
            **self._terms,
        }
        with self._settings.open("w", encoding="utf-8") as out:
            file.write(out)

    @property
    def pid(self) -> int:
        """Process id; 0 while it is down."""
        process = self._process
        return 0 if process is None or process.returncode is not None else process.pid

    async def start(self) -> None:
        """Start the process; one that is up stays as it is."""
        if self.pid:
            return
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "ebonydeal._internal.cli.relay",
                "--settings",
                str(self._settings),
                stdout=log,
                stderr=log,
            )

    async def serving(self) -> None:
        """Wait until the process is ready to serve, or for long enough."""
        url = f"http://{self._ready_address}/"
        async with ClientSession(timeout=ClientTimeout(total=1.0)) as http:
            with suppress(TimeoutError):
                async with asyncio.timeout(_READY_AFTER_S):
                    while not await _is_ready(http, url):
                        await asyncio.sleep(_LOOK_S)

    def send(self, sign: signal.Signals) -> None:
        """Send a signal to the process, if it is up."""
        if self.pid:
            os.kill(self.pid, sign)

    async def ended(self) -> None:
        """Wait for its end, and kill it if that doesn't come."""
        if self._process is None:
            return
        try:
            await asyncio.wait_for(self._process.wait(), _KILL_AFTER_S)
        except TimeoutError:
            self.send(signal.SIGKILL)
            await self._process.wait()

    async def stop(self) -> None:
        """End it for good."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        await self.ended()


async def _is_ready(http: ClientSession, url: str) -> bool:
    """Return whether a relay says that it is ready."""
    try:
        async with http.get(url) as resp:
            return resp.status == 200
    except (ClientError, OSError, TimeoutError):
        return False
