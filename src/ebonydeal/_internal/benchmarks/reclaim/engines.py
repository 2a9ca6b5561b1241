"""A small model of engines: slots, prefix cache, prefill, decode and export."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import NamedTuple

from ebonydeal._internal.benchmarks.event_scheduler import EventScheduler
from ebonydeal._internal.benchmarks.reclaim.mixes import Job
from ebonydeal._internal.utils.prefix import BLOCK_TOKENS


class EngineSpec(NamedTuple):
    """What every engine of a run can do.

    Attributes
    ----------
    decode_per_s : float
        Tokens a second of one stream.
    prefill_per_s : float
        Prompt tokens a second, one prompt after the other.
    cache_tokens : int
        Limit of the prefix cache.
    gb_per_token : float
        Size of the KV cache.
    export_gb_per_s : float
        Rate of exports, one after the other.
    import_share : float
        Time of the import over that of the export.
    """

    decode_per_s: float = 45.0
    prefill_per_s: float = 8000.0
    cache_tokens: int = 60_000
    gb_per_token: float = 0.000128
    export_gb_per_s: float = 1.0
    import_share: float = 0.5


@dataclass(eq=False)
class Stream:
    """A request on its way; ``turn`` makes events of an earlier place void."""

    job: Job
    delivered: int = 0
    engine: "EngineModel | None" = None
    turn: int = 0
    imported: bool = False
    cause: str = ""
    decoding_since: float | None = None
    base: int = 0
    last_token_at: float = 0.0
    done: bool = False
    gaps: list[float] = field(default_factory=list)

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
        self.dies_at = float("inf")
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
        """Streams that run or wait here."""
        return len(self.running) + len(self.waiting)

    @property
    def cached(self) -> frozenset[str]:
        """Prompt blocks in the prefix cache."""
        return frozenset(self._cache)

    def submit(
        self, stream: Stream, *, imported: bool = False, cause: str = ""
    ) -> None:
        """Take a stream; ``cause`` says why its tokens are computed again."""
        stream.engine = self
        stream.turn += 1
        stream.imported = imported
        stream.cause = cause
        self.waiting.append(stream)
        self._fill()

    def progress(self, stream: Stream) -> None:
        """Bring a stream's delivered tokens up to now."""
        if stream.decoding_since is None:
            return
        passed = self._scheduler.now - stream.decoding_since
        made = int(passed * self.spec.decode_per_s + 1e-9)
        stream.delivered = min(stream.job.output_tokens, stream.base + made)
        if stream.delivered > stream.base:
            made = stream.delivered - stream.base
            stream.last_token_at = stream.decoding_since + made / self.spec.decode_per_s

    def stop(self, stream: Stream) -> None:
        """Take a stream away."""
        self.progress(stream)
        stream.decoding_since = None
        stream.turn += 1
        stream.engine = None
        self.running.pop(stream.job.job_id, None)
        for line in (self.waiting, self._prefills):
            if stream in line:
                line.remove(stream)
        if self._prefilling is stream:
            self._prefilling = None
            self._next_prefill()
        self._fill()

    def kill(self) -> list[Stream]:
        """Die; return the streams that were here."""
        self.alive = False
        streams = [*self.running.values(), *self.waiting]
        for stream in streams:
            self.stop(stream)
        return streams

    def _fill(self) -> None:
        while self.alive and self.waiting and len(self.running) < self.slots:
            stream = self.waiting.popleft()
            self.running[stream.job.job_id] = stream
            if stream.imported:
                self._decode(stream)
            else:
                self._prefills.append(stream)
        self._next_prefill()

    def _next_prefill(self) -> None:
        if self._prefilling is not None or not self._prefills or not self.alive:
            return
        stream = self._prefills.popleft()
        self._prefilling = stream
        needed = max(0, stream.context_tokens - self._hit(stream.job.prefix))
        if stream.cause:
            total = self.recomputed.get(stream.cause, 0) + needed
            self.recomputed[stream.cause] = total
        end = self._scheduler.now + needed / self.spec.prefill_per_s
        self._scheduler.at(end, self._prefilled, stream, stream.turn)

    def _prefilled(self, stream: Stream, turn: int) -> None:
        if stream.turn != turn:
            return
        self._prefilling = None
        self._remember(stream.job.prefix)
        self._decode(stream)
        self._next_prefill()

    def _decode(self, stream: Stream) -> None:
        now = self._scheduler.now
        if stream.last_token_at:
            stream.gaps.append(now + 1 / self.spec.decode_per_s - stream.last_token_at)
        stream.decoding_since = now
        stream.base = stream.delivered
        left = stream.job.output_tokens - stream.delivered
        end = now + left / self.spec.decode_per_s
        self._scheduler.at(end, self._finished, stream, stream.turn)

    def _finished(self, stream: Stream, turn: int) -> None:
        if stream.turn != turn:
            return
        self.stop(stream)
        stream.delivered = stream.job.output_tokens
        stream.done = True

    def _hit(self, prefix: tuple[str, ...]) -> int:
        count = 0
        for block in prefix:
            if block not in self._cache:
                break
            self._cache.move_to_end(block)
            count += 1
        return count * BLOCK_TOKENS

    def _remember(self, prefix: tuple[str, ...]) -> None:
        for block in reversed(prefix):
            self._cache[block] = None
            self._cache.move_to_end(block)
        while len(self._cache) * BLOCK_TOKENS > self.spec.cache_tokens:
            self._cache.popitem(last=False)
