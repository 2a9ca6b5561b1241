"""A small engine model: slots, one prefill at a time, a bounded prefix cache."""

from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import NamedTuple

from ebonydeal._internal.benchmarks.routing.traces import Shape, TraceRequest
from ebonydeal._internal.utils.prefix import BLOCK_TOKENS

_BATCH_SLOWDOWN = 0.5


class Started(NamedTuple):
    """A prefill that began: when it ends, and what the cache held."""

    job: "Job"
    end: float
    cached_tokens: int
    missed_blocks: tuple[str, ...]


@dataclass
class Job:
    """A request at an engine."""

    request: TraceRequest
    gateway: int
    sent_at: float


class StoreEvent(NamedTuple):
    """A block was stored in or dropped from the prefix cache."""

    seq: int
    stored: bool
    block: str


class EngineModel:
    """One replica."""

    def __init__(self, shape: Shape) -> None:
        self._shape = shape
        self._cache: OrderedDict[str, None] = OrderedDict()
        self._waiting: deque[Job] = deque()
        self._to_prefill: deque[Job] = deque()
        self._prefilling = False
        self.running = 0
        self._seq = 0
        self.events: list[StoreEvent] = []

    @property
    def waiting(self) -> int:
        """Requests without a slot."""
        return len(self._waiting)

    def enqueue(self, job: Job, now: float) -> Started | None:
        """Take a request; return the prefill that begins, if one does."""
        self._waiting.append(job)
        return self.advance(now)

    def advance(self, now: float) -> Started | None:
        """Fill free slots, and begin the next prefill if none is under way."""
        while self._waiting and self.running < self._shape.slots:
            self.running += 1
            self._to_prefill.append(self._waiting.popleft())
        if self._prefilling or not self._to_prefill:
            return None
        self._prefilling = True
        job = self._to_prefill.popleft()
        hits = self._match(job.request.blocks)
        cached = hits * BLOCK_TOKENS
        seconds = (job.request.prompt_tokens - cached) / self._shape.prefill_rate
        return Started(job, now + seconds, cached, job.request.blocks[hits:])

    def finish_prefill(self, started: Started) -> float:
        """End a prefill; return the seconds until the answer's end."""
        self._prefilling = False
        self._store(started.job.request.blocks)
        slowdown = 1.0 + _BATCH_SLOWDOWN * self.running / self._shape.slots
        tokens = started.job.request.output_tokens
        return tokens * slowdown / self._shape.token_rate

    def finish_answer(self, job: Job) -> None:
        """End an answer: its slot is free, its tokens are cached."""
        self.running -= 1
        self._store(job.request.full_blocks)

    def take_events(self) -> list[StoreEvent]:
        """Return cache events since the last call."""
        events, self.events = self.events, []
        return events

    def _match(self, blocks: tuple[str, ...]) -> int:
        """Return how many blocks are cached, and mark them as used."""
        hits = 0
        for block in blocks:
            if block not in self._cache:
                break
            hits += 1
        for block in reversed(blocks[:hits]):
            self._cache.move_to_end(block)
        return hits

    def _store(self, blocks: tuple[str, ...]) -> None:
        for block in reversed(blocks):
            if block not in self._cache:
                self._event(True, block)
            self._cache[block] = None
            self._cache.move_to_end(block)
        while len(self._cache) > self._shape.cache_blocks:
            dropped, _ = self._cache.popitem(last=False)
            self._event(False, dropped)

    def _event(self, stored: bool, block: str) -> None:
        self._seq += 1
        self.events.append(StoreEvent(self._seq, stored, block))
