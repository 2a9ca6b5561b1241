"""How often relays report to their coordinator, and the timeouts derived from that.

Load pattern: hundreds of relays, each with a few requests a second, report to one that
may have half a core. The more relays there are, the less often each reports, so that
the coordinator's share of a core stays bounded. All timeouts are derived from the same
period. With fixed timeouts, some of 195 healthy relays counted as lost between two of
their reports, a part of the limits was reserved for them, and usage windows were closed
before they had reported.
"""

from typing import NamedTuple

# Reports a second that one core handles; each takes about 2 ms there.
_MAX_REPORTS_PER_S_PER_CORE = 116.0
# A higher rate fills the links without making the coordinator's data usefully fresher.
_MAX_REPORTS_PER_S = 130.0
# Each period is multiplied by a random factor in this range, to avoid synchronization.
MIN_JITTER = 0.8
MAX_JITTER = 1.2
# Added to the longest interval between reports: if the coordinator is silent for so
# long, a relay wants another one, and then counts itself as isolated.
_COORDINATOR_GRACE_S = 0.2
_ISOLATION_GRACE_S = 0.8
# Added to two such intervals, for calls and late timers.
_DELEGATION_GRACE_S = 0.2
# A report without a reply is repeated after this long at most.
_MAX_RETRY_INTERVAL_S = 0.5
# A silent relay may be isolated, and grant itself a part of the limits, after at least
# this long: a report that was lost and repeated at once arrives sooner.
_MIN_RELAY_ISOLATION_S = 2.0
# A relay that is silent for longer is left out of the sums.
_MIN_RELAY_TIMEOUT_S = 3.0
_RELAY_GRACE_S = 2.0


class ReportPacing(NamedTuple):
    """The time between two reports of a relay, seconds, and derived timeouts."""

    period: float

    @classmethod
    def of(cls, relays: int, min_period: float, cores: float) -> "ReportPacing":
        """Return the pacing for a number of relays.

        Parameters
        ----------
        relays : int
            How many relays report.
        min_period : float
            Shortest period, seconds.
        cores : float
            CPU cores that the coordinator has, possibly a fraction of one.
        """
        per_s = min(_MAX_REPORTS_PER_S, max(1.0, _MAX_REPORTS_PER_S_PER_CORE * cores))
        return cls(max(min_period, relays / per_s))

    @property
    def max_interval(self) -> float:
        """Longest time between two reports, seconds."""
        return self.period * MAX_JITTER

    @property
    def retry_interval(self) -> float:
        """Time until a report without a reply is repeated, seconds."""
        return min(self.period, _MAX_RETRY_INTERVAL_S)

    @property
    def coordinator_timeout(self) -> float:
        """Silence of the coordinator after which a relay wants another, seconds."""
        return self.max_interval + _COORDINATOR_GRACE_S

    @property
    def isolation_timeout(self) -> float:
        """Silence of the coordinator after which a relay is isolated, seconds."""
        return self.max_interval + _ISOLATION_GRACE_S

    @property
    def delegation_timeout(self) -> float:
        """Time for which a relay delegates its share of limits, seconds.

        An offer is returned with the next report, and renewed with the one after it,
        so a shorter delegation would lapse between two reports.
        """
        return max(
            self.isolation_timeout, 2.0 * self.max_interval + _DELEGATION_GRACE_S
        )

    @property
    def relay_isolation_timeout(self) -> float:
        """Silence of a relay after which it may be isolated, seconds."""
        return max(_MIN_RELAY_ISOLATION_S, self.isolation_timeout)

    @property
    def relay_timeout(self) -> float:
        """Silence of a relay after which it counts as lost, seconds."""
        return max(_MIN_RELAY_TIMEOUT_S, self.max_interval + _RELAY_GRACE_S)
