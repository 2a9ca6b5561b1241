"""Rate limit of one relay's calls to the other relays."""

from collections.abc import Callable
from random import Random

from ebonydeal._internal.utils.clock import Clock

# With some 350 bytes each, these calls stay below the 4 KB a second that a node may
# spend on control traffic, whatever the number of relays.
_MAX_CALLS_PER_S = 8.0
# Enough for one message to each of a hundred relays.
_MAX_BURST_CALLS = 100.0


class CallBudget:
    """Picks the relays to call: all others, or as many as the rate limit allows.

    Parameters
    ----------
    others : callable
        Returns the addresses of the other relays.
    clock, rng
        Time; choice of relays where not all can be called.
    """

    def __init__(self, others: Callable[[], list[str]], clock: Clock, rng: Random):
        self._others = others
        self._clock = clock
        self._rng = rng
        self._available = _MAX_BURST_CALLS
        self._updated_at = clock.now()

    def pick_targets(self) -> list[str]:
        """Return the addresses to call now, and count the calls as made."""
        now = self._clock.now()
        gained = (now - self._updated_at) * _MAX_CALLS_PER_S
        self._available = min(_MAX_BURST_CALLS, self._available + gained)
        self._updated_at = now
        others = self._others()
        count = min(len(others), int(self._available))
        self._available -= count
        return self._rng.sample(others, count)
