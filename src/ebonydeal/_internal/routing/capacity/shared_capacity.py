"""The coordinator's part: adds up the relays' samples and estimates from the sums."""

from collections.abc import Callable, Iterable, Mapping
from math import copysign, exp, log
from statistics import median
from typing import NamedTuple

from ebonydeal._internal.models.forwarding import EndpointProcess, Member
from ebonydeal._internal.routing.capacity.capacity_estimator import (
    CapacityEstimator,
    CapacitySample,
)
from ebonydeal._internal.routing.capacity.capacity_messages import (
    SharedEstimate,
    encode_estimate,
)

# Samples are added up anew after this time, and this much more for each relay: with
# 72 relays and nine endpoints, adding up takes about a millisecond.
_MIN_SUM_INTERVAL_S = 0.1
_SUM_INTERVAL_PER_RELAY_S = 0.002
# A change of an estimate by this factor is reported, at most once in the interval.
_REPORTED_FACTOR = 1.25
_REPORT_INTERVAL_S = 2.0
# An endpoint that was full counts again like the others of its service with this time
# constant.
_FULL_TIME_CONSTANT_S = 20.0
# Share of the spread of a service's requests, as a logarithm, within which differences
# of endpoints are taken for chance: for exponentially distributed service times, up to
# a factor of two.
_CHANCE_SHARE = 0.7
# Without samples for this long, estimates are sent only while they differ from the
# service's by this logarithm: relays keep the earlier ones.
_SENT_FOR_S = 10.0
_SENT_DIFFERENCE = 0.1


class EstimateChange(NamedTuple):
    """A change of an endpoint's estimate by more than a quarter.

    ``old`` and ``new`` are service time (seconds) and concurrency; ``samples`` are the
    answers per second of all relays, ``age_s`` is the mean age of their reports.
    """

    process: EndpointProcess
    old: tuple[float, float]
    new: tuple[float, float]
    samples: float
    age_s: float


class _Report(NamedTuple):
    at: float
    samples: Mapping[EndpointProcess, CapacitySample]


class _Entry:
    """One endpoint process: its sums over all relays, and its estimator."""

    def __init__(self, member: Member) -> None:
        self.estimator = CapacityEstimator(member.slots)
        self.total = CapacitySample()
        # Values for relays, see `SharedCapacity._compare`.
        self.service_s: float | None = None
        self.usable = 1.0
        self.typical_s = 1.0
        self.sampled_at = float("-inf")
        self.reported: tuple[float, float] | None = None
        self.reported_at = float("-inf")

    def matters(self, now: float) -> bool:
        """Return whether relays need the estimate: it has samples, or still changes."""
        if self.service_s is None or now - self.sampled_at <= _SENT_FOR_S:
            return True
        return abs(log(self.service_s / self.typical_s)) > _SENT_DIFFERENCE

    @property
    def concurrency(self) -> float:
        """What relays get as concurrency: the listed slots until it was full."""
        never_full = self.estimator.full_at is None
        return self.estimator.concurrency if never_full else self.usable


