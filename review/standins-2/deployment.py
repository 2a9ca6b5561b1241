"""A small deployment on loopback: the platform, relays, replicas, and a record."""

import asyncio
import json
import os
import signal
import sys
import tempfile
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

from platform_standin import Platform
from relays import RelayProcess

_HERE = Path(__file__).resolve().parent
HOST = "ficu95.example"
KEY = "i9n73hh2b9wu3fexd9dn"
TENANT = "hule930"
LLM, APP = "huvo11a", "wuno96b"
_ZONES = ("porto", "centrale", "punta-raisi")


def _route(name: str, prefix: str, kind: str, service: str, **more: Any) -> dict:
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "route_type": kind,
        "service": service,
        "priority": 1,
        "max_attempts": 1,
        "allow_anonymous": False,
        "sticky": kind == "streaming",
        "can_resume": False,
        "gap_aim_ms": 400 if kind == "streaming" else 0,
        **more,
    }


def config(version: int = 7) -> dict[str, Any]:
    """Return a configuration like that of a small deployment."""
    return {
        "version": version,
        "routes": [
            _route(
                "r-feed",
                "/feed/",
                "streaming",
                LLM,
                timeout_ms=15000,
                target_latency_ms=500,
            ),
            _route(
                "r-note",
                "/note/",
                "streaming",
                LLM,
                timeout_ms=4000,
                target_latency_ms=600,
                max_attempts=2,
                can_resume=True,
            ),
            _route(
                "r-label",
                "/label/",
                "non_idempotent",
                APP,
                timeout_ms=1500,
                target_latency_ms=400,
            ),
            _route(
                "r-status",
                "/status/",
                "idempotent",
                APP,
                timeout_ms=1500,
                target_latency_ms=400,
                max_attempts=2,
            ),
        ],
        "services": [
            {
                "name": LLM,
                "health_path": "/healthz",
                "max_connections": 630,
                "engine": {
                    "max_slots": 128,
                    "kv_capacity_tokens": 577572,
                    "kv_token_bytes": 35136,
                    "link_mbps": 740000.0,
                    "moves": True,
                    "stride": 3,
                    "models": [{"name": "m"}],
                },
            },
            {"name": APP, "health_path": "/healthz", "max_connections": 110},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {
                "name": TENANT,
                "api_keys": [KEY],
                "priority": 1,
                "unit": "tokens",
                "plain_tokens": 200,
                "rate_per_s": 251019,
                "burst": 251019,
            }
        ],
    }


class ReplicaProcess:
    """One replica as a process, and its record."""

    def __init__(self, replica_id: str, port: int, log: Path, *words: str) -> None:
        self.replica_id = replica_id
        self.address = f"127.0.0.1:{port}"
        self._port = port
        self._log = log
        self._words = words
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process, and wait until it listens."""
        with self._log.open("ab") as out:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-S",
                str(_HERE / "replica.py"),
                "--port",
                str(self._port),
                "--id",
                self.replica_id,
                *self._words,
                stdout=out,
                stderr=out,
            )
        while not any(line["event"] == "listens" for line in self.record()):
            await asyncio.sleep(0.01)

    def record(self) -> list[dict[str, Any]]:
        """Return what this replica has logged."""
        lines = []
        for line in self._log.read_text(encoding="utf-8").splitlines():
            with suppress(ValueError):
                lines.append(json.loads(line))
        return [line for line in lines if line.get("replica") == self.replica_id]

    async def kill(self) -> None:
        """Kill the process; the system then closes its connections."""
        if self._process is None:
            return
        if self._process.returncode is None:
            with suppress(ProcessLookupError):
                self._process.send_signal(signal.SIGKILL)
        await self._process.wait()


class Deployment:
    """The parts of one run of a case, and the record of it."""

    def __init__(self, record: Path) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="ebonydeal-review-")
        self.folder = Path(self._folder.name)
        self.platform = Platform()
        self.relays: list[RelayProcess] = []
        self.replicas: list[ReplicaProcess] = []
        self._record = record.open("w", encoding="utf-8")
        self._began = time.time()
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"

    def note(self, what: str, **values: Any) -> None:
        """Write one line of the record."""
        at = time.time() - self._began
        text = " ".join(f"{name}={value!r}" for name, value in values.items())
        self._record.write(f"{at:8.3f} {what} {text}\n")
        self._record.flush()

    async def start(self, relay_count: int) -> bool:
        """Start the platform and relays; return whether all became ready."""
        await self.platform.start()
        self.platform.write("op", "config", config())
        for number in range(relay_count):
            name = f"front-{_ZONES[number % 3]}-{number // 3 + 1}"
            zone = _ZONES[number % 3]
            self.relays.append(
                RelayProcess(name, zone, self.folder, self.platform.address)
            )
        seeds = [relay.control for relay in self.relays[:3]]
        for relay in self.relays:
            relay.write_settings(seeds)
            await relay.start()
        ready = await asyncio.gather(*(relay.wait_ready() for relay in self.relays))
        self.note("relays started", ready=ready)
        return all(ready)

    def list_replica(self, replica: ReplicaProcess, service: str, **more: Any) -> None:
        """Write the entry of a replica."""
        document = {
            "service": service,
            "address": replica.address,
            "zone": "porto",
            "version": "v1",
            "max_slots": 128,
            "state": "ready",
            "cold_left_ms": 0,
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "call_seq": 0,
            **more,
        }
        self.platform.write("servers", replica.replica_id, document)

    def replica(self, replica_id: str, port: int, *words: str) -> ReplicaProcess:
        """Return a replica that isn't started yet."""
        log = self.folder / f"{replica_id}.log"
        log.touch()
        made = ReplicaProcess(replica_id, port, log, *words)
        self.replicas.append(made)
        return made

    async def stop(self) -> None:
        """End all processes, and add the replicas' records."""
        for relay in self.relays:
            await relay.stop()
        for replica in self.replicas:
            await replica.kill()
            for line in replica.record():
                self._record.write(f"{line['at'] - self._began:8.3f} replica {line}\n")
        await self.platform.stop()
        self._record.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for relay in self.relays:
                target = Path(keep) / relay.log.name
                target.write_bytes(relay.log.read_bytes())
        self._folder.cleanup()
