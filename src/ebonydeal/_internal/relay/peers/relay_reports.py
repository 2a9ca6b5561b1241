"""The last report of each relay at the coordinator, and their sums for replies.

Every reply contains the sums of all other relays' reports. Summing them anew for each
reply is quadratic in the number of relays, and repeating unchanged data wastes the
link: with 87 relays the replies filled a coordinator's link of 5 Mbit/s, and grants
took 0.25 s.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from xxhash import xxh3_64_hexdigest

from ebonydeal._internal.relay.peers.messages import ExchangeMessage
from ebonydeal._internal.routing.duties.report_pacing import ReportPacing
from ebonydeal._internal.utils.clock import Clock

# A relay that stopped reporting may be partitioned and still serve for this long.
_MAX_SERVING_WITHOUT_REPORT_S = 15.0
# Validity of a sum, for each relay: with more relays, more replies share one sum.
_SUM_TTL_PER_RELAY_S = 0.001
# Values are sums of rounded ones: smaller remainders are rounding errors.
_MIN_REMAINDER = 0.01

Table = dict[str, list[float]]


class ReportedRelay(NamedTuple):
    """A relay's last report; ``mark`` is that of the last delta that it has."""

    address: str
    at: float
    message: ExchangeMessage
    mark: list[int]


def addresses_hash(addresses: Iterable[str]) -> str:
    """Return a hash by which two sets of addresses are compared."""
    return xxh3_64_hexdigest(",".join(sorted(addresses)).encode())


class _TableSum:
    """The sum of one table of all relays' reports, cached for a short time.

    Parameters
    ----------
    table_of : callable
        Returns the table of a report: two values by name.
    is_relevant : callable
        Returns whether the sums under one name are needed in replies.
    """

    def __init__(
        self,
        table_of: Callable[[ExchangeMessage], Table],
        is_relevant: Callable[[list[float]], bool],
    ) -> None:
        self._table_of = table_of
        self._is_relevant = is_relevant
        self._total: Table = {}
        # Each relay's summand, by its name.
        self._summands: dict[str, Table] = {}
        self._valid_until = 0.0

    def without(
        self, node: str, alive: Callable[[], list[ReportedRelay]], now: float
    ) -> Table:
        """Return the sum of all tables except that of ``node``."""
        if now >= self._valid_until:
            relays = alive()
            self._add_up(relays)
            self._valid_until = now + _SUM_TTL_PER_RELAY_S * len(relays)
        own = self._summands.get(node, {})
        remainders = {}
        for name, (first, second) in self._total.items():
            subtracted = own.get(name, (0.0, 0.0))
            remainder = [first - subtracted[0], second - subtracted[1]]
            if max(remainder) > _MIN_REMAINDER:
                remainders[name] = [round(value, 2) for value in remainder]
        return remainders

    def _add_up(self, relays: list[ReportedRelay]) -> None:
        tables = {r.message["node"]: self._table_of(r.message) for r in relays}
        self._summands = tables
        self._total = {}
        for table in tables.values():
            for name, (first, second) in table.items():
                sums = self._total.setdefault(name, [0.0, 0.0])
                sums[0] += first
                sums[1] += second
        self._total = {
            n: sums for n, sums in self._total.items() if self._is_relevant(sums)
        }


class RelayReports:
    """Every relay's last report at the coordinator.

    Parameters
    ----------
    clock : Clock
        Time.
    min_interval : float
        Minimum time between two reports of a relay, seconds.
    cores : float
        CPU cores that this instance may use.
    """

    def __init__(
        self, clock: Clock, min_interval: float = 0.5, cores: float = 1.0
    ) -> None:
        self._clock = clock
        self._min_interval = min_interval
        self._cores = cores
        self._relays: dict[str, ReportedRelay] = {}
        self._loads = _TableSum(lambda report: report["loads"], lambda sums: True)
        # Endpoints without failures need no entry.
        self._answers = _TableSum(
            lambda report: report.get("answers", {}), lambda sums: sums[1] > 0.0
        )
        self._expected = 0
        self._expected_until = 0.0

    def begin(self, expected: int) -> None:
        """Expect as many relays as the previous coordinator reported.

        Those that don't report here may still serve on their own for a while.
        """
        self._expected = expected
        self._expected_until = self._clock.now() + _MAX_SERVING_WITHOUT_REPORT_S

    @property
    def pace(self) -> ReportPacing:
        """How often relays should report, given how many there are."""
        return ReportPacing.of(len(self._relays), self._min_interval, self._cores)

    def record(self, message: ExchangeMessage) -> None:
        """Store a relay's report."""
        now, mark = self._clock.now(), list(message["seen"])
        node = message["node"]
        self._relays[node] = ReportedRelay(message["address"], now, message, mark)

    def mark_of(self, node: str) -> list[int]:
        """Return the mark of the last delta that a relay has."""
        return self._relays[node].mark

    def alive(self) -> list[ReportedRelay]:
        """Return the relays that reported recently."""
        since = self._clock.now() - self.pace.relay_timeout
        return [r for r in self._relays.values() if r.at >= since]

    def addresses_unless(self, known: str) -> list[str] | None:
        """Return the relays' addresses, or None where ``known`` is their hash."""
        addresses = [relay.address for relay in self.alive()]
        return None if addresses_hash(addresses) == known else addresses

    def links_down(self, message: ExchangeMessage) -> dict[str, list[str]]:
        """Return the addresses of relays without links to a service, by service.

        Only of the services that the reporting relay can't reach. Relays of the
        previous release don't report them.
        """
        return {
            service: [
                relay.address
                for relay in self.alive()
                if service in relay.message.get("links_down", ())
            ]
            for service in message.get("links_down", ())
        }

    def expire(self, on_timeout: Callable[[ExchangeMessage], None]) -> None:
        """Call ``on_timeout`` for relays that stopped reporting; drop old ones."""
        now = self._clock.now()
        timeout = self.pace.relay_timeout
        for node, relay in list(self._relays.items()):
            if now - relay.at > timeout:
                on_timeout(relay.message)
            if now - relay.at > _MAX_SERVING_WITHOUT_REPORT_S:
                del self._relays[node]

    @property
    def count(self) -> int:
        """How many relays there are: those alive, or as many as are expected."""
        expecting = self._clock.now() < self._expected_until
        return max(len(self.alive()), self._expected if expecting else 0)

    def loads_without(self, node: str) -> Table:
        """Return the load of all other relays at each endpoint."""
        return self._loads.without(node, self.alive, self._clock.now())

    def failures_without(self, node: str) -> Table:
        """Return the counts of all other relays for endpoints with failures."""
        return self._answers.without(node, self.alive, self._clock.now())
