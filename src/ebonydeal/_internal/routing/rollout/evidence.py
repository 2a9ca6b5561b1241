"""How strongly answers speak against a new version of a service.

The old version's answers of the same seconds say what is normal, so that a burst, a
wave or a slow store, which hit both, don't speak against the new one. Two tests are
there; both are likelihood ratios that are added up as answers come, so looking at them
often makes no error more likely:

* `MixtureTest` weighs many ways of being bad at once: parts of the answers that fail,
  and parts that are several times slower;
* `SingleEffectTest` knows one: some more answers than usual fail or are slower than
  nearly all of the old version.

An endpoint that is ill by itself looks like a bad version where it is the only one of
its version that is asked. So evidence is kept by endpoint, and what remains without
the endpoint that speaks loudest is asked for, too.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from math import exp, log
from typing import Protocol

from ebonydeal._internal.routing.rollout.tally import (
    CATEGORIES,
    FAILED,
    Counts,
    empty,
)

# What is normal is taken from about this long.
_WINDOW_S = 4.0
# Part of answers that sound endpoints may fail: a few failures by accident must not
# look like a version's.
_LEAST_FAILURES = 0.01
# Answers of each category assumed besides what was seen, so that nothing is
# impossible; and the part of a category that spills into each neighbour.
_PRIOR = 0.25
_SPREAD = 0.08
# Parts of the answers that a bad version may fail or delay.
_FAILING_PARTS = (0.05, 0.1, 0.2, 0.4, 0.8)
_SLOW_PARTS = (0.1, 0.3, 1.0)
# How many half octaves slower: 2.8 and 5.7 times.
_SHIFTS = (3, 5)
# What one answer may say at most, natural logarithm: one must not decide alone.
_MOST_A_SAMPLE = 4.0
_LEAST_OF_USUAL = 0.02
# Answers of the old version that must be known before others are put against them.
_LEAST_NORMAL = 8.0
# Logarithm of a likelihood ratio from which on the old version's answers are worse
# than just before.
_UPSET = 1.5
# Good answers are held in favour of a version down to this only: one that turns bad
# later is found as soon as one that was bad at once.
_LEAST_RATIO = -1.0


class Baseline:
    """What is normal on one route: the old version's answers of late."""

    def __init__(self) -> None:
        self._counts = [0.0] * CATEGORIES
        self._at = 0.0

    def add(self, counts: Counts, now: float) -> None:
        """Take answers of the old version."""
        kept = exp(-max(0.0, now - self._at) / _WINDOW_S)
        self._at = now
        self._counts = [c * kept + n for c, n in zip(self._counts, counts, strict=True)]

    @property
    def seen(self) -> float:
        """How many answers it rests on."""
        return sum(self._counts)

    def shares(self) -> list[float]:
        """Return the probability of each category."""
        return _smooth(self._counts)


def _smooth(counts: list[float]) -> list[float]:
    """Return probabilities in which nothing is impossible."""
    spread = [count * (1.0 - 2.0 * _SPREAD) + _PRIOR for count in counts]
    spread[FAILED] = counts[FAILED] + _PRIOR
    last = CATEGORIES - 1
    for category in range(1, CATEGORIES):
        # At the ends what would spill over stays.
        below = category - 1 if category > 1 else category
        above = category + 1 if category < last else category
        spread[below] += counts[category] * _SPREAD
        spread[above] += counts[category] * _SPREAD
    total = sum(spread)
    shares = [value / total for value in spread]
    if shares[FAILED] < _LEAST_FAILURES:
        rest = (1.0 - _LEAST_FAILURES) / (1.0 - shares[FAILED])
        shares = [value * rest for value in shares]
        shares[FAILED] = _LEAST_FAILURES
    return shares


def _failing(shares: list[float], part: float) -> list[float]:
    """Return the shares of a version that fails a part of its answers besides."""
    bad = [value * (1.0 - part) for value in shares]
    bad[FAILED] += part
    return bad


