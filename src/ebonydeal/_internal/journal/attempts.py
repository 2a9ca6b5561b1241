"""Runs one attempt at a chosen endpoint and records its durable outcome.

An idempotent request is resent until its answer is complete. A non-idempotent one
is sent only after its ``dispatched`` record is durable, and resent only after a
``not_run`` record, which needs proof that the last attempt did not run.
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
    cancel_attempt,
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

NOT_RUN_ERRORS = (ErrorKind.CONNECT_FAILED, ErrorKind.ENDPOINT_REFUSED)
# The endpoint rejects the request itself: resending it can't help.
FINAL_REFUSALS = (
    ErrorKind.BAD_REQUEST,
    ErrorKind.UNKNOWN_MODEL,
    ErrorKind.BODY_TOO_LARGE,
)
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 15.0
BODY_RETRY_DELAY_S = 1.0
MIN_SERVER_ERROR_STATUS = 500
# Failures of any kind after which an answer with a server error is final.
MAX_FAILURES_FOR_RETRY = 3


@dataclass(frozen=True)
class Done:
    """No further attempt is due."""


@dataclass(frozen=True)
class RetryLater:
    """Another attempt is due after ``delay`` seconds."""

    delay: float = 0.0


AttemptResult = Done | RetryLater


def backoff(failures: int) -> float:
    """Return seconds to wait after ``failures`` consecutive failures (1 or more)."""
    return min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2.0 ** min(failures - 1, 10))


def error_answer(exc: EbonydealError) -> StoredAnswer:
    """Return the stored answer for an endpoint's rejection of a request."""
    body = json.dumps(exc.to_body())
    return StoredAnswer(exc.response.status, "application/json", body)


def retry_reason(kind: ErrorKind) -> RetryReason:
    """Return the retry counter of a failure."""
    try:
        return RetryReason(str(kind))
    except ValueError:
        return RetryReason.ENDPOINT_FAILED


