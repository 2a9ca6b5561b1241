"""Estimates of what endpoints hold in their prefix caches.

An estimate is built from cache events, which arrive late and with gaps, and from this
gateway's sends, and corrected by the cached tokens that answers report. Each entry is a
block and the time of its last known use. When memory is full, the least recently used
entries are evicted, as engines do.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from ebonydeal._internal.utils.prefix import BLOCK_TOKENS

_HIT_WEIGHT = 0.1
_MIN_CONFIDENCE = 0.2
_EVICTED_SHARE_DIVISOR = 4


class PrefixCacheView:
    """The estimated prefix cache of one endpoint.

    Parameters
    ----------
    max_blocks : int
        Blocks remembered.
    half_life : float
        Age at which an entry counts half, seconds.
    """

    def __init__(self, max_blocks: int, half_life: float) -> None:
        self._max_blocks = max_blocks
        self._half_life = half_life
        self._last_used: OrderedDict[str, float] = OrderedDict()
        self._evicted: OrderedDict[str, None] = OrderedDict()
        self._seq = 0
        self._confidence = 1.0

    def set_max_blocks(self, max_blocks: int) -> None:
        """Remember at most ``max_blocks`` blocks from now on."""
        self._max_blocks = max_blocks
        self._trim()

    def __len__(self) -> int:
        """Return the number of remembered blocks."""
        return len(self._last_used)

    def apply_events(self, events: Iterable[tuple[int, bool, str]], now: float) -> None:
        """Apply cache events (seq, stored, block)."""
        used, evicted = self._last_used, self._evicted
        for seq, stored, block in events:
            self._seq = max(self._seq, seq)
            if stored:
                used[block] = now
                used.move_to_end(block)
                evicted.pop(block, None)
            else:
                used.pop(block, None)
                evicted[block] = None
        self._trim()

    def record_sent(self, blocks: Sequence[str], now: float) -> None:
        """Record that a request with these blocks was sent, which caches them."""
        used, evicted = self._last_used, self._evicted
        # From the last to the first, so that prefixes are evicted after the blocks
        # that extend them.
        for block in reversed(blocks):
            used[block] = now
            used.move_to_end(block)
            evicted.pop(block, None)
        self._trim()

    def record_answer(
        self, blocks: Sequence[str], expected: float, cached: int, now: float
    ) -> None:
        """Correct by an answer's cached tokens; all blocks are cached now."""
        if expected > 0.0:
            hit = min(1.0, cached / expected)
            self._confidence += _HIT_WEIGHT * (hit - self._confidence)
            self._confidence = max(_MIN_CONFIDENCE, self._confidence)
        self.record_sent(blocks, now)

    def cached_tokens(self, blocks: Sequence[str], now: float) -> float:
        """Return the prompt tokens expected to be found in the cache.

        The last known block counts even if events of earlier blocks were lost: engines
        cache no block without those before it. A block known to be evicted ends the
        match.
        """
        used = self._last_used
        # A set operation over the entire prompt is several times faster than a loop,
        # and most endpoints have cached nothing of it.
        if used.keys().isdisjoint(blocks):
            return 0.0
        count = self._count_before_evicted(blocks)
        while count and blocks[count - 1] not in used:
            count -= 1
        if not count:
            return 0.0
        age = max(0.0, now - used[blocks[count - 1]])
        return count * BLOCK_TOKENS * self._confidence * 0.5 ** (age / self._half_life)

    def holds_any(self, blocks: Sequence[str]) -> bool:
        """Return whether any of the blocks is expected to be cached."""
        return not self._last_used.keys().isdisjoint(blocks)

    def _count_before_evicted(self, blocks: Sequence[str]) -> int:
        """Return how many blocks precede the first one known to be evicted."""
        if self._evicted.keys().isdisjoint(blocks):
            return len(blocks)
        return next(i for i, block in enumerate(blocks) if block in self._evicted)

    def _trim(self) -> None:
        while len(self._last_used) > self._max_blocks:
            self._last_used.popitem(last=False)
        while len(self._evicted) > self._max_blocks // _EVICTED_SHARE_DIVISOR:
            self._evicted.popitem(last=False)
