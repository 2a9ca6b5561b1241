"""A pool of engine models with arrivals, a reclaim burst and failing exports."""

import random
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

from ebonydeal._internal.benchmarks.event_scheduler import EventScheduler
from ebonydeal._internal.benchmarks.reclaim.engines import (
    EngineModel,
    EngineSpec,
    Stream,
)
from ebonydeal._internal.benchmarks.reclaim.mixes import Job, Mix, generate_jobs

WARM_UP_S = 90.0
TRAFFIC_AFTER_S = 40.0
NOTICE_DELAY_S = 0.5
_MAX_LOAD_FACTOR = 1.25
MIN_CALL_S = 0.05


class ReclaimBurst(NamedTuple):
    """Reclaimed zones as (seconds after the warm-up, number); notice in seconds."""

    notice: float
    zones: tuple[tuple[float, int], ...] = ((0.0, 0),)


class Faults(NamedTuple):
    """Injected faults.

    ``export_failure_share`` of the exports fail half-way. ``event_loss_share`` of the
    cache events are lost, so that the planner doesn't know the block.
    ``estimate_sigma`` is the spread of the log-normal error of estimated remaining
    tokens.
    """

    export_failure_share: float = 0.05
    event_loss_share: float = 0.1
    estimate_sigma: float = 0.4


class Pool:
    """One simulation of one mix; strategies act on it through its methods."""

    def __init__(
        self,
        mix: Mix,
        reclaim: ReclaimBurst,
        seed: int,
        spec: EngineSpec,
        faults: Faults,
    ) -> None:
        self.scheduler = EventScheduler()
        self.spec = spec
        self.reclaim = reclaim
        self.faults = faults
        self.streams: list[Stream] = []
        self.leaving: set[str] = set()
        self.tally: Counter[str] = Counter()
        self.broken = 0
        self.engines = [
            EngineModel(
                f"i-{zone}-{n}", f"zone-{zone}", mix.slots, spec, self.scheduler
            )
            for zone, replicas in enumerate(mix.zones)
            for n in range(replicas)
        ]
        self._faults_rng = random.Random(f"faults-{seed}")
        self._jobs = generate_jobs(
            mix, WARM_UP_S + TRAFFIC_AFTER_S, random.Random(f"jobs-{seed}")
        )

    def run(
        self,
        on_notice: Callable[[str, float], None],
        on_interrupted: Callable[[list[Stream]], None],
    ) -> None:
        """Run until all streams have ended.

        ``on_notice(zone, deadline)`` is called `NOTICE_DELAY_S` after a notice longer
        than that; ``on_interrupted(streams)`` with the streams of engines that stop.
        """
        for job in self._jobs:
            self.scheduler.at(job.arrives, self._on_arrival, job)
        for start, number in self.reclaim.zones:
            zone = f"zone-{number}"
            announced_at = WARM_UP_S + start
            deadline = announced_at + self.reclaim.notice
            for engine in self.engines:
                if engine.zone == zone:
                    engine.stops_at = deadline
            if self.reclaim.notice > NOTICE_DELAY_S:
                notified_at = announced_at + NOTICE_DELAY_S
                self.scheduler.at(
                    notified_at, self._on_notice, zone, deadline, on_notice
                )
            self.scheduler.at(deadline, self._stop_zone, zone, on_interrupted)
        self.scheduler.run()
        for engine in self.engines:
            self.tally.update(engine.recomputed)

    def usable(self) -> list[EngineModel]:
        """Return the running engines outside leaving zones."""
        return [
            engine
            for engine in self.engines
            if engine.alive and engine.zone not in self.leaving
        ]

    def route(self, job: Job) -> EngineModel:
        """Return the engine of a job's group, or the next below the maximum load."""
        usable = self.usable()
        usable.sort(
            key=lambda it: xxh3_64_intdigest(f"{job.group}{it.engine_id}".encode())
        )
        mean = sum(engine.outstanding for engine in usable) / len(usable)
        for engine in usable:
            if engine.outstanding < _MAX_LOAD_FACTOR * mean + 1:
                return engine
        return min(usable, key=lambda it: it.outstanding)

    def streams_in_zone(self, zone: str) -> list[Stream]:
        """Return the streams on a zone's engines in order of arrival."""
        found = []
        for engine in self.engines:
            if engine.zone != zone:
                continue
            for stream in [*engine.running.values(), *engine.waiting]:
                engine.update_progress(stream)
                found.append(stream)
        found.sort(key=lambda it: it.job.arrives)
        return found

    def estimate_remaining_tokens(self, stream: Stream) -> float:
        """Return an estimate, with an error, of the tokens still to come."""
        remaining = stream.job.output_tokens - stream.delivered
        sigma = self.faults.estimate_sigma
        return remaining * random.Random(stream.job.job_id).lognormvariate(0.0, sigma)

    def known_cache(self, engine: EngineModel) -> frozenset[str]:
        """Return an engine's cached blocks whose events weren't lost."""
        loss_threshold = self.faults.event_loss_share * (1 << 32)
        return frozenset(
            block
            for block in engine.cached
            if xxh3_64_intdigest(f"{engine.engine_id}{block}".encode()) & 0xFFFFFFFF
            >= loss_threshold
        )

    def resume(self, stream: Stream, engine: EngineModel, cause: str) -> None:
        """Resume a stream by prefill; one without delivered tokens gets no cause."""
        if stream.engine is not None:
            stream.engine.remove(stream)
        computed = stream.delivered > 0
        engine.submit(stream, cause=cause if computed else "")

    def export(
        self,
        stream: Stream,
        target: EngineModel,
        on_failed: Callable[[Stream, bool], None],
    ) -> None:
        """Stop a stream and migrate its cache.

        A failure calls ``on_failed(stream, handle_usable)``.
        """
        source = stream.engine
        if source is None:
            return
        source.remove(stream)
        size = stream.context_tokens * self.spec.gb_per_token
        seconds = size / self.spec.export_gb_per_s * (1.0 + self.spec.import_share)
        start = max(self.scheduler.now, source.export_free_at)
        end = start + seconds + MIN_CALL_S
        source.export_free_at = end
        fails = self._faults_rng.random() < self.faults.export_failure_share
        if end > source.stops_at:
            self.scheduler.at(source.stops_at, on_failed, stream, False)
        elif fails:
            self.scheduler.at(start + seconds / 2, on_failed, stream, False)
        else:
            self.scheduler.at(end, self._on_imported, stream, target, source, on_failed)

    def _on_imported(
        self,
        stream: Stream,
        target: EngineModel,
        source: EngineModel,
        on_failed: Callable[[Stream, bool], None],
    ) -> None:
        if target.alive and target.zone not in self.leaving:
            target.submit(stream, imported=True)
        else:
            on_failed(stream, source.alive)

    def _on_arrival(self, job: Job) -> None:
        stream = Stream(job)
        self.streams.append(stream)
        self.route(job).submit(stream)

    def _on_notice(
        self, zone: str, deadline: float, on_notice: Callable[[str, float], None]
    ) -> None:
        self.leaving.add(zone)
        on_notice(zone, deadline)

    def _stop_zone(
        self, zone: str, on_interrupted: Callable[[list[Stream]], None]
    ) -> None:
        self.leaving.add(zone)
        interrupted = []
        for engine in self.engines:
            if engine.zone == zone:
                interrupted += engine.kill()
        interrupted.sort(key=lambda it: it.job.arrives)
        on_interrupted(interrupted)
