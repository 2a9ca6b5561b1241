"""Runs gateways and journals as processes, with stand-ins in this process."""

import asyncio
import random
from pathlib import Path

from aiohttp import ClientSession, ClientTimeout

from ebonydeal._internal.config.examples import DEMO_KEYS, example_document
from ebonydeal._internal.config.store import ConfigStore
from ebonydeal._internal.outside.tables import HttpTables
from ebonydeal._internal.soak.ports import reserve_port
from ebonydeal._internal.standin.platform import StandinPlatform
from ebonydeal._internal.standin.platform_spec import PlatformSpec
from ebonydeal._internal.utils.clock import SystemClock
from tests.lib.processes import RunningProgram, launch, wait_until_up

MODEL = "covers-13b"
AUTH = {"Authorization": f"Bearer {DEMO_KEYS['breakfast']}"}


class Cluster:
    """The programs of a small system; an async context manager."""

    def __init__(
        self, folder: Path, *, gateways: int = 2, journals: int = 2, speed: float = 10.0
    ) -> None:
        document = example_document("cadwaladr")
        replicas = {item["name"]: 3 for item in document["deployments"]}
        spec = PlatformSpec.from_document(document, replicas, speed=speed, list_lag=0.2)
        self.world = StandinPlatform(spec)
        self.document = document
        self.gateways: list[RunningProgram] = []
        self.journals: list[RunningProgram] = []
        self._folder = folder
        self._counts = (gateways, journals)
        self.session: ClientSession | None = None

    async def __aenter__(self) -> "Cluster":
        await self.world.start()
        self.session = ClientSession(headers=AUTH, timeout=ClientTimeout(total=60))
        await self._put_document()
        peer_ports = [reserve_port() for _ in range(sum(self._counts))]
        self._seeds = ",".join(f"127.0.0.1:{port}" for port in peer_ports[:2])
        gateways, _journals = self._counts
        for number, peer_port in enumerate(peer_ports):
            if number < gateways:
                self.gateways.append(await self._gateway(number, peer_port))
            else:
                self.journals.append(await self._journal(number, peer_port))
        for program in self.gateways:
            await wait_until_up(program, "/health/ready")
        for program in self.journals:
            await wait_until_up(program, "/health/live")
        return self

    async def __aexit__(self, *exc: object) -> None:
        for program in (*self.gateways, *self.journals):
            await program.kill()
        await self.session.close()
        await self.world.stop()

    async def _put_document(self) -> None:
        tables = HttpTables.from_config(self.world.platform_settings())
        store = ConfigStore(tables, SystemClock(), random.Random(1))
        result = await store.propose(self.document, 0, "test", "first")
        assert result.unwrap() == 1
        await tables.close()

    def _settings(self, name: str, peer_port: int, zone: str, extra: str) -> str:
        cfg = self.world.platform_settings()
        urls = "\n".join(
            f"{key} = {getattr(cfg, key)}" for key in cfg._fields if key.endswith("url")
        )
        text = (
            f"[node]\nid = {name}\nzone = {zone}\ndrain_seconds = 60\n"
            f"[platform]\n{urls}\n"
            f"[peers]\nport = {peer_port}\nseeds = {self._seeds}\nperiod = 0.2\n"
            f"[directory]\nlist_period = 0.2\n{extra}"
        )
        path = self._folder / f"{name}.ini"
        path.write_text(text)
        return str(path)

    async def _gateway(self, number: int, peer_port: int) -> RunningProgram:
        port = reserve_port()
        name = f"gateway-{number}"
        extra = f"[gateway]\nport = {port}\nsettle_seconds = 0.5\n"
        file = self._settings(name, peer_port, "de-cymru-1", extra)
        args = ["--settings", file]
        return await launch(name, "ebonydeal-gateway", args, port, self._folder)

    async def _journal(self, number: int, peer_port: int) -> RunningProgram:
        port = reserve_port()
        name = f"journal-{number}"
        extra = (
            f"[journal]\nport = {port}\nshards = 16\nlease_seconds = 2\n"
            "renew_seconds = 0.3\nsettle_seconds = 0\n"
        )
        file = self._settings(name, peer_port, "de-cymru-2", extra)
        args = ["--settings", file]
        return await launch(name, "ebonydeal-journal", args, port, self._folder)

    # --- calls ---------------------------------------------------------------------
    async def post(
        self, path: str, body: dict, gateway: int = 0, **headers: str
    ) -> tuple[int, dict]:
        """Post to one gateway; return status and body."""
        url = self.gateways[gateway].url + path
        header_fields = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        async with self.session.post(url, json=body, headers=header_fields) as resp:
            return resp.status, await resp.json()

    async def answer(self, request_id: str, gateway: int = 0) -> dict:
        """Poll until the answer of an accepted request is available."""
        url = f"{self.gateways[gateway].url}/v1/deferred/{request_id}/answer"
        async with asyncio.timeout(60):
            while True:
                async with self.session.get(url) as resp:
                    if resp.status == 200:
                        return await resp.json()
                await asyncio.sleep(0.1)

    def service_runs(self, key: str) -> int:
        """Return how often services ran calls with an idempotency key."""
        runs = 0
        for log in self.world.logs():
            for entry in log["entries"]:
                runs += entry.get("key") == key and entry["ran"]
        return runs
