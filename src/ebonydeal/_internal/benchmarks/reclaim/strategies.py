"""The compared strategies: the migration planner and four baselines."""

from collections.abc import Callable
from enum import StrEnum

from ebonydeal._internal.benchmarks.reclaim.engines import EngineModel, Stream
from ebonydeal._internal.benchmarks.reclaim.pool import Pool
from ebonydeal._internal.models.endpoints import (
    EndpointKind,
    EndpointState,
    EndpointView,
)
from ebonydeal._internal.models.places import Place
from ebonydeal._internal.routing.reclaim.migration_plan import (
    ExportFailure,
    ExportTo,
    KeepRunning,
    MigrationTarget,
    PlannerAssumptions,
    Recompute,
    RunningStream,
    StreamAction,
    plan_migrations,
    replan_failed_exports,
)


class Strategy(StrEnum):
    """The planner and its baselines."""

    RETRY_LOAD = "retry, by load"
    RETRY = "retry, by prefix"
    PREFILL = "resume by prefill"
    ARRIVAL = "export by arrival"
    PLANNED = "planned"


class RetryFromStart:
    """Does nothing on a notice; callers send their requests again.

    Parameters
    ----------
    pool : Pool
        Pool that it acts on.
    by_load : bool
        Send retries to the engine with the fewest outstanding streams; otherwise to
        the engine that the pool's prefix router chooses.
    """

    def __init__(self, pool: Pool, by_load: bool) -> None:
        self._pool = pool
        self._by_load = by_load

    def on_notice(self, zone: str, deadline: float) -> None:
        """Let all streams run on."""

    def on_interrupted(self, interrupted: list[Stream]) -> None:
        """Restart all streams from the beginning."""
        for stream in interrupted:
            if stream.delivered:
                self._pool.broken += 1
                self._pool.tally["generated again"] += stream.delivered
            started = stream.delivered > 0
            stream.delivered = 0
            cause = "prefilled again" if started else ""
            engine = self._pool.route(stream.job)
            if self._by_load:
                engine = min(self._pool.usable(), key=lambda it: it.outstanding)
            engine.submit(stream, cause=cause)


class ResumeByPrefill:
    """Resumes interrupted streams on other engines by prefill."""

    def __init__(self, pool: Pool) -> None:
        self._pool = pool

    def on_notice(self, zone: str, deadline: float) -> None:
        """Let all streams run on."""

    def on_interrupted(self, interrupted: list[Stream]) -> None:
        """Resume each stream on the engine that the router chooses."""
        for stream in interrupted:
            self._pool.resume(stream, self._pool.route(stream.job), "cut")


class ExportByArrival(ResumeByPrefill):
    """Exports streams in order of arrival until the deadline."""

    def on_notice(self, zone: str, deadline: float) -> None:
        """Resume undecoded streams elsewhere; export the others one by one."""
        for stream in self._pool.streams_in_zone(zone):
            if stream.decoding_since is None:
                target = self._pool.route(stream.job)
                self._pool.resume(stream, target, "cut")
        self._export_next(zone, deadline)

    def _export_next(self, zone: str, deadline: float) -> None:
        """Start an export on each engine without one; repeat when it ends."""
        pool = self._pool
        now = pool.scheduler.now
        streams = pool.streams_in_zone(zone)
        for engine in pool.engines:
            on_engine = [it for it in streams if it.engine is engine]
            if on_engine and engine.export_free_at <= now < deadline:
                target = min(pool.usable(), key=lambda it: it.outstanding)
                pool.export(on_engine[0], target, self._on_export_failed)
                pool.scheduler.at(
                    engine.export_free_at, self._export_next, zone, deadline
                )

    def _on_export_failed(self, stream: Stream, handle_usable: bool) -> None:
        self._pool.resume(stream, self._pool.route(stream.job), "export broke")


