"""Migration of running streams from endpoints that leave.

An endpoint that leaves breaks off the runs that it still has when it stops, and most
streams may not be run again. So the run is stopped in time, its KV cache goes to
another endpoint, and the stream continues there after its last event, as the same
run and without another prefill.

Until it is stopped the run works, and its endpoint may even serve it to its end. So it
is stopped only if it can go on: another endpoint has room for it, and the retry budget
pays for its next send, and for one more if that is refused.
"""

import asyncio
from dataclasses import dataclass, field
from math import inf
from typing import NamedTuple

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.forwarding import (
    KvCacheRef,
    Member,
    MigrationReply,
)
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.ports import Engines
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.routing.notices.endpoint_notices import EndpointNotices
from ebonydeal._internal.routing.placement.endpoint_selector import (
    EndpointSelector,
    SelectionRequest,
)
from ebonydeal._internal.routing.placement.outliers import OutlierDetector
from ebonydeal._internal.routing.reclaim.running_streams import (
    PlannerAssumptions,
    RunningStream,
    outlast_probability,
    seconds_to_finish,
)
from ebonydeal._internal.routing.retries.retries import RetryPolicy
from ebonydeal._internal.routing.retries.retry_reserve import RetryReserve
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.supervised import SupervisedService, supervised_task

logger = get_logger("relay.moves")

_CHECK_INTERVAL_S = 0.1
# Migrations start at the latest when an endpoint has this much time left: twice what
# some hundred streams need at a few milliseconds each.
_FINAL_WINDOW_S = 0.8
# Time that a reclaimable endpoint is assumed to have left until it reports more.
_MIN_NOTICE_S = 1.0
# A stopped run waits so long for the transfer of its KV cache. An endpoint that has
# left closes the connection, so the bound is for one that falls silent.
_MAX_TRANSFER_S = 1.5
# Endpoints that are asked for room until a run stays where it is.
_MAX_COPIES = 3
_LIMITS = PlannerAssumptions(immediate_export_factor=2.0)


class MigratedRun(NamedTuple):
    """The endpoint where a migrated run continues, and its KV cache.

    ``source`` is the endpoint that stopped the run and still has the KV cache, if the
    run may continue there.
    """

    member: Member
    kv_cache: KvCacheRef
    source: Member | None = None

    def at_source(self) -> "MigratedRun | None":
        """Return the run as it continues where it was stopped, or None."""
        if self.source is None:
            return None
        return MigratedRun(self.source, self.kv_cache)


@dataclass
class RefusedMoves:
    """Endpoints that didn't take a run of one request.

    ``after_stop`` says that one refused a run that had been stopped for it.
    """

    endpoints: set[str] = field(default_factory=set)
    after_stop: bool = False

    def add_after_stop(self, endpoint_id: str) -> None:
        """Note an endpoint that refused a stopped run."""
        self.endpoints.add(endpoint_id)
        self.after_stop = True


@dataclass(eq=False)
class StreamRun:
    """The run of one stream at one endpoint.

    ``expected_tokens`` is the expected length of the complete answer, ``event_tokens``
    the tokens in one event, ``received`` the size of what came of the answer in bytes.
    ``reserve`` is the request's retry that is set aside while its run is stopped, and
    ``deadline`` when its answer has to be complete.
    ``may_be_stopped`` says that a migration has begun that may have stopped it,
    ``is_being_replaced`` that it is silent, and another endpoint is asked to go on.
    ``refused`` is shared by all runs of the request.
    ``copy_handle`` is its name for a copy that holds room at another endpoint.
    """

    request_id: str
    service: str
    member: Member
    prompt_tokens: int
    expected_tokens: int
    event_tokens: int
    reserve: RetryReserve
    deadline: float = inf
    first_event_at: float = 0.0
    events: int = 0
    received: int = 0
    may_be_stopped: bool = False
    is_being_replaced: bool = False
    refused: RefusedMoves = field(default_factory=RefusedMoves)
    copy_handle: str = ""
    migration: "asyncio.Task[MigratedRun | None] | None" = None

    def record_events(self, events: int, now: float) -> None:
        """Count events that arrived."""
        if not self.events:
            self.first_event_at = now
        self.events += events

    def estimate(self, now: float) -> RunningStream:
        """Return what the run is expected to need until its end."""
        generated = self.events * self.event_tokens
        duration = max(0.001, now - self.first_event_at)
        return RunningStream(
            request_id=self.request_id,
            endpoint_id=self.member.endpoint_id,
            context_tokens=self.prompt_tokens + generated,
            remaining_tokens_estimate=max(
                float(self.event_tokens), self.expected_tokens - generated
            ),
            tokens_per_s=generated / duration,
            kv_gb=0.0,
        )


