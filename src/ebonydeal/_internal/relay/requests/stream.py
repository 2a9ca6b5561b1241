"""Streams of events: forwarded as they arrive, and resumed at another endpoint."""

from dataclasses import dataclass

from aiohttp import HttpVersion11, web
from multidict import CIMultiDict

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.forwarding import AnswerHead
from ebonydeal._internal.observe.counters import Event, Timing
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.requests.event_splitter import EventSplitter
from ebonydeal._internal.relay.requests.exchange import Exchange
from ebonydeal._internal.relay.requests.job import Job, SendParts
from ebonydeal._internal.relay.requests.migrations import MigratedRun, StreamRun
from ebonydeal._internal.relay.requests.outcomes import (
    Answered,
    MayHaveRun,
    Outcome,
)
from ebonydeal._internal.relay.requests.plain import client_response, read_failure
from ebonydeal._internal.relay.requests.planned_stop import PlannedStop
from ebonydeal._internal.relay.requests.retry_waits import RetryWaits
from ebonydeal._internal.relay.requests.sends import JobSends
from ebonydeal._internal.relay.requests.stream_runs import OpenedRun, StreamRuns
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
        self._retry_waits = RetryWaits(parts)

    async def answer(self, job: Job, http_req: web.BaseRequest) -> web.StreamResponse:
        """Forward the stream; raises the final error if nothing was forwarded."""
        with self._parts.answer_memory.hold(job.hold_answer) as held:
            client = _ClientStream(http_req, EventSplitter(held), self._parts.stop)
            sends = JobSends(self._parts, job)
            try:
                return await self._forward(sends, client)
            finally:
                sends.reserve.release()

    async def _forward(
        self, sends: JobSends, client: _ClientStream
    ) -> web.StreamResponse:
        job = sends.job
        splitter = client.splitter
        runs = StreamRuns(self._parts, splitter)
        splitter.last_id = job.req.last_event
        if job.req.last_event:
            sends.chooser.version = await self._parts.stream_versions.find_version(
                job.req.request_id, job.req.first_attempt, job.service
            )
        migrated: MigratedRun | None = None
        was_stopped = False
        while True:
            try:
                member = await (sends.resume(migrated) if migrated else sends.choose())
                run = runs.new_run(sends, member)
                outcome = await self._send(runs, sends, run, client)
                while isinstance(outcome, OpenedRun):
                    # Another endpoint goes on with the stream.
                    splitter.drop_remainder()
                    sends, run = outcome.sends, outcome.run
                    outcome = await self._send(runs, sends, run, client, outcome)
                if outcome is None:
                    assert client.resp is not None
                    return client.resp
                migrated = self._parts.migrator.result_so_far(
                    run
                ) or sends.back_to_source(migrated, outcome)
                was_stopped = was_stopped or migrated is not None or run.may_be_stopped
                if migrated is not None:
                    splitter.drop_remainder()
                    continue
                self._count_failed(sends, outcome)
                if isinstance(outcome, Answered) and client.resp is None:
                    if sends.is_final(outcome):
                        return client_response(outcome)
                splitter.drop_remainder()
                await self._check_resend(sends, outcome, client)
            except Exception as exc:
                if client.resp is None:
                    raise
                self._record_broken_off(sends, splitter.last_id, was_stopped, exc)
                client.abort()
                return client.resp

    async def _check_resend(
        self, sends: JobSends, outcome: Outcome, client: _ClientStream
    ) -> None:
        """Return once another send is allowed; raises the final error if none is.

        Of a stream of which nothing was delivered the client gets its error at once.
        """
        is_delivered = client.resp is not None
        try:
            sends.check_resend(outcome, is_delivered)
        except EbonydealError:
            if not (is_delivered and sends.lacks_budget):
                raise
            if not await self._retry_waits.take(sends.job):
                raise

    def _record_broken_off(
        self, sends: JobSends, last_event: str, was_stopped: bool, exc: Exception
    ) -> None:
        """Record that a client gets no more of its stream.

        ``was_stopped`` says that this relay had a run of it stopped for its migration.
        """
        parts, job = self._parts, sends.job
        parts.metrics.count(Event.STREAMS_BROKEN_OFF)
        if was_stopped:
            parts.metrics.count(Event.STOPPED_STREAMS_BROKEN_OFF)
        logger.warning(
            "Stream broken off.",
            request=job.req.request_id,
            endpoint=None if sends.member is None else sends.member.endpoint_id,
            last_event=last_event,
            time_left_s=round(sends.time_left, 3),
            was_stopped=was_stopped,
            retries=round(parts.retries.available_retries(job.service), 2),
            reason=str(exc),
        )

    async def _send(
        self,
        runs: StreamRuns,
        sends: JobSends,
        run: StreamRun,
        client: _ClientStream,
        opened: OpenedRun | None = None,
    ) -> OpenedRun | Outcome | None:
        """Make one send, or forward what it has ``opened``.

        Returns None once the stream is complete, or the run that goes on with it.
        """
        timeout = sends.time_left
        engine = sends.chooser.engine
        if engine is not None and engine.can_migrate_runs:
            self._parts.migrator.watch(run)
        try:
            async with sends.limited(timeout):
                found = opened or await runs.open(sends, run)
                if not isinstance(found, OpenedRun) or found.sends is not sends:
                    return found
                opened = found
                outcome = await self._relay(runs, opened, client)
                if outcome is None:
                    self._record_end(opened)
                else:
                    # A run that was stopped goes on once its KV cache has arrived.
                    await self._parts.migrator.result(run)
                return outcome
        except TimeoutError:
            return sends.timeout_outcome(f"not complete in {timeout:.3f} s")
        finally:
            if opened is not None:
                opened.exchange.close()
            self._parts.migrator.unwatch(run)
            sends.record_end()

    def _record_end(self, opened: OpenedRun) -> None:
        """Record a complete answer."""
        parts, run = self._parts, opened.run
        opened.exchange.release(opened.head.keepalive_s)
        opened.sends.record_answer(opened.head.status)
        now = parts.clock.now()
        if run.events > 1:
            tokens = (run.events - 1) * run.event_tokens
            parts.selector.record_stream(
                run.member, tokens, now - run.first_event_at, now
            )

    async def _relay(
        self, runs: StreamRuns, opened: OpenedRun, client: _ClientStream
    ) -> OpenedRun | Outcome | None:
        """Forward events until the end; return None, or what ended the run."""
        parts, sends, run = self._parts, opened.sends, opened.run
        received_at = parts.clock.now()
        data: bytes | OpenedRun | Outcome = opened.data
        while data:
            if not isinstance(data, bytes):
                return data
            run.received += len(data)
            before = client.splitter.count
            try:
                events = client.splitter.feed(data)
            except EndlessAnswerError as exc:
                return read_failure("stream", exc)
            if events:
                received_at = parts.clock.now()
                self._record_events(sends, run, client, before)
                resp = client.resp or await client.begin(opened.head)
                await resp.write(events)
            data = await runs.read(opened, received_at)
        return await self._end(sends, run, opened.exchange, opened.head, client)

    def _record_events(
        self, sends: JobSends, run: StreamRun, client: _ClientStream, before: int
    ) -> None:
        """Record events that arrived; ``before`` is how many had been counted."""
        now = self._parts.clock.now()
        is_first = not run.events
        self._parts.selector.record_activity(run.member.endpoint_id, now)
        sends.record_activity()
        run.record_events(client.splitter.count - before, now)
        if is_first:
            self._record_first_event(sends, client)

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
