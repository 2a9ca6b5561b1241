"""Runs accepted requests in deadline order on the available endpoints.

One dispatcher serves all shards of a process. It stores nothing itself: outcomes
are recorded through the `ShardJournal` of the request's shard.
"""

import asyncio

from mode import Service

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.journal.attempts import Attempts, Done, RetryLater
from ebonydeal._internal.journal.jobs import Job, Picker, ShardJournal
from ebonydeal._internal.journal.workqueue import WorkQueue, order_of
from ebonydeal._internal.models.endpoints import EndpointKind, EndpointView, LeavingMark
from ebonydeal._internal.models.requests import Request
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.outside.interfaces import Engine, PlainServices
from ebonydeal._internal.settings.journal import JournalSettings
from ebonydeal._internal.utils.clock import Clock

logger = get_logger("journal")

NO_ENDPOINT_RETRY_DELAY_S = 0.25
MAX_IDLE_WAIT_S = 5.0
DEFAULT_NOTICE_S = 5.0
NOTICE_MARGIN_S = 2.0
MAX_CANCEL_WAIT_S = 10.0
MAX_TASKS_PER_RUN = 4
FAILED_RETRY_DELAY_S = 1.0
DRAIN_POLL_INTERVAL_S = 0.1


class Dispatcher(Service):
    """Owns the queue of accepted requests and the running attempts.

    Parameters
    ----------
    picker : Picker
        Chooses endpoints.
    engine, services
        Clients of the endpoints.
    """

    def __init__(
        self,
        picker: Picker,
        engine: Engine,
        services: PlainServices,
        *,
        cfg: JournalSettings,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._picker = picker
        self._cfg = cfg
        self._clock = clock
        self._attempts = Attempts(
            picker, engine, services, cfg, clock, metrics, self._wake
        )
        self._queue: WorkQueue[Job] = WorkQueue()
        self._jobs: dict[tuple[int, str], Job] = {}
        # Jobs with a task or a confirmed stop; a small part of `_jobs`.
        self._active: set[Job] = set()
        self._draining: set[int] = set()
        self._changed = asyncio.Event()

    def _wake(self) -> None:
        self._changed.set()

    async def on_stop(self) -> None:
        """Cancel the attempts that are still running after the owners have drained."""
        for job in list(self._active):
            if job.task is not None:
                job.task.cancel()

    # --- called by owners --------------------------------------------------------
    def submit(
        self, journal: ShardJournal, request_id: str, may_have_run: bool
    ) -> None:
        """Queue an accepted request; one that is known already is ignored."""
        state = journal.state(request_id)
        key = (journal.shard, request_id)
        if state is None or key in self._jobs:
            return
        job = Job(journal, state.request, may_have_run)
        self._jobs[key] = job
        self._push(job, 0.0)

    async def cancel(self, journal: ShardJournal, request_id: str) -> None:
        """Cancel a request; returns once its end is durable or it can't be stopped."""
        job = self._jobs.get((journal.shard, request_id))
        if job is None:
            return
        job.cancelled = True
        if job.task is None:
            self._forget(job)
            await self._attempts.cancel_waiting(job)
            return
        view = job.view
        if job.sending and view is not None and view.kind is EndpointKind.SERVICE:
            return
        job.interrupt.request("cancel")
        timer = asyncio.ensure_future(self._clock.sleep(MAX_CANCEL_WAIT_S))
        ended = asyncio.ensure_future(job.ended.wait())
        await asyncio.wait({timer, ended}, return_when=asyncio.FIRST_COMPLETED)
        timer.cancel()
        ended.cancel()

    async def drain(self, journal: ShardJournal, timeout: float) -> bool:
        """Start no more of a shard's runs; return whether all of them ended in time."""
        self._draining.add(journal.shard)
        end = self._clock.now() + timeout
        while self._is_busy(journal) and self._clock.now() < end:
            await self._clock.sleep(DRAIN_POLL_INTERVAL_S)
        return not self._is_busy(journal)

    def drop(self, journal: ShardJournal) -> None:
        """Drop a shard's requests at once and cancel its runs."""
        self._draining.discard(journal.shard)
        for job in [item for item in self._jobs.values() if item.journal is journal]:
            self._forget(job)
            if job.task is not None:
                job.task.cancel()

    def _is_busy(self, journal: ShardJournal) -> bool:
        """Return whether a shard has runs that a new owner couldn't continue."""
        return any(job.journal is journal for job in self._active)

    def _forget(self, job: Job) -> None:
        key = (job.journal.shard, job.request_id)
        if self._jobs.get(key) is job:
            del self._jobs[key]
        self._active.discard(job)
        job.ended.set()

    def waiting_requests(self) -> list[Request]:
        """Return the requests that no endpoint is running now."""
        return [job.request for job in self._jobs.values() if not job.sending]

    # --- leaving endpoints ----------------------------------------------------------
    def on_endpoint_leaving(self, mark: LeavingMark) -> None:
        """Let runs on a leaving endpoint finish until its deadline, then stop them."""
        for job in self._active:
            if job.sending and job.is_affected_by(mark):
                self.add_future(self._stop_before_deadline(job, mark))

    async def _stop_before_deadline(self, job: Job, mark: LeavingMark) -> None:
        deadline = mark.deadline or self._clock.wall() + DEFAULT_NOTICE_S
        view = job.view
        attempt = job.attempt
        await self._clock.sleep(deadline - NOTICE_MARGIN_S - self._clock.wall())
        if job.sending and job.view is view and job.attempt == attempt:
            job.interrupt.request("leaving")

    def on_endpoints_changed(self) -> None:
        """Retry requests for which no endpoint was available."""
        self._queue.unblock_all()
        self._wake()

    # --- running -------------------------------------------------------------------
    @Service.task
    async def _dispatch(self) -> None:
        """Start all requests that may start, then wait for a change."""
        while not self.should_stop:
            self._changed.clear()
            while self._start_next():
                pass
            await self._wait_for_change()

    async def _wait_for_change(self) -> None:
        wait = min(MAX_IDLE_WAIT_S, self._queue.next_at() - self._clock.now())
        if not self._has_room():
            wait = MAX_IDLE_WAIT_S
        timer = asyncio.ensure_future(self._clock.sleep(max(0.001, wait)))
        changed = asyncio.ensure_future(self._changed.wait())
        try:
            await asyncio.wait({timer, changed}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            timer.cancel()
            changed.cancel()

    def _has_room(self) -> bool:
        max_running = self._cfg.max_running
        if len(self._active) >= max_running * MAX_TASKS_PER_RUN:
            return False
        return sum(job.sending for job in self._active) < max_running

    def _start_next(self) -> bool:
        """Start or defer one job; return whether there may be another."""
        if not self._has_room():
            return False
        job = self._queue.take(self._clock.now())
        if job is None:
            return False
        if self._jobs.get((job.journal.shard, job.request_id)) is not job:
            return True
        if job.journal.shard in self._draining and not job.partial:
            return True
        view = self._picker.pick(job.request, frozenset(job.exclude))
        if view is None:
            self._defer(job)
            return True
        job.task = asyncio.ensure_future(self._run_attempt(job, view))
        self._active.add(job)
        return True

    def _defer(self, job: Job) -> None:
        """Wait for an endpoint; endpoints that failed before may be used again."""
        if job.exclude:
            job.exclude.clear()
            return self._push(job, NO_ENDPOINT_RETRY_DELAY_S)
        until = self._clock.now() + NO_ENDPOINT_RETRY_DELAY_S
        self._queue.block(job.request.deployment, until)
        self._push(job, 0.0)

    def _push(self, job: Job, delay: float) -> None:
        if not job.partial:
            self._active.discard(job)
        now = self._clock.now()
        request = job.request
        self._queue.push(request.deployment, order_of(request), job, now + delay)
        self._wake()

    async def _run_attempt(self, job: Job, view: EndpointView) -> None:
        """Make one attempt and act on its result."""
        try:
            step = await self._attempts.run(job, view)
        except EbonydealError as exc:
            job.task = None
            if exc.kind is ErrorKind.FENCED:
                return self._forget(job)
            logger.error(
                "Outcome was not recorded; the request is retried.", error=str(exc)
            )
            return self._push(job, FAILED_RETRY_DELAY_S)
        except Exception as exc:
            job.task = None
            logger.error(
                "Attempt failed with an internal error.",
                request=job.request_id,
                exc_info=exc,
            )
            return self._push(job, FAILED_RETRY_DELAY_S)
        job.task = None
        match step:
            case Done():
                self._forget(job)
            case RetryLater(delay=delay):
                self._push(job, delay)
        self._wake()
