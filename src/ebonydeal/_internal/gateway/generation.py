"""Chat completions and completions: complete answers and streams."""

import asyncio
from contextlib import aclosing
from typing import NamedTuple

from aiohttp import web

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.gateway.answers import (
    DONE,
    AnswerBuilder,
    Usage,
    error_event,
    usage,
)
from ebonydeal._internal.gateway.caller_errors import error_for_caller
from ebonydeal._internal.gateway.events import EventIds, ResumePoint, read_event_id
from ebonydeal._internal.gateway.intake import (
    REQUEST_ID,
    Intake,
    build_job,
    may_have_run,
)
from ebonydeal._internal.gateway.live_stream import LiveStream, Piece
from ebonydeal._internal.gateway.output import StreamOutput
from ebonydeal._internal.gateway.parse import GenerationCall, parse_generation
from ebonydeal._internal.gateway.ports import AdmissionPort, PeerPort, Ticket
from ebonydeal._internal.gateway.reconnect import (
    DeliveredTokenFilter,
    Reconnector,
    RetainedAnswers,
    delivered_count,
)
from ebonydeal._internal.gateway.stream_runner import StreamRunner
from ebonydeal._internal.models.requests import RequestKind
from ebonydeal._internal.observe.counters import Event, Metrics, Timing
from ebonydeal._internal.observe.trail import Step, Trails
from ebonydeal._internal.settings.gateway import GatewaySettings
from ebonydeal._internal.utils.clock import Clock

LAST_EVENT_HEADER = "Last-Event-ID"


class GenerationParts(NamedTuple):
    """Dependencies of the generation handlers."""

    intake: Intake
    admission: AdmissionPort
    runner: StreamRunner
    reconnector: Reconnector
    interrupted: RetainedAnswers
    finished: RetainedAnswers
    metrics: Metrics
    trails: Trails
    clock: Clock


