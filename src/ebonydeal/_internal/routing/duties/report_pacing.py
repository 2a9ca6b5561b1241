"""How often relays report to their coordinator, and from when silence tells something.

Load pattern: hundreds of relays, each with a few requests a second, report to one
that may have half a core. The more there are, the seldomer each reports, so that the
coordinator's share of a core stays bounded. All bounds of silence are derived from the
same period: with fixed ones, healthy relays at 195 counted as gone between two of
their reports, a part of the limits was held back for them, and usage windows were
closed before they had told.
"""

from typing import NamedTuple

# Reports a second that a whole core takes on; each takes about 2 ms there.
_PER_CORE_S = 116.0
# More of them fill the links, and nobody gains from a fresher word.
_MOST_PER_S = 130.0
# A period is drawn from this part of it to that, so that relays don't beat together.
MIN_JITTER = 0.8
MAX_JITTER = 1.2
# Silence beyond a period after which a relay wants another coordinator, and after
# which it is on its own.
_LOST_S = 0.2
_PATIENCE_S = 0.8
# A report that got no answer is made again after this long at most.
_AGAIN_S = 0.5
# A silent relay may be cut off and grant itself a part of the limits: a report that
# was lost and sent again at once comes sooner.
_ALONE_S = 2.0
# One that is silent for longer is left out of the sums.
_SILENT_S = 3.0
_SILENT_BEYOND_S = 2.0


class ReportPacing(NamedTuple):
    """The time between two reports of a relay, seconds."""

    period: float

    @classmethod
    def of(cls, relays: int, least: float, cores: float) -> "ReportPacing":
        """Return the pace for so many relays.

        Parameters
        ----------
        relays : int
            How many report.
        least : float
            Shortest period, seconds.
        cores : float
            What the coordinator's instance has of a core.
        """
        per_s = min(_MOST_PER_S, max(1.0, _PER_CORE_S * cores))
        return cls(max(least, relays / per_s))

    @property
    def max_interval(self) -> float:
        """Longest time between two reports, seconds."""
        return self.period * MAX_JITTER

    @property
    def retry_interval(self) -> float:
        """Time until a report without an answer is made again, seconds."""
        return min(self.period, _AGAIN_S)

    @property
    def coordinator_timeout(self) -> float:
        """Silence of the coordinator after which another is wanted, seconds."""
        return self.max_interval + _LOST_S

    @property
    def isolation_timeout(self) -> float:
        """Silence of the coordinator after which a relay is on its own, seconds."""
        return self.max_interval + _PATIENCE_S

    @property
    def relay_isolation_timeout(self) -> float:
        """Silence after which a relay may be on its own, seconds."""
        return max(_ALONE_S, self.isolation_timeout)

    @property
    def relay_timeout(self) -> float:
        """Silence after which a relay is held to be gone, seconds."""
        return max(_SILENT_S, self.max_interval + _SILENT_BEYOND_S)
