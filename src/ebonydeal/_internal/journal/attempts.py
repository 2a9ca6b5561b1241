"""From a chosen endpoint to a durable outcome, for one attempt.

An idempotent request is sent until a whole answer is there. A non-idempotent one
is sent only after its ``dispatched`` record is durable, and again only after a
``not_run`` record that rests on proof.
"""

import json
from collections.abc import Callable
from dataclasses import dataclass

from ebonydeal._internal.directory.crash_guard import CrashGuard
from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.journal.fold import Phase
from ebonydeal._internal.journal.jobs import Job, Picker
from ebonydeal._internal.journal.runs import (
    FINISHED,
    NOT_STARTED,
    STOPPED,
    UNKNOWN,
    Interrupted,
    cancel_word,
    parse_body,
    run_engine,
    run_service,
)
from ebonydeal._internal.models.endpoints import EndpointKind, EndpointView
from ebonydeal._internal.models.records import (
    Completed,
    Dispatched,
    Ended,
    NotRun,
    Record,
    Unknown,
)
from ebonydeal._internal.models.requests import RequestKind, StoredAnswer
from ebonydeal._internal.observe.counters import Event, Metrics, RetryReason
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.outside.interfaces import Engine, PlainServices
from ebonydeal._internal.settings.journal import JournalSettings
from ebonydeal._internal.utils.clock import Clock

logger = get_logger("journal")

PROOFS = (ErrorKind.CONNECT_FAILED, ErrorKind.ENDPOINT_REFUSED)
# The endpoint's own refusal of the request: sending it again can't help.
ANSWER_KINDS = (
    ErrorKind.BAD_REQUEST,
    ErrorKind.UNKNOWN_MODEL,
    ErrorKind.BODY_TOO_LARGE,
)
BACKOFF_FIRST_S = 0.1
BACKOFF_MOST_S = 15.0
BODY_RETRY_S = 1.0
SERVER_ERROR = 500
SERVER_ERROR_TRIES = 3


@dataclass(frozen=True)
class Done:
    """The request is final."""


@dataclass(frozen=True)
class Again:
    """A further attempt is due after ``delay`` seconds."""

    delay: float = 0.0


Step = Done | Again


def backoff(failures: int) -> float:
    """Return seconds to wait after so many failures in a row (1 or more)."""
    return min(BACKOFF_MOST_S, BACKOFF_FIRST_S * 2.0 ** min(failures - 1, 10))


def error_answer(exc: EbonydealError) -> StoredAnswer:
    """Return an endpoint's refusal as the answer it is."""
    body = json.dumps(exc.to_body())
    return StoredAnswer(exc.answer.status, "application/json", body)


def retry_reason(kind: ErrorKind) -> RetryReason:
    """Return the counter of a failure that leads to a further attempt."""
    try:
        return RetryReason(str(kind))
    except ValueError:
        return RetryReason.ENDPOINT_FAILED


