"""Generates one continuous answer from one or several attempts."""

from collections.abc import AsyncGenerator
from contextlib import aclosing
from random import Random
from typing import NamedTuple

from ebonydeal._internal.directory.crash_guard import CrashGuard
from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.gateway.attempts import (
    Attempt,
    AttemptFailed,
    ChunkReceived,
    EngineRequest,
    Message,
    Migrate,
)
from ebonydeal._internal.gateway.background import Spawn
from ebonydeal._internal.gateway.endpoint_health import EndpointHealth, incarnation_of
from ebonydeal._internal.gateway.live_stream import (
    RECOMPUTED_EVENTS,
    LiveStream,
    Piece,
    ResumeCause,
    retry_reason,
)
from ebonydeal._internal.gateway.ports import (
    DirectoryPort,
    RetryPort,
    Route,
    RoutePort,
)
from ebonydeal._internal.gateway.resumption import FINAL_KINDS, Resumption
from ebonydeal._internal.models.endpoints import EndpointView
from ebonydeal._internal.observe.counters import Event, Metrics, RetryReason, Timing
from ebonydeal._internal.observe.trail import Step, Trails
from ebonydeal._internal.outside.interfaces import Chunk, Engine, Resume
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


class StreamRunner:
    """Generates answers; continues at another endpoint if an attempt ends early.

    Each token is yielded once and in order: an attempt starts after the tokens
    delivered so far, and its positions are checked against their count.

    Parameters
    ----------
    parts : StreamRunnerParts
        Dependencies.
    cfg : GatewaySettings
        Time limits and buffer sizes.
    background : callable
        Runs a coroutine to its end, independently of the request.
    """

    def __init__(
        self,
        parts: StreamRunnerParts,
        cfg: GatewaySettings,
        background: Spawn,
    ) -> None:
        self._parts = parts
        self._cfg = cfg
        self._background = background
        self._resumption = Resumption(
            parts.retries,
            parts.directory,
            parts.health,
            parts.clock,
            cfg.resume_wait_seconds,
        )
        self.live_streams: set[LiveStream] = set()

    async def run(self, live: LiveStream) -> AsyncGenerator[list[Piece], None]:
        """Yield the pieces of an answer in batches as they arrive.

        Raises the final `EbonydealError` if the answer can't be completed.
        Closing the iterator cancels the running attempt.
        """
        self.live_streams.add(live)
        deployment = live.job.deployment.name
        self._parts.retries.record_first_send(deployment, self._parts.clock.wall())
        try:
            while not live.finish:
                async with aclosing(self._run_attempt(live)) as batches:
                    async for batch in batches:
                        yield batch
            self._parts.crashes.record_answer(live.job.request)
        finally:
            self.live_streams.discard(live)

    async def _run_attempt(self, live: LiveStream) -> AsyncGenerator[list[Piece], None]:
        """Run one attempt; on return the answer is complete or another one is due."""
        parts = self._parts
        live.check_deadline(parts.clock.wall())
        parts.crashes.check(live.job.request, may_have_run=live.attempt_count > 0)
        route = self._route(live)
        if route is None:
            detail = "no endpoint is available for the request"
            await self._after_failure(
                live, None, EbonydealError(ErrorKind.NO_ENDPOINT, detail)
            )
            return
        start = len(live.delivered)
        attempt = self._start_attempt(live, route)
        ending: AttemptFailed | Migrate | None = None
        try:
            while ending is None and not live.finish:
                messages = await attempt.mailbox.receive()
                batch, ending = self._process(live, attempt, messages)
                if batch:
                    yield batch
        finally:
            live.attempt = None
            await self._end_attempt(live, attempt, ending, start)
        match ending:
            case Migrate(target=target, kv_handle=handle):
                self._record_migration(live, target, handle)
            case AttemptFailed(error=error):
                await self._after_failure(live, route, error)

    # --- starting an attempt ---
    def _route(self, live: LiveStream) -> Route | None:
        """Return the endpoint of the next attempt, or None."""
        parts = self._parts
        now = parts.clock.wall()
        target, live.target = live.target, None
        if target is not None and not parts.directory.is_leaving(target):
            return Route(target, [])
        live.kv_handle = ""
        route = parts.routes.choose(live.endpoint_query(), now)
        if route is None and live.avoid:
            # If all other endpoints are gone, allow those that failed before.
            live.avoid.clear()
            route = parts.routes.choose(live.endpoint_query(), now)
        if route is not None:
            parts.trails.add_step(
                live.request_id, now, Step.SCORED, choices=route.scores
            )
        return route

    def _start_attempt(self, live: LiveStream, route: Route) -> Attempt:
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
        live.attempt = attempt
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

    # --- while an attempt runs ---
    def _process(
        self, live: LiveStream, attempt: Attempt, messages: list[Message]
    ) -> tuple[list[Piece], AttemptFailed | Migrate | None]:
        """Return the pieces of messages, and the message that ends the attempt."""
        batch: list[Piece] = []
        for message in messages:
            match message:
                case ChunkReceived(chunk=chunk):
                    try:
                        self._accept_chunk(live, attempt, chunk, batch)
                    except EbonydealError as exc:
                        return batch, AttemptFailed(exc)
                    if live.finish:
                        break
                case AttemptFailed() if live.migrating:
                    # An export stops the attempt at its source; a Migrate follows.
                    continue
                case AttemptFailed() | Migrate():
                    return batch, message
        if batch:
            self._parts.metrics.count(Event.TOKENS_OUT, len(batch))
        return batch, None

    def _accept_chunk(
        self, live: LiveStream, attempt: Attempt, chunk: Chunk, batch: list[Piece]
    ) -> None:
        """Add a chunk's piece to ``batch``; raises ENDPOINT_GARBAGE on a gap."""
        position = len(live.delivered)
        now = self._parts.clock.now()
        if attempt.first_at is None:
            attempt.first_at = now
            self._record_first_chunk(live, attempt, chunk)
        if chunk.finish and not chunk.text:
            live.finish = chunk.finish
            batch.append(Piece(position, "", chunk.finish))
            return
        if chunk.position < position:
            self._parts.metrics.count(Event.LATE_ANSWER_DROPPED)
            return
        if chunk.position > position:
            detail = f"received token {chunk.position}, expected token {position}"
            raise EbonydealError(ErrorKind.ENDPOINT_GARBAGE, detail)
        if live.last_token_at:
            self._parts.metrics.record_duration(
                Timing.BETWEEN_TOKENS, now - live.last_token_at
            )
        live.last_token_at = now
        live.delivered.append(chunk.text)
        live.finish = chunk.finish
        batch.append(Piece(position, chunk.text, chunk.finish))

    def _record_first_chunk(
        self, live: LiveStream, attempt: Attempt, chunk: Chunk
    ) -> None:
        """Record an attempt's first chunk and count the recomputed tokens."""
        parts = self._parts
        route = attempt.route
        seconds = parts.clock.now() - attempt.started_at
        now = parts.clock.wall()
        cached, prefilled = chunk.cached_tokens, chunk.prefilled_tokens
        parts.routes.record_first_token(route, seconds, cached, prefilled, now)
        parts.health.record_success(route.endpoint, now)
        resume = attempt.engine_request.resume
        if live.cause is not None and live.has_started:
            parts.metrics.count(RECOMPUTED_EVENTS[live.cause], prefilled)
        else:
            live.has_started = True
            live.cached_tokens = cached
            recomputed = min(prefilled, route.cached_elsewhere_tokens)
            parts.metrics.count(Event.TOKENS_RECOMPUTED_PREFIX, recomputed)
        if resume is not None and resume.kv_handle:
            parts.metrics.count(Event.KV_IMPORTED)
        parts.trails.add_step(
            live.request_id,
            now,
            Step.FIRST_TOKEN,
            attempt=attempt.attempt_id,
            seconds=round(seconds, 4),
            cached_tokens=cached,
            prefilled_tokens=prefilled,
        )

    # --- when an attempt has ended ---
    async def _end_attempt(
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

    def _record_migration(
        self, live: LiveStream, target: EndpointView | None, kv_handle: str
    ) -> None:
        """Record where the answer continues."""
        live.migrating = False
        live.cause = ResumeCause.RECLAIM
        live.target = target
        live.kv_handle = kv_handle
        self._parts.metrics.count_retry(RetryReason.LEAVING)
        self._parts.metrics.count(Event.STREAMS_MOVED)

    async def _after_failure(
        self, live: LiveStream, route: Route | None, error: EbonydealError
    ) -> None:
        """Wait until the next attempt, or raise the final error."""
        parts = self._parts
        now = parts.clock.wall()
        parts.trails.add_step(live.request_id, now, Step.FAILED, kind=str(error.kind))
        if error.kind in FINAL_KINDS:
            raise error
        if route is not None:
            await parts.crashes.record_failure(
                live.job.request, route.endpoint, error.kind
            )
            live.avoid.add(incarnation_of(route.endpoint))
            live.cause = self._resume_cause(route, error)
        wait = await self._resumption.wait(live, error)
        parts.metrics.count_retry(retry_reason(error.kind, len(live.delivered)))
        parts.trails.add_step(live.request_id, now, Step.RETRIED, wait=round(wait, 4))
        if wait > 0.0:
            await parts.clock.sleep(wait)

    def _resume_cause(self, route: Route, error: EbonydealError) -> ResumeCause:
        """Return the cause to which the loss of the tokens at ``route`` is counted."""
        if self._parts.directory.is_leaving(route.endpoint):
            return ResumeCause.RECLAIM
        if error.kind is ErrorKind.ENDPOINT_STALLED:
            return ResumeCause.STALLED
        return ResumeCause.FAILED
