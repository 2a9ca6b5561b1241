"""What is compared: the planner, and three baselines."""

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
    """Does nothing before the end; callers send their requests again.

    Parameters
    ----------
    pool : Pool
        What it acts on.
    by_load : bool
        Route what is sent again to the least outstanding engine; else by the
        same router as everything else, which keeps to prefixes.
    """

    def __init__(self, pool: Pool, by_load: bool) -> None:
        self._pool = pool
        self._by_load = by_load

    def on_notice(self, zone: str, deadline: float) -> None:
        """Let everything run on."""

    def on_cut(self, cut: list[Stream]) -> None:
        """Start everything anew."""
        for stream in cut:
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
    """Goes on elsewhere by prefill once a stream is cut."""

    def __init__(self, pool: Pool) -> None:
        self._pool = pool

    def on_notice(self, zone: str, deadline: float) -> None:
        """Let everything run on."""

    def on_cut(self, cut: list[Stream]) -> None:
        """Resume where the router says."""
        for stream in cut:
            self._pool.resume(stream, self._pool.route(stream.job), "cut")


class ExportByArrival(ResumeByPrefill):
    """Exports in the order of arrival until the time is over."""

    def on_notice(self, zone: str, deadline: float) -> None:
        """Export one after the other at each engine."""
        for stream in self._pool.on_zone(zone):
            if stream.decoding_since is None:
                target = self._pool.route(stream.job)
                self._pool.resume(stream, target, "cut")
        self._export_next(zone, deadline)

    def _export_next(self, zone: str, deadline: float) -> None:
        """Start an export wherever none runs; look again when one ends."""
        pool = self._pool
        now = pool.scheduler.now
        streams = pool.on_zone(zone)
        for engine in pool.engines:
            mine = [it for it in streams if it.engine is engine]
            if mine and engine.export_free_at <= now < deadline:
                target = min(pool.usable(), key=lambda it: it.outstanding)
                pool.export(mine[0], target, self._failed)
                pool.scheduler.at(
                    engine.export_free_at, self._export_next, zone, deadline
                )

    def _failed(self, stream: Stream, handle_left: bool) -> None:
        self._pool.resume(stream, self._pool.route(stream.job), "export broke")