class Attempts:
    """Runs attempts; holds no state of its own between them."""

    def __init__(
        self,
        picker: Picker,
        engine: Engine,
        services: PlainServices,
        cfg: JournalSettings,
        clock: Clock,
        metrics: Metrics,
        on_slot_free: Callable[[], None],
        crashes: CrashGuard | None = None,
    ) -> None:
        self._picker = picker
        self._engine = engine
        self._services = services
        self._cfg = cfg
        self._clock = clock
        self._metrics = metrics
        self._on_slot_free = on_slot_free
        self._crashes = crashes or CrashGuard(metrics, clock)

    async def run(self, job: Job, view: EndpointView) -> Step:
        """Make one attempt at ``view``; raises FENCED when the shard is lost."""
        try:
            body = await job.book.request_body(job.request)
        except EbonydealError:
            return Again(BODY_RETRY_S)
        if job.request.kind is not RequestKind.SERVICE:
            try:
                parse_body(body)
            except EbonydealError as exc:
                return await self._end(job, exc.kind, exc.detail)
        try:
            self._crashes.check(job.request, may_have_run=job.may_have_run)
        except EbonydealError as exc:
            return await self._give_up(job, exc)
        if self._picker.is_leaving(view):
            return self._again(job, view, RetryReason.LEAVING)
        if job.request.idempotent:
            return await self._run_idempotent(job, view, body)
        return await self._run_once(job, view, body)

    # --- ends ------------------------------------------------------------------
    async def cancel_waiting(self, job: Job) -> None:
        """Make a cancelled request final that no endpoint is working on."""
        if job.may_have_run or job.partial:
            await self._unknown(job, "it was cancelled after it may have started")
        else:
            await self._end(job, ErrorKind.CANCELLED, "it had not been sent")

    async def _append(self, job: Job, *records: Record) -> None:
        await job.book.record(records, urgent=not job.request.idempotent)

    async def _end(self, job: Job, kind: ErrorKind, why: str) -> Step:
        wall = self._clock.wall()
        await self._append(job, Ended(job.request_id, str(kind), why, wall))
        return Done()

    async def _unknown(self, job: Job, why: str) -> Step:
        state = job.book.state(job.request_id)
        attempt = 0 if state is None else state.attempt
        wall = self._clock.wall()
        await self._append(job, Unknown(job.request_id, attempt, why, wall))
        return Done()

    async def _give_up(self, job: Job, error: EbonydealError) -> Step:
        """End a request that brings endpoints down: it is delivered no more."""
        if job.may_have_run or job.partial:
            return await self._unknown(job, error.detail.rstrip("."))
        return await self._end(job, error.kind, error.detail.rstrip("."))

    async def _complete(self, job: Job, answer: StoredAnswer) -> Step:
        state = job.book.state(job.request_id)
        if state is None or state.is_final:
            self._metrics.count(Event.LATE_ANSWER_DROPPED)
            return Done()
        kept = await job.book.keep_answer(job.request_id, answer)
        attempt = state.attempt or job.attempt
        wall = self._clock.wall()
        await self._append(job, Completed(job.request_id, attempt, kept, wall))
        return Done()

    # --- sending ---------------------------------------------------------------
    async def _send(
        self, job: Job, view: EndpointView, body: str, attempt_id: str
    ) -> StoredAnswer:
        """Let ``view`` work on the request and return its whole answer."""
        job.sending = True
        job.view = view
        self._picker.sent(job.request, view)
        error: ErrorKind | None = ErrorKind.CANCELLED
        try:
            answer = await self._send_by_kind(job, view, body, attempt_id)
            error = None
            return answer
        except Interrupted:
            raise
        except EbonydealError as exc:
            error = exc.kind
            raise
        except Exception as exc:
            logger.error("An attempt failed.", attempt=attempt_id, exc_info=exc)
            raise EbonydealError(ErrorKind.INTERNAL, repr(exc)) from exc
        finally:
            job.sending = False
            job.view = None
            self._picker.finished(job.request, view, error)
            self._on_slot_free()

    async def _send_by_kind(
        self, job: Job, view: EndpointView, body: str, attempt_id: str
    ) -> StoredAnswer:
        if view.kind is EndpointKind.SERVICE:
            return await run_service(
                self._services,
                view,
                job.request,
                body,
                attempt_id,
                self._cfg.attempt_timeout,
            )
        recomputed = job.progress.recomputed
        try:
            return await run_engine(
                self._engine,
                view,
                job.request,
                parse_body(body),
                attempt_id,
                job.progress,
                job.interrupt,
                self._clock,
                self._cfg.stall_seconds,
            )
        finally:
            again = job.progress.recomputed - recomputed
            self._metrics.count(Event.TOKENS_RECOMPUTED_RESUME, again)

    # --- idempotent ---------------------------------------------------------------
    async def _run_idempotent(self, job: Job, view: EndpointView, body: str) -> Step:
        if job.cancelled:
            await self.cancel_waiting(job)
            return Done()
        job.may_have_run = True
        try:
            answer = await self._send(job, view, body, job.next_attempt_id())
        except Interrupted:
            if job.cancelled:
                return await self._unknown(job, "it was cancelled while it ran")
            return self._again(job, view, RetryReason.LEAVING)
        except EbonydealError as exc:
            if exc.kind in ANSWER_KINDS:
                return await self._complete(job, error_answer(exc))
            await self._crashes.record_failure(job.request, view, exc.kind)
            return self._again(job, view, retry_reason(exc.kind))
        self._crashes.record_answer(job.request, answer.status)
        if answer.status >= SERVER_ERROR and job.failures < SERVER_ERROR_TRIES:
            return self._again(job, view, RetryReason.ENDPOINT_FAILED)
        return await self._complete(job, answer)

    def _again(self, job: Job, view: EndpointView, reason: RetryReason) -> Again:
        """Prepare a further attempt elsewhere."""
        self._metrics.retried(reason)
        job.interrupt.clear()
        job.exclude.add(view.endpoint_id)
        if reason is RetryReason.LEAVING:
            return Again()
        job.failures += 1
        return Again(backoff(job.failures))

    # --- non-idempotent --------------------------------------------------------------
    async def _run_once(self, job: Job, view: EndpointView, body: str) -> Step:
        if not job.partial:
            if self._has_open_grant(job):
                return await self._unknown(job, "an attempt has no outcome")
            step = await self._grant(job, view)
            if step is not None:
                return step
        attempt_id = job.next_attempt_id()
        try:
            answer = await self._send(job, view, body, attempt_id)
        except Interrupted as exc:
            return await self._after_stop(job, view, exc.word, "it was stopped")
        except EbonydealError as exc:
            if exc.kind in ANSWER_KINDS:
                return await self._complete(job, error_answer(exc))
            if exc.kind in PROOFS:
                return await self._not_run(job, view, retry_reason(exc.kind))
            await self._crashes.record_failure(job.request, view, exc.kind)
            word = UNKNOWN
            if view.kind is EndpointKind.ENGINE:
                word = await cancel_word(self._engine, view, attempt_id)
            return await self._after_stop(job, view, word, exc.detail or str(exc.kind))
        return await self._complete(job, answer)

    def _has_open_grant(self, job: Job) -> bool:
        state = job.book.state(job.request_id)
        return state is not None and state.phase is Phase.DISPATCHED

    async def _grant(self, job: Job, view: EndpointView) -> Step | None:
        """Make ``dispatched`` durable; return a step if nothing may be sent."""
        deadline = job.request.deadline
        if deadline and self._clock.wall() > deadline:
            why = "its deadline passed before it was sent"
            return await self._end(job, ErrorKind.NOT_RUN, why)
        if job.cancelled:
            await self.cancel_waiting(job)
            return Done()
        state = job.book.state(job.request_id)
        attempt = 1 if state is None else state.attempt + 1
        await self._append(
            job,
            Dispatched(job.request_id, attempt, view.endpoint_id, view.incarnation),
        )
        state = job.book.state(job.request_id)
        granted = state is not None and state.attempt == attempt and not state.is_final
        if not granted:
            return Done()
        # The record may have waited for long: nothing has been sent so far.
        if job.cancelled or self._picker.is_leaving(view):
            return await self._not_run(job, view, RetryReason.LEAVING)
        return None

    async def _not_run(self, job: Job, view: EndpointView, reason: RetryReason) -> Step:
        """Record the proof that the granted attempt did not run."""
        if job.partial:
            if job.cancelled:
                return await self._unknown(job, "it was cancelled while it ran")
        else:
            state = job.book.state(job.request_id)
            attempt = 0 if state is None else state.attempt
            records: list[Record] = [NotRun(job.request_id, attempt, str(reason))]
            if job.cancelled:
                why = "it was cancelled before it ran"
                kind = str(ErrorKind.CANCELLED)
                wall = self._clock.wall()
                records.append(Ended(job.request_id, kind, why, wall))
            await self._append(job, *records)
        if job.cancelled:
            return Done()
        return self._again(job, view, reason)

    async def _after_stop(
        self, job: Job, view: EndpointView, word: str, why: str
    ) -> Step:
        """Go by the engine's word on an attempt that gave no whole answer."""
        if word == NOT_STARTED:
            return await self._not_run(job, view, RetryReason.LEAVING)
        if word == STOPPED and not job.cancelled:
            job.partial = True
            return self._again(job, view, RetryReason.STREAM_RESUMED)
        if word == FINISHED:
            why = "it finished, but its answer was lost"
        return await self._unknown(job, why)
