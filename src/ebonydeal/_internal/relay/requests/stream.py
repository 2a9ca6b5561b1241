"""Streams of events: passed on as they come, and gone on with elsewhere."""

import asyncio
import re
from dataclasses import dataclass

from aiohttp import ClientError, web
from multidict import CIMultiDict

from ebonydeal._internal.errors import ErrorKind
from ebonydeal._internal.models.forwarding import AnswerHead, Member
from ebonydeal._internal.observe.counters import Timing
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.requests.connections import HttpExchange
from ebonydeal._internal.relay.requests.first_event_wait import (
    LEAST_PATIENCE_S,
    FirstEventWait,
)
from ebonydeal._internal.relay.requests.job import Job, SendParts
from ebonydeal._internal.relay.requests.migrations import MigratedRun, StreamRun
from ebonydeal._internal.relay.requests.outcomes import Answered, MayHaveRun, Outcome
from ebonydeal._internal.relay.requests.plain import (
    checked,
    raw_headers,
    read_whole,
    to_client,
)
from ebonydeal._internal.relay.requests.sends import JobSends

logger = get_logger("relay.stream")

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_ID = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")


class EventSplitter:
    """Cuts a stream of bytes at the ends of whole events."""

    def __init__(self) -> None:
        self._rest = b""
        self.last_id = ""
        self.count = 0

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that are complete now."""
        data = self._rest + data
        end = 0
        for found in _EVENT_END.finditer(data):
            end = found.end()
            self.count += 1
        whole, self._rest = data[:end], data[end:]
        ids = _EVENT_ID.findall(whole)
        if ids:
            self.last_id = ids[-1].decode("latin-1").strip()
        return whole

    def rest(self) -> bytes:
        """Return what follows the last whole event."""
        return self._rest

    def drop_rest(self) -> None:
        """Forget a torn event."""
        self._rest = b""


@dataclass
class _Out:
    """The client's side of one stream."""

    http_req: web.BaseRequest
    splitter: EventSplitter
    closing: bool
    resp: web.StreamResponse | None = None

    async def begin(self, head: AnswerHead) -> web.StreamResponse:
        """Start the answer with the first endpoint's head."""
        resp = web.StreamResponse(status=head.status, headers=CIMultiDict(head.headers))
        resp.enable_chunked_encoding()
        if self.closing:
            resp.force_close()
        await resp.prepare(self.http_req)
        self.resp = resp
        return resp

    def cut(self) -> None:
        """End the connection so that the answer can't look complete."""
        self.http_req.protocol.force_close()