class PlannedMigration:
    """Executes the plans of `plan_migrations` and `replan_failed_exports`."""

    def __init__(self, pool: Pool) -> None:
        self._pool = pool
        self._assumptions = PlannerAssumptions(
            import_share=pool.spec.import_share,
            prefill_tokens_per_s=pool.spec.prefill_per_s,
        )
        self._plan_versions: dict[str, int] = {}
        self._migrating: set[Stream] = set()
        self._planned_export_ends: dict[str, float] = {}

    def on_notice(self, zone: str, deadline: float) -> None:
        """Plan for all streams with delivered tokens; resubmit the others elsewhere."""
        streams = self._pool.streams_in_zone(zone)
        for stream in streams:
            if stream.delivered == 0:
                self._pool.resume(stream, self._pool.route(stream.job), "")
        self._plan([it for it in streams if it.delivered], deadline)

    def on_interrupted(self, interrupted: list[Stream]) -> None:
        """Resume by prefill on the planned engines."""
        self._schedule_actions(
            interrupted,
            self._plan_actions(interrupted, self._pool.scheduler.now),
            0.0,
            "cut",
        )

    def _plan(self, streams: list[Stream], deadline: float) -> None:
        actions = self._plan_actions(streams, deadline)
        self._schedule_actions(streams, actions, deadline, "planned")

    def _plan_actions(
        self, streams: list[Stream], deadline: float
    ) -> list[StreamAction]:
        now = self._pool.scheduler.now
        return plan_migrations(
            [self._running_stream(stream) for stream in streams],
            deadline - now,
            self._pool.spec.export_gb_per_s,
            self._targets(),
            now,
            source_busy=self._export_seconds_left(),
            assumptions=self._assumptions,
        )

    def _schedule_actions(
        self,
        streams: list[Stream],
        actions: list[StreamAction],
        deadline: float,
        cause: str,
    ) -> None:
        by_id = {stream.job.job_id: stream for stream in streams}
        for stream in streams:
            plan_version = self._plan_versions.get(stream.job.job_id, 0)
            self._plan_versions[stream.job.job_id] = plan_version + 1
        for action in actions:
            stream = by_id[action.request_id]
            step: Callable[[], None] = self._make_step(stream, action, deadline, cause)
            match action:
                case KeepRunning(review_at=time):
                    self._migrating.discard(stream)
                    self._pool.scheduler.at(time, step)
                case ExportTo(start_at=time, seconds=seconds):
                    self._migrating.add(stream)
                    if stream.engine is not None:
                        source = stream.engine.engine_id
                        self._planned_export_ends[source] = time + seconds
                    self._pool.scheduler.at(time, step)
                case Recompute(start_at=time):
                    self._migrating.add(stream)
                    self._pool.scheduler.at(time, step)

    def _make_step(
        self, stream: Stream, action: StreamAction, deadline: float, cause: str
    ) -> Callable[[], None]:
        """Return the call that executes an action unless the stream or plan changed."""
        generation = stream.generation
        plan_version = self._plan_versions[stream.job.job_id]

        def step() -> None:
            replanned = self._plan_versions[stream.job.job_id] != plan_version
            if stream.generation != generation or replanned:
                return
            match action:
                case KeepRunning():
                    self._review(stream, deadline)
                case ExportTo(target=view):
                    self._pool.export(
                        stream, self._engine(view, stream), self._on_export_failed
                    )
                case Recompute(target=view):
                    self._pool.resume(stream, self._engine(view, stream), cause)

        return step

    def _review(self, reviewed: Stream, deadline: float) -> None:
        """Plan anew for all streams that can still migrate off the stream's engine."""
        source = reviewed.engine
        if source is None or deadline <= self._pool.scheduler.now:
            return
        streams = [
            stream
            for stream in source.running.values()
            if stream.decoding_since is not None and stream not in self._migrating
        ]
        for stream in streams:
            source.update_progress(stream)
        self._plan(streams, deadline)

    def _on_export_failed(self, stream: Stream, handle_usable: bool) -> None:
        """Plan anew; the model doesn't retry the import of a usable handle."""
        now = self._pool.scheduler.now
        failure = ExportFailure(stream.job.job_id, False)
        actions = replan_failed_exports(
            [self._running_stream(stream)],
            [failure],
            0.0,
            self._pool.spec.export_gb_per_s,
            self._targets(),
            now,
            assumptions=self._assumptions,
        )
        cause = "target left" if handle_usable else "export broke"
        self._schedule_actions([stream], actions, 0.0, cause)

    def _engine(self, view: EndpointView | None, stream: Stream) -> EngineModel:
        """Return the planned engine, or the router's choice if it isn't usable."""
        for engine in self._pool.usable():
            if view is not None and engine.engine_id == view.endpoint_id:
                return engine
        return self._pool.route(stream.job)

    def _export_seconds_left(self) -> dict[str, float]:
        """Return each engine's remaining seconds of running and planned exports."""
        now = self._pool.scheduler.now
        ends = {it.engine_id: it.export_free_at for it in self._pool.engines}
        for engine_id, end in self._planned_export_ends.items():
            ends[engine_id] = max(ends[engine_id], end)
        return {engine_id: max(0.0, end - now) for engine_id, end in ends.items()}

    def _running_stream(self, stream: Stream) -> RunningStream:
        spec = self._pool.spec
        return RunningStream(
            request_id=stream.job.job_id,
            endpoint_id=stream.engine.engine_id if stream.engine else "",
            context_tokens=stream.context_tokens,
            remaining_tokens_estimate=self._pool.estimate_remaining_tokens(stream),
            tokens_per_s=spec.decode_per_s,
            kv_gb=stream.context_tokens * spec.gb_per_token,
            prefix=stream.job.prefix,
        )

    def _targets(self) -> list[MigrationTarget]:
        return [
            MigrationTarget(
                _view(engine),
                max(0, engine.slots - engine.outstanding),
                self._pool.known_cache(engine),
            )
            for engine in self._pool.usable()
        ]


def _view(engine: EngineModel) -> EndpointView:
    """Return the view of a model engine."""
    return EndpointView(
        endpoint_id=engine.engine_id,
        incarnation=1,
        kind=EndpointKind.ENGINE,
        address="",
        place=Place("model", engine.zone),
        deployment="pool",
        models=("m",),
        state=EndpointState.READY,
        reclaimable=True,
        evict_per_hour=0.1,
        price_per_hour=1.0,
    )


ActiveStrategy = RetryFromStart | ResumeByPrefill | PlannedMigration


def build(strategy: Strategy, pool: Pool) -> ActiveStrategy:
    """Return an instance of the strategy for ``pool``."""
    match strategy:
        case Strategy.RETRY_LOAD:
            return RetryFromStart(pool, by_load=True)
        case Strategy.RETRY:
            return RetryFromStart(pool, by_load=False)
        case Strategy.PREFILL:
            return ResumeByPrefill(pool)
        case Strategy.ARRIVAL:
            return ExportByArrival(pool)
        case Strategy.PLANNED:
            return PlannedMigration(pool)
