"""Simulated plain service, some of whose calls must not be repeated."""

import asyncio
from typing import Any, NamedTuple

from aiohttp import web

from ebonydeal._internal.models.endpoints import LoadReport
from ebonydeal._internal.outside.http import ATTEMPT_HEADER
from ebonydeal._internal.standin.endpoint import (
    EndpointFault,
    StandinEndpoint,
    not_run,
)
from ebonydeal._internal.standin.expected_answers import call_digest, expected_answer
from ebonydeal._internal.standin.server import abort_connection
from ebonydeal._internal.utils.clock import Clock

KEY_HEADER = "Idempotency-Key"


class ServiceSpec(NamedTuple):
    """Capabilities of a simulated plain service.

    Attributes
    ----------
    slots : int
        Maximum number of concurrent calls.
    work_seconds : float
        Seconds that a call takes; its effect occurs halfway.
    load_lag : float
        Seconds for which a load report is reused.
    """

    slots: int = 32
    work_seconds: float = 0.02
    load_lag: float = 0.5

    def at_speed(self, factor: float) -> "ServiceSpec":
        """Return the same service, running ``factor`` times as fast."""
        return self._replace(
            work_seconds=self.work_seconds / factor, load_lag=self.load_lag / factor
        )


class StandinService(StandinEndpoint):
    """Runs each call that arrives, and logs the run.

    It ignores the idempotency key: a call that arrives twice runs twice, and
    the log shows it. A running call continues if its caller disconnects.

    Parameters
    ----------
    endpoint_id : str
        Id of the service's instance.
    spec : ServiceSpec
        Capabilities of the service.
    clock : Clock, optional
        Clock of all delays.
    port : int
        0 picks a free port.
    """

    kind = "service"

    def __init__(
        self,
        endpoint_id: str,
        spec: ServiceSpec,
        *,
        clock: Clock | None = None,
        port: int = 0,
    ) -> None:
        super().__init__(endpoint_id, spec.slots, spec.load_lag, clock=clock, port=port)
        self.spec = spec
        self._tasks: set[asyncio.Task[None]] = set()
        self.app.router.add_route("*", "/{path:.*}", self._serve_call)

    def measure_load(self) -> LoadReport:
        """Return the current load."""
        return LoadReport(
            running=self.slots.running,
            waiting=self.slots.waiting,
            slots=self.slots.count,
            kv_used=0.0,
            tokens_per_s=0.0,
            at=self.clock.wall(),
        )

    async def kill(self) -> None:
        """Stop at once; running calls are not completed."""
        await super().kill()
        for task in self._tasks:
            task.cancel()

    async def on_stop(self) -> None:
        """Cancel the running calls."""
        for task in self._tasks:
            task.cancel()

    async def _serve_call(self, req: web.Request) -> web.StreamResponse:
        body = await req.read()
        fault = self.faults.pop_next().fault
        reason = ""
        if self.is_leaving and self.refuses_when_leaving:
            reason = "leaving"
        elif fault is EndpointFault.REFUSE:
            reason = "refused"
        entry = self._log_arrival(req, body, reason)
        if reason:
            return not_run(reason, self.refusal_headers())
        if fault is EndpointFault.ERROR:
            return web.json_response({}, status=500)
        if fault is EndpointFault.BREAK_BEFORE:
            return abort_connection(req)
        task = asyncio.ensure_future(self._work(entry))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        await asyncio.shield(task)
        return await self._answer(req, body, fault)

    def _log_arrival(
        self, req: web.Request, body: bytes, refused: str
    ) -> dict[str, Any]:
        """Create the log entry of a call."""
        since_leaving = None
        if self.leaving_since is not None:
            since_leaving = self.clock.now() - self.leaving_since
        entry = {
            "attempt_id": req.headers.get(ATTEMPT_HEADER, ""),
            "key": req.headers.get(KEY_HEADER, ""),
            "digest": call_digest(req.method, req.path_qs, body),
            "at": self.clock.wall(),
            "after_leaving": since_leaving,
            "refused": refused,
            "ran": False,
        }
        self.entries.append(entry)
        return entry

    async def _work(self, entry: dict[str, Any]) -> None:
        """Run a call; its effect occurs halfway."""
        await self.slots.acquire(1)
        try:
            await self.simulate_work(self.spec.work_seconds / 2)
            entry["ran"] = True
            await self.simulate_work(self.spec.work_seconds / 2)
        finally:
            self.slots.release()

    async def _answer(
        self, req: web.Request, body: bytes, fault: EndpointFault
    ) -> web.StreamResponse:
        """Send the answer, or inject the fault."""
        text = expected_answer(req.method, req.path_qs, body)
        match fault:
            case EndpointFault.STALL:
                await asyncio.Event().wait()
            case EndpointFault.BREAK:
                return abort_connection(req)
            case EndpointFault.GARBAGE:
                if req.transport is not None:
                    req.transport.write(b"\x00\xffnonsense\r\n\r\n")
                return close_after_send(req)
            case EndpointFault.TRUNCATE:
                return await self._send_half(req, text)
        return web.Response(
            text=text, content_type="application/json", headers=self.load_headers()
        )

    async def _send_half(self, req: web.Request, text: str) -> web.StreamResponse:
        """Announce the length of the whole body, but send only half of it."""
        resp = web.StreamResponse(headers=self.load_headers())
        resp.content_length = len(text)
        await resp.prepare(req)
        await resp.write(text[: len(text) // 2].encode())
        return close_after_send(req, resp)


def close_after_send(
    req: web.Request, resp: web.StreamResponse | None = None
) -> web.StreamResponse:
    """Close the connection after the written data is sent."""
    if req.transport is not None:
        req.transport.close()
    return resp or web.Response(status=500)
