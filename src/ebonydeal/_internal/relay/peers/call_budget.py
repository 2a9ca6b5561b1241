"""How many calls to all other relays one of them may make at once."""

from collections.abc import Callable
from random import Random

from ebonydeal._internal.utils.clock import Clock

# Calls that one relay makes a second: with some 350 bytes each they stay below the
# 4 KB a second that a node may spend on control, whatever the number of relays.
_CALLS_PER_S = 8.0
# Calls that may be made at once: one word to all of a hundred relays.
_CALLS_AT_ONCE = 100.0


class CallBudget:
    """Picks whom to tell: all others, as far as calls are left.

    Parameters
    ----------
    others : callable
        Returns the addresses of the other relays.
    clock, rng
        Time; which relays hear a word that can't go to all.
    """

    def __init__(self, others: Callable[[], list[str]], clock: Clock, rng: Random):
        self._others = others
        self._clock = clock
        self._rng = rng
        self._left = _CALLS_AT_ONCE
        self._counted_at = clock.now()

    def pick_targets(self) -> list[str]:
        """Return whom to tell now."""
        now = self._clock.now()
        gained = (now - self._counted_at) * _CALLS_PER_S
        self._left = min(_CALLS_AT_ONCE, self._left + gained)
        self._counted_at = now
        others = self._others()
        count = min(len(others), int(self._left))
        self._left -= count
        return self._rng.sample(others, count)
