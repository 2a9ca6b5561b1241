"""Calls of plain services that may be repeated: retries and hedges."""

import asyncio
from random import Random
from typing import Any, NamedTuple

from aiohttp import web

from ebonydeal._internal.directory.crash_guard import CrashGuard
from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.gateway.health import Health, incarnation_of
from ebonydeal._internal.gateway.live import retry_reason
from ebonydeal._internal.gateway.ports import (
    DirectoryPort,
    Incarnation,
    RetryPort,
    Route,
    RouteAsk,
    RoutePort,
    TryFailure,
)
from ebonydeal._internal.models.document import Deployment
from ebonydeal._internal.models.requests import Request
from ebonydeal._internal.observe.counters import Metrics, RetryReason
from ebonydeal._internal.observe.trail import Step, Trails
from ebonydeal._internal.outside.interfaces import PlainServices, ServiceAnswer
from ebonydeal._internal.settings.gateway import GatewaySettings
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.ids import new_token

_LOOKUPS = ("GET", "HEAD")


class DirectCall(NamedTuple):
    """A call that goes straight to an endpoint."""

    request: Request
    deployment: Deployment
    body: bytes


class DirectParts(NamedTuple):
    """What direct calls work with."""

    services: PlainServices
    routes: RoutePort
    retries: RetryPort
    directory: DirectoryPort
    health: Health
    crashes: CrashGuard
    metrics: Metrics
    trails: Trails
    clock: Clock
    rng: Random


