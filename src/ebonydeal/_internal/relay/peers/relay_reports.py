"""The relays as the coordinator heard them, and their words summed for answers.

Every answer tells a relay what all others have. Adding the words up for each anew
costs the square of the relays, and what is the same for long needn't be said again:
at 87 relays the answers filled a coordinator's link of 5 Mbit/s, and grants took
0.25 s.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from xxhash import xxh3_64_hexdigest

from ebonydeal._internal.relay.peers.messages import ExchangeMessage
from ebonydeal._internal.routing.duties.pace import Pace
from ebonydeal._internal.utils.clock import Clock

# How long a silent one may be cut off and still serving, unless it comes back.
_MAY_SERVE_S = 15.0
# Words are added up again after this long for each relay there is: by more relays
# more answers are made from one sum.
_SUM_KEPT_S = 0.001
# Values are sums of rounded ones: what is left of the relay's own is less.
_NOTHING = 0.01

Table = dict[str, list[float]]


class ReportedRelay(NamedTuple):
    """A relay as last heard; ``mark`` is of the last news that it has."""

    address: str
    at: float
    message: ExchangeMessage
    mark: list[int]


def addresses_hash(addresses: Iterable[str]) -> str:
    """Return a short text that tells whether two sets of addresses are the same."""
    return xxh3_64_hexdigest(",".join(sorted(addresses)).encode())


class _Sum:
    """One table of all relays' words, added up now and then.

    Parameters
    ----------
    table_of : callable
        Returns the table of a word: two values by name.
    worth : callable
        Returns whether the sum of all is worth telling.
    """

    def __init__(
        self,
        table_of: Callable[[ExchangeMessage], Table],
        worth: Callable[[list[float]], bool],
    ) -> None:
        self._table_of = table_of
        self._worth = worth
        self._total: Table = {}
        # Each relay's part of the total, by its name.
        self._parts: dict[str, Table] = {}
        self._until = 0.0

    def without(
        self, node: str, alive: Callable[[], list[ReportedRelay]], now: float
    ) -> Table:
        """Return the sum of all words but that of ``node``."""
        if now >= self._until:
            relays = alive()
            self._add_up(relays)
            self._until = now + _SUM_KEPT_S * len(relays)
        own = self._parts.get(node, {})
        left = {}
        for name, (first, second) in self._total.items():
            mine = own.get(name, (0.0, 0.0))
            rest = [first - mine[0], second - mine[1]]
            if max(rest) > _NOTHING:
                left[name] = [round(value, 2) for value in rest]
        return left

    def _add_up(self, relays: list[ReportedRelay]) -> None:
        words = {r.message["node"]: self._table_of(r.message) for r in relays}
        self._parts = words
        self._total = {}
        for table in words.values():
            for name, (first, second) in table.items():
                sums = self._total.setdefault(name, [0.0, 0.0])
                sums[0] += first
                sums[1] += second
        self._total = {n: sums for n, sums in self._total.items() if self._worth(sums)}


class RelayReports:
    """Every relay's last word at the coordinator.

    Parameters
    ----------
    clock : Clock
        Time.
    least : float
        Shortest time between two words of a relay, seconds.
    cores : float
        What this instance has of a core.
    """

    def __init__(self, clock: Clock, least: float = 0.5, cores: float = 1.0) -> None:
        self._clock = clock
        self._least = least
        self._cores = cores
        self._relays: dict[str, ReportedRelay] = {}
        self._loads = _Sum(lambda word: word["loads"], lambda sums: True)
        # Of endpoints that failed nobody nothing needs to be known.
        self._answers = _Sum(
            lambda word: word.get("answers", {}), lambda sums: sums[1] > 0.0
        )
        self._expected = 0
        self._expected_until = 0.0

    def begin(self, expected: int) -> None:
        """Expect the relays that the coordinator before told of.

        Those that don't ask here may still serve on their own for a while.
        """
        self._expected = expected
        self._expected_until = self._clock.now() + _MAY_SERVE_S

    @property
    def pace(self) -> Pace:
        """How often relays are to speak, with as many as there may be."""
        return Pace.of(len(self._relays), self._least, self._cores)

    def record(self, message: ExchangeMessage) -> None:
        """Take a relay's word."""
        now, mark = self._clock.now(), list(message["seen"])
        node = message["node"]
        self._relays[node] = ReportedRelay(message["address"], now, message, mark)

    def mark_of(self, node: str) -> list[int]:
        """Return the mark of the last news that a relay has."""
        return self._relays[node].mark

    def alive(self) -> list[ReportedRelay]:
        """Return the relays that were heard lately."""
        since = self._clock.now() - self.pace.silent_after
        return [r for r in self._relays.values() if r.at >= since]

    def addresses_unless(self, known: str) -> list[str] | None:
        """Return the relays' addresses, or None where ``known`` is their hash."""
        addresses = [relay.address for relay in self.alive()]
        return None if addresses_hash(addresses) == known else addresses

    def drop_silent(self, silent: Callable[[ExchangeMessage], None]) -> None:
        """Call ``silent`` for each silent relay, and drop those that can't serve."""
        now = self._clock.now()
        longest = self.pace.silent_after
        for node, relay in list(self._relays.items()):
            if now - relay.at > longest:
                silent(relay.message)
            if now - relay.at > _MAY_SERVE_S:
                del self._relays[node]

    @property
    def count(self) -> int:
        """How many relays there are: those heard, or as many as were told of before."""
        waits = self._clock.now() < self._expected_until
        return max(len(self.alive()), self._expected if waits else 0)

    def loads_without(self, node: str) -> Table:
        """Return what all other relays have at each endpoint."""
        return self._loads.without(node, self.alive, self._clock.now())

    def failures_without(self, node: str) -> Table:
        """Return what all other relays got from endpoints that failed any relay."""
        return self._answers.without(node, self.alive, self._clock.now())