def _slower(shares: list[float], part: float, shift: int) -> list[float]:
    """Return the shares of a version that delays a part of its answers."""
    bad = [value * (1.0 - part) for value in shares]
    bad[FAILED] = shares[FAILED]
    last = CATEGORIES - 1
    for category in range(1, CATEGORIES):
        bad[min(last, category + shift)] += part * shares[category]
    return bad


class LikelihoodTest(Protocol):
    """Turns answers of the new version into logarithms of likelihood ratios."""

    size: int

    def table(self, shares: list[float]) -> list[list[float]]:
        """Return what one answer of each category says, by way of being bad.

        ``shares`` are the usual probabilities of the categories.
        """


class MixtureTest:
    """Weighs many ways of being bad."""

    def __init__(self) -> None:
        self._ways: list[Callable[[list[float]], list[float]]] = [
            lambda shares, part=part: _failing(shares, part)  # type: ignore[misc]
            for part in _FAILING_PARTS
        ]
        self._ways += [
            lambda shares, p=part, s=shift: _slower(shares, p, s)  # type: ignore[misc]
            for part in _SLOW_PARTS
            for shift in _SHIFTS
        ]
        self.size = len(self._ways)

    def table(self, shares: list[float]) -> list[list[float]]:
        """Return what one answer of each category says, by way of being bad."""
        return [
            [_log_ratio(b, u) for b, u in zip(way(shares), shares, strict=True)]
            for way in self._ways
        ]


class SingleEffectTest:
    """Weighs one way: a fifth more answers than usual are bad.

    Bad is a failure, or a time in which nearly all of the old version's answers came,
    exceeded by more than twice.
    """

    size = 1
    _MORE = 0.2
    _NEARLY_ALL = 0.97
    _SLOWER = 2

    def table(self, shares: list[float]) -> list[list[float]]:
        """Return what one answer of each category says."""
        first = self._first_slow(shares)
        usual = shares[FAILED] + sum(shares[first:])
        usual = min(0.75, max(_LEAST_FAILURES, usual))
        more = usual + self._MORE * (1.0 - usual)
        bad, good = log(more / usual), log((1.0 - more) / (1.0 - usual))
        slow = range(first, CATEGORIES)
        return [[bad if c == FAILED or c in slow else good for c in range(CATEGORIES)]]

    def _first_slow(self, shares: list[float]) -> int:
        """Return the first category that counts as slow."""
        answered = 1.0 - shares[FAILED]
        below = 0.0
        for category in range(1, CATEGORIES):
            below += shares[category]
            if below >= self._NEARLY_ALL * answered:
                return min(CATEGORIES - 1, category + 1 + self._SLOWER)
        return CATEGORIES - 1


def weighed(table: list[list[float]], counts: Counts) -> list[float]:
    """Return what ``counts`` add for each way of being bad."""
    seen = [(category, count) for category, count in enumerate(counts) if count]
    return [sum(count * row[category] for category, count in seen) for row in table]


def _log_ratio(bad: float, usual: float) -> float:
    """Return what one answer says; none decides alone, either way."""
    return min(_MOST_A_SAMPLE, log(max(bad, usual * _LEAST_OF_USUAL) / usual))


def mean_of_exponentials(values: Iterable[float]) -> float:
    """Return the logarithm of the mean of exp(values)."""
    found = list(values)
    if not found:
        return 0.0
    top = max(found)
    return top + log(sum(exp(v - top) for v in found) / len(found))


@dataclass(frozen=True)
class EvidenceSummary:
    """How much speaks against a version, natural logarithms of likelihood ratios.

    ``total`` is that of all endpoints, ``without`` that without the one that speaks
    loudest, ``loudest`` its id; ``others`` how many answers the others gave; ``route``
    the route where most speaks against it.
    """

    total: float = 0.0
    without: float = 0.0
    loudest: str = ""
    route: str = ""
    others: int = 0


