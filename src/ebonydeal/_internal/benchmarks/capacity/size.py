"""The size that the system is designed for."""

from typing import NamedTuple

_DAY_S = 86_400.0


class Size(NamedTuple):
    """A size of the whole system.

    Attributes
    ----------
    nodes, replicas, regions, zones : int
        The system's own instances, endpoints behind them, regions, availability zones.
    requests_per_s, tokens_per_s : float
        At the peak, over all nodes.
    changes_per_day : float
        Accepted configuration documents.
    failures_per_day, replaced_per_day : float
        Instances that fail, and that are restarted or replaced.
    durable_share : float
        Share of requests that need a durable record (assumed).
    prompt_tokens : float
        Mean prompt length (assumed).
    """

    nodes: int
    replicas: int
    regions: int
    zones: int
    requests_per_s: float
    tokens_per_s: float
    changes_per_day: float
    failures_per_day: float
    replaced_per_day: float
    durable_share: float = 0.1
    prompt_tokens: float = 1000.0

    @property
    def changes_per_s(self) -> float:
        """Configuration changes a second."""
        return self.changes_per_day / _DAY_S

    @property
    def endpoint_changes_per_s(self) -> float:
        """Instance list changes a second, two for each instance failed or replaced."""
        return 2 * (self.failures_per_day + self.replaced_per_day) / _DAY_S

    @property
    def durable_per_s(self) -> float:
        """Requests a second that need a durable record."""
        return self.requests_per_s * self.durable_share

    def doubled(self) -> "Size":
        """Return twice this size in the same regions and zones."""
        return self._replace(
            nodes=self.nodes * 2,
            replicas=self.replicas * 2,
            requests_per_s=self.requests_per_s * 2,
            tokens_per_s=self.tokens_per_s * 2,
            changes_per_day=self.changes_per_day * 2,
            failures_per_day=self.failures_per_day * 2,
            replaced_per_day=self.replaced_per_day * 2,
        )


FULL_SIZE = Size(
    nodes=350,
    replicas=11_000,
    regions=6,
    zones=21,
    requests_per_s=5_400.0,
    tokens_per_s=2_200_000.0,
    changes_per_day=54_000.0,
    failures_per_day=210.0,
    replaced_per_day=2_200.0,
)

CPU_SHARE_LIMIT = 0.031
MEMORY_LIMIT_MB = 256.0
BYTES_LIMIT = 4096.0