class Generation:
    """Handlers of chat completions and completions.

    Parameters
    ----------
    parts : GenerationParts
        Dependencies.
    cfg : GatewaySettings
        Limits.
    credential : str
        Peer credential, which authenticates event ids.
    peers : PeerPort
        Provides the peer address of this gateway.
    """

    def __init__(
        self,
        parts: GenerationParts,
        cfg: GatewaySettings,
        credential: str,
        peers: PeerPort,
    ) -> None:
        self._parts = parts
        self._cfg = cfg
        self._credential = credential
        self._peers = peers

    async def chat(self, req: web.Request) -> web.StreamResponse:
        """``POST /v1/chat/completions``."""
        return await self._generate(req, RequestKind.CHAT)

    async def completion(self, req: web.Request) -> web.StreamResponse:
        """``POST /v1/completions``."""
        return await self._generate(req, RequestKind.COMPLETION)

    async def _generate(
        self, req: web.Request, kind: RequestKind
    ) -> web.StreamResponse:
        """Parse, admit and answer one call."""
        parts = self._parts
        started = parts.clock.now()
        account = parts.intake.account(req)
        raw = await parts.intake.body(req)
        call = parse_generation(kind, raw, req.headers).alt(_raise).unwrap()
        resume_point = self._resume_point(req, account.name, call)
        if resume_point is not None:
            req[REQUEST_ID] = resume_point.request_id
        times = parts.intake.request_times(call.options, self._cfg.request_seconds)
        request, deployment = parts.intake.generation_request(
            call, account, req[REQUEST_ID], times, raw
        )
        job = build_job(call, request, deployment)
        parts.trails.add_step(
            request.request_id,
            times.received_at,
            Step.RECEIVED,
            deployment=deployment.name,
            model=call.model,
            priority=request.priority.name.lower(),
            prompt_tokens=request.prompt_tokens,
        )
        live = LiveStream(job)
        if resume_point is not None:
            live = await parts.reconnector.resume(resume_point, job)
        ticket = await parts.admission.admit(request, deployment)
        parts.trails.add_step(request.request_id, parts.clock.wall(), Step.ADMITTED)
        try:
            resp = await self._answer(req, call, live, resume_point, started)
        finally:
            self._release(ticket, live)
        parts.metrics.count(Event.ANSWERED)
        parts.metrics.record_duration(Timing.REQUEST, parts.clock.now() - started)
        parts.trails.add_step(
            request.request_id,
            parts.clock.wall(),
            Step.ANSWERED,
            tokens=len(live.delivered),
            tries=live.attempt_count,
        )
        return resp

    def _resume_point(
        self, req: web.Request, account: str, call: GenerationCall
    ) -> ResumePoint | None:
        """Return the resume point of a caller that reconnects, or None."""
        event_id = req.headers.get(LAST_EVENT_HEADER)
        if event_id is None:
            return None
        if not call.stream:
            detail = "Last-Event-ID is only valid for streams"
            raise EbonydealError(ErrorKind.BAD_REQUEST, detail)
        return read_event_id(event_id, self._credential, account)

    @staticmethod
    def _release(ticket: Ticket, live: LiveStream) -> None:
        """Release the request's share of the limits; reports the tokens used."""
        ticket.release(live.job.request.prompt_tokens + len(live.delivered))

    async def _answer(
        self,
        req: web.Request,
        call: GenerationCall,
        live: LiveStream,
        resume_point: ResumePoint | None,
        started: float,
    ) -> web.StreamResponse:
        """Generate and send the answer, streamed or complete."""
        request = live.job.request
        builder = AnswerBuilder(
            call.kind, request.request_id, call.model, request.accepted_at
        )
        transport = req.transport
        if transport is not None:
            live.abort = transport.abort
        if call.stream:
            return await self._stream(req, call, live, resume_point, builder, started)
        return await self._complete(live, builder, started)

    async def _complete(
        self, live: LiveStream, builder: AnswerBuilder, started: float
    ) -> web.Response:
        """Return the complete answer."""
        async with aclosing(self._parts.runner.run(live)) as batches:
            async for _batch in batches:
                started = self._time_first_token(started)
        text = "".join(live.delivered)
        body = builder.complete(text, live.finish, self._usage(live))
        return web.Response(body=body, content_type="application/json")

    def _time_first_token(self, started: float) -> float:
        """Record the time to the first token; returns 0.0, so it is recorded once."""
        if started:
            seconds = self._parts.clock.now() - started
            self._parts.metrics.record_duration(Timing.FIRST_TOKEN, seconds)
        return 0.0

    def _usage(self, live: LiveStream) -> Usage:
        """Return the answer's token counts."""
        prompt = live.job.request.prompt_tokens
        return usage(prompt, live.cached_tokens, len(live.delivered))

    # --- streams ---
    async def _stream(
        self,
        req: web.Request,
        call: GenerationCall,
        live: LiveStream,
        resume_point: ResumePoint | None,
        builder: AnswerBuilder,
        started: float,
    ) -> web.StreamResponse:
        """Send the answer as server-sent events."""
        request = live.job.request
        ids = EventIds(
            self._credential, request.account, request.request_id, self._peers.address
        )
        out = StreamOutput(req, live, ids, builder)
        try:
            last = await self._send(out, live, resume_point, ids, started)
            if call.usage:
                last += builder.usage_event(self._usage(live))
            await out.end(last + DONE, self._parts.clock.now())
        except EbonydealError as exc:
            if out.resp is None:
                raise
            self._record_final_error(live, exc)
            error = error_for_caller(exc, may_have_run(req))
            await out.end(error_event(error), self._parts.clock.now())
        except (ConnectionError, asyncio.CancelledError):
            self._retain_interrupted(live)
            raise
        else:
            self._parts.finished.retain(live, self._parts.clock.now())
        assert out.resp is not None
        return out.resp

    async def _send(
        self,
        out: StreamOutput,
        live: LiveStream,
        resume_point: ResumePoint | None,
        ids: EventIds,
        started: float,
    ) -> bytes:
        """Write the missing pieces; return the last batch, which isn't written yet."""
        clock = self._parts.clock
        token_filter = None
        if resume_point is not None and not live.delivered:
            token_filter = DeliveredTokenFilter(resume_point)
        if resume_point is not None and live.delivered:
            await self._replay(out, live, resume_point, ids)
        async with aclosing(self._parts.runner.run(live)) as batches:
            async for batch in batches:
                data = b"".join(
                    out.event(piece)
                    for piece in _missing_pieces(batch, token_filter, ids)
                )
                if data:
                    started = self._time_first_token(started)
                if live.finish:
                    return data
                if data:
                    await out.write(data, clock.now())
        return b""

    async def _replay(
        self,
        out: StreamOutput,
        live: LiveStream,
        resume_point: ResumePoint,
        ids: EventIds,
    ) -> None:
        """Write the retained pieces that the caller lacks."""
        count = delivered_count(resume_point, live.delivered, live.finish)
        ids.add_delivered(live.delivered[:count])
        pieces = [
            Piece(position, text)
            for position, text in enumerate(live.delivered)
            if position >= count
        ]
        if live.finish:
            pieces.append(Piece(len(live.delivered), "", live.finish))
        if pieces:
            data = b"".join(out.event(piece) for piece in pieces)
            await out.write(data, self._parts.clock.now())

    def _retain_interrupted(self, live: LiveStream) -> None:
        """Retain an answer whose caller disconnected, for a reconnect."""
        parts = self._parts
        parts.interrupted.retain(live, parts.clock.now())
        parts.trails.add_step(
            live.request_id,
            parts.clock.wall(),
            Step.CALLER_LEFT,
            delivered=len(live.delivered),
        )

    def _record_final_error(self, live: LiveStream, error: EbonydealError) -> None:
        """Record a final error that is sent inside a stream."""
        parts = self._parts
        parts.metrics.count_refusal(error.kind)
        parts.interrupted.retain(live, parts.clock.now())
        parts.trails.add_step(
            live.request_id,
            parts.clock.wall(),
            Step.REFUSED,
            kind=str(error.kind),
            why=error.detail,
        )


def _missing_pieces(
    batch: list[Piece], token_filter: DeliveredTokenFilter | None, ids: EventIds
) -> list[Piece]:
    """Return the pieces that the caller lacks."""
    if token_filter is None:
        return batch
    missing = []
    for piece in batch:
        if token_filter.is_missing(piece):
            missing.append(piece)
        else:
            ids.add_delivered([piece.text])
    return missing


def _raise(error: EbonydealError) -> None:
    """Raise a parser failure, so that the error middleware handles it."""
    raise error
