"""Runs of a stream: a silent one is kept until another endpoint has sent an event."""

import asyncio
from contextlib import AbstractAsyncContextManager, suppress
from math import isfinite
from typing import NamedTuple

from aiohttp import ClientError

from ebonydeal._internal.errors import ErrorKind
from ebonydeal._internal.models.forwarding import AnswerHead, Member
from ebonydeal._internal.observe.counters import Event
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.requests.event_splitter import EventSplitter
from ebonydeal._internal.relay.requests.exchange import Exchange
from ebonydeal._internal.relay.requests.first_event_wait import (
    MIN_EVENT_TIMEOUT_S,
    FirstEventWait,
)
from ebonydeal._internal.relay.requests.job import SendParts
from ebonydeal._internal.relay.requests.migrations import StreamRun
from ebonydeal._internal.relay.requests.outcomes import (
    Answered,
    MayHaveRun,
    NotSent,
    Outcome,
    ProvedNotRun,
)
from ebonydeal._internal.relay.requests.overlapping import (
    Awaited,
    OverlappingSends,
)
from ebonydeal._internal.relay.requests.plain import (
    head_failure,
    read_body,
    read_failure,
)
from ebonydeal._internal.relay.requests.sends import JobSends
from ebonydeal._internal.relay.requests.wait_timer import arrival_limit

logger = get_logger("relay.stream")

# Two endpoints may work on one stream for 0.4 s. A silent run is kept for less of it
# beside another one that has begun to answer, as its endpoint has to notice the close.
_MAX_OVERLAP_S = 0.25
# Bytes without the end of an event after which an answer has begun, too.
_MAX_FIRST_BYTES = 65_536


class OpenedRun(NamedTuple):
    """A run whose answer has begun.

    ``first`` is the wait for its first event. ``data`` are the first bytes of its
    body, which aren't forwarded yet; none if it has ended. They hold a whole event,
    unless that takes longer than two runs may overlap.
    """

    sends: JobSends
    run: StreamRun
    exchange: Exchange
    head: AnswerHead
    first: FirstEventWait
    data: bytes

    def close(self) -> None:
        """Give the run up."""
        self.exchange.close()
        self.sends.record_end()


