"""Relays as separate processes, started as the deploy file does."""

import asyncio
import os
import re
import signal
import socket
import sys
import tomllib
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
_READY_TIMEOUT_S = 20.0
_POLL_S = 0.05
_SECTION = re.compile(r"\{\{#([\w.]+)\}\}\n(.*?)\{\{/\1\}\}\n?", re.DOTALL)
_FIELD = re.compile(r"\{\{([\w.]+)\}\}")
# The bounds of a small deployment, as its sheet gives them.
BOUNDS = {
    "grace_s": 8,
    "drain_ms": 2000,
    "retry_budget_ratio": 0.2,
    "retry_budget_extra": 58,
    "quota_window_s": 8,
    "quota_overshoot": 0.1,
    "quota_slack": 110000,
    "lease_ms": 3000,
    "require_fence": "true",
    "usage_window_s": 5,
    "usage_late_s": 10,
    "reuse_window_s": 8.2,
}


def free_port() -> int:
    """Return a loopback port that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


def _value(fields: dict[str, Any], name: str) -> Any:
    found: Any = fields
    for part in name.split("."):
        found = found.get(part) if isinstance(found, dict) else None
    return found


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a settings template as the platform does."""

    def section(match: re.Match[str]) -> str:
        return match[2] if _value(fields, match[1]) is not None else ""

    def field(match: re.Match[str]) -> str:
        value = _value(fields, match[1])
        return "" if value is None else str(value)

    return _FIELD.sub(field, _SECTION.sub(section, template))


class RelayProcess:
    """One relay: its settings, its process, and its log."""

    def __init__(self, name: str, zone: str, folder: Path, platform: str) -> None:
        self.name = name
        self.front = f"127.0.0.1:{free_port()}"
        self.ready = f"127.0.0.1:{free_port()}"
        self.control = f"127.0.0.1:{free_port()}"
        self._zone = zone
        self._platform = platform
        self._settings = folder / f"{name}.ini"
        self.log = folder / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None

    def write_settings(self, seeds: list[str]) -> None:
        """Write the settings file."""
        role = self._role()
        fields = {
            "node_name": self.name,
            "ip": "127.0.0.1",
            "region": "palermo",
            "zone": self._zone,
            "limits": {
                "memory_mb": 300,
                "max_fds": 4100,
                "cpu_share": 0.537,
                "cpu_cores": 2,
                "link_mbps": 1000.0,
            },
            "provider": {"address": self._platform},
            "cloud": {"address": self._platform},
            "seed_addrs": ",".join(seeds),
            "listen_addrs": {
                "front": self.front,
                "ready": self.ready,
                "control": self.control,
            },
            "bounds": BOUNDS,
        }
        template = (ROOT / role["template"]).read_text(encoding="utf-8")
        self._settings.write_text(render(template, fields), encoding="utf-8")

    def _role(self) -> dict[str, Any]:
        text = (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
        role: dict[str, Any] = tomllib.loads(text)["roles"]["relay"]
        return role

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        words = self._role()["run"].split()
        words[0] = sys.executable
        words[words.index("--settings") + 1] = str(self._settings)
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.log.open("ab") as out:
            self._process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=env, stdout=out, stderr=out
            )

    async def wait_ready(self) -> bool:
        """Return whether the relay says in time that it is ready."""
        loop = asyncio.get_running_loop()
        until = loop.time() + _READY_TIMEOUT_S
        while loop.time() < until:
            if await self._is_ready():
                return True
            await asyncio.sleep(_POLL_S)
        return False

    async def _is_ready(self) -> bool:
        host, port = self.ready.split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        try:
            writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()
        return line.split(b" ")[1:2] == [b"200"]

    def send(self, signum: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self._process is not None and self._process.returncode is None:
            with suppress(ProcessLookupError):
                self._process.send_signal(signum)

    async def stop(self) -> None:
        """Kill the process."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()