class SharedCapacity:
    """Adds up the reports of all relays; one estimator per endpoint process.

    Attributes
    ----------
    on_change : callable
        Called with each change of an estimate by more than a quarter.
    """

    def __init__(self) -> None:
        self.on_change: Callable[[EstimateChange], None] = lambda _change: None
        self._reports: dict[str, _Report] = {}
        self._entries: dict[EndpointProcess, _Entry] = {}
        self._summed_at: float | None = None
        # The reports that are part of the sums.
        self._summed: dict[str, _Report] = {}

    def clear(self) -> None:
        """Drop everything, as at the begin of a time as coordinator."""
        self._reports.clear()
        self._entries.clear()
        self._summed_at = None

    @property
    def relays(self) -> int:
        """How many relays report."""
        return len(self._reports)

    def record(
        self, node: str, samples: Mapping[EndpointProcess, CapacitySample], now: float
    ) -> None:
        """Replace the samples of one relay."""
        self._reports[node] = _Report(now, samples)

    def record_legacy(
        self, node: str, running: Mapping[EndpointProcess, float], now: float
    ) -> None:
        """Replace the load of a relay of the previous release.

        It reports its requests in flight only, which are taken to have the latency of
        the others.
        """
        samples = {}
        for process, count in running.items():
            entry = self._entries.get(process)
            latency = None if entry is None else entry.total.latency_s
            if latency is not None and count > 0.0:
                samples[process] = CapacitySample(count / latency, count, count, count)
        self.record(node, samples, now)

    def drop(self, nodes: Iterable[str]) -> None:
        """Drop the samples of relays that left or are lost."""
        for node in nodes:
            if self._reports.pop(node, None) is not None:
                self._summed_at = None

    def drop_older(self, at: float) -> None:
        """Drop the samples of relays that did not report since a time."""
        self.drop([node for node, report in self._reports.items() if report.at < at])

    def estimates_for(
        self, node: str, members: Mapping[str, Member], now: float
    ) -> dict[str, list]:
        """Return the estimates for the reply to a relay, by endpoint id.

        ``members`` are the listed endpoints: others have no estimate.
        """
        self._add_up(members, now)
        own = self._summed.get(node)
        own_samples: Mapping[EndpointProcess, CapacitySample] = (
            {} if own is None else own.samples
        )
        age_s = self._mean_age(node, now)
        estimates = {}
        for process, entry in self._entries.items():
            service_s = entry.service_s
            if service_s is None or not entry.matters(now):
                continue
            mine = own_samples.get(process, CapacitySample()).running
            others = max(0.0, entry.total.running - mine)
            shared = SharedEstimate(
                service_s,
                entry.concurrency,
                others,
                age_s,
                entry.usable,
            )
            estimates[process.endpoint_id] = encode_estimate(
                process.incarnation, shared
            )
        return estimates

    def _mean_age(self, node: str, now: float) -> float:
        ages = [now - r.at for name, r in self._reports.items() if name != node]
        return max(0.0, sum(ages) / len(ages)) if ages else 0.0

    def _add_up(self, members: Mapping[str, Member], now: float) -> None:
        """Form the sums of all relays and update the estimators, if due."""
        interval = _MIN_SUM_INTERVAL_S + _SUM_INTERVAL_PER_RELAY_S * len(self._reports)
        if self._summed_at is not None and now - self._summed_at < interval:
            return
        self._summed_at = now
        self._summed = dict(self._reports)
        totals: dict[EndpointProcess, CapacitySample] = {}
        for report in self._reports.values():
            for process, sample in report.samples.items():
                total = totals.get(process)
                totals[process] = sample if total is None else total.plus(sample)
        for process in [p for p in self._entries if not _is_listed(p, members)]:
            del self._entries[process]
        for process in totals.keys() - self._entries.keys():
            if _is_listed(process, members):
                self._entries[process] = _Entry(members[process.endpoint_id])
        typical = self._typical(members)
        for process, entry in self._entries.items():
            member = members[process.endpoint_id]
            entry.total = totals.get(process, CapacitySample())
            if entry.total.latency_s is not None:
                entry.sampled_at = now
            entry.estimator.update(
                entry.total, member.slots, now, typical.get(member.service)
            )
            self._report_change(process, entry, now)
        self._compare(members, now)

    def _infer_usable(self, members: Mapping[str, Member], now: float) -> None:
        """Set the concurrency that relays use to compare the endpoints of a service.

        One that was never full is taken to handle as many requests for each listed slot
        as those that were, or without such, as the one that was seen to handle most.
        Otherwise, the endpoint that has most requests would seem to be the best one.
        """
        full: dict[str, list[float]] = {}
        most: dict[str, float] = {}
        for process, entry in self._entries.items():
            member, estimator = members[process.endpoint_id], entry.estimator
            ratio = estimator.proven / max(1, member.slots)
            most[member.service] = max(ratio, most.get(member.service, 0.0))
            if estimator.full_at is not None:
                full.setdefault(member.service, []).append(log(ratio))
        for process, entry in self._entries.items():
            member, estimator = members[process.endpoint_id], entry.estimator
            entry.usable = estimator.proven
            logs = full.get(member.service)
            ratio = exp(sum(logs) / len(logs)) if logs else most[member.service]
            typical = max(entry.usable, ratio * max(1, member.slots))
            if estimator.full_at is not None:
                # It may handle more by now, which shows only if it gets more.
                since = now - estimator.full_at
                weight = exp(-since / _FULL_TIME_CONSTANT_S)
                typical = exp(weight * log(entry.usable) + (1 - weight) * log(typical))
            entry.usable = max(1.0, typical)

    def _compare(self, members: Mapping[str, Member], now: float) -> None:
        """Set the values that relays compare, endpoints of one service among them.

        Differences that chance explains, where the needs of requests vary, are left
        out: otherwise the endpoint that had short requests would get most of them.
        """
        self._infer_usable(members, now)
        typical = self._typical(members)
        usable: dict[str, list[float]] = {}
        for process, entry in self._entries.items():
            service = members[process.endpoint_id].service
            usable.setdefault(service, []).append(entry.usable)
        middle = {service: median(values) for service, values in usable.items()}
        for process, entry in self._entries.items():
            service_s = entry.estimator.service_s
            service = members[process.endpoint_id].service
            if service_s is None or service not in typical:
                continue
            chance = _CHANCE_SHARE * entry.estimator.spread
            entry.typical_s = typical[service]
            entry.service_s = _beyond(service_s, typical[service], chance)
            entry.usable = max(1.0, _beyond(entry.usable, middle[service], chance))

    def _typical(self, members: Mapping[str, Member]) -> dict[str, float]:
        """Return the median service time of each service's endpoints."""
        times: dict[str, list[float]] = {}
        for process, entry in self._entries.items():
            service_s = entry.estimator.service_s
            if service_s is not None:
                service = members[process.endpoint_id].service
                times.setdefault(service, []).append(service_s)
        return {service: median(values) for service, values in times.items()}

    def _report_change(
        self, process: EndpointProcess, entry: _Entry, now: float
    ) -> None:
        service_s = entry.estimator.service_s
        if service_s is None:
            return
        new = (service_s, entry.estimator.concurrency)
        old = entry.reported
        if old is None:
            entry.reported = new
            return
        changed = max(max(a / b, b / a) for a, b in zip(old, new, strict=True))
        if changed <= _REPORTED_FACTOR or now - entry.reported_at < _REPORT_INTERVAL_S:
            return
        entry.reported, entry.reported_at = new, now
        age_s = self._mean_age("", now)
        change = EstimateChange(process, old, new, entry.total.completions_per_s, age_s)
        self.on_change(change)


def _beyond(value: float, typical: float, chance: float) -> float:
    """Return a value, nearer to the typical one by the logarithm ``chance``."""
    difference = log(value / typical)
    return typical * exp(copysign(max(0.0, abs(difference) - chance), difference))


def _is_listed(process: EndpointProcess, members: Mapping[str, Member]) -> bool:
    member = members.get(process.endpoint_id)
    return member is not None and member.incarnation == process.incarnation
