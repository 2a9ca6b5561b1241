"""Streams of events: forwarded as they arrive, and resumed at another endpoint."""

import asyncio
from dataclasses import dataclass
from math import isfinite

from aiohttp import ClientError, HttpVersion11, web
from multidict import CIMultiDict

from ebonydeal._internal.errors import ErrorKind
from ebonydeal._internal.models.forwarding import AnswerHead, Member
from ebonydeal._internal.observe.counters import Event, Timing
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.requests.event_splitter import EventSplitter
from ebonydeal._internal.relay.requests.exchange import Exchange
from ebonydeal._internal.relay.requests.first_event_wait import (
    MIN_EVENT_TIMEOUT_S,
    FirstEventWait,
)
from ebonydeal._internal.relay.requests.job import Job, SendParts
from ebonydeal._internal.relay.requests.migrations import MigratedRun, StreamRun
from ebonydeal._internal.relay.requests.outcomes import (
    Answered,
    MayHaveRun,
    NotSent,
    Outcome,
)
from ebonydeal._internal.relay.requests.plain import (
    client_response,
    head_failure,
    read_body,
    read_failure,
)
from ebonydeal._internal.relay.requests.planned_stop import PlannedStop
from ebonydeal._internal.relay.requests.sends import JobSends
from ebonydeal._internal.utils.bounded_responses import EndlessAnswerError
from ebonydeal._internal.utils.close_delimited import ResetUntilWrittenResponse
from ebonydeal._internal.utils.http_framing import (
    EVENT_STREAM,
    media_type,
    missing_end,
)

logger = get_logger("relay.stream")

_TIMEOUTS = (ErrorKind.ENDPOINT_STALLED, ErrorKind.INSTANCE_STOPPED)


@dataclass
class _ClientStream:
    """The client's side of one stream."""

    http_req: web.BaseRequest
    splitter: EventSplitter
    stop: PlannedStop
    resp: web.StreamResponse | None = None

    async def begin(self, head: AnswerHead) -> web.StreamResponse:
        """Start the answer with the first endpoint's head."""
        headers = CIMultiDict(head.headers)
        resp: web.StreamResponse
        if self.http_req.version < HttpVersion11:
            # These clients know no chunks.
            resp = ResetUntilWrittenResponse(status=head.status, headers=headers)
        else:
            resp = web.StreamResponse(status=head.status, headers=headers)
            resp.enable_chunked_encoding()
        if self.stop.has_begun:
            resp.force_close()
        await resp.prepare(self.http_req)
        self.resp = resp
        return resp

    async def send_whole(self, answer: Answered) -> None:
        """Send an answer that isn't a stream of events."""
        self.resp = client_response(answer)
        await self.resp.prepare(self.http_req)
        await self.resp.write_eof()

    def abort(self) -> None:
        """Abort the connection so that the answer can't look complete."""
        self.http_req.protocol.force_close()


