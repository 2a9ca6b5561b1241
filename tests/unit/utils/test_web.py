"""Requests that are still at work when the time of a stop is over."""

import asyncio

import pytest
from aiohttp import ClientPayloadError, ClientSession, web

from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.utils.web import HttpServer, new_app

DRAIN_S = 0.4


async def never(_req):
    await asyncio.sleep(30)


async def never_after_a_part(req):
    resp = web.StreamResponse()
    resp.enable_chunked_encoding()
    await resp.prepare(req)
    await resp.write(b"part")
    await asyncio.sleep(30)


async def fails(_req):
    raise TimeoutError


async def answer_of_stop(handler):
    """Return status and body of a request, during which the server is stopped."""
    metrics = Metrics()
    app = new_app(metrics)
    app.router.add_post("/", handler)
    server = HttpServer(app, "127.0.0.1", 0, drain_seconds=DRAIN_S)
    await server.start()
    async with ClientSession() as http:
        call = asyncio.create_task(http.post(f"http://{server.address}/", data=b"x"))
        await asyncio.sleep(0.1)
        stop = asyncio.create_task(server.stop())
        try:
            async with await call as resp:
                return resp.status, await resp.text(), metrics.refusals()
        finally:
            await stop


class TestEndOfAStop:
    async def test_request_without_an_answer_gets_504(self):
        status, body, refusals = await answer_of_stop(never)
        assert (status, refusals) == (504, {"instance_stopped": 1})
        assert "instance_stopped" in body

    async def test_answer_that_has_begun_does_not_look_complete(self):
        with pytest.raises(ClientPayloadError):
            await answer_of_stop(never_after_a_part)

    async def test_a_handlers_own_timeout_is_a_failure_of_the_handler(self):
        status, _body, _refusals = await answer_of_stop(fails)
        assert status == 500