class Attempts:
    """Runs attempts; keeps no state between them."""

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

    async def run(self, job: Job, view: EndpointView) -> AttemptResult:
        """Make one attempt at ``view``; raises FENCED if the shard has a new owner."""
        try:
            body = await job.journal.load_request_body(job.request)
        except EbonydealError:
            return RetryLater(BODY_RETRY_DELAY_S)
        if job.request.kind is not RequestKind.SERVICE:
            try:
                parse_body(body)
            except EbonydealError as exc:
                return await self._record_ended(job, exc.kind, exc.detail)
        try:
            self._crashes.check(job.request, may_have_run=job.may_have_run)
        except EbonydealError as exc:
            return await self._end_quarantined(job, exc)
        if self._picker.is_leaving(view):
            return self._retry_elsewhere(job, view, RetryReason.LEAVING)
        if job.request.idempotent:
            return await self._run_idempotent(job, view, body)
        return await self._run_non_idempotent(job, view, body)

    # --- outcomes --------------------------------------------------------------
    async def cancel_waiting(self, job: Job) -> None:
        """Make a cancelled request final while no endpoint runs it."""
        if job.may_have_run or job.partial:
            await self._record_unknown(
                job, "it was cancelled after it may have started"
            )
        else:
            await self._record_ended(job, ErrorKind.CANCELLED, "it had not been sent")

    async def _append(self, job: Job, *records: Record) -> None:
        await job.journal.append(records, urgent=not job.request.idempotent)

    async def _record_ended(self, job: Job, kind: ErrorKind, why: str) -> AttemptResult:
        wall = self._clock.wall()
        await self._append(job, Ended(job.request_id, str(kind), why, wall))
        return Done()

    async def _record_unknown(self, job: Job, why: str) -> AttemptResult:
        state = job.journal.state(job.request_id)
        attempt = 0 if state is None else state.attempt
        wall = self._clock.wall()
        await self._append(job, Unknown(job.request_id, attempt, why, wall))
        return Done()

    async def _end_quarantined(self, job: Job, error: EbonydealError) -> AttemptResult:
        """End a quarantined request, which is not sent to endpoints any more."""
        if job.may_have_run or job.partial:
            return await self._record_unknown(job, error.detail.rstrip("."))
        return await self._record_ended(job, error.kind, error.detail.rstrip("."))

    async def _record_completed(self, job: Job, answer: StoredAnswer) -> AttemptResult:
        state = job.journal.state(job.request_id)
        if state is None or state.is_final:
            self._metrics.count(Event.LATE_ANSWER_DROPPED)
            return Done()
        stored = await job.journal.store_answer(job.request_id, answer)
        attempt = state.attempt or job.attempt
        wall = self._clock.wall()
        await self._append(job, Completed(job.request_id, attempt, stored, wall))
        return Done()

    # --- sending ---------------------------------------------------------------
    async def _send(
        self, job: Job, view: EndpointView, body: str, attempt_id: str
    ) -> StoredAnswer:
        """Send the request to ``view`` and return its complete answer."""
        job.sending = True
        job.view = view
        self._picker.record_sent(job.request, view)
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
            logger.error(
                "Attempt failed with an internal error.",
                attempt=attempt_id,
                exc_info=exc,
            )
            raise EbonydealError(ErrorKind.INTERNAL, repr(exc)) from exc
        finally:
            job.sending = False
            job.view = None
            self._picker.record_finished(job.request, view, error)
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
        recomputed_before = job.progress.recomputed
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
            recomputed = job.progress.recomputed - recomputed_before
            self._metrics.count(Event.TOKENS_RECOMPUTED_RESUME, recomputed)

    # --- idempotent ---------------------------------------------------------------
    async def _run_idempotent(
        self, job: Job, view: EndpointView, body: str
    ) -> AttemptResult:
        if job.cancelled:
            await self.cancel_waiting(job)
            return Done()
        job.may_have_run = True
        try:
            answer = await self._send(job, view, body, job.next_attempt_id())
        except Interrupted:
            if job.cancelled:
                return await self._record_unknown(job, "it was cancelled while it ran")
            return self._retry_elsewhere(job, view, RetryReason.LEAVING)
        except EbonydealError as exc:
            if exc.kind in FINAL_REFUSALS:
                return await self._record_completed(job, error_answer(exc))
            await self._crashes.record_failure(job.request, view, exc.kind)
            return self._retry_elsewhere(job, view, retry_reason(exc.kind))
        self._crashes.record_answer(job.request, answer.status)
        if (
            answer.status >= MIN_SERVER_ERROR_STATUS
            and job.failures < MAX_FAILURES_FOR_RETRY
        ):
            return self._retry_elsewhere(job, view, RetryReason.ENDPOINT_FAILED)
        return await self._record_completed(job, answer)

    def _retry_elsewhere(
        self, job: Job, view: EndpointView, reason: RetryReason
    ) -> RetryLater:
        """Prepare another attempt at a different endpoint."""
        self._metrics.count_retry(reason)
        job.interrupt.clear()
        job.exclude.add(view.endpoint_id)
        if reason is RetryReason.LEAVING:
            return RetryLater()
        job.failures += 1
        return RetryLater(backoff(job.failures))

    # --- non-idempotent --------------------------------------------------------------
    async def _run_non_idempotent(
        self, job: Job, view: EndpointView, body: str
    ) -> AttemptResult:
        if not job.partial:
            if self._has_open_grant(job):
                return await self._record_unknown(job, "an attempt has no outcome")
            step = await self._grant(job, view)
            if step is not None:
                return step
        attempt_id = job.next_attempt_id()
        try:
            answer = await self._send(job, view, body, attempt_id)
        except Interrupted as exc:
            return await self._handle_stop(
                job, view, exc.attempt_state, "it was stopped"
            )
        except EbonydealError as exc:
            if exc.kind in FINAL_REFUSALS:
                return await self._record_completed(job, error_answer(exc))
            if exc.kind in NOT_RUN_ERRORS:
                return await self._record_not_run(job, view, retry_reason(exc.kind))
            await self._crashes.record_failure(job.request, view, exc.kind)
            attempt_state = UNKNOWN
            if view.kind is EndpointKind.ENGINE:
                attempt_state = await cancel_attempt(self._engine, view, attempt_id)
            return await self._handle_stop(
                job, view, attempt_state, exc.detail or str(exc.kind)
            )
        return await self._record_completed(job, answer)

    def _has_open_grant(self, job: Job) -> bool:
        state = job.journal.state(job.request_id)
        return state is not None and state.phase is Phase.DISPATCHED

    async def _grant(self, job: Job, view: EndpointView) -> AttemptResult | None:
        """Make ``dispatched`` durable; return a result if nothing may be sent."""
        deadline = job.request.deadline
        if deadline and self._clock.wall() > deadline:
            why = "its deadline passed before it was sent"
            return await self._record_ended(job, ErrorKind.NOT_RUN, why)
        if job.cancelled:
            await self.cancel_waiting(job)
            return Done()
        state = job.journal.state(job.request_id)
        attempt = 1 if state is None else state.attempt + 1
        await self._append(
            job,
            Dispatched(job.request_id, attempt, view.endpoint_id, view.incarnation),
        )
        state = job.journal.state(job.request_id)
        granted = state is not None and state.attempt == attempt and not state.is_final
        if not granted:
            return Done()
        # The append may have taken long, and nothing has been sent yet.
        if job.cancelled or self._picker.is_leaving(view):
            return await self._record_not_run(job, view, RetryReason.LEAVING)
        return None

    async def _record_not_run(
        self, job: Job, view: EndpointView, reason: RetryReason
    ) -> AttemptResult:
        """Record the proof that the granted attempt did not run."""
        if job.partial:
            if job.cancelled:
                return await self._record_unknown(job, "it was cancelled while it ran")
        else:
            state = job.journal.state(job.request_id)
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
        return self._retry_elsewhere(job, view, reason)

    async def _handle_stop(
        self, job: Job, view: EndpointView, attempt_state: str, why: str
    ) -> AttemptResult:
        """Act on the engine's state of an attempt whose answer is incomplete."""
        if attempt_state == NOT_STARTED:
            return await self._record_not_run(job, view, RetryReason.LEAVING)
        if attempt_state == STOPPED and not job.cancelled:
            job.partial = True
            return self._retry_elsewhere(job, view, RetryReason.STREAM_RESUMED)
        if attempt_state == FINISHED:
            why = "it finished, but its answer was lost"
        return await self._record_unknown(job, why)
