"""Migrates streams off leaving endpoints: finish, move the KV cache or recompute."""

import asyncio
from collections import defaultdict
from collections.abc import Collection
from typing import NamedTuple

from mode import Service

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.gateway import attempts
from ebonydeal._internal.gateway.background import Spawn
from ebonydeal._internal.gateway.migration_inputs import (
    AffectedStream,
    export_rate,
    migration_targets,
    running_stream,
    stream_key,
)
from ebonydeal._internal.gateway.planned_migrations import PlannedMigrations
from ebonydeal._internal.gateway.ports import DirectoryPort
from ebonydeal._internal.gateway.stream_runner import StreamRunner
from ebonydeal._internal.models.endpoints import EndpointView, LeavingMark
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.observe.trail import Step, Trails
from ebonydeal._internal.outside.interfaces import Engine
from ebonydeal._internal.routing.reclaim.migration_plan import (
    ExportFailure,
    ExportTo,
    KeepRunning,
    Recompute,
    StreamAction,
    plan_migrations,
    replan_failed_exports,
)
from ebonydeal._internal.settings.gateway import GatewaySettings
from ebonydeal._internal.utils.clock import Clock

logger = get_logger("reclaim")

# Leaving marks of one reclaim burst arrive shortly after each other. A plan made
# before the last mark could migrate streams to endpoints that leave as well.
_BATCH_WINDOW_S = 0.05


class MigratorParts(NamedTuple):
    """Dependencies of the stream migrator."""

    runner: StreamRunner
    engine: Engine
    directory: DirectoryPort
    metrics: Metrics
    trails: Trails
    clock: Clock
    background: Spawn


class _ReclaimBatch(NamedTuple):
    """Leaving marks that are handled together.

    ``zones`` are being reclaimed as a whole; ``deadline`` is in wall clock seconds.
    """

    zones: frozenset[str]
    deadline: float


class _TransferResult(NamedTuple):
    """Outcome of the transfer of one KV cache.

    ``handle`` is empty if the export failed; ``imported`` is True if the target
    holds the cache.
    """

    handle: str
    imported: bool


