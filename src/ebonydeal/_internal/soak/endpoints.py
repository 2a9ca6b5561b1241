"""Simulated endpoints: they run requests, stream events, leave and crash."""

import asyncio
import json
import sys
import time
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple
from weakref import WeakKeyDictionary

from aiohttp import web

from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.platform.server_side import (
    HANDLE_PREFIX,
    MOVE_PATH,
    REPORT_PATH,
    ReceivedRequest,
    answer_headers,
    migration_body,
    not_run_headers,
    notice_headers,
    read_migration_order,
    read_received_request,
    report_body,
)
from ebonydeal._internal.soak.link_cuts import ENDPOINT_HOST, LinkCuts
from ebonydeal._internal.soak.moved_runs import KvCaches
from ebonydeal._internal.soak.proxy import Proxy
from ebonydeal._internal.soak.records import (
    Announcement,
    Arrival,
    BrokenRun,
    ClosedRun,
    FatalRun,
    Log,
    Run,
    event_count,
)
from ebonydeal._internal.utils.close_delimited import CloseDelimitedResponse

SERVICE = "play"
PLAIN_SERVICE = "page"
# Clients name the relay that they send to in this header; the relay forwards it.
RELAY_HEADER = "X-Asked-Relay"
# A request whose body has this prefix crashes the endpoint that runs it.
FATAL_PREFIX = b"fatal"
# The answer to a request whose body has this prefix is large.
LARGE_ANSWER_PREFIX = b"large"
# No two bodies of requests with a fatal part are equal: a number follows this.
BODY_NUMBER = "#"
_LARGE_ANSWER_BYTES = 2_000_000
_EVENT_INTERVAL_S = 0.03
_RUN_TIME_S = 0.02
_SHUTDOWN_TIMEOUT_S = 0.1
# Additional response time of a slow version.
_SLOW_DELAY_S = 0.4
# Time after which a running request notices a changed speed.
_SPEED_INTERVAL_S = 0.05
# One of so many refusals comes again.
_LATE_COPY_INTERVAL = 3
# What a stream lacks of its last event where it breaks off.
_CUT_BYTES = 3
# Time in which the end of a stream passes the proxy.
_FLUSH_S = 0.2


def _copy_of(status: int, headers: dict[str, str]) -> bytes:
    """Return an answer without a body as it is sent."""
    fields = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    head = f"HTTP/1.1 {status} Refused\r\n{fields}Content-Length: 0\r\n\r\n"
    return head.encode()


def _stream_id(got: ReceivedRequest) -> str:
    """Return the request that began the stream."""
    return got.first_attempt or got.request_id


def _is_cut(got: ReceivedRequest) -> bool:
    """Return whether a run without a length breaks off: one of three does."""
    return int(got.request_id[:4], 16) % 3 == 0


class VersionDefect(StrEnum):
    """Defects of an endpoint's software version."""

    NONE = "no"
    FAILS = "fails"
    SLOW = "slow"
    ONE_ROUTE = "one route"


class EndpointSpec(NamedTuple):
    """The service of an endpoint, and how it runs plain requests.

    It runs ``concurrency`` at once, all of them if that is 0, and queues the others. A
    request takes ``run_s`` seconds, divided by the endpoint's speed, and
    ``overload_factor`` times as long while more than ``knee`` run; a knee of 0 is none.
    ``slots`` are those that the endpoint is listed with. ``proxied`` is False for one
    that gets no faults and many requests.
    """

    service: str = SERVICE
    run_s: float = _RUN_TIME_S
    concurrency: int = 0
    slots: int = 64
    knee: int = 0
    overload_factor: float = 3.0
    proxied: bool = True


DEFAULT_SPEC = EndpointSpec()


