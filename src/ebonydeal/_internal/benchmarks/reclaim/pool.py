"""A pool of engine models with arrivals, one wave, and exports with faults."""

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
from ebonydeal._internal.benchmarks.reclaim.mixes import Job, Mix, jobs_of

WARM_UP_S = 90.0
AFTER_S = 40.0
NOTICE_DELAY_S = 0.5
_BOUNDED_LOAD = 1.25
MIN_CALL_S = 0.05


class Wave(NamedTuple):
    """Zones that are taken back: (seconds after the warm-up, zone number)."""

    notice: float
    zones: tuple[tuple[float, int], ...] = ((0.0, 0),)


class Faults(NamedTuple):
    """What goes wrong, as shares.

    ``export_breaks``: of exports, half-way; ``events_lost``: of cache events, so
    that the planner doesn't see the block; ``estimate_sigma``: spread of the
    log-normal error of estimated remaining tokens.
    """

    export_breaks: float = 0.05
    events_lost: float = 0.1
    estimate_sigma: float = 0.4


class Pool:
    """One run of one mix; strategies act on it through its methods."""

    def __init__(
        self, mix: Mix, wave: Wave, seed: int, spec: EngineSpec, faults: Faults
    ) -> None:
        self.scheduler = EventScheduler()
        self.spec = spec
        self.wave = wave
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
        self._jobs = jobs_of(mix, WARM_UP_S + AFTER_S, random.Random(f"jobs-{seed}"))

    def run(
        self,
        on_notice: Callable[[str, float], None],
        on_cut: Callable[[list[Stream]], None],
    ) -> None:
        """Run to the end of all work.

        ``on_notice(zone, deadline)`` is called a little after each notice that
        leaves time; ``on_cut(streams)`` with what ran on engines as they died.
        """
        for job in self._jobs:
            self.scheduler.at(job.arrives, self._arrive, job)
        for start, number in self.wave.zones:
            zone = f"zone-{number}"
            noticed = WARM_UP_S + start
            deadline = noticed + self.wave.notice
            for engine in self.engines:
                if engine.zone == zone:
                    engine.dies_at = deadline
            if self.wave.notice > NOTICE_DELAY_S:
                heard = noticed + NOTICE_DELAY_S
                self.scheduler.at(heard, self._notice, zone, deadline, on_notice)
            self.scheduler.at(deadline, self._die, zone, on_cut)
        self.scheduler.run()
        for engine in self.engines:
            self.tally.update(engine.recomputed)

    def usable(self) -> list[EngineModel]:
        """Return the engines that aren't leaving."""
        return [
            engine
            for engine in self.engines
            if engine.alive and engine.zone not in self.leaving
        ]

    def route(self, job: Job) -> EngineModel:
        """Return the engine of a job's group, the next one where that is full."""
        usable = self.usable()
        usable.sort(
            key=lambda it: xxh3_64_intdigest(f"{job.group}{it.engine_id}".encode())
        )
        mean = sum(engine.outstanding for engine in usable) / len(usable)
        for engine in usable:
            if engine.outstanding < _BOUNDED_LOAD * mean + 1:
                return engine
        return min(usable, key=lambda it: it.outstanding)

    def on_zone(self, zone: str) -> list[Stream]:
        """Return the streams on a zone's engines, in the order of arrival."""
        found = []
        for engine in self.engines:
            if engine.zone != zone:
                continue
            for stream in [*engine.running.values(), *engine.waiting]:
                engine.progress(stream)
                found.append(stream)
        found.sort(key=lambda it: it.job.arrives)
        return found

    def estimate(self, stream: Stream) -> float:
        """Return a wrong guess of the tokens that are still to come."""
        left = stream.job.output_tokens - stream.delivered
        sigma = self.faults.estimate_sigma
        return left * random.Random(stream.job.job_id).lognormvariate(0.0, sigma)

    def seen_cache(self, engine: EngineModel) -> frozenset[str]:
        """Return the blocks of an engine's cache of which events arrived."""
        lost = self.faults.events_lost * (1 << 32)
        return frozenset(
            block
            for block in engine.cached
            if xxh3_64_intdigest(f"{engine.engine_id}{block}".encode()) & 0xFFFFFFFF
            >= lost
        )

    def resume(self, stream: Stream, engine: EngineModel, cause: str) -> None:
        """Go on by prefill; a stream that wasn't computed yet has no cause."""
        if stream.engine is not None:
            stream.engine.stop(stream)
        computed = stream.delivered > 0
        engine.submit(stream, cause=cause if computed else "")

    def export(
        self,
        stream: Stream,
        target: EngineModel,
        failed: Callable[[Stream, bool], None],
    ) -> None:
        """Stop a stream and move its cache; ``failed(stream, handle_left)``."""
        source = stream.engine
        if source is None:
            return
        source.stop(stream)
        size = stream.context_tokens * self.spec.gb_per_token
        seconds = size / self.spec.export_gb_per_s * (1.0 + self.spec.import_share)
        start = max(self.scheduler.now, source.export_free_at)
        end = start + seconds + MIN_CALL_S
        source.export_free_at = end
        breaks = self._faults_rng.random() < self.faults.export_breaks
        if end > source.dies_at:
            self.scheduler.at(source.dies_at, failed, stream, False)
        elif breaks:
            self.scheduler.at(start + seconds / 2, failed, stream, False)
        else:
            self.scheduler.at(end, self._arrived, stream, target, source, failed)

    def _arrived(
        self,
        stream: Stream,
        target: EngineModel,
        source: EngineModel,
        failed: Callable[[Stream, bool], None],
    ) -> None:
        if target.alive and target.zone not in self.leaving:
            target.submit(stream, imported=True)
        else:
            failed(stream, source.alive)

    def _arrive(self, job: Job) -> None:
        stream = Stream(job)
        self.streams.append(stream)
        self.route(job).submit(stream)

    def _notice(
        self, zone: str, deadline: float, on_notice: Callable[[str, float], None]
    ) -> None:
        self.leaving.add(zone)
        on_notice(zone, deadline)

    def _die(self, zone: str, on_cut: Callable[[list[Stream]], None]) -> None:
        self.leaving.add(zone)
        cut = []
        for engine in self.engines:
            if engine.zone == zone:
                cut += engine.kill()
        cut.sort(key=lambda it: it.job.arrives)
        on_cut(cut)
