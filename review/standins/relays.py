"""Relays as separate processes, with the deploy file's command and template."""

import asyncio
import os
import re
import signal
import socket
import tempfile
import time
import tomllib
from contextlib import suppress
from pathlib import Path
from typing import Any

import aiohttp

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
# The bounds of a small deployment, as in the example of DEPLOY.md.
BOUNDS: dict[str, Any] = {
    "drain_ms": 2000,
    "grace_s": 8,
    "retry_budget_ratio": 0.2,
    "retry_budget_extra": 58,
    "quota_window_s": 8,
    "quota_overshoot": 0.1,
    "quota_slack": 110000,
    "require_fence": "true",
    "lease_ms": 3000,
    "usage_window_s": 5,
    "usage_late_s": 10,
    "reuse_window_s": 8,
}
_READY_S = 20.0


def free_port() -> int:
    """Return a loopback port that was free just now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        port: int = sock.getsockname()[1]
        return port


def _render(template: str, fields: dict[str, Any]) -> str:
    """Fill in the template; sections whose value is absent are left out."""
    text = re.sub(r"\{\{#([\w.]+)\}\}.*?\{\{/\1\}\}\n?", "", template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda found: str(fields[found[1]]), text)


class Relay:
    """One relay; it can be killed and started again under the same addresses."""

    def __init__(self, name: str, folder: Path, store: str) -> None:
        self.name = name
        self.port = free_port()
        self.control = f"{HOST}:{free_port()}"
        self.ready = f"{HOST}:{free_port()}"
        self._store = store
        self._file = folder / f"{name}.ini"
        self._log = folder / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None

    def write_settings(self, seeds: list[str]) -> None:
        """Write the settings file from the deploy template."""
        fields: dict[str, Any] = {
            "node_name": self.name,
            "ip": HOST,
            "region": "r1",
            "zone": "z1",
            "provider.address": self._store,
            "cloud.address": self._store,
            "seed_addrs": ",".join(seeds),
            "listen_addrs.front": f"{HOST}:{self.port}",
            "listen_addrs.ready": self.ready,
            "listen_addrs.control": self.control,
            "limits.cpu_share": 0.537,
            "limits.cpu_cores": 2,
            "limits.link_mbps": 1000.0,
            **{f"bounds.{name}": value for name, value in BOUNDS.items()},
        }
        template = (ROOT / "deploy/relay.ini").read_text(encoding="utf-8")
        self._file.write_text(_render(template, fields), encoding="utf-8")

    async def start(self) -> None:
        """Start the process with the words of ``run`` in the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        words = deploy["roles"]["relay"]["run"].split()
        words = [w.replace("/etc/ebonydeal/boot.yaml", str(self._file)) for w in words]
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *words, stdout=log, stderr=log, env=env, cwd=ROOT
            )

    async def wait_ready(self) -> None:
        """Wait until the relay says that it is ready; raises TimeoutError."""
        timeout = aiohttp.ClientTimeout(total=1.0)
        async with (
            asyncio.timeout(_READY_S),
            aiohttp.ClientSession(timeout=timeout) as http,
        ):
            while True:
                with suppress(aiohttp.ClientError, OSError, TimeoutError):
                    async with http.get(f"http://{self.ready}/-/readyz") as resp:
                        if resp.status == 200:
                            return
                await asyncio.sleep(0.05)

    @property
    def exit_code(self) -> int | None:
        """Exit code of the process; None while it runs."""
        return None if self._process is None else self._process.returncode

    async def terminate(self, grace_s: float) -> float:
        """Send SIGTERM, and SIGKILL after ``grace_s``; return the seconds it took."""
        assert self._process is not None
        began = time.monotonic()
        self._process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(grace_s):
                await self._process.wait()
        except TimeoutError:
            await self.kill()
        return time.monotonic() - began

    async def kill(self) -> None:
        """Send SIGKILL, and wait for the end."""
        if self._process is not None and self._process.returncode is None:
            with suppress(ProcessLookupError):
                self._process.send_signal(signal.SIGKILL)
            await self._process.wait()


class Fleet:
    """The relays of one run; all are ended with the context."""

    def __init__(self, count: int, store: str) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        folder = Path(self._folder.name)
        self.relays = [Relay(f"relay-{n + 1}", folder, store) for n in range(count)]

    async def __aenter__(self) -> list[Relay]:
        """Start all relays, and wait until they are ready."""
        for relay in self.relays:
            relay.write_settings([other.control for other in self.relays[:3]])
        try:
            for relay in self.relays:
                await relay.start()
            for relay in self.relays:
                await relay.wait_ready()
        except BaseException:
            await self.__aexit__()
            raise
        return self.relays

    async def __aexit__(self, *_exc: object) -> None:
        """Kill what still runs."""
        for relay in self.relays:
            await relay.kill()
        self._folder.cleanup()