class StreamRuns(OverlappingSends[OpenedRun]):
    """Opens the runs of one stream, and reads them.

    While a run is silent, others are opened beside it: the one that sends an event
    first goes on, and the others are closed.

    Parameters
    ----------
    parts : SendParts
        Collaborators of the sends.
    splitter : EventSplitter
        Counts the events that were forwarded, and holds the id of the last one.
    """

    def __init__(self, parts: SendParts, splitter: EventSplitter) -> None:
        self._parts = parts
        self._splitter = splitter

    def new_run(self, sends: JobSends, member: Member) -> StreamRun:
        """Return the record by which a send's run is watched."""
        req, engine = sends.job.req, sends.chooser.engine
        return StreamRun(
            request_id=req.request_id,
            service=sends.job.service,
            member=member,
            prompt_tokens=req.prompt_tokens or 0,
            expected_tokens=req.length_hint or req.output_tokens,
            event_tokens=1 if engine is None else engine.event_tokens,
            reserve=sends.reserve,
            deadline=sends.job.deadline,
            refused=sends.refused_moves,
        )

    # --- the begin of an answer --------------------------------------------------
    async def open(self, sends: JobSends, run: StreamRun) -> OpenedRun | Outcome:
        """Send, and wait until an answer begins, here or at another endpoint."""
        first = FirstEventWait.of_send(self._parts, sends)
        sent_at = self._parts.clock.now()

        def silence() -> MayHaveRun:
            self._log_silence(sends, run, sent_at)
            kind = ErrorKind.ENDPOINT_STALLED
            return MayHaveRun(kind, "no answer", first.endpoint_fault)

        opening = asyncio.ensure_future(self._open_one(sends, run, first))
        awaited = Awaited(
            sends,
            run.member,
            first.limit,
            silence,
            self._is_delivered,
            on_overtaken=sends.record_overtaken,
        )
        return await self.first_result(awaited, opening)

    async def _open_one(
        self, sends: JobSends, run: StreamRun, first: FirstEventWait
    ) -> OpenedRun | Outcome:
        """Send to one endpoint, and wait until its answer begins."""
        parts, job = self._parts, sends.job
        headers = parts.wire.request_headers(
            job.req, sends.send_metadata(self._splitter.last_id)
        )
        sent = await sends.send(run.member, headers)
        if isinstance(sent, NotSent | MayHaveRun):
            return sent
        opened: OpenedRun | None = None
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
            data = await self._read_first(sends, sent)
            if isinstance(data, MayHaveRun):
                return data
            opened = OpenedRun(sends, run, sent, head, first, data)
            return opened
        finally:
            if opened is None:
                sent.close()

    async def _read_first(
        self, sends: JobSends, exchange: Exchange
    ) -> bytes | MayHaveRun:
        """Return the first bytes of an answer's body, none if it has none.

        They end with a part of an event only after `_MAX_OVERLAP_S`: until an endpoint
        has sent a whole one, the stream may still go on at the silent one.
        """
        clock, splitter = self._parts.clock, EventSplitter()
        data = await _read(sends, exchange, clock.now())
        if isinstance(data, MayHaveRun) or not data or splitter.feed(data):
            return data
        received = bytearray(data)
        with suppress(TimeoutError):
            async with arrival_limit(_MAX_OVERLAP_S, clock):
                while not splitter.count and len(received) < _MAX_FIRST_BYTES:
                    data = await _read(sends, exchange, clock.now())
                    if isinstance(data, MayHaveRun):
                        return data
                    if not data:
                        break
                    splitter.feed(data)
                    received += data
        return bytes(received)

    # --- an answer that has begun ------------------------------------------------
    async def read(
        self, opened: OpenedRun, received_at: float
    ) -> bytes | OpenedRun | Outcome:
        """Return the next bytes, none at the end, or what goes on in the run's place.

        ``received_at`` is when the last event arrived.
        """
        sends, run, exchange = opened.sends, opened.run, opened.exchange

        def event_limit() -> AbstractAsyncContextManager[None]:
            return arrival_limit(self._max_gap(sends), self._parts.clock)

        limit = event_limit if run.events else opened.first.limit
        try:
            # Most events come in time, so this is done without the cost of a task.
            async with asyncio.timeout(self._max_gap(sends)) if run.events else limit():
                return await _read(sends, exchange, received_at)
        except TimeoutError:
            pass

        def silence() -> MayHaveRun:
            sends.record_silence(received_at)
            self._log_silence(sends, run, received_at)
            run.is_being_replaced = True
            fault = bool(run.events) or opened.first.endpoint_fault
            return MayHaveRun(ErrorKind.ENDPOINT_STALLED, "no event in time", fault)

        reading = asyncio.ensure_future(_read(sends, exchange, received_at))
        awaited = Awaited(
            sends,
            run.member,
            limit,
            silence,
            self._is_delivered,
            # A migration stops the run, and it goes on elsewhere then.
            may_send=lambda: run.migration is None,
            on_overtaken=sends.record_overtaken,
        )
        try:
            return await self.first_result(awaited, reading, is_silent=True)
        finally:
            run.is_being_replaced = False

    def _max_gap(self, sends: JobSends) -> float:
        """Return the seconds after which the next event is late."""
        job = sends.job
        time_left = max(0.001, sends.time_left)
        if job.at_most_once:
            return time_left
        wait = job.route.max_event_gap * self._parts.config.gap
        return min(time_left, max(MIN_EVENT_TIMEOUT_S, wait))

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

    # --- a silent run, and others beside it --------------------------------------
    async def send(self, sends: JobSends, member: Member) -> OpenedRun | Outcome:
        """Open a run at an endpoint."""
        return await self.open(sends, self.new_run(sends, member))

    def is_failure(self, sends: JobSends, result: object, delivered: bool) -> bool:
        """Return whether a result is nothing that the client could get."""
        match result:
            case Answered():
                return delivered or not sends.is_final(result)
            case NotSent() | ProvedNotRun() | MayHaveRun():
                return True
        return False

    def discard(self, result: object) -> None:
        """Close a run that isn't used."""
        match result:
            case OpenedRun():
                result.close()

    def sends_of(self, result: object) -> JobSends | None:
        """Return the sends of a run that goes on."""
        match result:
            case OpenedRun(sends=sends):
                return sends
        return None

    @property
    def _is_delivered(self) -> bool:
        """Whether a part of the stream reached the client."""
        return self._splitter.count > 0


async def _read(
    sends: JobSends, exchange: Exchange, received_at: float
) -> bytes | MayHaveRun:
    """Return the next bytes; ``received_at`` is when the last ones arrived."""
    try:
        return await exchange.read_some()
    except (ClientError, OSError) as exc:
        sends.record_silence(received_at)
        return read_failure("stream", exc)
