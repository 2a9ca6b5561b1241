"""Generates one continuous answer from one or several attempts."""

from collections.abc import AsyncGenerator
from contextlib import aclosing

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.gateway.attempt_control import (
    AttemptControl,
    StreamRunnerParts,
)
from ebonydeal._internal.gateway.attempt_replacer import AttemptReplacer
from ebonydeal._internal.gateway.attempts import (
    Attempt,
    AttemptFailed,
    ChunkReceived,
    Message,
    Migrate,
    Silent,
    stalled_error,
)
from ebonydeal._internal.gateway.background import Spawn
from ebonydeal._internal.gateway.live_stream import (
    RECOMPUTED_EVENTS,
    LiveStream,
    Piece,
    ResumeCause,
    retry_reason,
)
from ebonydeal._internal.gateway.ports import Route
from ebonydeal._internal.gateway.resumption import FINAL_KINDS, Resumption
from ebonydeal._internal.models.endpoints import EndpointView
from ebonydeal._internal.observe.counters import Event, RetryReason, Timing
from ebonydeal._internal.observe.trail import Step
from ebonydeal._internal.outside.interfaces import Chunk
from ebonydeal._internal.settings.gateway import GatewaySettings


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
        self._control = AttemptControl(parts, cfg, background)
        self._resumption = Resumption(
            parts.retries,
            parts.directory,
            parts.health,
            parts.clock,
            cfg.resume_wait_seconds,
        )
        self._replacer = AttemptReplacer(parts, self._control, self._resumption)
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
            if live.successor is not None:
                await self._control.end(live, live.successor, None, len(live.delivered))

    async def _run_attempt(self, live: LiveStream) -> AsyncGenerator[list[Piece], None]:
        """Run one attempt; on return the answer is complete or another one is due."""
        attempt = live.successor or await self._next_attempt(live)
        if attempt is None:
            return
        live.attempt, live.successor = attempt, None
        start = len(live.delivered)
        ending: AttemptFailed | Migrate | None = None
        try:
            while ending is None and not live.finish:
                messages = await attempt.mailbox.receive()
                batch, message = self._process(live, attempt, messages)
                if batch:
                    yield batch
                ending = await self._ending(live, attempt, message)
        finally:
            live.attempt = None
            await self._control.end(live, attempt, ending, start)
        match ending:
            case Migrate(target=target, kv_handle=handle):
                self._record_migration(live, target, handle)
            case AttemptFailed() if live.successor is not None:
                live.migrating = False
            case AttemptFailed(error=error):
                await self._after_failure(live, attempt.route, error)

    async def _next_attempt(self, live: LiveStream) -> Attempt | None:
        """Start an attempt; None if no endpoint was available and another is due."""
        parts = self._parts
        live.check_deadline(parts.clock.wall())
        parts.crashes.check(live.job.request, may_have_run=live.attempt_count > 0)
        route = self._control.choose_route(live)
        if route is None:
            detail = "no endpoint is available for the request"
            error = EbonydealError(ErrorKind.NO_ENDPOINT, detail)
            await self._after_failure(live, None, error)
            return None
        return self._control.start(live, route)

    async def _ending(
        self,
        live: LiveStream,
        attempt: Attempt,
        message: AttemptFailed | Migrate | Silent | None,
    ) -> AttemptFailed | Migrate | None:
        """Return how an attempt ends by a message; None if it goes on."""
        match message:
            case Migrate(target=target) if not live.migrating:
                live.target = target
                successor = await self._replacer.replace_leaving(live, attempt)
                message = Migrate(None, "")
            case Silent():
                error = stalled_error()
                message = AttemptFailed(error)
                try:
                    successor = await self._replacer.replace_silent(
                        live, attempt, error
                    )
                except EbonydealError:
                    return message
            case _:
                return message
        if successor is None:
            return None
        if self._parts.directory.is_leaving(successor.route.endpoint):
            # Its mark came too early for the stream migrator.
            successor.mailbox.post(Migrate(None, ""))
        return message

    # --- while an attempt runs ---
    def _process(
        self, live: LiveStream, attempt: Attempt, messages: list[Message]
    ) -> tuple[list[Piece], AttemptFailed | Migrate | Silent | None]:
        """Return the pieces of messages, and the one that may end the attempt."""
        batch: list[Piece] = []
        for number, message in enumerate(messages, start=1):
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
                case Silent() if attempt.waiting_since is None or any(
                    isinstance(later, ChunkReceived) for later in messages[number:]
                ):
                    continue
                case AttemptFailed() | Migrate() | Silent():
                    attempt.mailbox.put_back(messages[number:])
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
        attempt.silent_since = None
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
            await self._control.record_failure(live, route, error)
        wait = await self._resumption.wait(live, error)
        parts.metrics.count_retry(retry_reason(error.kind, len(live.delivered)))
        parts.trails.add_step(live.request_id, now, Step.RETRIED, wait=round(wait, 4))
        if wait > 0.0:
            await parts.clock.sleep(wait)
