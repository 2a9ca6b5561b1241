"""Evidence against a new version of a service, from the answers of its endpoints.

The old version's answers of the same seconds are the baseline, so that a burst of
requests or a slow store, which affect both versions, isn't evidence against the new
one. There are two tests. Both add up log-likelihood ratios as answers come, so checking
them often doesn't increase the error rate:

* `MixtureTest` weighs many alternatives at once: versions that fail a part of the
  answers, and versions that answer a part of the requests several times slower;
* `SingleEffectTest` weighs one: more answers than usual fail, or are slower than nearly
  all of the old version's.

One faulty endpoint looks like a bad version if it is the only canary. So evidence is
stored by endpoint, and the total without the worst endpoint is returned, too.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from math import exp, log
from typing import Protocol

from ebonydeal._internal.routing.rollout.tally import (
    CATEGORIES,
    FAILED,
    Counts,
    empty_counts,
)

# Time constant with which the weight of the baseline's answers decays.
_BASELINE_WINDOW_S = 4.0
# Share of answers that sound endpoints may fail: a few failures by chance must not look
# like a bad version.
_MIN_FAILURE_SHARE = 0.01
# Answers assumed in each category in addition to those seen, so that no category has
# probability zero; and the part of a category that is counted in each neighbour.
_PRIOR_ANSWERS = 0.25
_SPREAD = 0.08
# Shares of the answers that a bad version may fail or delay.
_FAILING_SHARES = (0.05, 0.1, 0.2, 0.4, 0.8)
_SLOW_SHARES = (0.1, 0.3, 1.0)
# Delays in half octaves: 2.8 and 5.7 times slower.
_SLOW_SHIFTS = (3, 5)
# Upper limit of the log-likelihood ratio of one answer: no single answer may decide.
_MAX_ANSWER_LOG_RATIO = 4.0
_MIN_ANSWER_RATIO = 0.02
# Answers of the old version that a baseline needs before it is used.
_MIN_BASELINE_ANSWERS = 8.0
# Log-likelihood ratio from which on the old version's answers are worse than just
# before.
_MAX_BASELINE_LOG_RATIO = 1.5
# Good answers lower the total only to this, so that a version that turns bad later is
# detected as soon as one that was bad at once.
_MIN_LOG_RATIO = -1.0


class Baseline:
    """Recent answers of the old version on one route."""

    def __init__(self) -> None:
        self._counts = [0.0] * CATEGORIES
        self._updated_at = 0.0

    def add(self, counts: Counts, now: float) -> None:
        """Add answers of the old version."""
        decay = exp(-max(0.0, now - self._updated_at) / _BASELINE_WINDOW_S)
        self._updated_at = now
        self._counts = [
            c * decay + n for c, n in zip(self._counts, counts, strict=True)
        ]

    @property
    def answers(self) -> float:
        """Number of answers, by their weight."""
        return sum(self._counts)

    def probabilities(self) -> list[float]:
        """Return the probability of each category."""
        return _smooth(self._counts)


def _smooth(counts: list[float]) -> list[float]:
    """Return the probabilities of the categories, none of them zero."""
    spread = [count * (1.0 - 2.0 * _SPREAD) + _PRIOR_ANSWERS for count in counts]
    spread[FAILED] = counts[FAILED] + _PRIOR_ANSWERS
    last = CATEGORIES - 1
    for category in range(1, CATEGORIES):
        # What would go beyond the first or last category stays in it.
        below = category - 1 if category > 1 else category
        above = category + 1 if category < last else category
        spread[below] += counts[category] * _SPREAD
        spread[above] += counts[category] * _SPREAD
    total = sum(spread)
    probabilities = [value / total for value in spread]
    if probabilities[FAILED] < _MIN_FAILURE_SHARE:
        scale = (1.0 - _MIN_FAILURE_SHARE) / (1.0 - probabilities[FAILED])
        probabilities = [value * scale for value in probabilities]
        probabilities[FAILED] = _MIN_FAILURE_SHARE
    return probabilities


def _failing(baseline: list[float], share: float) -> list[float]:
    """Return the probabilities for a version that fails a share of its answers."""
    bad = [value * (1.0 - share) for value in baseline]
    bad[FAILED] += share
    return bad


def _slower(baseline: list[float], share: float, shift: int) -> list[float]:
    """Return the probabilities for a version that delays a share of its answers."""
    bad = [value * (1.0 - share) for value in baseline]
    bad[FAILED] = baseline[FAILED]
    last = CATEGORIES - 1
    for category in range(1, CATEGORIES):
        bad[min(last, category + shift)] += share * baseline[category]
    return bad


class LikelihoodTest(Protocol):
    """Turns answers of the new version into log-likelihood ratios.

    ``size`` is the number of alternatives: ways in which a version may be bad.
    """

    size: int

    def log_ratios(self, baseline: list[float]) -> list[list[float]]:
        """Return the log-likelihood ratio of one answer, by alternative.

        Each row has one for each category; ``baseline`` are the categories' usual
        probabilities.
        """


class MixtureTest:
    """Weighs many alternatives."""

    def __init__(self) -> None:
        self._alternatives: list[Callable[[list[float]], list[float]]] = [
            lambda baseline, share=share: _failing(baseline, share)  # type: ignore[misc]
            for share in _FAILING_SHARES
        ]
        self._alternatives += [
            lambda baseline, p=share, s=shift: _slower(baseline, p, s)  # type: ignore[misc]
            for share in _SLOW_SHARES
            for shift in _SLOW_SHIFTS
        ]
        self.size = len(self._alternatives)

    def log_ratios(self, baseline: list[float]) -> list[list[float]]:
        """Return the log-likelihood ratio of one answer, by alternative."""
        return [
            [
                _log_ratio(b, u)
                for b, u in zip(alternative(baseline), baseline, strict=True)
            ]
            for alternative in self._alternatives
        ]


class SingleEffectTest:
    """Weighs one alternative: of the usually good answers, a fifth are bad.

    A bad answer is a failure, or takes more than twice the time within which nearly all
    of the old version's answers came.
    """

    size = 1
    _ADDED_BAD_SHARE = 0.2
    _NEARLY_ALL_SHARE = 0.97
    _SLOW_CATEGORY_OFFSET = 2

    def log_ratios(self, baseline: list[float]) -> list[list[float]]:
        """Return the log-likelihood ratio of one answer of each category."""
        first = self._first_slow(baseline)
        usual = baseline[FAILED] + sum(baseline[first:])
        usual = min(0.75, max(_MIN_FAILURE_SHARE, usual))
        more = usual + self._ADDED_BAD_SHARE * (1.0 - usual)
        bad, good = log(more / usual), log((1.0 - more) / (1.0 - usual))
        slow = range(first, CATEGORIES)
        return [[bad if c == FAILED or c in slow else good for c in range(CATEGORIES)]]

    def _first_slow(self, baseline: list[float]) -> int:
        """Return the first category that counts as slow."""
        answered = 1.0 - baseline[FAILED]
        below = 0.0
        for category in range(1, CATEGORIES):
            below += baseline[category]
            if below >= self._NEARLY_ALL_SHARE * answered:
                return min(CATEGORIES - 1, category + 1 + self._SLOW_CATEGORY_OFFSET)
        return CATEGORIES - 1


def total_log_ratios(log_ratios: list[list[float]], counts: Counts) -> list[float]:
    """Return the sum for all answers in ``counts``, by alternative."""
    seen = [(category, count) for category, count in enumerate(counts) if count]
    return [
        sum(count * row[category] for category, count in seen) for row in log_ratios
    ]


def _log_ratio(bad: float, usual: float) -> float:
    """Return the log-likelihood ratio of one answer, limited in both directions."""
    return min(_MAX_ANSWER_LOG_RATIO, log(max(bad, usual * _MIN_ANSWER_RATIO) / usual))


def log_mean_exp(values: Iterable[float]) -> float:
    """Return the logarithm of the mean of exp(values)."""
    found = list(values)
    if not found:
        return 0.0
    top = max(found)
    return top + log(sum(exp(v - top) for v in found) / len(found))


@dataclass(frozen=True)
class EvidenceSummary:
    """Evidence against a version, as log-likelihood ratios.

    Attributes
    ----------
    total : float
        Of all endpoints.
    total_without_worst : float
        Without the worst endpoint.
    worst_endpoint : str
        Id of the endpoint with the most evidence against it.
    worst_route : str
        The route with the most evidence.
    other_answers : int
        Number of answers of all endpoints but the worst.
    """

    total: float = 0.0
    total_without_worst: float = 0.0
    worst_endpoint: str = ""
    worst_route: str = ""
    other_answers: int = 0


class Evidence:
    """All evidence of one roll-out.

    Parameters
    ----------
    test : LikelihoodTest
        Turns answers into log-likelihood ratios.
    """

    def __init__(self, test: LikelihoodTest) -> None:
        self._test = test
        self._baselines: dict[str, Baseline] = {}
        # By route and endpoint, one total for each alternative.
        self._log_ratios: dict[str, dict[str, list[float]]] = {}
        self._answers: dict[str, int] = {}
        self.failures = 0

    @property
    def answers(self) -> int:
        """How many answers of the new version were weighed."""
        return sum(self._answers.values())

    def add(
        self,
        old: dict[str, Counts],
        new: dict[str, dict[str, Counts]],
        now: float,
        no_old_endpoints: bool = False,
    ) -> None:
        """Add answers since the last call.

        ``old`` by route, ``new`` by route and endpoint. With ``no_old_endpoints`` there
        is nothing to compare with, and the last baseline is used.
        """
        skipped = {
            route
            for route in new
            if not self._is_usual(
                route, old.get(route, empty_counts()), no_old_endpoints
            )
        }
        for route, counts in old.items():
            self._baselines.setdefault(route, Baseline()).add(counts, now)
        for route, by_endpoint in new.items():
            if route in skipped or not by_endpoint:
                continue
            baseline = self._baselines.setdefault(route, Baseline())
            per_answer = self._test.log_ratios(baseline.probabilities())
            totals = self._log_ratios.setdefault(route, {})
            for endpoint_id, counts in by_endpoint.items():
                known_answers = self._answers.get(endpoint_id, 0)
                self._answers[endpoint_id] = known_answers + sum(counts)
                self.failures += counts[FAILED]
                added = total_log_ratios(per_answer, counts)
                known = totals.get(endpoint_id, [0.0] * self._test.size)
                totals[endpoint_id] = [
                    max(_MIN_LOG_RATIO, a + b)
                    for a, b in zip(known, added, strict=True)
                ]

    def _is_usual(self, route: str, counts: Counts, no_old_endpoints: bool) -> bool:
        """Return whether the old version's answers match those just before.

        Otherwise both versions are probably affected by something else, and the
        baseline is unknown for a moment.
        """
        baseline = self._baselines.get(route)
        if baseline is None or baseline.answers < _MIN_BASELINE_ANSWERS:
            # A new coordinator gets many answers at once: those of the old version
            # among them are the baseline.
            return no_old_endpoints or sum(counts) >= _MIN_BASELINE_ANSWERS
        return (
            max(
                total_log_ratios(
                    self._test.log_ratios(baseline.probabilities()), counts
                )
            )
            <= _MAX_BASELINE_LOG_RATIO
        )

    def summary(self) -> EvidenceSummary:
        """Return the evidence against the version."""
        if not self._answers:
            return EvidenceSummary()
        sums = {route: self._sum(totals) for route, totals in self._log_ratios.items()}
        total, worst_route = _combine_routes(sums)
        without_worst, worst = min(
            (_combine_routes(self._without(sums, endpoint_id))[0], endpoint_id)
            for endpoint_id in self._answers
        )
        others = self.answers - self._answers[worst]
        return EvidenceSummary(total, without_worst, worst, worst_route, others)

    def _sum(self, totals: dict[str, list[float]]) -> list[float]:
        """Return the sum over all endpoints of a route, by alternative."""
        return [sum(values) for values in zip(*totals.values(), strict=True)]

    def _without(
        self, sums: dict[str, list[float]], endpoint_id: str
    ) -> dict[str, list[float]]:
        """Return the sums by route without one endpoint."""
        nothing = [0.0] * self._test.size
        return {
            route: [
                total - own
                for total, own in zip(
                    values,
                    self._log_ratios[route].get(endpoint_id, nothing),
                    strict=True,
                )
            ]
            for route, values in sums.items()
        }


def _combine_routes(sums: dict[str, list[float]]) -> tuple[float, str]:
    """Return the evidence of all routes, and the route with the most evidence.

    A version may be bad on one route or on all of them alike.
    """
    by_route = {route: log_mean_exp(sums[route]) for route in sums}
    everywhere = [sum(values) for values in zip(*sums.values(), strict=True)]
    worst = max(by_route, key=by_route.__getitem__)
    found = [*by_route.values(), log_mean_exp(everywhere)]
    return log_mean_exp(found), worst
