"""The stream relay: one unbroken answer out of as many tries as it takes."""

from collections.abc import AsyncGenerator
from contextlib import aclosing
from random import Random
from typing import NamedTuple

from ebonydeal._internal.directory.crash_guard import CrashGuard
from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.gateway.attempts import (
    Arrived,
    Attempt,
    Broke,
    Message,
    Move,
    Order,
)
from ebonydeal._internal.gateway.background import Spawn
from ebonydeal._internal.gateway.health import Health, incarnation_of
from ebonydeal._internal.gateway.live import (
    RECOMPUTED,
    LiveStream,
    MoveCause,
    Piece,
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

_NOT_SENT = (ErrorKind.CONNECT_FAILED, ErrorKind.ENDPOINT_REFUSED)


class RelayParts(NamedTuple):
    """What the relay works with."""

    engine: Engine
    routes: RoutePort
    retries: RetryPort
    directory: DirectoryPort
    health: Health
    crashes: CrashGuard
    metrics: Metrics
    trails: Trails
    clock: Clock
    rng: Random


class Relay:
    """Generates answers, going on elsewhere when a try ends early.

    Each token is handed out once and in order: a try starts after the tokens
    delivered so far and its positions are checked against their count.

    Parameters
    ----------
    parts : RelayParts
        Engine, decisions and observation.
    cfg : GatewaySettings
        Time limits and bounds.
    background : callable
        Runs a coroutine to its end, apart from the caller.
    """

    def __init__(
        self,
        parts: RelayParts,
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
        self.live: set[LiveStream] = set()

    async def run(self, live: LiveStream) -> AsyncGenerator[list[Piece], None]:
        """Yield the pieces of an answer as they come, several at once if late.

        Raises the final `EbonydealError` where the answer can't be made whole.
        Closing the iterator cancels what runs.
        """
        self.live.add(live)
        deployment = live.job.deployment.name
        self._parts.retries.first_send(deployment, self._parts.clock.wall())
        try:
            while not live.finish:
                async with aclosing(self._try_once(live)) as batches:
                    async for batch in batches:
                        yield batch
            self._parts.crashes.record_answer(live.job.request)
        finally:
            self.live.discard(live)

    async def _try_once(self, live: LiveStream) -> AsyncGenerator[list[Piece], None]:
        """Run one try; on return the answer is whole or the next try is due."""
        parts = self._parts
        live.check_deadline(parts.clock.wall())
        parts.crashes.check(live.job.request, may_have_run=live.tries > 0)
        route = self._route(live)
        if route is None:
            detail = "no endpoint can take the request"
            await self._after_failure(
                live, None, EbonydealError(ErrorKind.NO_ENDPOINT, detail)
            )
            return
        start = len(live.delivered)
        attempt = self._start(live, route)
        over: Broke | Move | None = None
        try:
            while over is None and not live.finish:
                messages = await attempt.mailbox.take()
                batch, over = self._digest(live, attempt, messages)
                if batch:
                    yield batch
        finally:
            live.attempt = None
            await self._end(live, attempt, over, start)
        match over:
            case Move(target=target, kv_handle=handle):
                self._moved(live, target, handle)
            case Broke(error=error):
                await self._after_failure(live, route, error)

    # --- starting a try ---
    def _route(self, live: LiveStream) -> Route | None:
        """Return where the next try goes."""
        parts = self._parts
        now = parts.clock.wall()
        target, live.target = live.target, None
        if target is not None and not parts.directory.is_leaving(target):
            return Route(target, [])
        live.kv_handle = ""
        route = parts.routes.choose(live.ask(), now)
        if route is None and live.avoid:
            # Better an endpoint that failed before than none.
            live.avoid.clear()
            route = parts.routes.choose(live.ask(), now)
        if route is not None:
            parts.trails.note(live.request_id, now, Step.SCORED, choices=route.scores)
        return route

    def _start(self, live: LiveStream, route: Route) -> Attempt:
        """Start a try at ``route``."""
        parts = self._parts
        attempt_id = new_token("a", parts.rng)
        resume = None
        if live.delivered:
            resume = Resume(tuple(live.delivered), live.kv_handle)
        request = live.job.request
        order = Order(request.path, live.job.body, attempt_id, resume)
        attempt = Attempt(
            parts.engine, route, order, self._cfg.buffer_tokens, parts.clock
        )
        live.attempt = attempt
        live.kv_handle = ""
        live.tries += 1
        parts.trails.note(
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

    # --- while a try runs ---
    def _digest(
        self, live: LiveStream, attempt: Attempt, messages: list[Message]
    ) -> tuple[list[Piece], Broke | Move | None]:
        """Return the pieces of some messages, and the one that ends the try."""
        batch: list[Piece] = []
        for message in messages:
            match message:
                case Arrived(chunk=chunk):
                    try:
                        self._take(live, attempt, chunk, batch)
                    except EbonydealError as exc:
                        return batch, Broke(exc)
                    if live.finish:
                        break
                case Broke() if live.moving:
                    # An export stops the try at its source; its Move follows.
                    continue
                case Broke() | Move():
                    return batch, message
        if batch:
            self._parts.metrics.count(Event.TOKENS_OUT, len(batch))
        return batch, None

    def _take(
        self, live: LiveStream, attempt: Attempt, chunk: Chunk, batch: list[Piece]
    ) -> None:
        """Add a chunk's piece to ``batch``; raises ENDPOINT_GARBAGE for a gap."""
        position = len(live.delivered)
        now = self._parts.clock.now()
        if attempt.first_at is None:
            attempt.first_at = now
            self._first_chunk(live, attempt, chunk)
        if chunk.finish and not chunk.text:
            live.finish = chunk.finish
            batch.append(Piece(position, "", chunk.finish))
            return
        if chunk.position < position:
            self._parts.metrics.count(Event.LATE_ANSWER_DROPPED)
            return
        if chunk.position > position:
            detail = f"token {chunk.position} came in place of {position}"
            raise EbonydealError(ErrorKind.ENDPOINT_GARBAGE, detail)
        if live.last_token_at:
            self._parts.metrics.timed(Timing.BETWEEN_TOKENS, now - live.last_token_at)
        live.last_token_at = now
        live.delivered.append(chunk.text)
        live.finish = chunk.finish
        batch.append(Piece(position, chunk.text, chunk.finish))

    def _first_chunk(self, live: LiveStream, attempt: Attempt, chunk: Chunk) -> None:
        """Report a try's first chunk and count what it had to compute again."""
        parts = self._parts
        route = attempt.route
        seconds = parts.clock.now() - attempt.started_at
        now = parts.clock.wall()
        cached, prefilled = chunk.cached_tokens, chunk.prefilled_tokens
        parts.routes.first_token(route, seconds, cached, prefilled, now)
        parts.health.worked(route.endpoint, now)
        resume = attempt.order.resume
        if live.cause is not None and live.begun:
            parts.metrics.count(RECOMPUTED[live.cause], prefilled)
        else:
            live.begun = True
            live.cached_tokens = cached
            missed = min(prefilled, route.missed_tokens)
            parts.metrics.count(Event.TOKENS_RECOMPUTED_PREFIX, missed)
        if resume is not None and resume.kv_handle:
            parts.metrics.count(Event.KV_IMPORTED)
        parts.trails.note(
            live.request_id,
            now,
            Step.FIRST_TOKEN,
            attempt=attempt.attempt_id,
            seconds=round(seconds, 4),
            cached_tokens=cached,
            prefilled_tokens=prefilled,
        )

    # --- when a try is over ---
    async def _end(
        self, live: LiveStream, attempt: Attempt, over: Broke | Move | None, start: int
    ) -> None:
        """Close a try's connection, tell its engine, and report it to routing."""
        parts = self._parts
        now = parts.clock.wall()
        await attempt.stop()
        gained = len(live.delivered) - start
        live.fruitless = 0 if gained else live.fruitless + 1
        if isinstance(over, Broke) and over.error.kind not in FINAL_KINDS:
            parts.health.failed(attempt.route.endpoint, now)
            parts.routes.failed(attempt.route, over.error.kind, now)
            if over.error.kind in _NOT_SENT:
                return
        else:
            parts.routes.finished(attempt.route, gained, now)
        if not live.finish:
            self._background(self._cancel(attempt))

    async def _cancel(self, attempt: Attempt) -> None:
        """Tell the engine to stop; it may well be gone."""
        self._parts.metrics.count(Event.CANCELS_SENT)
        try:
            await self._parts.engine.cancel(attempt.route.endpoint, attempt.attempt_id)
        except EbonydealError:
            return

    def _moved(
        self, live: LiveStream, target: EndpointView | None, kv_handle: str
    ) -> None:
        """Take note of where the answer goes on."""
        live.moving = False
        live.cause = MoveCause.RECLAIM
        live.target = target
        live.kv_handle = kv_handle
        self._parts.metrics.retried(RetryReason.LEAVING)
        self._parts.metrics.count(Event.STREAMS_MOVED)

    async def _after_failure(
        self, live: LiveStream, route: Route | None, error: EbonydealError
    ) -> None:
        """Wait until the next try, or raise the final error at once."""
        parts = self._parts
        now = parts.clock.wall()
        parts.trails.note(live.request_id, now, Step.FAILED, kind=str(error.kind))
        if error.kind in FINAL_KINDS:
            raise error
        if route is not None:
            await parts.crashes.record_failure(
                live.job.request, route.endpoint, error.kind
            )
            live.avoid.add(incarnation_of(route.endpoint))
            live.cause = self._cause(route, error)
        wait = await self._resumption.wait(live, error)
        parts.metrics.retried(retry_reason(error.kind, len(live.delivered)))
        parts.trails.note(live.request_id, now, Step.RETRIED, wait=round(wait, 4))
        if wait > 0.0:
            await parts.clock.sleep(wait)

    def _cause(self, route: Route, error: EbonydealError) -> MoveCause:
        """Return why the tokens computed at ``route`` are lost."""
        if self._parts.directory.is_leaving(route.endpoint):
            return MoveCause.RECLAIM
        if error.kind is ErrorKind.ENDPOINT_STALLED:
            return MoveCause.STALLED
        return MoveCause.FAILED
