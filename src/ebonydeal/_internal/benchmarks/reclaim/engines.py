"""Simple engine model: slots, prefix cache, prefill, decode and export."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import NamedTuple

from ebonydeal._internal.benchmarks.event_scheduler import EventScheduler
from ebonydeal._internal.benchmarks.reclaim.mixes import Job
from ebonydeal._internal.utils.prefix import BLOCK_TOKENS


class EngineSpec(NamedTuple):
    """Performance of the engines of a run.

    Attributes
    ----------
    decode_per_s : float
        Tokens a second of one stream.
    prefill_per_s : float
        Prompt tokens a second; prompts are prefilled one after the other.
    cache_tokens : int
        Limit of the prefix cache.
    gb_per_token : float
        Size of the KV cache.
    export_gb_per_s : float
        Rate of exports, which run one after the other.
    import_share : float
        Time of an import relative to that of its export.
    """

    decode_per_s: float = 45.0
    prefill_per_s: float = 8000.0
    cache_tokens: int = 60_000
    gb_per_token: float = 0.000128
    export_gb_per_s: float = 1.0
    import_share: float = 0.5


@dataclass(eq=False)
class Stream:
    """A request; events scheduled for an earlier ``generation`` are ignored."""

    job: Job
    delivered: int = 0
    engine: "EngineModel | None" = None
    generation: int = 0
    imported: bool = False
    cause: str = ""
    decoding_since: float | None = None
    delivered_before: int = 0
    last_token_at: float = 0.0
    done: bool = False
    token_gaps: list[float] = field(default_factory=list)

    @property
    def context_tokens(self) -> int:
        """Prompt and delivered tokens."""
        return self.job.prompt_tokens + self.delivered


class EngineModel:
    """One replica."""

    def __init__(
        self,
        engine_id: str,
        zone: str,
        slots: int,
        spec: EngineSpec,
        scheduler: EventScheduler,
    ) -> None:
        self.engine_id = engine_id
        self.zone = zone
        self.slots = slots
        self.spec = spec
        self.alive = True
        self.stops_at = float("inf")
        self.export_free_at = 0.0
        self.running: dict[str, Stream] = {}
        self.waiting: deque[Stream] = deque()
        self.recomputed: dict[str, int] = {}
        self._prefills: deque[Stream] = deque()
        self._prefilling: Stream | None = None
        self._cache: OrderedDict[str, None] = OrderedDict()
        self._scheduler = scheduler

    @property
    def outstanding(self) -> int:
        """Number of running and waiting streams."""
        return len(self.running) + len(self.waiting)

    @property
    def cached(self) -> frozenset[str]:
        """Prompt blocks in the prefix cache."""
        return frozenset(self._cache)

    def submit(
        self, stream: Stream, *, imported: bool = False, cause: str = ""
    ) -> None:
        """Enqueue a stream; ``cause`` says why its tokens are recomputed."""
        stream.engine = self
        stream.generation += 1
        stream.imported = imported
        stream.cause = cause
        self.waiting.append(stream)
        self._start_waiting()

    def update_progress(self, stream: Stream) -> None:
        """Update a stream's delivered tokens to the current time."""
        if stream.decoding_since is None:
            return
        elapsed = self._scheduler.now - stream.decoding_since
        generated = int(elapsed * self.spec.decode_per_s + 1e-9)
        stream.delivered = min(
            stream.job.output_tokens, stream.delivered_before + generated
        )
        if stream.delivered > stream.delivered_before:
            generated = stream.delivered - stream.delivered_before
            stream.last_token_at = (
                stream.decoding_since + generated / self.spec.decode_per_s
            )

    def remove(self, stream: Stream) -> None:
        """Remove a stream from this engine."""
        self.update_progress(stream)
        stream.decoding_since = None
        stream.generation += 1
        stream.engine = None
        self.running.pop(stream.job.job_id, None)
        for queue in (self.waiting, self._prefills):
            if stream in queue:
                queue.remove(stream)
        if self._prefilling is stream:
            self._prefilling = None
            self._start_prefill()
        self._start_waiting()

    def kill(self) -> list[Stream]:
        """Stop this engine; return the streams that it had."""
        self.alive = False
        streams = [*self.running.values(), *self.waiting]
        for stream in streams:
            self.remove(stream)
        return streams

    def _start_waiting(self) -> None:
        while self.alive and self.waiting and len(self.running) < self.slots:
            stream = self.waiting.popleft()
            self.running[stream.job.job_id] = stream
            if stream.imported:
                self._decode(stream)
            else:
                self._prefills.append(stream)
        self._start_prefill()

    def _start_prefill(self) -> None:
        if self._prefilling is not None or not self._prefills or not self.alive:
            return
        stream = self._prefills.popleft()
        self._prefilling = stream
        to_prefill = max(
            0, stream.context_tokens - self._count_cached_tokens(stream.job.prefix)
        )
        if stream.cause:
            total = self.recomputed.get(stream.cause, 0) + to_prefill
            self.recomputed[stream.cause] = total
        end = self._scheduler.now + to_prefill / self.spec.prefill_per_s
        self._scheduler.at(end, self._on_prefill_end, stream, stream.generation)

    def _on_prefill_end(self, stream: Stream, generation: int) -> None:
        if stream.generation != generation:
            return
        self._prefilling = None
        self._cache_prefix(stream.job.prefix)
        self._decode(stream)
        self._start_prefill()

    def _decode(self, stream: Stream) -> None:
        now = self._scheduler.now
        if stream.last_token_at:
            stream.token_gaps.append(
                now + 1 / self.spec.decode_per_s - stream.last_token_at
            )
        stream.decoding_since = now
        stream.delivered_before = stream.delivered
        remaining = stream.job.output_tokens - stream.delivered
        end = now + remaining / self.spec.decode_per_s
        self._scheduler.at(end, self._on_finished, stream, stream.generation)

    def _on_finished(self, stream: Stream, generation: int) -> None:
        if stream.generation != generation:
            return
        self.remove(stream)
        stream.delivered = stream.job.output_tokens
        stream.done = True

    def _count_cached_tokens(self, prefix: tuple[str, ...]) -> int:
        count = 0
        for block in prefix:
            if block not in self._cache:
                break
            self._cache.move_to_end(block)
            count += 1
        return count * BLOCK_TOKENS

    def _cache_prefix(self, prefix: tuple[str, ...]) -> None:
        for block in reversed(prefix):
            self._cache[block] = None
            self._cache.move_to_end(block)
        while len(self._cache) * BLOCK_TOKENS > self.spec.cache_tokens:
            self._cache.popitem(last=False)
