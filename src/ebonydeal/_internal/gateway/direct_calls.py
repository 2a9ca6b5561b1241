"""Repeatable calls of plain services: retries and hedges."""

import asyncio
from random import Random
from typing import Any, NamedTuple

from aiohttp import web

from ebonydeal._internal.directory.crash_guard import CrashGuard
from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.gateway.endpoint_health import EndpointHealth, incarnation_of
from ebonydeal._internal.gateway.live_stream import retry_reason
from ebonydeal._internal.gateway.ports import (
    DirectoryPort,
    EndpointQuery,
    FailedAttempt,
    Incarnation,
    RetryPort,
    Route,
    RoutePort,
)
from ebonydeal._internal.models.document import Deployment
from ebonydeal._internal.models.requests import Request
from ebonydeal._internal.observe.counters import Metrics, RetryReason
from ebonydeal._internal.observe.trail import Step, Trails
from ebonydeal._internal.outside.interfaces import PlainServices, ServiceAnswer
from ebonydeal._internal.settings.gateway import GatewaySettings
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.ids import new_token

_HEDGED_METHODS = ("GET", "HEAD")


class DirectCall(NamedTuple):
    """A call that is sent directly to an endpoint."""

    request: Request
    deployment: Deployment
    body: bytes


class DirectParts(NamedTuple):
    """Dependencies of direct calls."""

    services: PlainServices
    routes: RoutePort
    retries: RetryPort
    directory: DirectoryPort
    health: EndpointHealth
    crashes: CrashGuard
    metrics: Metrics
    trails: Trails
    clock: Clock
    rng: Random


