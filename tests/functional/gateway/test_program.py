import asyncio
import random
from collections import Counter

import openai
import pytest
from aiohttp import ClientSession

from ebonydeal._internal.config.examples import example_document
from ebonydeal._internal.config.peer_routes import EXPLAIN_PATH, STATUS_PATH
from ebonydeal._internal.config.store import ConfigStore
from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.gateway.program import GatewayProgram
from ebonydeal._internal.gateway.wiring import SECTIONS
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.outside.tables import HttpTables
from ebonydeal._internal.standin.expected_answers import expected_tokens, finish_reason
from ebonydeal._internal.standin.platform import StandinPlatform
from ebonydeal._internal.standin.platform_spec import PlatformSpec
from ebonydeal._internal.utils.clock import SystemClock
from ebonydeal._internal.utils.keys import hash_key
from ebonydeal._internal.utils.prefix import prompt_text
from tests.functional.gateway.test_generation import read_events, text_of, until

KEY = "sk-whole"
AUTH = {"Authorization": f"Bearer {KEY}"}
TOKENS = 200
QUICK = {
    "gateway": {"port": 0, "settle_seconds": 0.0},
    "peers": {"port": 0, "period": 0.1},
    "directory": {"list_period": 0.1, "notices_period": 0.1, "load_period": 0.5},
}


class System:
    """The stand-in platform, a document in force and one real gateway."""

    def __init__(self) -> None:
        self.document = example_document("cadwaladr")
        for account in self.document["accounts"]:
            account["key_hashes"] = [hash_key(KEY)]
        self.engines = next(
            item for item in self.document["deployments"] if item["kind"] == "engine"
        )
        spec = PlatformSpec.from_document(self.document, {self.engines["name"]: 6})
        self.world = StandinPlatform(spec)
        self.metrics = Metrics()

    @property
    def model(self) -> str:
        return self.engines["models"][0]

    async def __aenter__(self) -> "System":
        await self.world.start()
        platform = self.world.platform_settings()
        clock, rng = SystemClock(), random.Random(1)
        tables = HttpTables.from_config(platform)
        result = await ConfigStore(tables, clock, rng).propose(
            self.document, 0, "test", "first"
        )
        await tables.close()
        assert result.unwrap() == 1
        self.program = await self.start_gateway("gw-1", self.metrics)
        self.api = openai.AsyncOpenAI(
            base_url=f"http://{self.program.address}/v1", api_key=KEY, max_retries=0
        )
        await until(self.is_ready)
        return self

    async def start_gateway(self, name: str, metrics: Metrics) -> GatewayProgram:
        sections = {name: cls() for name, cls in SECTIONS.items()}
        for section, changes in QUICK.items():
            sections[section] = sections[section]._replace(**changes)
        sections["platform"] = self.world.platform_settings()
        sections["node"] = sections["node"]._replace(id=name)
        program = GatewayProgram.from_config(
            sections, metrics, SystemClock(), random.Random(name)
        )
        await program.start()
        return program

    def is_ready(self, program: GatewayProgram | None = None) -> bool:
        ports = (program or self.program).ports
        views = ports.directory.views(self.engines["name"])
        return ports.config.document.version == 1 and len(views) == 6

    async def __aexit__(self, *exc: object) -> None:
        await self.api.close()
        await self.program.stop()
        await self.world.stop()

    def busiest_zone(self) -> str:
        """Return the zone with the most tokens remaining to generate."""
        remaining: Counter[str] = Counter()
        for live in self.program.stream_runner.live_streams:
            prompt = prompt_text(live.job.body)
            total = len(expected_tokens(self.model, prompt, TOKENS))
            if live.attempt is not None:
                zone = live.attempt.route.endpoint.place.zone
                remaining[zone] += total - len(live.delivered)
        return remaining.most_common(1)[0][0]

    async def answer_is_correct(self, words: str) -> bool:
        """Return whether a streamed answer has the expected text and finish reason."""
        stream = await self.api.chat.completions.create(
            model=self.model,
            messages=[{"role": "user", "content": words}],
            max_tokens=TOKENS,
            stream=True,
        )
        pieces, finish = [], ""
        async for chunk in stream:
            choice = chunk.choices[0]
            pieces.append(choice.delta.content or "")
            finish = choice.finish_reason or finish
        prompt = f"user: {words}"
        wanted = expected_tokens(self.model, prompt, TOKENS)
        whole = "".join(pieces) == "".join(wanted)
        return whole and finish == finish_reason(self.model, prompt, TOKENS)