class Planned:
    """`plan_migrations` and `replan_failed_exports`, carried out."""

    def __init__(self, pool: Pool) -> None:
        self._pool = pool
        self._assumptions = PlannerAssumptions(
            import_share=pool.spec.import_share,
            prefill_tokens_per_s=pool.spec.prefill_per_s,
        )
        self._versions: dict[str, int] = {}
        self._moving: set[Stream] = set()
        self._planned_ends: dict[str, float] = {}

    def on_notice(self, zone: str, deadline: float) -> None:
        """Plan for everything that runs there; what waits is only sent elsewhere."""
        streams = self._pool.on_zone(zone)
        for stream in streams:
            if stream.delivered == 0:
                self._pool.resume(stream, self._pool.route(stream.job), "")
        self._plan([it for it in streams if it.delivered], deadline)

    def on_cut(self, cut: list[Stream]) -> None:
        """Go on by prefill at planned places."""
        self._carry_out(cut, self._moves(cut, self._pool.scheduler.now), 0.0, "cut")

    def _plan(self, streams: list[Stream], deadline: float) -> None:
        moves = self._moves(streams, deadline)
        self._carry_out(streams, moves, deadline, "planned")

    def _moves(self, streams: list[Stream], deadline: float) -> list[StreamAction]:
        now = self._pool.scheduler.now
        return plan_migrations(
            [self._running(stream) for stream in streams],
            deadline - now,
            self._pool.spec.export_gb_per_s,
            self._targets(),
            now,
            source_busy=self._busy(),
            assumptions=self._assumptions,
        )

    def _carry_out(
        self,
        streams: list[Stream],
        moves: list[StreamAction],
        deadline: float,
        cause: str,
    ) -> None:
        by_id = {stream.job.job_id: stream for stream in streams}
        for stream in streams:
            version = self._versions.get(stream.job.job_id, 0)
            self._versions[stream.job.job_id] = version + 1
        for move in moves:
            stream = by_id[move.request_id]
            step: Callable[[], None] = self._step(stream, move, deadline, cause)
            match move:
                case KeepRunning(review_at=time):
                    self._moving.discard(stream)
                    self._pool.scheduler.at(time, step)
                case ExportTo(start_at=time, seconds=seconds):
                    self._moving.add(stream)
                    if stream.engine is not None:
                        source = stream.engine.engine_id
                        self._planned_ends[source] = time + seconds
                    self._pool.scheduler.at(time, step)
                case Recompute(start_at=time):
                    self._moving.add(stream)
                    self._pool.scheduler.at(time, step)

    def _step(
        self, stream: Stream, move: StreamAction, deadline: float, cause: str
    ) -> Callable[[], None]:
        """Return what is to be done at the move's time, unless things changed."""
        turn = stream.turn
        version = self._versions[stream.job.job_id]

        def step() -> None:
            planned_anew = self._versions[stream.job.job_id] != version
            if stream.turn != turn or planned_anew:
                return
            match move:
                case KeepRunning():
                    self._review(stream, deadline)
                case ExportTo(target=view):
                    self._pool.export(stream, self._engine(view, stream), self._failed)
                case Recompute(target=maybe):
                    self._pool.resume(stream, self._engine(maybe, stream), cause)

        return step

    def _review(self, reviewed: Stream, deadline: float) -> None:
        """Plan anew for all that may still be moved off the stream's engine."""
        source = reviewed.engine
        if source is None or deadline <= self._pool.scheduler.now:
            return
        streams = [
            stream
            for stream in source.running.values()
            if stream.decoding_since is not None and stream not in self._moving
        ]
        for stream in streams:
            source.progress(stream)
        self._plan(streams, deadline)

    def _failed(self, stream: Stream, handle_left: bool) -> None:
        """Plan anew; a handle that is left is not modelled as fetched again."""
        now = self._pool.scheduler.now
        fault = ExportFailure(stream.job.job_id, False)
        moves = replan_failed_exports(
            [self._running(stream)],
            [fault],
            0.0,
            self._pool.spec.export_gb_per_s,
            self._targets(),
            now,
            assumptions=self._assumptions,
        )
        cause = "target left" if handle_left else "export broke"
        self._carry_out([stream], moves, 0.0, cause)

    def _engine(self, view: EndpointView | None, stream: Stream) -> EngineModel:
        """Return the planned engine, or the router's if it is gone."""
        for engine in self._pool.usable():
            if view is not None and engine.engine_id == view.endpoint_id:
                return engine
        return self._pool.route(stream.job)

    def _busy(self) -> dict[str, float]:
        """Return the seconds that exports, begun and planned, still take."""
        now = self._pool.scheduler.now
        ends = {it.engine_id: it.export_free_at for it in self._pool.engines}
        for engine_id, end in self._planned_ends.items():
            ends[engine_id] = max(ends[engine_id], end)
        return {engine_id: max(0.0, end - now) for engine_id, end in ends.items()}

    def _running(self, stream: Stream) -> RunningStream:
        spec = self._pool.spec
        return RunningStream(
            request_id=stream.job.job_id,
            endpoint_id=stream.engine.engine_id if stream.engine else "",
            context_tokens=stream.context_tokens,
            remaining_tokens_estimate=self._pool.estimate(stream),
            tokens_per_s=spec.decode_per_s,
            kv_gb=stream.context_tokens * spec.gb_per_token,
            prefix=stream.job.prefix,
        )

    def _targets(self) -> list[MigrationTarget]:
        return [
            MigrationTarget(
                _view(engine),
                max(0, engine.slots - engine.outstanding),
                self._pool.seen_cache(engine),
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


Acting = RetryFromStart | ResumeByPrefill | Planned


def build(strategy: Strategy, pool: Pool) -> Acting:
    """Return a strategy that acts on ``pool``."""
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
            return Planned(pool)
