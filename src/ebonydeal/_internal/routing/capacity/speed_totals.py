"""The coordinator's sums of all relays' speed samples."""

from collections.abc import Mapping
from math import exp, inf, log
from typing import NamedTuple

from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.routing.capacity.speed_sums import (
    MAX_LOG,
    SpeedSums,
    chance_factor,
    decay,
    service_mean,
    speed_of,
)

# Adding up all reports takes milliseconds with 72 relays, so many replies
# share one sum.
_TOTALS_TTL_S = 0.25
# An engine that is avoided since it is slow gives no samples. Its speed is remembered
# with this weight for about this long; forgotten within seconds, all relays sent to an
# engine at a tenth again and again.
_MEMORY_WEIGHT = 1.5
_MEMORY_S = 20.0
_MIN_MEMORY_WEIGHT = 0.1
# Replies lack engines whose speed differs by less than this from 1.0.
_MIN_DIFFERENCE = 0.1


class EngineEstimate(NamedTuple):
    """An engine's speed, the weight of its samples, and the newest report's age.

    ``share`` is the share of the speed's logarithm that isn't chance, which relays
    can't compute.
    """

    speed: float
    share: float
    weight: float
    age_s: float


class _Report(NamedTuple):
    at: float
    sums: Mapping[str, SpeedSums]


class _Summand(NamedTuple):
    """A report, and by how much it had decayed when it was added."""

    factor: float
    sums: Mapping[str, SpeedSums]


class _Memory(NamedTuple):
    """An engine's mean logarithm, relative to its service, when it had samples."""

    incarnation: int
    mean: float
    at: float


class SpeedTotals:
    """Adds up the relays' reports, relative to the mean of each service.

    Attributes
    ----------
    estimates : dict of str to EngineEstimate
        The engines' speeds by the last sum.
    """

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}
        # What each relay contributed to the totals.
        self._summands: dict[str, _Summand] = {}
        self._totals: dict[str, SpeedSums] = {}
        self._means: dict[str, float] = {}
        self._memory: dict[str, _Memory] = {}
        self._valid_until = 0.0
        self.estimates: dict[str, EngineEstimate] = {}

    def record(self, node: str, sums: Mapping[str, SpeedSums], now: float) -> None:
        """Replace a relay's report."""
        self._reports[node] = _Report(now, sums)

    def refresh(
        self, members: Mapping[str, Member], max_age_s: float, now: float
    ) -> bool:
        """Add up again if the sums are too old; return whether they were.

        ``max_age_s`` is the age from which on a relay counts as lost.
        """
        if now < self._valid_until:
            return False
        self._valid_until = now + _TOTALS_TTL_S
        self._reports = {
            node: report
            for node, report in self._reports.items()
            if now - report.at <= max_age_s
        }
        self._add_up(members, max_age_s, now)
        return True

    def without(self, node: str) -> dict[str, list]:
        """Return the sums of all other relays for engines of another speed."""
        factor, own = self._summands.get(node, _Summand(0.0, {}))
        found = {}
        for name, estimate in self.estimates.items():
            if abs(estimate.speed - 1.0) <= _MIN_DIFFERENCE:
                continue
            incarnation, weight, log_sum = self._totals[name]
            reported = own.get(name)
            if reported is not None and reported.incarnation == incarnation:
                weight = max(0.0, weight - reported.weight * factor)
                log_sum -= reported.log_sum * factor
            log_sum -= weight * self._means[name]
            log_sum *= estimate.share
            # Relative to the mean, an engine may be beyond the bounds of samples.
            bound = weight * MAX_LOG
            log_sum = max(-bound, min(bound, log_sum))
            found[name] = [incarnation, round(weight, 3), round(log_sum, 3)]
        return found

    def _add_up(
        self, members: Mapping[str, Member], max_age_s: float, now: float
    ) -> None:
        self._summands = {}
        ages: dict[str, float] = {}
        # Weight and logarithms; tuples made for each entry took most of the time.
        added: dict[str, list[float]] = {}
        for node, report in self._reports.items():
            age = now - report.at
            factor = decay(age)
            self._summands[node] = _Summand(factor, report.sums)
            for name, (incarnation, weight, log_sum) in report.sums.items():
                member = members.get(name)
                # Samples of a former process, or of an engine not listed here yet.
                if member is None or member.incarnation != incarnation:
                    continue
                pair = added.setdefault(name, [0.0, 0.0])
                pair[0] += weight * factor
                pair[1] += log_sum * factor
                ages[name] = min(ages.get(name, inf), age)
        self._totals = {
            name: SpeedSums(members[name].incarnation, weight, log_sum)
            for name, (weight, log_sum) in added.items()
        }
        means = {
            service: service_mean([self._totals[name] for name in names])
            for service, names in self._by_service(members).items()
        }
        self._means = {
            name: means.get(member.service, 0.0) for name, member in members.items()
        }
        self._remember(members, now)
        factors = self._chance_factors(members)
        self.estimates = {
            name: self._estimate(name, factors[name], ages.get(name, max_age_s))
            for name in self._totals
        }

    def _estimate(self, name: str, factor: float, age_s: float) -> EngineEstimate:
        weight = self._totals[name].weight
        log_sum = self._totals[name].log_sum - weight * self._means[name]
        speed = speed_of(weight, log_sum, factor)
        without_factor = log(speed_of(weight, log_sum))
        share = log(speed) / without_factor if without_factor else 1.0
        return EngineEstimate(speed, share, weight, age_s)

    def _chance_factors(self, members: Mapping[str, Member]) -> dict[str, float]:
        """Return each engine's `chance_factor`, which is that of its service."""
        factors: dict[str, float] = {}
        for names in self._by_service(members).values():
            sums = [self._totals[name] for name in names]
            factor = chance_factor(sums, self._means[names[0]])
            factors.update(dict.fromkeys(names, factor))
        return factors

    def _by_service(self, members: Mapping[str, Member]) -> dict[str, list[str]]:
        """Return the engines that have samples by service."""
        services: dict[str, list[str]] = {}
        for name in self._totals:
            services.setdefault(members[name].service, []).append(name)
        return services

    def _remember(self, members: Mapping[str, Member], now: float) -> None:
        """Remember the engines' speeds, and add those of engines with few samples."""
        for name, total in self._totals.items():
            if total.weight >= _MEMORY_WEIGHT:
                mean = total.mean - self._means[name]
                self._memory[name] = _Memory(total.incarnation, mean, now)
        for name, memory in list(self._memory.items()):
            member = members.get(name)
            weight = _MEMORY_WEIGHT * exp((memory.at - now) / _MEMORY_S)
            if (
                member is None
                or member.incarnation != memory.incarnation
                or weight < _MIN_MEMORY_WEIGHT
            ):
                del self._memory[name]
                continue
            total = self._totals.get(name, SpeedSums(memory.incarnation))
            weight -= total.weight
            if weight > 0.0:
                mean = self._means[name] + memory.mean
                self._totals[name] = total.plus(weight, weight * mean)