class StreamForwarder:
    """Forwards streams of events."""

    def __init__(self, parts: SendParts) -> None:
        self._parts = parts

    async def answer(self, job: Job, http_req: web.BaseRequest) -> web.StreamResponse:
        """Forward the stream; raises the final error if nothing was forwarded."""
        with self._parts.answer_memory.hold(job.hold_answer) as held:
            client = _ClientStream(http_req, EventSplitter(held), self._parts.stop)
            return await self._forward(job, client)

    async def _forward(self, job: Job, client: _ClientStream) -> web.StreamResponse:
        sends = JobSends(self._parts, job)
        splitter = client.splitter
        splitter.last_id = job.req.last_event
        if job.req.last_event:
            sends.chooser.version = await self._parts.stream_versions.find_version(
                job.req.request_id, job.req.first_attempt, job.service
            )
        migrated: MigratedRun | None = None
        while True:
            try:
                member = await (sends.resume(migrated) if migrated else sends.choose())
                run = self._new_run(sends, member)
                outcome = await self._send(sends, run, client)
                if outcome is None:
                    assert client.resp is not None
                    return client.resp
                migrated = await self._parts.migrator.result(run)
                if migrated is not None:
                    splitter.drop_remainder()
                    continue
                self._count_failed(sends, outcome)
                if isinstance(outcome, Answered) and client.resp is None:
                    if sends.is_final(outcome):
                        return client_response(outcome)
                splitter.drop_remainder()
                sends.check_resend(outcome, delivered=client.resp is not None)
            except Exception as exc:
                if client.resp is None:
                    raise
                self._parts.metrics.count(Event.STREAMS_BROKEN_OFF)
                logger.warning(
                    "Stream broken off.",
                    request=job.req.request_id,
                    endpoint=None if sends.member is None else sends.member.endpoint_id,
                    last_event=splitter.last_id,
                    time_left_s=round(sends.time_left, 3),
                    reason=str(exc),
                )
                client.abort()
                return client.resp

    def _new_run(self, sends: JobSends, member: Member) -> StreamRun:
        """Return the record by which a send's run is watched."""
        req, engine = sends.job.req, sends.chooser.engine
        return StreamRun(
            request_id=req.request_id,
            service=sends.job.service,
            member=member,
            prompt_tokens=req.prompt_tokens or 0,
            expected_tokens=req.length_hint or req.output_tokens,
            event_tokens=1 if engine is None else engine.event_tokens,
        )

    async def _send(
        self, sends: JobSends, run: StreamRun, client: _ClientStream
    ) -> Outcome | None:
        """Make one send; return None once the stream is complete."""
        timeout = sends.time_left
        engine = sends.chooser.engine
        if engine is not None and engine.can_migrate_runs:
            self._parts.migrator.watch(run)
        try:
            async with sends.limited(timeout):
                return await self._exchange(sends, run, client)
        except TimeoutError:
            return sends.timeout_outcome(f"not complete in {timeout:.3f} s")
        finally:
            self._parts.migrator.unwatch(run)
            sends.record_end()

    async def _exchange(
        self, sends: JobSends, run: StreamRun, client: _ClientStream
    ) -> Outcome | None:
        """Send and forward the answer; return None once the stream is complete."""
        parts, job = self._parts, sends.job
        member = run.member
        headers = parts.wire.request_headers(
            job.req, sends.send_metadata(client.splitter.last_id)
        )
        first = FirstEventWait.of_send(parts, sends)
        try:
            async with first.limit():
                sent = await sends.send(member, headers)
        except TimeoutError:
            return MayHaveRun(
                ErrorKind.ENDPOINT_STALLED, "no answer", first.endpoint_fault
            )
        if isinstance(sent, NotSent | MayHaveRun):
            return sent
        try:
            head = parts.wire.read_answer(sent.status, sent.headers)
            sends.read_notice(head)
            failure = head_failure(head, job.req.request_id)
            if isinstance(failure, MayHaveRun):
                return failure
            if failure is not None or head.status != 200:
                # A refusal's body is read too, so that the connection can be reused.
                outcome = await read_body(sends, sent, head)
                return failure or outcome
            failure = await self._relay(sends, run, sent, head, client, first)
            if failure is not None:
                return failure
            sent.release(head.keepalive_s)
        finally:
            sent.close()
        sends.record_answer(head.status)
        now = parts.clock.now()
        if run.events > 1:
            tokens = (run.events - 1) * run.event_tokens
            parts.selector.record_stream(
                run.member, tokens, now - run.first_event_at, now
            )
        return None

    def _event_timeout(self, job: Job) -> asyncio.Timeout:
        """Return the timeout of the next event, after which the request is resent."""
        time_left = max(0.001, job.deadline - self._parts.clock.now())
        if job.at_most_once:
            return asyncio.timeout(time_left)
        wait = job.route.max_event_gap * self._parts.config.gap
        return asyncio.timeout(min(time_left, max(MIN_EVENT_TIMEOUT_S, wait)))

    async def _relay(
        self,
        sends: JobSends,
        run: StreamRun,
        exchange: Exchange,
        head: AnswerHead,
        client: _ClientStream,
        first: FirstEventWait,
    ) -> MayHaveRun | None:
        """Forward events until the end; return what broke the stream, or None."""
        parts, job = self._parts, sends.job
        has_events = False
        received_at = parts.clock.now()
        while True:
            try:
                async with self._event_timeout(job) if has_events else first.limit():
                    data = await exchange.read_some()
            except TimeoutError:
                if has_events and sends.is_last and sends.time_left > 0.0:
                    # No other endpoint can give the answer: keep waiting.
                    continue
                sends.record_silence(received_at)
                self._log_silence(sends, run, received_at)
                return MayHaveRun(
                    ErrorKind.ENDPOINT_STALLED,
                    "no event in time",
                    has_events or first.endpoint_fault,
                )
            except (ClientError, OSError) as exc:
                sends.record_silence(received_at)
                return read_failure("stream", exc)
            if not data:
                break
            run.received += len(data)
            before = client.splitter.count
            try:
                events = client.splitter.feed(data)
            except EndlessAnswerError as exc:
                return read_failure("stream", exc)
            if not events:
                continue
            received_at = parts.clock.now()
            parts.selector.record_activity(run.member.endpoint_id, received_at)
            sends.record_activity()
            run.record_events(client.splitter.count - before, parts.clock.now())
            if not has_events:
                has_events = True
                self._record_first_event(sends, client)
            resp = client.resp or await client.begin(head)
            await resp.write(events)
        return await self._end(sends, run, exchange, head, client)

    def _log_silence(self, sends: JobSends, run: StreamRun, since: float) -> None:
        """Record that a run's next event is late, and whether its endpoint is alive."""
        parts, endpoint_id = self._parts, run.member.endpoint_id
        now = parts.clock.now()
        endpoint_s = parts.selector.seconds_since_activity(endpoint_id, now)
        parts.metrics.count(Event.RUNS_SILENT)
        logger.info(
            "Run is silent.",
            request=run.request_id,
            endpoint=endpoint_id,
            events=run.events,
            silent_s=round(now - since, 3),
            endpoint_silent_s=round(endpoint_s, 3) if isfinite(endpoint_s) else None,
            time_left_s=round(sends.time_left, 3),
        )

    async def _end(
        self,
        sends: JobSends,
        run: StreamRun,
        exchange: Exchange,
        head: AnswerHead,
        client: _ClientStream,
    ) -> MayHaveRun | None:
        """End the client's answer; return why the endpoint's is incomplete, or None."""
        remainder = client.splitter.remainder()
        close_delimited = sends.is_close_delimited(exchange)
        media = media_type(head.headers) or (EVENT_STREAM if run.events else "")
        if close_delimited and await self._was_stopped(run):
            detail = "stream: closed as its run was migrated"
            return MayHaveRun(ErrorKind.ENDPOINT_FAILED, detail)
        missing = None
        if close_delimited or (media == EVENT_STREAM and run.received):
            missing = missing_end(head.status, media, run.received, remainder)
        truncation = await sends.truncation(
            exchange, close_delimited, run.received, missing
        )
        if truncation is not None:
            return MayHaveRun(ErrorKind.ENDPOINT_FAILED, f"stream: {truncation}")
        if client.resp is None and close_delimited:
            await client.send_whole(Answered(head, remainder, close_delimited))
            return None
        resp = client.resp or await client.begin(head)
        if remainder:
            await resp.write(remainder)
        await resp.write_eof()
        return None

    async def _was_stopped(self, run: StreamRun) -> bool:
        """Return whether a run's stream may have been closed by its migration."""
        migrated = await self._parts.migrator.result(run)
        return migrated is not None or run.may_be_stopped

    def _record_first_event(self, sends: JobSends, client: _ClientStream) -> None:
        """Record that the endpoint began to answer."""
        parts, job = self._parts, sends.job
        sends.record_first_event()
        if client.resp is not None:
            return
        parts.metrics.record_duration(
            Timing.FIRST_TOKEN, parts.clock.now() - job.started
        )
        sends.count_run(parts.clock.wall())
        self._record_start(sends)

    def _record_start(self, sends: JobSends) -> None:
        """Record the version that began the stream, or that went on with it."""
        job, member = sends.job, sends.member
        assert member is not None
        sends.chooser.version = member.version
        if job.route.resumable:
            timeout_s = max(job.route.timeout, job.req.client_timeout or 0.0)
            resumed = job.req.last_event and job.req.first_attempt
            first_attempt = resumed or job.req.request_id
            self._parts.stream_versions.record_start(
                first_attempt, job.service, member.version, timeout_s
            )

    def _count_failed(self, sends: JobSends, outcome: Outcome) -> None:
        """Count a run that failed before its first event.

        One that timed out most likely was still queued, so it isn't counted.
        """
        match outcome:
            case Answered():
                sends.count_run(self._parts.clock.wall())
            case MayHaveRun(kind=kind) if kind not in _TIMEOUTS:
                sends.count_run(self._parts.clock.wall())
