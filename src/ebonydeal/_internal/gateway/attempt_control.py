"""Chooses the endpoint of each attempt, starts it and records its end."""

from random import Random
from typing import NamedTuple

from ebonydeal._internal.directory.crash_guard import CrashGuard
from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.gateway.attempts import (
    Attempt,
    AttemptFailed,
    EngineRequest,
    Migrate,
)
from ebonydeal._internal.gateway.background import Spawn
from ebonydeal._internal.gateway.endpoint_health import EndpointHealth, incarnation_of
from ebonydeal._internal.gateway.live_stream import LiveStream, ResumeCause
from ebonydeal._internal.gateway.ports import (
    DirectoryPort,
    RetryPort,
    Route,
    RoutePort,
)
from ebonydeal._internal.gateway.resumption import FINAL_KINDS
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.observe.trail import Step, Trails
from ebonydeal._internal.outside.interfaces import Engine, Resume
from ebonydeal._internal.settings.gateway import GatewaySettings
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.ids import new_token

_NOT_RUN_KINDS = (ErrorKind.CONNECT_FAILED, ErrorKind.ENDPOINT_REFUSED)


class StreamRunnerParts(NamedTuple):
    """Dependencies of the stream runner."""

    engine: Engine
    routes: RoutePort
    retries: RetryPort
    directory: DirectoryPort
    health: EndpointHealth
    crashes: CrashGuard
    metrics: Metrics
    trails: Trails
    clock: Clock
    rng: Random


class AttemptControl:
    """Starts and ends the attempts of answers.

    Parameters
    ----------
    parts : StreamRunnerParts
        Dependencies.
    cfg : GatewaySettings
        Buffer sizes.
    background : callable
        Runs a coroutine to its end, independently of the request.
    """

    def __init__(
        self, parts: StreamRunnerParts, cfg: GatewaySettings, background: Spawn
    ) -> None:
        self._parts = parts
        self._cfg = cfg
        self._background = background

    def choose_route(self, live: LiveStream, allow_failed: bool = True) -> Route | None:
        """Return the endpoint of the next attempt, or None.

        ``allow_failed`` permits endpoints that failed before if there are no others.
        """
        parts = self._parts
        now = parts.clock.wall()
        target, live.target = live.target, None
        if target is not None and not parts.directory.is_leaving(target):
            return Route(target, [])
        live.kv_handle = ""
        route = parts.routes.choose(live.endpoint_query(), now)
        if route is None and live.avoid and allow_failed:
            live.avoid.clear()
            route = parts.routes.choose(live.endpoint_query(), now)
        if route is not None:
            parts.trails.add_step(
                live.request_id, now, Step.SCORED, choices=route.scores
            )
        return route

    def start(self, live: LiveStream, route: Route) -> Attempt:
        """Start an attempt at ``route``."""
        parts = self._parts
        attempt_id = new_token("a", parts.rng)
        resume = None
        if live.delivered:
            resume = Resume(tuple(live.delivered), live.kv_handle)
        request = live.job.request
        engine_request = EngineRequest(request.path, live.job.body, attempt_id, resume)
        attempt = Attempt(
            parts.engine, route, engine_request, self._cfg.buffer_tokens, parts.clock
        )
        live.kv_handle = ""
        live.attempt_count += 1
        parts.trails.add_step(
            live.request_id,
            parts.clock.wall(),
            Step.RESUMED if live.delivered else Step.TRIED,
            endpoint=route.endpoint.endpoint_id,
            incarnation=route.endpoint.incarnation,
            attempt=attempt_id,
            delivered=len(live.delivered),
            kv_moved=bool(resume and resume.kv_handle),
        )
        return attempt

    async def end(
        self,
        live: LiveStream,
        attempt: Attempt,
        ending: AttemptFailed | Migrate | None,
        start: int,
    ) -> None:
        """Stop an attempt, cancel it at the engine and record its outcome."""
        parts = self._parts
        now = parts.clock.wall()
        await attempt.stop()
        gained = len(live.delivered) - start
        live.attempts_without_token = 0 if gained else live.attempts_without_token + 1
        if isinstance(ending, AttemptFailed) and ending.error.kind not in FINAL_KINDS:
            parts.health.record_failure(attempt.route.endpoint, now)
            parts.routes.record_failure(attempt.route, ending.error.kind, now)
            if ending.error.kind in _NOT_RUN_KINDS:
                return
        else:
            parts.routes.record_finished(attempt.route, gained, now)
        if not live.finish:
            self._background(self._cancel(attempt))

    async def _cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt at its engine; errors are ignored, it may be gone."""
        self._parts.metrics.count(Event.CANCELS_SENT)
        try:
            await self._parts.engine.cancel(attempt.route.endpoint, attempt.attempt_id)
        except EbonydealError:
            return

    async def record_silence(
        self, live: LiveStream, attempt: Attempt, error: EbonydealError
    ) -> None:
        """Record that an attempt's engine is silent, unless it was already."""
        if attempt.silent_since is not None:
            return
        attempt.silent_since = self._parts.clock.now()
        self._parts.health.record_failure(
            attempt.route.endpoint, self._parts.clock.wall()
        )
        await self.record_failure(live, attempt.route, error)

    async def record_failure(
        self, live: LiveStream, route: Route, error: EbonydealError
    ) -> None:
        """Record a failed attempt, so that the next one is made elsewhere."""
        await self._parts.crashes.record_failure(
            live.job.request, route.endpoint, error.kind
        )
        live.avoid.add(incarnation_of(route.endpoint))
        live.cause = self._resume_cause(route, error)

    def _resume_cause(self, route: Route, error: EbonydealError) -> ResumeCause:
        """Return the cause to which the loss of the tokens at ``route`` is counted."""
        if self._parts.directory.is_leaving(route.endpoint):
            return ResumeCause.RECLAIM
        if error.kind is ErrorKind.ENDPOINT_STALLED:
            return ResumeCause.STALLED
        return ResumeCause.FAILED