class StreamForwarder:
    """Forwards streams of events."""

    def __init__(self, parts: SendParts) -> None:
        self._parts = parts

    async def answer(
        self, job: Job, http_req: web.BaseRequest, closing: bool
    ) -> web.StreamResponse:
        """Relay the stream; raises the final error while nothing was passed on.

        With ``closing`` the client's connection ends with this answer.
        """
        sends = JobSends(self._parts, job)
        splitter = EventSplitter()
        splitter.last_id = job.req.last_event
        out = _Out(http_req, splitter, closing)
        moved: MigratedRun | None = None
        while True:
            try:
                member = await (sends.resume(moved) if moved else sends.choose())
                run = self._run_of(sends, member)
                outcome = await self._send(sends, run, out)
                if outcome is None:
                    assert out.resp is not None
                    return out.resp
                moved = await self._parts.moves.result(run)
                if moved is not None:
                    splitter.drop_rest()
                    continue
                self._count_failed(sends, outcome)
                if isinstance(outcome, Answered) and out.resp is None:
                    if outcome.head.status < 500 or job.at_most_once:
                        return to_client(outcome)
                splitter.drop_rest()
                sends.check_resend(outcome, delivered=out.resp is not None)
            except Exception as exc:
                if out.resp is None:
                    raise
                logger.warning(
                    "Stream broken off.",
                    request=job.req.request_id,
                    last_event=splitter.last_id,
                    reason=str(exc),
                )
                out.cut()
                return out.resp

    def _run_of(self, sends: JobSends, member: Member) -> StreamRun:
        """Return what a send's run is watched by."""
        req, engine = sends.job.req, sends.chooser.engine
        return StreamRun(
            request_id=req.request_id,
            service=sends.job.service,
            member=member,
            prompt_tokens=req.prompt_tokens or 0,
            expected_tokens=req.length_hint or req.output_tokens,
            event_tokens=1 if engine is None else engine.event_tokens,
        )

    async def _send(self, sends: JobSends, run: StreamRun, out: _Out) -> Outcome | None:
        """Make one send; None when the stream is complete."""
        limit = sends.left
        engine = sends.chooser.engine
        if engine is not None and engine.can_migrate_runs:
            self._parts.moves.enter(run)
        try:
            async with sends.limited(limit):
                return await self._exchange(sends, run, out)
        except TimeoutError:
            if stopped := self._parts.suspects.stopped(sends.job.digest):
                return stopped
            return MayHaveRun(ErrorKind.ENDPOINT_STALLED, f"not done in {limit:.3f} s")
        finally:
            self._parts.moves.leave(run)
            sends.record_end()

    async def _exchange(
        self, sends: JobSends, run: StreamRun, out: _Out
    ) -> Outcome | None:
        """Send and pass the answer on; None when the stream is complete."""
        parts, job = self._parts, sends.job
        member = run.member
        headers = parts.wire.request_headers(
            job.req, sends.send_metadata(out.splitter.last_id)
        )
        first = FirstEventWait.of_send(parts, sends)
        try:
            async with first.limit():
                got = await parts.pools.get(member).send(
                    job.req.method, job.req.target, headers, job.body, job.at_most_once
                )
        except TimeoutError:
            return MayHaveRun(ErrorKind.ENDPOINT_STALLED, "no answer")
        if not isinstance(got, HttpExchange):
            return got
        try:
            head = parts.wire.read_answer(got.resp.status, raw_headers(got.resp))
            sends.read_notice(head)
            wrong = checked(head, job.req.request_id)
            if isinstance(wrong, MayHaveRun):
                return wrong
            if wrong is not None or head.status != 200:
                # Read in any case: the connection may be used again.
                whole = await read_whole(got, head)
                return wrong or whole
            broken = await self._relay(sends, run, got, head, out, first)
            if broken is not None:
                return broken
            got.done(head.idle_time)
        finally:
            got.close()
        sends.record_answer(head.status)
        now = parts.clock.now()
        if run.events > 1:
            tokens = (run.events - 1) * run.event_tokens
            parts.choice.speed.paced(tokens, now - run.begun_at)
        return None

    def _pause(self, job: Job) -> asyncio.Timeout:
        """Return the limit of a pause between events, then another is tried."""
        left = max(0.001, job.until - self._parts.clock.now())
        if job.at_most_once:
            return asyncio.timeout(left)
        wait = job.route.max_event_gap * self._parts.terms.gap
        return asyncio.timeout(min(left, max(LEAST_PATIENCE_S, wait)))

    async def _relay(
        self,
        sends: JobSends,
        run: StreamRun,
        got: HttpExchange,
        head: AnswerHead,
        out: _Out,
        first: FirstEventWait,
    ) -> MayHaveRun | None:
        """Pass events on until the end; returns what broke the stream."""
        parts, job = self._parts, sends.job
        content = got.resp.content
        begun = False
        while True:
            try:
                async with self._pause(job) if begun else first.limit():
                    data = await content.readany()
            except TimeoutError:
                if begun and sends.is_last and sends.left > 0.0:
                    # Silence is no reason to end an answer that nobody else can give.
                    continue
                return MayHaveRun(ErrorKind.ENDPOINT_STALLED, "silent")
            except (ClientError, OSError) as exc:
                detail = f"stream: {type(exc).__name__}"
                return MayHaveRun(ErrorKind.ENDPOINT_FAILED, detail)
            if not data:
                break
            before = out.splitter.count
            events = out.splitter.feed(data)
            if not events:
                continue
            parts.choice.heard(run.member.endpoint_id, parts.clock.now())
            sends.record_activity()
            run.count(out.splitter.count - before, parts.clock.now())
            if not begun:
                begun = True
                self._first_event(sends, out)
            resp = out.resp or await out.begin(head)
            await resp.write(events)
        if await got.cut_off():
            return MayHaveRun(ErrorKind.ENDPOINT_FAILED, "stream: connection reset")
        resp = out.resp or await out.begin(head)
        if out.splitter.rest():
            await resp.write(out.splitter.rest())
        await resp.write_eof()
        return None

    def _first_event(self, sends: JobSends, out: _Out) -> None:
        """Note that the endpoint began to answer."""
        parts, job = self._parts, sends.job
        sends.record_first_event()
        if out.resp is not None:
            return
        parts.metrics.timed(Timing.FIRST_TOKEN, parts.clock.now() - job.started)
        sends.count_run(parts.clock.wall())

    def _count_failed(self, sends: JobSends, outcome: Outcome) -> None:
        """Count a run that failed before its first event.

        One that only fell silent most likely still waited in a queue.
        """
        match outcome:
            case Answered():
                sends.count_run(self._parts.clock.wall())
            case MayHaveRun(kind=kind) if kind is not ErrorKind.ENDPOINT_STALLED:
                sends.count_run(self._parts.clock.wall())
