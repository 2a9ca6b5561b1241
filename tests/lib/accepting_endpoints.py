"""Endpoints that take requests of any size, and answer each of them."""

import asyncio
import json

from aiohttp import web

from ebonydeal._internal.platform.server_side import (
    answer_headers,
    read_received_request,
)

LARGE_PREFIX = b"large"
LARGE_ANSWER_BYTES = 2_000_000
_MAX_FIELD_BYTES = 65_536
_MAX_FIELDS = 256
_RUN_TIME_S = 0.02
_EVENTS = b"".join(b"id: %d\ndata: x\n\n" % number for number in range(1, 5))


class AcceptingEndpoint:
    """Answers with the request's id; with more bytes if its body begins so."""

    def __init__(self, name: str) -> None:
        self.name = name

    async def start(self) -> "AcceptingEndpoint":
        server = web.Server(
            self._answer,
            access_log=None,
            max_field_size=_MAX_FIELD_BYTES,
            max_headers=_MAX_FIELDS,
        )
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"
        return self

    def row(self, service: str) -> bytes:
        """Return its entry in the list of endpoints."""
        entry = {
            "service": service,
            "address": self.address,
            "zone": "z1",
            "max_slots": 64,
            "state": "ready",
        }
        return json.dumps(entry).encode()

    async def _answer(self, req: web.BaseRequest) -> web.Response:
        first = b""
        async for data in req.content.iter_any():
            first = first or data
        request_id = read_received_request(req.headers).request_id
        headers = answer_headers(request_id)
        await asyncio.sleep(_RUN_TIME_S)
        if req.path.startswith("/live/"):
            headers["Content-Type"] = "text/event-stream"
            return web.Response(body=_EVENTS, headers=headers)
        answer = {"request": request_id}
        if first.startswith(LARGE_PREFIX):
            answer["padding"] = "x" * LARGE_ANSWER_BYTES
        return web.json_response(answer, headers=headers)

    async def stop(self) -> None:
        await self._runner.cleanup()
