import asyncio
import json

from click.testing import CliRunner

from ebonydeal._internal.commands.explain import explain_command
from tests.functional.gateway.test_generation import BODY, client
from tests.lib.gateway_fakes import Bench

UNREACHABLE_URL = "http://127.0.0.1:1"


def run(*args: str):
    return CliRunner().invoke(explain_command, args)


class TestExplainCommand:
    async def explain(self, *more: str, token: str = "op", request_id: str = ""):
        async with Bench() as bench, client(bench) as api:
            raw = await api.chat.completions.with_raw_response.create(**BODY)
            request_id = request_id or raw.headers["X-Request-Id"]
            args = (
                request_id,
                "--url",
                UNREACHABLE_URL,
                "--url",
                bench.url,
                "--token",
                token,
            )
            result = await asyncio.to_thread(run, *args, *more)
        return request_id, result

    async def test_text(self):
        request_id, result = await self.explain()
        lines = result.stdout.splitlines()
        assert (result.exit_code, lines[0]) == (0, f"request {request_id}")
        assert "received" in lines[1]
        assert any("e1 (?)  score=1" in line for line in lines)
        assert "answered" in lines[-1]

    async def test_json(self):
        request_id, result = await self.explain("--json")
        assert json.loads(result.stdout)["request_id"] == request_id

    async def test_unknown_request(self):
        _id, result = await self.explain(request_id="r-none")
        assert result.exit_code == 1
        assert result.stderr.startswith("not_found: ")

    async def test_wrong_token(self):
        _id, result = await self.explain(token="guess")
        assert (result.exit_code, result.stderr.split(":")[0]) == (1, "unauthorized")
