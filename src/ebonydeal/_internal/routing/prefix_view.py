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
_DROPPED = float("-inf")


class CacheView:
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
        self._seq = 0
        self._trust = 1.0

    def __len__(self) -> int:
        """Return the number of remembered blocks."""
        return len(self._used)

    def events(self, events: Iterable[tuple[int, bool, str]], now: float) -> None:
        """Take cache events (seq, stored, block)."""
        used = self._used
        for seq, stored, block in events:
            self._seq = max(self._seq, seq)
            used[block] = now if stored else _DROPPED
            used.move_to_end(block)
        while len(used) > self._most:
            used.popitem(last=False)

    def sent(self, blocks: Sequence[str], now: float) -> None:
        """An own request with these blocks was sent: it will fill the cache."""
        # From the last to the first: prefixes outlive what builds on them.
        for block in reversed(blocks):
            self._touch(block, now)

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
        count = 0
        heard = now
        for index, block in enumerate(blocks, 1):
            at = used.get(block)
            if at is None:
                continue
            if at == _DROPPED:
                break
            count = index
            heard = at
        age = max(0.0, now - heard)
        return count * BLOCK_TOKENS * self._trust * 0.5 ** (age / self._half_life)

    def _touch(self, block: str, now: float) -> None:
        self._used[block] = now
        self._used.move_to_end(block)
        if len(self._used) > self._most:
            self._used.popitem(last=False)