class DirectCalls:
    """Sends repeatable calls to endpoints.

    Parameters
    ----------
    parts : DirectParts
        Dependencies.
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
        parts.retries.record_first_send(name, parts.clock.wall())
        avoid: set[Incarnation] = set()
        attempts = 0
        while True:
            parts.crashes.check(call.request, may_have_run=attempts > 0)
            attempts += 1
            try:
                answer = await self._hedged(call, avoid)
            except EbonydealError as exc:
                await self._prepare_retry(call, exc, attempts, avoid)
                continue
            return web.Response(
                body=answer.body,
                status=answer.status,
                headers={"Content-Type": answer.content_type},
            )

    async def _prepare_retry(
        self,
        call: DirectCall,
        error: EbonydealError,
        attempts: int,
        avoid: set[Incarnation],
    ) -> None:
        """Wait until the next attempt, or raise the final error without waiting."""
        parts = self._parts
        now = parts.clock.wall()
        views = parts.directory.views(call.deployment.name)
        if parts.health.any_working(views, avoid, now):
            wait: float | EbonydealError = 0.0
        else:
            failure = FailedAttempt(
                kind=error.kind,
                deployment=call.deployment.name,
                idempotent=True,
                may_have_run=attempts > 1,
                first_byte_received=False,
                deadline=call.request.deadline,
            )
            wait = parts.retries.next_delay(failure, attempts, now)
        if isinstance(wait, EbonydealError):
            raise wait
        parts.metrics.count_retry(retry_reason(error.kind, 0))
        parts.trails.add_step(
            call.request.request_id,
            now,
            Step.RETRIED,
            kind=str(error.kind),
            wait=round(wait, 4),
        )
        await parts.clock.sleep(wait)

    def _choose(self, call: DirectCall, avoid: set[Incarnation]) -> Route:
        """Return the endpoint to call; raises NO_ENDPOINT."""
        parts = self._parts
        now = parts.clock.wall()
        query = EndpointQuery(call.request, call.deployment, "", avoid=frozenset(avoid))
        route = parts.routes.choose(query, now)
        if route is None and avoid:
            avoid.clear()
            route = parts.routes.choose(query._replace(avoid=frozenset()), now)
        if route is None:
            detail = "the service has no available endpoint"
            raise EbonydealError(ErrorKind.NO_ENDPOINT, detail)
        return route

    async def _hedged(self, call: DirectCall, avoid: set[Incarnation]) -> ServiceAnswer:
        """Call an endpoint; a slow GET or HEAD is hedged at a second one."""
        parts = self._parts
        hedge_after = self._cfg.hedge_seconds
        first = self._start_attempt(call, avoid)
        if call.request.method not in _HEDGED_METHODS or not hedge_after:
            return await first
        tasks: set[asyncio.Task] = {first}
        timer = asyncio.ensure_future(parts.clock.sleep(hedge_after))
        try:
            await asyncio.wait({first, timer}, return_when=asyncio.FIRST_COMPLETED)
            if not first.done() and self._can_hedge(call, avoid):
                tasks |= self._start_hedge(call, avoid)
            return await _first_success(tasks)
        finally:
            await _cancel_all({timer, *tasks})

    def _can_hedge(self, call: DirectCall, avoid: set[Incarnation]) -> bool:
        """Return whether an untried endpoint exists and the budget allows a hedge."""
        views = self._parts.directory.views(call.deployment.name)
        if all(incarnation_of(view) in avoid for view in views):
            return False
        now = self._parts.clock.wall()
        return self._parts.retries.try_hedge(
            call.deployment.name, call.request.deadline, now
        )

    def _start_hedge(
        self, call: DirectCall, avoid: set[Incarnation]
    ) -> set[asyncio.Task[ServiceAnswer]]:
        """Start a second attempt at another endpoint, if routing has one."""
        parts = self._parts
        now = parts.clock.wall()
        query = EndpointQuery(call.request, call.deployment, "", avoid=frozenset(avoid))
        route = parts.routes.choose(query, now)
        if route is None:
            return set()
        avoid.add(incarnation_of(route.endpoint))
        parts.metrics.count_retry(RetryReason.HEDGE)
        parts.trails.add_step(call.request.request_id, now, Step.HEDGED)
        return {asyncio.create_task(self._call_endpoint(call, route))}

    def _start_attempt(
        self, call: DirectCall, avoid: set[Incarnation]
    ) -> asyncio.Task[ServiceAnswer]:
        """Start an attempt, preferably at an untried endpoint; raises NO_ENDPOINT."""
        route = self._choose(call, avoid)
        avoid.add(incarnation_of(route.endpoint))
        return asyncio.create_task(self._call_endpoint(call, route))

    async def _call_endpoint(self, call: DirectCall, route: Route) -> ServiceAnswer:
        """Call one endpoint once and record the outcome."""
        parts = self._parts
        request = call.request
        time_left = request.deadline - parts.clock.wall()
        if time_left <= 0.0:
            detail = "the deadline passed before the attempt"
            raise EbonydealError(ErrorKind.DEADLINE_EXCEEDED, detail)
        attempt_id = new_token("a", parts.rng)
        parts.trails.add_step(
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
                min(time_left, self._cfg.service_seconds),
            )
        except EbonydealError as exc:
            now = parts.clock.wall()
            parts.health.record_failure(route.endpoint, now)
            parts.routes.record_failure(route, exc.kind, now)
            await parts.crashes.record_failure(request, route.endpoint, exc.kind)
            parts.trails.add_step(
                request.request_id,
                now,
                Step.FAILED,
                attempt=attempt_id,
                kind=str(exc.kind),
            )
            raise
        except asyncio.CancelledError:
            parts.routes.record_finished(route, 0, parts.clock.wall())
            raise
        now = parts.clock.wall()
        parts.health.record_success(route.endpoint, now)
        parts.routes.record_finished(route, 0, now)
        parts.crashes.record_answer(request, answer.status)
        return answer


async def _first_success(tasks: set[asyncio.Task]) -> Any:
    """Return the first successful result; raises a failure if all tasks fail."""
    pending = tasks
    while True:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        succeeded = [task for task in done if task.exception() is None]
        if succeeded:
            return succeeded[0].result()
        if not pending:
            return done.pop().result()


async def _cancel_all(tasks: set[asyncio.Future]) -> None:
    """Cancel tasks and wait until they end."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
