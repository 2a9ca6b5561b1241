"""Prefix cache of a simulated engine, with LRU eviction."""

import random
from collections import OrderedDict, deque

from ebonydeal._internal.outside.interfaces import CacheEvent
from ebonydeal._internal.utils.prefix import BLOCK_TOKENS

_MAX_EVENTS = 4096


class PrefixCache:
    """Blocks of prompts by chained hash, and the cache events about them.

    Parameters
    ----------
    blocks : int
        Capacity in blocks.
    event_lag : float
        Seconds until an event is reported.
    event_loss : float
        Fraction of events that are never reported, 0 to 1.
    rng : random.Random
        Decides which events are lost.
    """

    def __init__(
        self, blocks: int, event_lag: float, event_loss: float, rng: random.Random
    ) -> None:
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._max_blocks = blocks
        self._lag = event_lag
        self._loss = event_loss
        self._rng = rng
        self._seq = 0
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=_MAX_EVENTS)

    def __len__(self) -> int:
        return len(self._blocks)

    @property
    def used(self) -> float:
        """Fraction of the capacity in use, 0 to 1."""
        return len(self._blocks) / self._max_blocks if self._max_blocks else 0.0

    def cached_tokens(self, blocks: tuple[str, ...]) -> int:
        """Return the tokens of the longest cached prefix, and mark it as used."""
        count = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return count * BLOCK_TOKENS

    def store(self, blocks: tuple[str, ...], now: float) -> None:
        """Store a prompt's blocks, evicting the least recently used."""
        for block in blocks:
            if block not in self._blocks:
                self._record_event(True, block, now)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._max_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._record_event(False, evicted, now)

    def _record_event(self, stored: bool, block: str, now: float) -> None:
        self._seq += 1
        if self._rng.random() >= self._loss:
            self._events.append((now, CacheEvent(self._seq, stored, block)))

    def events(self, after: int, now: float) -> list[CacheEvent]:
        """Return the events after ``after`` that are old enough to be reported."""
        return [
            event
            for at, event in self._events
            if event.seq > after and at + self._lag <= now
        ]