class DirectCalls:
    """Makes calls that may be repeated.

    Parameters
    ----------
    parts : DirectParts
        Endpoints, decisions and observation.
    cfg : GatewaySettings
        Time limits.
    """

    def __init__(self, parts: DirectParts, cfg: GatewaySettings) -> None:
        self._parts = parts
        self._cfg = cfg

    async def answer(self, call: DirectCall) -> web.Response:
        """Call endpoints until one answers."""
        parts = self._parts
        name = call.deployment.name
        parts.retries.first_send(name, parts.clock.wall())
        avoid: set[Incarnation] = set()
        tries = 0
        while True:
            parts.crashes.check(call.request, may_have_run=tries > 0)
            tries += 1
            try:
                answer = await self._hedged(call, avoid)
            except EbonydealError as exc:
                await self._next_try(call, exc, tries, avoid)
                continue
            return web.Response(
                body=answer.body,
                status=answer.status,
                headers={"Content-Type": answer.content_type},
            )

    async def _next_try(
        self,
        call: DirectCall,
        error: EbonydealError,
        tries: int,
        avoid: set[Incarnation],
    ) -> None:
        """Wait until the next try, or raise the final error at once."""
        parts = self._parts
        now = parts.clock.wall()
        views = parts.directory.views(call.deployment.name)
        if parts.health.any_works(views, avoid, now):
            wait: float | EbonydealError = 0.0
        else:
            failure = TryFailure(
                kind=error.kind,
                deployment=call.deployment.name,
                idempotent=True,
                ran_before=tries > 1,
                first_byte=False,
                deadline=call.request.deadline,
            )
            wait = parts.retries.delay(failure, tries, now)
        if isinstance(wait, EbonydealError):
            raise wait
        parts.metrics.retried(retry_reason(error.kind, 0))
        parts.trails.note(
            call.request.request_id,
            now,
            Step.RETRIED,
            kind=str(error.kind),
            wait=round(wait, 4),
        )
        await parts.clock.sleep(wait)

    def _choose(self, call: DirectCall, avoid: set[Incarnation]) -> Route:
        """Return where to call; raises NO_ENDPOINT."""
        parts = self._parts
        now = parts.clock.wall()
        ask = RouteAsk(call.request, call.deployment, "", avoid=frozenset(avoid))
        route = parts.routes.choose(ask, now)
        if route is None and avoid:
            avoid.clear()
            route = parts.routes.choose(ask._replace(avoid=frozenset()), now)
        if route is None:
            detail = "no endpoint of the service is up"
            raise EbonydealError(ErrorKind.NO_ENDPOINT, detail)
        return route

    async def _hedged(self, call: DirectCall, avoid: set[Incarnation]) -> ServiceAnswer:
        """Call once; a look-up that takes long is tried at a second endpoint."""
        parts = self._parts
        hedge_after = self._cfg.hedge_seconds
        first = self._start(call, avoid)
        if call.request.method not in _LOOKUPS or not hedge_after:
            return await first
        tasks: set[asyncio.Task] = {first}
        timer = asyncio.ensure_future(parts.clock.sleep(hedge_after))
        try:
            await asyncio.wait({first, timer}, return_when=asyncio.FIRST_COMPLETED)
            if not first.done() and self._may_hedge(call, avoid):
                tasks |= self._start_hedge(call, avoid)
            return await _first_success(tasks)
        finally:
            await _cancel_all({timer, *tasks})

    def _may_hedge(self, call: DirectCall, avoid: set[Incarnation]) -> bool:
        """Return whether a second endpoint exists and the budget allows it."""
        views = self._parts.directory.views(call.deployment.name)
        if all(incarnation_of(view) in avoid for view in views):
            return False
        now = self._parts.clock.wall()
        return self._parts.retries.may_hedge(
            call.deployment.name, call.request.deadline, now
        )

    def _start_hedge(
        self, call: DirectCall, avoid: set[Incarnation]
    ) -> set[asyncio.Task[ServiceAnswer]]:
        """Start a second try at another endpoint, if routing has one."""
        parts = self._parts
        now = parts.clock.wall()
        ask = RouteAsk(call.request, call.deployment, "", avoid=frozenset(avoid))
        route = parts.routes.choose(ask, now)
        if route is None:
            return set()
        avoid.add(incarnation_of(route.endpoint))
        parts.metrics.retried(RetryReason.HEDGE)
        parts.trails.note(call.request.request_id, now, Step.HEDGED)
        return {asyncio.create_task(self._once(call, route))}

    def _start(
        self, call: DirectCall, avoid: set[Incarnation]
    ) -> asyncio.Task[ServiceAnswer]:
        """Start a try at an endpoint not tried before; raises NO_ENDPOINT."""
        route = self._choose(call, avoid)
        avoid.add(incarnation_of(route.endpoint))
        return asyncio.create_task(self._once(call, route))

    async def _once(self, call: DirectCall, route: Route) -> ServiceAnswer:
        """Call one endpoint once and report how it went."""
        parts = self._parts
        request = call.request
        left = request.deadline - parts.clock.wall()
        if left <= 0.0:
            detail = "the deadline passed before a try"
            raise EbonydealError(ErrorKind.DEADLINE_EXCEEDED, detail)
        attempt_id = new_token("a", parts.rng)
        parts.trails.note(
            request.request_id,
            parts.clock.wall(),
            Step.TRIED,
            endpoint=route.endpoint.endpoint_id,
            attempt=attempt_id,
            choices=route.scores,
        )
        try:
            answer = await parts.services.call(
                route.endpoint,
                request.method,
                request.path,
                request.headers,
                call.body,
                attempt_id,
                min(left, self._cfg.service_seconds),
            )
        except EbonydealError as exc:
            now = parts.clock.wall()
            parts.health.failed(route.endpoint, now)
            parts.routes.failed(route, exc.kind, now)
            await parts.crashes.record_failure(request, route.endpoint, exc.kind)
            parts.trails.note(
                request.request_id,
                now,
                Step.FAILED,
                attempt=attempt_id,
                kind=str(exc.kind),
            )
            raise
        except asyncio.CancelledError:
            parts.routes.finished(route, 0, parts.clock.wall())
            raise
        now = parts.clock.wall()
        parts.health.worked(route.endpoint, now)
        parts.routes.finished(route, 0, now)
        parts.crashes.record_answer(request, answer.status)
        return answer


async def _first_success(tasks: set[asyncio.Task]) -> Any:
    """Return the first good result; raises the last failure if there is none."""
    pending = tasks
    while True:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        good = [task for task in done if task.exception() is None]
        if good:
            return good[0].result()
        if not pending:
            return done.pop().result()


async def _cancel_all(tasks: set[asyncio.Future]) -> None:
    """End tasks and wait for their ends."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
