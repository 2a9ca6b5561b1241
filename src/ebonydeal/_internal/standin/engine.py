"""Simulated model engine."""

import asyncio
import random
from typing import Any

from aiohttp import web
from mode import Service

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.endpoints import LoadReport
from ebonydeal._internal.outside.http import ATTEMPT_HEADER
from ebonydeal._internal.standin.attempts import Attempt, AttemptState, EngineSpec
from ebonydeal._internal.standin.cache import PrefixCache
from ebonydeal._internal.standin.endpoint import (
    EndpointFault,
    StandinEndpoint,
    not_run,
)
from ebonydeal._internal.standin.generation import Generation
from ebonydeal._internal.standin.kv import KvStore
from ebonydeal._internal.standin.orders import Orders
from ebonydeal._internal.standin.server import abort_connection
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.web import read_json


class StandinEngine(StandinEndpoint):
    """Generates deterministic answers at the speed of a real engine.

    Parameters
    ----------
    endpoint_id : str
        Id of the engine's instance.
    models : tuple of str
        Models that are loaded from the start.
    spec : EngineSpec
        Capabilities of the engine.
    rng : random.Random
        Decides which cache events are lost.
    clock : Clock, optional
        Clock of all delays.
    port : int
        0 picks a free port.
    """

    kind = "engine"

    def __init__(
        self,
        endpoint_id: str,
        models: tuple[str, ...],
        spec: EngineSpec,
        rng: random.Random,
        *,
        clock: Clock | None = None,
        port: int = 0,
    ) -> None:
        super().__init__(endpoint_id, spec.slots, spec.load_lag, clock=clock, port=port)
        self.spec = spec
        self.orders = Orders(models, spec.checks_fence)
        self.cache = PrefixCache(
            spec.cache_blocks, spec.event_lag, spec.event_loss, rng
        )
        self.kv = KvStore(endpoint_id)
        self._attempts: dict[str, Attempt] = {}
        self._add_routes(self.app.router)

    def _add_routes(self, router: web.UrlDispatcher) -> None:
        router.add_post("/v1/chat/completions", self._serve_stream)
        router.add_post("/v1/completions", self._serve_stream)
        router.add_post("/cancel", self._serve_cancel)
        router.add_post("/kv/export", self._serve_export)
        router.add_post("/kv/import", self._serve_import)
        router.add_get("/kv/{handle}", self._serve_kv)
        router.add_get("/cache/events", self._serve_events)
        router.add_post("/orders", self._serve_order)
        router.add_get("/orders", self._serve_order_in_force)

    async def on_stop(self) -> None:
        """Close the HTTP client that fetches KV copies."""
        await self.kv.close()

    @Service.task
    async def _load_models(self) -> None:
        """Load the ordered models, one after another."""
        while not self.should_stop:
            model = await self.orders.wait_for_missing()
            await self.simulate_work(self.spec.load_seconds)
            self.orders.set_loaded(model)

    def measure_load(self) -> LoadReport:
        """Return the current load."""
        batch_share = min(1.0, self.slots.running / self.slots.count)
        return LoadReport(
            running=self.slots.running,
            waiting=self.slots.waiting,
            slots=self.slots.count,
            kv_used=self.cache.used,
            tokens_per_s=self.spec.tokens_per_s
            * (1.0 - self.spec.batch_slowdown * batch_share),
            at=self.clock.wall(),
        )

    async def _serve_stream(self, req: web.Request) -> web.StreamResponse:
        body = await read_json(req)
        attempt_id = req.headers.get(ATTEMPT_HEADER, "")
        attempt = Attempt.from_request(req.path, body, attempt_id)
        fault = self.faults.pop_next()
        reason = self._refusal(attempt, fault.fault)
        self._log_arrival(attempt, reason)
        if reason:
            return not_run(reason, self.refusal_headers())
        if fault.fault is EndpointFault.ERROR:
            return web.json_response({}, status=500)
        if fault.fault is EndpointFault.BREAK_BEFORE:
            return abort_connection(req)
        if not await self._take_slot(attempt):
            return not_run("cancelled", self.load_headers())
        try:
            run = Generation(self, self.spec, self.cache, self.kv, attempt, fault)
            return await run.run(req)
        except ConnectionError:
            return abort_connection(req)
        finally:
            self.slots.release()

    def _refusal(self, attempt: Attempt, fault: EndpointFault) -> str:
        """Return why an attempt is refused, or an empty string."""
        if attempt.model not in self.orders.loaded:
            return "model not loaded"
        if self.is_leaving and self.refuses_when_leaving:
            return "leaving"
        return "refused" if fault is EndpointFault.REFUSE else ""

    def _log_arrival(self, attempt: Attempt, refused: str) -> None:
        """Create the log entry of an attempt."""
        since_leaving = None
        if self.leaving_since is not None:
            since_leaving = self.clock.now() - self.leaving_since
        if refused:
            attempt.state = AttemptState.NOT_STARTED
        else:
            self._attempts[attempt.attempt_id] = attempt
        attempt.entry.update(
            at=self.clock.wall(), after_leaving=since_leaving, refused=refused
        )
        attempt.update_entry()
        self.entries.append(attempt.entry)

    async def _take_slot(self, attempt: Attempt) -> bool:
        """Wait for a slot; return False if the attempt is cancelled first."""
        waiter = asyncio.ensure_future(self.slots.acquire(attempt.priority))
        attempt.waiter = waiter
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self.slots.release()
            was_cancelled = attempt.state is AttemptState.NOT_STARTED
            attempt.state = AttemptState.NOT_STARTED
            attempt.update_entry()
            if was_cancelled:
                return False
            raise
        if attempt.state is AttemptState.STOPPED:
            self.slots.release()
            return False
        return True

    def _running_attempt(self, attempt_id: Any) -> Attempt:
        """Return a running attempt, or raise NOT_FOUND."""
        attempt = self._attempts.get(str(attempt_id))
        if attempt is None or attempt.state is not AttemptState.RUNNING:
            raise EbonydealError(ErrorKind.NOT_FOUND, "no such attempt is running")
        return attempt

    async def _serve_cancel(self, req: web.Request) -> web.Response:
        body = await read_json(req)
        attempt = self._attempts.get(str(body.get("attempt_id")))
        if attempt is None:
            return web.json_response({"state": "unknown", "tokens": 0})
        self._cancel(attempt)
        state, tokens = str(attempt.state), attempt.position
        if attempt.state is AttemptState.DROPPED:
            state = "stopped"
        return web.json_response({"state": state, "tokens": tokens})

    def _cancel(self, attempt: Attempt) -> None:
        """Stop an attempt, whether queued or running."""
        if attempt.state is AttemptState.QUEUED and attempt.waiter is not None:
            attempt.state = AttemptState.NOT_STARTED
            if not attempt.waiter.cancel():
                # It has just received its slot and is about to run.
                attempt.state = AttemptState.STOPPED
        elif attempt.state is AttemptState.RUNNING:
            attempt.state = AttemptState.STOPPED
        attempt.update_entry()

    async def _serve_export(self, req: web.Request) -> web.Response:
        attempt = self._running_attempt((await read_json(req)).get("attempt_id"))
        attempt.state = AttemptState.STOPPED
        copy = self.kv.export(attempt)
        await self.simulate_work(copy.tokens / self.spec.kv_tokens_per_s)
        size = copy.tokens * self.spec.kv_gb_per_token
        return web.json_response(
            {"handle": copy.handle, "tokens": copy.tokens, "gb": size}
        )

    async def _serve_import(self, req: web.Request) -> web.Response:
        body = await read_json(req)
        copy = await self.kv.import_copy(
            str(body.get("handle")), str(body.get("source"))
        )
        await self.simulate_work(copy.tokens / self.spec.kv_tokens_per_s)
        return web.json_response({"tokens": copy.tokens})

    async def _serve_kv(self, req: web.Request) -> web.Response:
        return web.json_response(self.kv.exported_message(req.match_info["handle"]))

    async def _serve_events(self, req: web.Request) -> web.Response:
        after = int(req.query.get("after", "0"))
        events = self.cache.events(after, self.clock.now())
        return web.json_response({"events": [item._asdict() for item in events]})

    async def _serve_order(self, req: web.Request) -> web.Response:
        self.orders.apply(await read_json(req))
        return web.json_response({})

    async def _serve_order_in_force(self, _req: web.Request) -> web.Response:
        return web.json_response(self.orders.to_message())