class TestGatewayProgram:
    async def test_complete_answer(self):
        words = "How many covers tomorrow?"
        async with System() as system:
            answer = await system.api.chat.completions.create(
                model=system.model,
                messages=[{"role": "user", "content": words}],
                max_tokens=20,
            )
        wanted = expected_tokens(system.model, f"user: {words}", 20)
        assert answer.choices[0].message.content == "".join(wanted)
        assert answer.usage.completion_tokens == len(wanted)

    @pytest.mark.parametrize("notice", [2.0, 0.0])
    async def test_reclaimed_zone_breaks_no_stream(self, notice):
        async with System() as system:
            prompts = [f"Covers of kitchen {n}?" for n in range(12)]
            calls = [
                asyncio.ensure_future(system.answer_is_correct(words))
                for words in prompts
            ]
            runner = system.program.stream_runner
            await until(
                lambda: sum(len(live.delivered) for live in runner.live_streams) > 60
            )
            system.world.reclaim_zone(system.busiest_zone(), notice)
            assert await asyncio.gather(*calls) == [True] * 12
        assert system.metrics.refusals() == {}
        events = system.metrics.events()
        if notice:
            assert events["kv_imported"] > 0
            assert events.get("tokens_recomputed_reclaim", 0) == 0
        assert sum(system.metrics.retries().values()) > 0

    async def test_caller_resumes_at_another_gateway(self):
        words = "Covers of the coast?"
        async with System() as system, ClientSession(headers=AUTH) as http:
            metrics = Metrics()
            other = await system.start_gateway("gw-2", metrics)
            await until(lambda: system.is_ready(other))
            body = {
                "model": system.model,
                "messages": [{"role": "user", "content": words}],
                "max_tokens": TOKENS,
                "stream": True,
            }
            resp = await http.post(f"{system.api.base_url}chat/completions", json=body)
            raw = b""
            for _ in range(4):
                raw += await resp.content.readuntil(b"\n\n")
            resp.close()
            last = {"Last-Event-ID": read_events(raw)[-1][0]}
            url = f"http://{other.address}/v1/chat/completions"
            async with http.post(url, json=body, headers=last) as resp:
                raw += await resp.read()
            await other.stop()
        wanted = expected_tokens(system.model, f"user: {words}", TOKENS)
        assert text_of(read_events(raw)) == "".join(wanted)
        assert metrics.events()["streams_reconnected"] == 1
        assert metrics.refusals() == {}

    async def test_peers_can_query_status_and_trails(self):
        async with System() as system:
            raw = await system.api.chat.completions.with_raw_response.create(
                model=system.model,
                messages=[{"role": "user", "content": "Covers of the coast?"}],
                max_tokens=2,
            )
            call = system.program.ports.peers.call
            address = system.program.ports.peers.address
            status = await call(address, STATUS_PATH, {})
            request_id = raw.headers["X-Request-Id"]
            trail = await call(address, EXPLAIN_PATH, {"request_id": request_id})
            with pytest.raises(EbonydealError) as caught:
                await call(address, EXPLAIN_PATH, {"request_id": "r-0000-none"})
        assert (status["version"], status["refusals"]) == (1, {})
        assert status["events"]["answered"] == 1
        assert trail["steps"] == system.program.ports.trails.steps(request_id)
        assert [step["step"] for step in trail["steps"]][0] == "received"
        assert caught.value.kind is ErrorKind.NOT_FOUND
