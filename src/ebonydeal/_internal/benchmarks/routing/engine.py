"""A small engine model: slots, one prefill at a time, a bounded prefix cache."""

from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import NamedTuple

from ebonydeal._internal.benchmarks.routing.traces import Shape, TraceRequest
from ebonydeal._internal.utils.prefix import BLOCK_TOKENS

_BATCH_SLOWDOWN = 0.5


class StartedPrefill(NamedTuple):
    """A prefill in progress: its end, and how much of the prompt was cached."""

    job: "Job"
    end: float
    cached_tokens: int
    uncached_blocks: tuple[str, ...]


@dataclass
class Job:
    """A request at an engine."""

    request: TraceRequest
    gateway: int
    sent_at: float


class CacheEvent(NamedTuple):
    """A block was stored in or evicted from the prefix cache."""

    seq: int
    stored: bool
    block: str


class EngineModel:
    """One replica."""

    def __init__(self, shape: Shape) -> None:
        self._shape = shape
        self._cache: OrderedDict[str, None] = OrderedDict()
        self._waiting: deque[Job] = deque()
        self._prefill_queue: deque[Job] = deque()
        self._prefilling = False
        self.running = 0
        self._seq = 0
        self.events: list[CacheEvent] = []

    @property
    def waiting(self) -> int:
        """Requests without a slot."""
        return len(self._waiting)

    def enqueue(self, job: Job, now: float) -> StartedPrefill | None:
        """Enqueue a request; return the prefill that this starts, if any."""
        self._waiting.append(job)
        return self.advance(now)

    def advance(self, now: float) -> StartedPrefill | None:
        """Fill free slots; start and return the next prefill if none is in progress."""
        while self._waiting and self.running < self._shape.slots:
            self.running += 1
            self._prefill_queue.append(self._waiting.popleft())
        if self._prefilling or not self._prefill_queue:
            return None
        self._prefilling = True
        job = self._prefill_queue.popleft()
        hits = self._count_cached(job.request.blocks)
        cached_tokens = hits * BLOCK_TOKENS
        seconds = (job.request.prompt_tokens - cached_tokens) / self._shape.prefill_rate
        return StartedPrefill(
            job, now + seconds, cached_tokens, job.request.blocks[hits:]
        )

    def finish_prefill(self, started: StartedPrefill) -> float:
        """Finish a prefill; return the decode time of the answer in seconds."""
        self._prefilling = False
        self._store_blocks(started.job.request.blocks)
        slowdown = 1.0 + _BATCH_SLOWDOWN * self.running / self._shape.slots
        tokens = started.job.request.output_tokens
        return tokens * slowdown / self._shape.token_rate

    def finish_answer(self, job: Job) -> None:
        """Free the answer's slot and cache its tokens."""
        self.running -= 1
        self._store_blocks(job.request.full_blocks)

    def take_events(self) -> list[CacheEvent]:
        """Return cache events since the last call."""
        events, self.events = self.events, []
        return events

    def _count_cached(self, blocks: tuple[str, ...]) -> int:
        """Return how many leading blocks are cached, and mark them as recently used."""
        hits = 0
        for block in blocks:
            if block not in self._cache:
                break
            hits += 1
        for block in reversed(blocks[:hits]):
            self._cache.move_to_end(block)
        return hits

    def _store_blocks(self, blocks: tuple[str, ...]) -> None:
        for block in reversed(blocks):
            if block not in self._cache:
                self._record_cache_event(True, block)
            self._cache[block] = None
            self._cache.move_to_end(block)
        while len(self._cache) > self._shape.cache_blocks:
            evicted, _ = self._cache.popitem(last=False)
            self._record_cache_event(False, evicted)

    def _record_cache_event(self, stored: bool, block: str) -> None:
        self._seq += 1
        self.events.append(CacheEvent(self._seq, stored, block))