class SoakEndpoint:
    """One endpoint behind its own proxy.

    ``cuts`` are the cuts between relays and endpoints. ``kv_caches`` are those of
    stopped runs, at all endpoints; ``version`` is the software version, which has
    ``defect``.
    """

    def __init__(
        self,
        name: str,
        log: Log,
        kv_caches: KvCaches,
        version: str = "",
        defect: VersionDefect = VersionDefect.NONE,
        cuts: LinkCuts | None = None,
        spec: EndpointSpec = DEFAULT_SPEC,
        reclaimable: bool = True,
    ) -> None:
        self._reclaimable = reclaimable
        self._cuts = cuts or LinkCuts()
        self._spec = spec
        # Relative speed at which plain requests run, and how many run.
        self.speed = 1.0
        self._running = 0
        self._free_slots = asyncio.Semaphore(spec.concurrency or sys.maxsize)
        self.name = name
        self.version = version
        self.defect = defect
        self._log = log
        self._kv_caches = kv_caches
        self._stopped: dict[str, asyncio.Event] = {}
        # Requests of streams that run or have just ended, by the event of their stop.
        self._streams: dict[asyncio.Event, str] = {}
        self._leaves_at: float | None = None
        self._runner: web.ServerRunner | None = None
        self.proxy = Proxy("127.0.0.1:0", cuts=self._cuts)
        # Where relays reach it.
        self._address = ""
        self.crashed = False
        # How many requests were refused, and the copies that are to come.
        self._refusals = 0
        self._late_copies: WeakKeyDictionary[asyncio.BaseTransport, bytes] = (
            WeakKeyDictionary()
        )
        # Announced in responses: a limit, that it leaves, and a backoff. During a
        # backoff all requests are refused.
        self.limit: float | None = None
        self.announces_leaving = False
        self.backoff_s = 0.0
        # Whether it refuses every second request when that first comes, and those that
        # came.
        self.is_full = False
        self._came: set[str] = set()
        # Whether its streams have neither a length nor chunks; some of them then break
        # off within an event.
        self.omits_lengths = False
        self.refuses_all = False
        # Seconds for which its streams are silent, midway; 0 for none.
        self.silence_s = 0.0
        # Called when a request has crashed the endpoint.
        self.on_crash: Callable[[SoakEndpoint], None] = lambda _endpoint: None

    async def start(self) -> "SoakEndpoint":
        """Listen on free ports."""
        server = web.Server(self._handle, access_log=None, handler_cancellation=True)
        self._runner = web.ServerRunner(server, shutdown_timeout=_SHUTDOWN_TIMEOUT_S)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        await self.proxy.stop()
        self._address = target = f"{host}:{port}"
        if not self._spec.proxied:
            return self
        self.proxy = await Proxy(target, cuts=self._cuts, host=ENDPOINT_HOST).start()
        self._address = self.proxy.address
        return self

    def member(self, leaving: bool = False) -> Member:
        """Return the endpoint's entry for the store."""
        return Member(
            self.name,
            self._spec.service,
            self._address,
            "z1",
            self._spec.slots,
            leaving,
            None,
            self._reclaimable,
            0.0,
            0,
            version=self.version,
        )

    def set_leave_time(self, seconds: float) -> None:
        """Set the time at which the endpoint will be gone."""
        self._leaves_at = time.monotonic() + seconds

    async def _handle(self, req: web.BaseRequest) -> web.StreamResponse:
        if req.transport is not None and req.transport in self._late_copies:
            req.transport.write(self._late_copies.pop(req.transport))
        if req.path == REPORT_PATH:
            left = (
                None if self._leaves_at is None else self._leaves_at - time.monotonic()
            )
            return web.json_response(report_body(left))
        if req.path == MOVE_PATH:
            return await self._migrate(req)
        if req.path.startswith(HANDLE_PREFIX):
            return web.json_response({})
        return await self._run(req)

    async def _migrate(self, req: web.BaseRequest) -> web.Response:
        order = read_migration_order(json.loads(await req.read()))
        stopped = self._stopped.get(order.request_id)
        if stopped is None or stopped.is_set():
            return web.Response(status=404)
        if order.stops:
            stopped.set()
        status, handle = self._kv_caches.move(self._address, order)
        body = migration_body(handle) if handle else {}
        return web.json_response(body, status=status)

    async def _run(self, req: web.BaseRequest) -> web.StreamResponse:
        got = read_received_request(req.headers)
        body = await req.read()
        if got.expected_endpoint != self.name:
            return self._refuse(req, got, 421)
        relay = req.headers.get(RELAY_HEADER, "")
        self._log.arrivals.append(
            Arrival(self.name, relay, got.request_id, time.monotonic())
        )
        notice = self._announce(relay)
        if self.backoff_s > 0.0:
            return self._refuse(req, got, 503, notice)
        if self.refuses_all or (self.is_full and self._is_refused(got.request_id)):
            return self._refuse(req, got, 503, notice)
        if got.kv_cache and not self._kv_caches.take(
            self._address, got.kv_cache, got.request_id
        ):
            return self._refuse(req, got, 503)
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
                self._spec.service == PLAIN_SERVICE,
            )
        )
        if body.startswith(FATAL_PREFIX):
            await self._crash(body.decode(), req.headers.get(RELAY_HEADER, ""))
        headers = answer_headers(got.request_id) | notice
        if self._must_fail(req.path):
            return web.Response(status=500, headers=headers)
        if self.defect is VersionDefect.SLOW:
            await asyncio.sleep(_SLOW_DELAY_S)
        if req.path.startswith(("/live/", "/again/")):
            return await self._stream(req, got, headers)
        await self._work()
        answer = {"request": got.request_id}
        if body.startswith(LARGE_ANSWER_PREFIX):
            answer["padding"] = "x" * _LARGE_ANSWER_BYTES
        return web.json_response(answer, headers=headers)

    def _refuse(
        self,
        req: web.BaseRequest,
        got: ReceivedRequest,
        status: int,
        notice: dict[str, str] | None = None,
    ) -> web.Response:
        """Refuse a request; some refusals come again with the next request."""
        headers = not_run_headers(got.request_id) | (notice or {})
        self._refusals += 1
        is_copied = self.is_full or self._refusals % _LATE_COPY_INTERVAL == 0
        if req.transport is not None and is_copied:
            self._late_copies[req.transport] = _copy_of(status, headers)
        return web.Response(status=status, headers=headers)

    def _is_refused(self, request_id: str) -> bool:
        """Return whether a request comes for the first time, for every second one."""
        is_first = request_id not in self._came
        self._came.add(request_id)
        return is_first and len(self._came) % 2 == 0

    async def _work(self) -> None:
        """Run a plain request, after those that came before it."""
        async with self._free_slots:
            self._running += 1
            try:
                left, now = self._spec.run_s, time.monotonic()
                while left > 0.0:
                    speed = self._current_speed()
                    await asyncio.sleep(min(left / speed, _SPEED_INTERVAL_S))
                    begin, now = now, time.monotonic()
                    left -= (now - begin) * speed
            finally:
                self._running -= 1

    def _current_speed(self) -> float:
        over = 0 < self._spec.knee < self._running
        return self.speed / (self._spec.overload_factor if over else 1.0)

    def _announce(self, relay: str) -> dict[str, str]:
        """Record the announcements to a relay and return their headers."""
        notice = Announcement(
            self.name,
            relay,
            time.monotonic(),
            self.limit,
            self.announces_leaving,
            self.backoff_s,
        )
        self._log.announcements.append(notice)
        return notice_headers(notice.limit, notice.leaving, notice.backoff_s)

    def _must_fail(self, path: str) -> bool:
        """Return whether the version's defect fails this request."""
        on_route = self.defect is VersionDefect.ONE_ROUTE and path.startswith("/safe/")
        return self.defect is VersionDefect.FAILS or on_route

    async def _stream(
        self, req: web.BaseRequest, got: ReceivedRequest, headers: dict[str, str]
    ) -> web.StreamResponse:
        request_id = got.request_id
        stopped = self._stopped[request_id] = asyncio.Event()
        self._streams[stopped] = request_id
        resp = CloseDelimitedResponse() if self.omits_lengths else web.StreamResponse()
        resp.headers.update(headers)
        resp.content_type = "text/event-stream"
        first, end = int(got.last_event or 0) + 1, event_count(_stream_id(got)) + 1
        cut_at = (first + end) // 2 if self.omits_lengths and _is_cut(got) else end
        try:
            await resp.prepare(req)
            for number in range(first, end):
                event = f"id: {number}\ndata: {self.version}\n\n".encode()
                if number == cut_at and req.transport is not None:
                    self._record_broken(request_id)
                    await resp.write(event[:-_CUT_BYTES])
                    req.transport.close()
                    return resp
                if self.silence_s and number == (first + end) // 2:
                    await self._be_silent(request_id)
                await resp.write(event)
                await asyncio.sleep(_EVENT_INTERVAL_S)
                if stopped.is_set() and req.transport is not None:
                    req.transport.abort()
                    return resp
            await resp.write_eof()
        except ConnectionError:
            return resp
        finally:
            # The run may already go on here with its KV cache.
            if self._stopped.get(request_id) is stopped:
                del self._stopped[request_id]
            loop = asyncio.get_running_loop()
            loop.call_later(_FLUSH_S, self._streams.pop, stopped, None)
        return resp

    async def _be_silent(self, request_id: str) -> None:
        """Send nothing for a while; record a connection that is closed meanwhile."""
        try:
            await asyncio.sleep(self.silence_s)
        except asyncio.CancelledError:
            self._log.closed_runs.append(
                ClosedRun(self.name, request_id, time.monotonic())
            )
            raise

    async def _crash(self, body: str, relay: str) -> None:
        """End like a killed process: reset connections and accept none."""
        cause = body.partition(BODY_NUMBER)[0]
        self._log.fatal_runs.append(FatalRun(cause, self.name, relay, time.monotonic()))
        await asyncio.sleep(_RUN_TIME_S)
        if not self.crashed:
            self.crashed = True
            self._break_runs()
            await self.proxy.stop()
            self.on_crash(self)

    @property
    def has_runs(self) -> bool:
        """Whether streams run here, or have just ended."""
        return bool(self._streams)

    def _break_runs(self) -> None:
        """Record the streams that end with the endpoint, and those that it stopped."""
        unused = self._kv_caches.unused_at(self._address)
        for request_id in {*self._streams.values(), *unused}:
            self._record_broken(request_id)

    def _record_broken(self, request_id: str) -> None:
        run = BrokenRun(self.name, request_id, time.monotonic())
        self._log.broken_runs.append(run)

    async def stop(self) -> None:
        """Stop at once and close open connections."""
        self._break_runs()
        await self.proxy.stop()
        # Two faults may stop it at the same time.
        runner, self._runner = self._runner, None
        if runner is not None:
            await runner.cleanup()