class MigratorParts(NamedTuple):
    """Collaborators that migrations use."""

    view: RelayView
    selector: EndpointSelector
    outliers: OutlierDetector
    retries: RetryPolicy
    notices: EndpointNotices
    engines: Engines
    metrics: Metrics
    clock: Clock
    zone: str
    drain_s: float
    enabled: bool = True


class StreamMigrator(SupervisedService):
    """Watches running streams, and migrates those that would be broken off."""

    def __init__(self, parts: MigratorParts) -> None:
        super().__init__()
        self._parts = parts
        self._runs: set[StreamRun] = set()
        self._leaving_since: dict[str, float] = {}

    def watch(self, run: StreamRun) -> None:
        """Start watching a run."""
        if self._parts.enabled:
            self._runs.add(run)

    def unwatch(self, run: StreamRun) -> None:
        """Stop watching a run."""
        self._runs.discard(run)

    async def result(self, run: StreamRun) -> MigratedRun | None:
        """Wait for a run's migration; return its target, or None if it has none.

        The migration goes on if the wait is cancelled.
        """
        return None if run.migration is None else await asyncio.shield(run.migration)

    def result_so_far(self, run: StreamRun) -> MigratedRun | None:
        """Return a migration's target; None if it has none, or isn't complete."""
        migration = run.migration
        if migration is None or not migration.done():
            return None
        return migration.result()

    @supervised_task
    async def _watch(self) -> None:
        while not self.should_stop:
            await self._parts.clock.sleep(_CHECK_INTERVAL_S)
            self._start_due(self._parts.clock.now())

    def _start_due(self, now: float) -> None:
        """Start the migrations that are due."""
        self._note_leaving(now)
        for run in self._runs:
            if run.migration is None and self._is_due(run, now):
                run.migration = asyncio.ensure_future(self._migrate(run))

    def _note_leaving(self, now: float) -> None:
        """Record since when endpoints with runs are known to leave or to have left."""
        members = self._parts.view.members
        since = {}
        for run in self._runs:
            endpoint_id = run.member.endpoint_id
            member = members.get(endpoint_id)
            if member is None or member.leaving:
                since[endpoint_id] = self._leaving_since.get(endpoint_id, now)
        self._leaving_since = since

    def _is_due(self, run: StreamRun, now: float) -> bool:
        """Return whether a run must be migrated now.

        A run that will probably end in time stays; one that surely won't is migrated at
        once. The others wait, since those that end meanwhile need no migration.
        """
        since = self._leaving_since.get(run.member.endpoint_id)
        if since is None or not run.events or run.is_being_replaced:
            return False
        if len(run.refused.endpoints) >= _MAX_COPIES:
            return False
        if run.refused.after_stop and not self._may_stop_again(run, now):
            return False
        time_left = self._time_left(run.member, since, now)
        stream = run.estimate(now)
        if seconds_to_finish(stream) > _LIMITS.immediate_export_factor * time_left:
            return True
        return (
            time_left <= _FINAL_WINDOW_S
            and outlast_probability(stream, max(0.0, time_left), _LIMITS)
            > _LIMITS.export_failure_probability
        )

    def _may_stop_again(self, run: StreamRun, now: float) -> bool:
        """Return whether a run that is back at its source may be stopped once more.

        An endpoint that isn't reclaimed serves it, perhaps to its end.
        """
        member = run.member
        return member.reclaimable and self._parts.view.may_get_requests(member, now)

    def _time_left(self, member: Member, since: float, now: float) -> float:
        """Return the seconds for which an endpoint that leaves still serves."""
        end = self._parts.view.leaves_at(member.endpoint_id)
        if end is not None:
            return end - now
        drain_s = self._parts.drain_s
        if member.reclaimable:
            drain_s = min(drain_s, _MIN_NOTICE_S)
        return drain_s - (now - since)

    async def _migrate(self, run: StreamRun) -> MigratedRun | None:
        """Stop a run and transfer its KV cache; None if it wasn't, or can't go on so.

        The run is stopped only once retries are set aside for its next send and for
        another one, since the target may refuse it.
        """
        target = self._target(run)
        if target is None or not self._reserve_sends(run):
            # Retried at the next check, which may find a target and retry budget.
            run.migration = None
            return None
        if not run.member.reclaimable and not await self._copy_ahead(run, target):
            self._return_sends(run)
            run.migration = None
            return None
        return await self._stop(run, target)

    def _reserve_sends(self, run: StreamRun) -> bool:
        """Take what a stopped run needs to go on from the retry budget."""
        if run not in self._runs or not self._parts.retries.try_spend(run.service):
            return False
        return run.reserve.take()

    def _return_sends(self, run: StreamRun) -> None:
        """Return the retry of a send that isn't made.

        The other one is kept for a run that may be stopped: it has to go on elsewhere.
        """
        self._parts.retries.refund(run.service)
        if not run.may_be_stopped:
            run.reserve.release()

    async def _copy_ahead(self, run: StreamRun, target: Member) -> bool:
        """Return whether the target takes a run, which goes on meanwhile.

        What the run adds until it is stopped is copied then. Links of an endpoint that
        may be reclaimed are left to the copies of stopped runs, as its time is short.
        """
        engines = self._parts.engines
        source = run.member.address
        try:
            reply = await engines.copy_run(source, run.request_id, target.address)
        except EbonydealError as exc:
            reply = MigrationReply("", str(exc), left_running=True)
        if reply.refusal:
            run.refused.endpoints.add(target.endpoint_id)
            self._record_failure(run, target, reply.refusal)
            return False
        run.copy_handle = reply.handle
        may_stop = run in self._runs and not run.is_being_replaced
        if not may_stop or not self._takes_runs(target):
            await self._free_copy(run)
            return False
        return True

    async def _free_copy(self, run: StreamRun) -> None:
        """Free the room that a copy holds, as the run isn't stopped."""
        handle, run.copy_handle = run.copy_handle, ""
        if not handle:
            return
        try:
            await self._parts.engines.free_copy(run.member.address, handle)
        except EbonydealError as exc:
            # Its endpoints free it by themselves after a while.
            logger.info(
                "Copy not freed.",
                request=run.request_id,
                endpoint=run.member.endpoint_id,
                reason=str(exc),
            )

    async def _stop(self, run: StreamRun, target: Member) -> MigratedRun | None:
        """Stop a run; return where it goes on with its KV cache, if it does."""
        parts = self._parts
        source = run.member.address
        run.may_be_stopped = True
        try:
            reply = await parts.engines.migrate_run(
                source, run.request_id, target.address, self._transfer_limit(run)
            )
        except EbonydealError as exc:
            run.may_be_stopped = exc.kind is not ErrorKind.CONNECT_FAILED
            self._record_failure(run, target, str(exc))
            self._return_sends(run)
            return None
        if not reply.refusal:
            parts.metrics.count(Event.STREAMS_MOVED)
            logger.info(
                "Stream migrated.",
                request=run.request_id,
                endpoint=run.member.endpoint_id,
                target=target.endpoint_id,
                events=run.events,
            )
            if run not in self._runs:
                # Its request has ended meanwhile.
                run.copy_handle = reply.handle
                await self._free_copy(run)
                self._return_sends(run)
                return None
            kv_cache = KvCacheRef(source, reply.handle)
            return MigratedRun(target, kv_cache, run.member)
        run.may_be_stopped = not reply.left_running
        if run.may_be_stopped:
            run.refused.add_after_stop(target.endpoint_id)
        self._record_failure(run, target, reply.refusal)
        may_return = parts.view.may_get_requests(run.member, parts.clock.now())
        if reply.handle and may_return:
            return MigratedRun(run.member, KvCacheRef(source, reply.handle))
        self._return_sends(run)
        if reply.left_running:
            await self._free_copy(run)
        return None

    def _transfer_limit(self, run: StreamRun) -> float:
        """Return the seconds for which a stopped run waits for its KV cache."""
        time_left = max(0.001, run.deadline - self._parts.clock.now())
        return min(_MAX_TRANSFER_S, time_left)

    def _target(self, run: StreamRun) -> Member | None:
        """Return the endpoint where the run waits least, or None."""
        parts = self._parts
        now = parts.clock.now()
        # One version can't use the KV cache of another.
        listed = [
            member
            for member in parts.view.of_service(run.service)
            if member.version == run.member.version
            and member.endpoint_id not in run.refused.endpoints
            and self._takes_runs(member)
        ]
        allowed = parts.outliers.allowed(listed, now)
        score = parts.selector.select_engine(
            SelectionRequest((), 0, parts.zone), allowed, now
        )
        return None if score is None else parts.view.members[score.endpoint_id]

    def _takes_runs(self, member: Member) -> bool:
        """Return whether runs may be migrated to an endpoint now."""
        parts = self._parts
        return member in parts.view.of_service(
            member.service
        ) and parts.notices.accepts_migrated_streams(member.process, parts.clock.now())

    def _record_failure(self, run: StreamRun, target: Member, reason: str) -> None:
        self._parts.metrics.count(Event.KV_EXPORT_FAILED)
        logger.warning(
            "Stream not moved.",
            request=run.request_id,
            endpoint=run.member.endpoint_id,
            target=target.endpoint_id,
            may_be_stopped=run.may_be_stopped,
            reason=reason,
        )
