"""The console program with a simulated platform."""

import asyncio
import random

from aiohttp import ClientSession, CookieJar

from ebonydeal._internal.config.examples import example_document
from ebonydeal._internal.console.program import SECTIONS, ConsoleProgram
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.settings.console import ConsoleSettings
from ebonydeal._internal.standin.platform import StandinPlatform
from ebonydeal._internal.standin.platform_spec import PlatformSpec
from ebonydeal._internal.utils.clock import SystemClock
from ebonydeal._internal.utils.keys import hash_key
from tests.lib.fakes_endpoints import running

TOKEN = "nia-token"


def settings(world, node_id, seeds=""):
    values = {name: cls() for name, cls in SECTIONS.items()}
    values["platform"] = world.platform_settings()
    values["node"] = values["node"]._replace(id=node_id, drain_seconds=0.1)
    values["peers"] = values["peers"]._replace(port=0, seeds=seeds, period=0.05)
    values["config"] = values["config"]._replace(shortest_poll=0.05)
    values["console"] = ConsoleSettings(
        port=0, operators=f"nia:{hash_key(TOKEN, 'ab' * 16)}", session_secret="s"
    )
    return values


def program(world, node_id):
    return ConsoleProgram.from_config(
        settings(world, node_id), Metrics(), SystemClock(), random.Random(node_id)
    )


def version_reached(one, version):
    """Return an event that is set once a program has a version."""
    event = asyncio.Event()

    def check_version(document):
        if document.version >= version:
            event.set()

    one.follower.on_change(check_version)
    return event


class TestTwoConsoles:
    async def test_document_accepted_on_one_console_takes_effect_on_the_other(self):
        document = example_document("cadwaladr")
        spec = PlatformSpec.from_document(
            document, {"kitchen": 1, "paperwork": 1}, list_lag=0.05
        )
        headers = {"Authorization": f"Bearer {TOKEN}"}
        async with (
            running(StandinPlatform(spec)) as world,
            running(program(world, "c1")) as first,
            running(program(world, "c2")) as second,
            ClientSession(headers=headers) as session,
        ):
            version_adopted = version_reached(second, 1)
            url = f"http://{first.address}/api/document"
            body = {"document": document, "base_version": 0}
            async with session.post(url, json=body) as resp:
                assert (resp.status, await resp.json()) == (200, {"version": 1})
            await asyncio.wait_for(version_adopted.wait(), 20)
            async with asyncio.timeout(20):
                status = await self.status(session, second)
                while not all(item["ready"] for item in status["deployments"]):
                    status = await self.status(session, second)
        ready = {item["name"]: item["ready"] for item in status["deployments"]}
        assert ready == {"kitchen": 1, "paperwork": 1}
        assert status["missing"] == []

    async def status(self, session, console):
        async with session.get(f"http://{console.address}/api/status") as resp:
            return await resp.json()

    async def test_session_is_valid_on_both_consoles(self):
        spec = PlatformSpec.from_document(example_document("cadwaladr"), {})
        async with (
            running(StandinPlatform(spec)) as world,
            running(program(world, "c1")) as first,
            running(program(world, "c2")) as second,
            ClientSession(cookie_jar=CookieJar(unsafe=True)) as session,
        ):
            login = f"http://{first.address}/login"
            async with session.post(login, data={"token": TOKEN}) as resp:
                assert resp.status == 200
            async with session.get(f"http://{second.address}/history") as resp:
                assert resp.url.path == "/history"