class Evidence:
    """All that was seen of one roll-out.

    Parameters
    ----------
    test : Test
        What turns answers into ratios.
    """

    def __init__(self, test: LikelihoodTest) -> None:
        self._test = test
        self._normal: dict[str, Baseline] = {}
        # By route and endpoint, one ratio for each way of being bad.
        self._ratios: dict[str, dict[str, list[float]]] = {}
        self._answers: dict[str, int] = {}
        self.bad = 0

    @property
    def answers(self) -> int:
        """How many answers of the new version were weighed."""
        return sum(self._answers.values())

    def add(
        self,
        old: dict[str, Counts],
        new: dict[str, dict[str, Counts]],
        now: float,
        alone: bool = False,
    ) -> None:
        """Take answers since the last call.

        ``old`` by route, ``new`` by route and endpoint. ``alone`` says that no old
        endpoint is left to compare with: what was normal before counts.
        """
        unsure = {
            route
            for route in new
            if not self._is_usual(route, old.get(route, empty()), alone)
        }
        for route, counts in old.items():
            self._normal.setdefault(route, Baseline()).add(counts, now)
        for route, by_endpoint in new.items():
            if route in unsure or not by_endpoint:
                continue
            normal = self._normal.setdefault(route, Baseline())
            table = self._test.table(normal.shares())
            ratios = self._ratios.setdefault(route, {})
            for endpoint_id, counts in by_endpoint.items():
                known_answers = self._answers.get(endpoint_id, 0)
                self._answers[endpoint_id] = known_answers + sum(counts)
                self.bad += counts[FAILED]
                added = weighed(table, counts)
                known = ratios.get(endpoint_id, [0.0] * self._test.size)
                ratios[endpoint_id] = [
                    max(_LEAST_RATIO, a + b) for a, b in zip(known, added, strict=True)
                ]

    def _is_usual(self, route: str, counts: Counts, alone: bool) -> bool:
        """Return whether the old version is as it was just before.

        Else a trouble of both begins, and what is normal isn't known for a moment.
        """
        normal = self._normal.get(route)
        if normal is None or normal.seen < _LEAST_NORMAL:
            # A new coordinator is told of many answers at once: those of the old
            # version among them are normal.
            return alone or sum(counts) >= _LEAST_NORMAL
        return max(weighed(self._test.table(normal.shares()), counts)) <= _UPSET

    def standing(self) -> EvidenceSummary:
        """Return how much speaks against the version."""
        if not self._answers:
            return EvidenceSummary()
        sums = {route: self._sum(ratios) for route, ratios in self._ratios.items()}
        total, route = _against(sums)
        without, loudest = min(
            (_against(self._without(sums, endpoint_id))[0], endpoint_id)
            for endpoint_id in self._answers
        )
        others = self.answers - self._answers[loudest]
        return EvidenceSummary(total, without, loudest, route, others)

    def _sum(self, ratios: dict[str, list[float]]) -> list[float]:
        """Return what all endpoints of a route say, by way of being bad."""
        return [sum(values) for values in zip(*ratios.values(), strict=True)]

    def _without(
        self, sums: dict[str, list[float]], endpoint_id: str
    ) -> dict[str, list[float]]:
        """Return the sums by route without what one endpoint says."""
        nothing = [0.0] * self._test.size
        return {
            route: [
                whole - own
                for whole, own in zip(
                    values, self._ratios[route].get(endpoint_id, nothing), strict=True
                )
            ]
            for route, values in sums.items()
        }


def _against(sums: dict[str, list[float]]) -> tuple[float, str]:
    """Return how much sums by route say, and the route where most speaks.

    A version may be bad on one route or on all of them alike.
    """
    by_route = {route: mean_of_exponentials(sums[route]) for route in sums}
    everywhere = [sum(values) for values in zip(*sums.values(), strict=True)]
    route = max(by_route, key=by_route.__getitem__)
    found = [*by_route.values(), mean_of_exponentials(everywhere)]
    return mean_of_exponentials(found), route