class StreamMigrator(Service):
    """Migrates running streams off endpoints that are marked as leaving.

    A stream whose export has begun always gets a Migrate message, at the latest
    when the export times out; the stream runner waits for it.

    Parameters
    ----------
    parts : MigratorParts
        Dependencies.
    cfg : GatewaySettings
        Time limits and transfer rates.
    """

    def __init__(self, parts: MigratorParts, cfg: GatewaySettings) -> None:
        super().__init__()
        self._parts = parts
        self._cfg = cfg
        self._migrations = PlannedMigrations()
        self._marks: asyncio.Queue[LeavingMark] = asyncio.Queue()
        parts.directory.on_mark(self._marks.put_nowait)

    @Service.task
    async def _handle_marks(self) -> None:
        while not self.should_stop:
            marks = [await self._marks.get()]
            await self._parts.clock.sleep(_BATCH_WINDOW_S)
            while not self._marks.empty():
                marks.append(self._marks.get_nowait())
            self.handle(marks)

    def handle(self, marks: Collection[LeavingMark]) -> None:
        """Plan and start migrations for new marks."""
        zones = frozenset(mark.zone for mark in marks if not mark.endpoint_id)
        for (deployment, deadline), group in self._affected().items():
            logger.info(
                "Planning stream migrations.", deployment=deployment, streams=len(group)
            )
            self._plan_and_start(group, _ReclaimBatch(zones, deadline))

    def _affected(self) -> dict[tuple[str, float], list[AffectedStream]]:
        """Return the streams to migrate, by deployment and deadline."""
        groups = defaultdict(list)
        for live in self._parts.runner.live_streams:
            attempt = live.attempt
            if (
                attempt is None
                or live.migrating
                or live.finish
                or live.planned_attempt is attempt
            ):
                continue
            endpoint = attempt.route.endpoint
            if not self._parts.directory.is_leaving(endpoint):
                continue
            live.planned_attempt = attempt
            key = (live.job.deployment.name, self._deadline(endpoint))
            groups[key].append(AffectedStream(live, attempt))
        return groups

    def _deadline(self, endpoint: EndpointView) -> float:
        """Return when an endpoint is reclaimed; estimated if the time is unknown."""
        known = self._parts.directory.deadline(endpoint)
        return known or self._parts.clock.wall() + self._cfg.notice_seconds

    # --- planning ---
    def _plan_and_start(
        self, group: list[AffectedStream], batch: _ReclaimBatch
    ) -> None:
        """Plan the streams of one deployment and start the actions."""
        by_key = {stream_key(stream): stream for stream in group}
        for action in self._decide_actions(group, batch):
            stream = by_key[action.request_id]
            number = self._migrations.add(stream, batch.zones)
            self._parts.background(self._execute(stream, action, batch, number))

    def _replan(self, stream: AffectedStream, batch: _ReclaimBatch) -> None:
        """Plan again for a stream and all planned streams of the same source."""
        others = self._migrations.at_source(stream.attempt.route.endpoint.endpoint_id)
        zones = batch.zones.union(*(planned.zones for planned in others))
        group = [stream, *(planned.stream for planned in others)]
        self._plan_and_start(group, batch._replace(zones=zones))

    def _decide_actions(
        self, group: list[AffectedStream], batch: _ReclaimBatch
    ) -> list[StreamAction]:
        """Return the planned actions; if planning fails, recompute every stream."""
        clock = self._parts.clock
        job = group[0].live.job
        try:
            return plan_migrations(
                [running_stream(stream, self._cfg, clock.now()) for stream in group],
                max(0.0, batch.deadline - clock.wall()),
                export_rate(group, self._cfg.kv_gb_per_s),
                migration_targets(
                    self._parts.directory.views(job.deployment.name),
                    job.model,
                ),
                clock.wall(),
                leaving_zones=batch.zones,
                source_busy=self._migrations.remaining_export_s(clock.wall()),
            )
        except Exception as exc:
            logger.error("Migration planning failed.", exc_info=exc)
            return [
                Recompute(stream_key(stream), None, clock.wall()) for stream in group
            ]

    # --- executing ---
    async def _execute(
        self,
        stream: AffectedStream,
        action: StreamAction,
        batch: _ReclaimBatch,
        number: int,
    ) -> None:
        """Execute an action when it is due, unless a newer plan replaced it."""
        at = action.review_at if isinstance(action, KeepRunning) else action.start_at
        await self._wait_until(at)
        if not self._migrations.start(stream, number):
            return
        match action:
            case KeepRunning():
                self._replan(stream, batch)
            case Recompute(target=target):
                stream.attempt.mailbox.post(attempts.Migrate(target, ""))
            case ExportTo():
                await self._export(stream, action, batch)

    async def _wait_until(self, at: float) -> None:
        """Wait for a wall clock time."""
        delay = at - self._parts.clock.wall()
        if delay > 0.0:
            await self._parts.clock.sleep(delay)

    async def _export(
        self, stream: AffectedStream, action: ExportTo, batch: _ReclaimBatch
    ) -> None:
        """Transfer a stream's KV cache; if that fails, let the stream recompute."""
        stream.live.migrating = True
        until = self._parts.clock.wall() + action.seconds
        self._migrations.record_export_start(stream, until)
        message = attempts.Migrate(None, "")
        try:
            message = await self._transfer(stream, action, batch)
        finally:
            self._migrations.record_export_end(stream)
            stream.attempt.mailbox.post(message)

    async def _transfer(
        self, stream: AffectedStream, action: ExportTo, batch: _ReclaimBatch
    ) -> attempts.Migrate:
        """Export and import; after a failure, import at another target if possible."""
        first = await self._try_transfer(stream, action.target, "")
        if first.imported:
            return attempts.Migrate(action.target, first.handle)
        second = self._action_after_failure(stream, action, first, batch)
        if isinstance(second, ExportTo):
            retried = await self._try_transfer(stream, second.target, first.handle)
            return attempts.Migrate(
                second.target, retried.handle if retried.imported else ""
            )
        return attempts.Migrate(
            second.target if isinstance(second, Recompute) else None, ""
        )

    def _action_after_failure(
        self,
        stream: AffectedStream,
        action: ExportTo,
        failed: _TransferResult,
        batch: _ReclaimBatch,
    ) -> StreamAction:
        """Return the next action after a transfer failed."""
        clock = self._parts.clock
        job = stream.live.job
        views = [
            view
            for view in self._parts.directory.views(job.deployment.name)
            if view.endpoint_id != action.target.endpoint_id
        ]
        actions = replan_failed_exports(
            [running_stream(stream, self._cfg, clock.now())],
            [ExportFailure(stream_key(stream), bool(failed.handle))],
            max(0.0, batch.deadline - clock.wall()),
            export_rate([stream], self._cfg.kv_gb_per_s),
            migration_targets(views, job.model),
            clock.wall(),
            leaving_zones=batch.zones,
        )
        return actions[0]

    async def _try_transfer(
        self, stream: AffectedStream, target: EndpointView, handle: str
    ) -> _TransferResult:
        """Export (unless ``handle`` is given) and import at ``target``."""
        source = stream.attempt.route.endpoint
        engine = self._parts.engine
        try:
            async with asyncio.timeout(self._cfg.export_seconds):
                if not handle:
                    handle = await engine.export_kv(source, stream.attempt.attempt_id)
                tokens = await engine.import_kv(target, handle, source)
        except (EbonydealError, TimeoutError) as exc:
            kind = exc.kind if isinstance(exc, EbonydealError) else None
            self._record_failed_transfer(stream, target, kind)
            return _TransferResult(handle, False)
        self._parts.trails.add_step(
            stream.live.request_id,
            self._parts.clock.wall(),
            Step.EXPORTED,
            source=source.endpoint_id,
            target=target.endpoint_id,
            tokens=tokens,
        )
        return _TransferResult(handle, True)

    def _record_failed_transfer(
        self, stream: AffectedStream, target: EndpointView, kind: ErrorKind | None
    ) -> None:
        """Count and log a failed transfer."""
        self._parts.metrics.count(Event.KV_EXPORT_FAILED)
        reason = str(kind) if kind else "timeout"
        logger.warning(
            "KV cache transfer failed.",
            request_id=stream.live.request_id,
            target=target.endpoint_id,
            reason=reason,
        )
