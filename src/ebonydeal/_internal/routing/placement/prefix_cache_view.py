"""What this gateway believes of the prefix caches of endpoints.

Fed by cache events (late, with gaps), by own sends, and corrected by the cached
tokens that answers report. Each entry is a block and the time it was last known
used; the least recently used go first when memory is full, as engines do.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from ebonydeal._internal.utils.prefix import BLOCK_TOKENS

_LEARN = 0.1
_LEAST_TRUST = 0.2
_DROPPED_PART = 4


class PrefixCacheView:
    """One endpoint's believed cache.

    Parameters
    ----------
    most : int
        Blocks remembered.
    half_life : float
        Age at which an entry counts half, seconds.
    """

    def __init__(self, most: int, half_life: float) -> None:
        self._most = most
        self._half_life = half_life
        self._used: OrderedDict[str, float] = OrderedDict()
        self._dropped: OrderedDict[str, None] = OrderedDict()
        self._seq = 0
        self._trust = 1.0

    def bound(self, most: int) -> None:
        """Remember at most ``most`` blocks from now on."""
        self._most = most
        self._trim()

    def __len__(self) -> int:
        """Return the number of remembered blocks."""
        return len(self._used)

    def events(self, events: Iterable[tuple[int, bool, str]], now: float) -> None:
        """Take cache events (seq, stored, block)."""
        used, dropped = self._used, self._dropped
        for seq, stored, block in events:
            self._seq = max(self._seq, seq)
            if stored:
                used[block] = now
                used.move_to_end(block)
                dropped.pop(block, None)
            else:
                used.pop(block, None)
                dropped[block] = None
        self._trim()

    def sent(self, blocks: Sequence[str], now: float) -> None:
        """An own request with these blocks was sent: it will fill the cache."""
        used, dropped = self._used, self._dropped
        # From the last to the first: prefixes outlive what builds on them.
        for block in reversed(blocks):
            used[block] = now
            used.move_to_end(block)
            dropped.pop(block, None)
        self._trim()

    def answered(
        self, blocks: Sequence[str], expected: float, cached: int, now: float
    ) -> None:
        """Correct by an answer's cached tokens; all blocks are there now."""
        if expected > 0.0:
            hit = min(1.0, cached / expected)
            self._trust += _LEARN * (hit - self._trust)
            self._trust = max(_LEAST_TRUST, self._trust)
        self.sent(blocks, now)

    def cached_tokens(self, blocks: Sequence[str], now: float) -> float:
        """Return the prompt tokens expected to be found in the cache.

        The deepest known block counts, whatever was not heard of before it:
        engines keep no block without those before it. A block known to be
        dropped ends the match.
        """
        used = self._used
        # Set operations over a whole prompt are several times faster than a
        # loop; most endpoints hold nothing of it.
        if used.keys().isdisjoint(blocks):
            return 0.0
        count = self._end(blocks)
        while count and blocks[count - 1] not in used:
            count -= 1
        if not count:
            return 0.0
        age = max(0.0, now - used[blocks[count - 1]])
        return count * BLOCK_TOKENS * self._trust * 0.5 ** (age / self._half_life)

    def holds_any(self, blocks: Sequence[str]) -> bool:
        """Return whether one of a few blocks is believed to be cached."""
        return not self._used.keys().isdisjoint(blocks)

    def _end(self, blocks: Sequence[str]) -> int:
        """Return how many blocks come before the first known to be dropped."""
        if self._dropped.keys().isdisjoint(blocks):
            return len(blocks)
        return next(i for i, block in enumerate(blocks) if block in self._dropped)

    def _trim(self) -> None:
        while len(self._used) > self._most:
            self._used.popitem(last=False)
        while len(self._dropped) > self._most // _DROPPED_PART:
            self._dropped.popitem(last=False)
