"""Endpoints of a soak: they run requests, stream events, leave and crash."""

import asyncio
import json
import time
from collections.abc import Callable
from enum import StrEnum

from aiohttp import web

from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.platform.server_side import (
    MOVE_PATH,
    REPORT_PATH,
    answer_headers,
    migration_body,
    not_run_headers,
    notice_headers,
    read_migration_order,
    read_received_request,
    report_body,
)
from ebonydeal._internal.soak.proxy import Proxy
from ebonydeal._internal.soak.records import (
    Arrived,
    FatalRun,
    Log,
    Run,
    Told,
    event_count,
)

SERVICE = "play"
# Clients name the relay that they ask, and it passes this header on.
RELAY_HEADER = "X-Asked-Relay"
# Bodies that begin so crash the endpoint that runs them.
FATAL = b"fatal"
_PACE_S = 0.03
_WORK_S = 0.02
_CLOSE_S = 0.1
# What a slow version takes longer.
_SLOW_S = 0.4


class Bad(StrEnum):
    """How a version is bad."""

    NO = "no"
    FAILS = "fails"
    SLOW = "slow"
    ONE_ROUTE = "one route"


class PlayEndpoint:
    """One endpoint behind a proxy of its own.

    ``memory`` holds the handles of runs that were stopped, at all endpoints;
    ``version`` is its software's, which may be ``bad``.
    """

    def __init__(
        self,
        name: str,
        log: Log,
        memory: dict[str, str],
        version: str = "",
        bad: Bad = Bad.NO,
    ) -> None:
        self.name = name
        self.version = version
        self.bad = bad
        self._log = log
        self._memory = memory
        self._stopped: dict[str, asyncio.Event] = {}
        self._handles = 0
        self._gone_at: float | None = None
        self._runner: web.ServerRunner | None = None
        self.proxy = Proxy("127.0.0.1:0")
        self.crashed = False
        # What it says of itself in answers: a limit, that it leaves, and for how long
        # it rests; while it does it turns all requests away.
        self.limit: float | None = None
        self.said_leaving = False
        self.rest = 0.0
        # Told of its crash.
        self.on_crash: Callable[[PlayEndpoint], None] = lambda _endpoint: None

    async def start(self) -> "PlayEndpoint":
        """Listen on free ports."""
        server = web.Server(self._handle, access_log=None, handler_cancellation=True)
        self._runner = web.ServerRunner(server, shutdown_timeout=_CLOSE_S)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        self.proxy = await Proxy(f"{host}:{port}").start()
        return self

    def member(self, leaving: bool = False) -> Member:
        """Return the entry of the list."""
        return Member(
            self.name,
            SERVICE,
            self.proxy.address,
            "z1",
            64,
            leaving,
            None,
            True,
            0.0,
            0,
            version=self.version,
        )

    def leaves(self, seconds: float) -> None:
        """Note when it will be gone."""
        self._gone_at = time.monotonic() + seconds

    async def _handle(self, req: web.BaseRequest) -> web.StreamResponse:
        if req.path == REPORT_PATH:
            left = None if self._gone_at is None else self._gone_at - time.monotonic()
            return web.json_response(report_body(left))
        if req.path == MOVE_PATH:
            return await self._move(req)
        return await self._run(req)

    async def _move(self, req: web.BaseRequest) -> web.Response:
        request_id, _target = read_migration_order(json.loads(await req.read()))
        stopped = self._stopped.get(request_id)
        if stopped is None:
            return web.Response(status=404)
        stopped.set()
        self._handles += 1
        handle = f"{self.name}-{self._handles}"
        self._memory[f"{self.proxy.address}/{handle}"] = request_id
        return web.json_response(migration_body(handle))

    async def _run(self, req: web.BaseRequest) -> web.StreamResponse:
        got = read_received_request(req.headers)
        body = await req.read()
        if got.expected_endpoint != self.name:
            return web.Response(status=421)
        relay = req.headers.get(RELAY_HEADER, "")
        self._log.arrived.append(
            Arrived(self.name, relay, got.request_id, time.monotonic())
        )
        says = self._says(relay)
        if self.rest > 0.0:
            return web.Response(status=503, headers=not_run_headers() | says)
        if got.kv_cache and self._memory.pop(got.kv_cache, "") != got.request_id:
            return web.Response(status=503, headers=not_run_headers())
        self._log.runs.append(
            Run(
                got.request_id,
                self.name,
                req.headers.get(RELAY_HEADER, ""),
                got.account,
                time.monotonic(),
                time.time(),
                bool(got.kv_cache),
                self.version,
            )
        )
        if body.startswith(FATAL):
            await self._crash(body.decode(), req.headers.get(RELAY_HEADER, ""))
        headers = answer_headers(got.request_id) | says
        if self._fails(req.path):
            return web.Response(status=500, headers=headers)
        if self.bad is Bad.SLOW:
            await asyncio.sleep(_SLOW_S)
        if req.path.startswith(("/live/", "/again/")):
            return await self._stream(req, got.request_id, got.last_event, headers)
        await asyncio.sleep(_WORK_S)
        return web.json_response({"request": got.request_id}, headers=headers)

    def _says(self, relay: str) -> dict[str, str]:
        """Return what an answer to a relay says of this endpoint, and note it."""
        told = Told(
            self.name,
            relay,
            time.monotonic(),
            self.limit,
            self.said_leaving,
            self.rest,
        )
        self._log.told.append(told)
        return notice_headers(told.limit, told.leaving, told.rest)

    def _fails(self, path: str) -> bool:
        """Return whether a bad version fails this request."""
        on_route = self.bad is Bad.ONE_ROUTE and path.startswith("/safe/")
        return self.bad is Bad.FAILS or on_route

    async def _stream(
        self, req: web.BaseRequest, request_id: str, last: str, headers: dict[str, str]
    ) -> web.StreamResponse:
        stopped = self._stopped[request_id] = asyncio.Event()
        resp = web.StreamResponse(headers=headers)
        resp.content_type = "text/event-stream"
        resp.enable_chunked_encoding()
        try:
            await resp.prepare(req)
            for number in range(int(last or 0) + 1, event_count(request_id) + 1):
                await resp.write(f"id: {number}\ndata: {request_id}\n\n".encode())
                await asyncio.sleep(_PACE_S)
                if stopped.is_set() and req.transport is not None:
                    req.transport.abort()
                    return resp
            await resp.write_eof()
        except ConnectionError:
            return resp
        finally:
            self._stopped.pop(request_id, None)
        return resp

    async def _crash(self, body: str, relay: str) -> None:
        """End as a process does that is killed: connections reset, none taken."""
        self._log.fatal.append(FatalRun(body, self.name, relay, time.monotonic()))
        await asyncio.sleep(_WORK_S)
        if not self.crashed:
            self.crashed = True
            await self.proxy.stop()
            self.on_crash(self)

    async def stop(self) -> None:
        """Be gone at once: open connections are cut."""
        await self.proxy.stop()
        if self._runner is not None:
            await self._runner.cleanup()
