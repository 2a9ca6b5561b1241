"""What one relay knows of the capacity of plain endpoints.

Its own requests in flight are known exactly. Those of other relays come from the
coordinator's reply and are as old as their reports, so the older these are, the more
the expectation that the others spread their requests by capacity counts instead.
"""

from collections.abc import Iterable, Mapping
from math import exp, inf, log
from typing import NamedTuple

from ebonydeal._internal.models.forwarding import EndpointProcess, Member
from ebonydeal._internal.routing.capacity.capacity_estimator import CapacityEstimator
from ebonydeal._internal.routing.capacity.capacity_messages import (
    SharedEstimate,
    decode_estimates,
    decode_relays,
    encode_sample,
)
from ebonydeal._internal.routing.capacity.endpoint_meter import EndpointMeter

# Own samples replace the coordinator's estimate with this time constant, beginning at
# an age that replies don't have while there is a coordinator.
_SHARED_TIME_CONSTANT_S = 10.0
_SHARED_GRACE_S = 2.0
# Shortest time between two updates of this relay's own estimate.
_OWN_UPDATE_INTERVAL_S = 0.5
# A request is light if with it the endpoint uses at most this share of its proven
# concurrency, or has at most so many requests in flight if nothing is known.
_LIGHT_USE = 0.5
_UNKNOWN_LIGHT_RUNNING = 2
# Endpoints without requests for this long aren't reported.
_REPORT_TTL_S = 12.0


class Estimate(NamedTuple):
    """What an endpoint process can do.

    Attributes
    ----------
    service_s : float
        Seconds that a request takes while the endpoint is not full.
    concurrency : float
        Requests in flight beyond which that time grows.
    running : float
        Expected number of requests of all relays in flight there.
    age_s : float
        Age of the coordinator's part, seconds; inf without one.
    proven : float
        Requests in flight that the endpoint was seen to handle without a queue. Less
        than the concurrency while that is only listed.
    """

    service_s: float
    concurrency: float
    running: float
    age_s: float
    proven: float

    @property
    def expected_s(self) -> float:
        """Expected time of a request that is sent now, seconds."""
        return self.service_s * max(1.0, self.use)

    @property
    def use(self) -> float:
        """Used share of the concurrency with one more request."""
        return (self.running + 1.0) / self.concurrency

    @property
    def cautious_s(self) -> float:
        """The expected time if the endpoint handles no more than it was seen to."""
        return self.service_s * max(1.0, (self.running + 1.0) / self.proven)


class _Shared(NamedTuple):
    """An estimate of the coordinator, and when it arrived."""

    estimate: SharedEstimate
    at: float

    def age(self, now: float) -> float:
        return self.estimate.age_s + max(0.0, now - self.at)


class _Learned(NamedTuple):
    """What is known of an endpoint, its load aside."""

    service_s: float
    concurrency: float
    proven: float


class _Typical(NamedTuple):
    """The mean of a service's endpoints, by which unknown ones are judged."""

    service_s: float
    proven_per_slot: float


class _OthersLoad(NamedTuple):
    """What all other relays have in flight at a service, and its whole capacity."""

    running: float
    requests_per_s: float
    typical: _Typical | None


class PlainCapacity:
    """Learns the capacity of all plain endpoints for one relay.

    Attributes
    ----------
    relays : int
        How many relays the coordinator knows, this one included.
    """

    def __init__(self) -> None:
        self.relays = 1
        self._meters: dict[EndpointProcess, EndpointMeter] = {}
        self._own: dict[EndpointProcess, CapacityEstimator] = {}
        self._own_updated_at: dict[EndpointProcess, float] = {}
        self._shared: dict[EndpointProcess, _Shared] = {}
        # The listed endpoints of which an estimate was requested, by service.
        self._services: dict[str, dict[str, Member]] = {}
        self._members: dict[EndpointProcess, Member] = {}
        self._others: dict[str, _OthersLoad] = {}

    # --- this relay's requests -------------------------------------------------
    def record_sent(self, process: EndpointProcess, now: float) -> None:
        """Record that a request is sent to an endpoint."""
        meter = self._meters.get(process)
        if meter is None:
            meter = self._meters[process] = EndpointMeter(now)
        meter.start(now, self._is_light(process, meter, now))

    def _is_light(
        self, process: EndpointProcess, meter: EndpointMeter, now: float
    ) -> bool:
        """Return whether a request that is sent now will probably not queue."""
        member = self._members.get(process)
        estimate = None if member is None else self.estimate(member, now)
        if member is None or estimate is None:
            return meter.running < _UNKNOWN_LIGHT_RUNNING
        return estimate.running + 1.0 <= max(1.0, _LIGHT_USE * estimate.proven)

    def record_answer(
        self, process: EndpointProcess, sent_at: float, now: float
    ) -> None:
        """Record a complete answer of a status below 500."""
        meter = self._meters.get(process)
        if meter is not None:
            meter.finish(sent_at, now, answered=True)

    def record_lost(self, process: EndpointProcess, sent_at: float, now: float) -> None:
        """Record the end of a request that failed, was rejected or cancelled."""
        meter = self._meters.get(process)
        if meter is not None:
            meter.finish(sent_at, now, answered=False)

    # --- exchange with the coordinator -----------------------------------------
    def own_samples(self, now: float) -> dict[str, list]:
        """Return this relay's samples for its report, by endpoint id."""
        samples: dict[str, list] = {}
        for process, meter in self._meters.items():
            if not meter.running and now - meter.last_used_at > _REPORT_TTL_S:
                continue
            reported = samples.get(process.endpoint_id)
            # Of a restarted endpoint, only the later process.
            if reported is None or reported[0] < process.incarnation:
                samples[process.endpoint_id] = encode_sample(
                    process.incarnation, meter.sample(now)
                )
        return samples

    def update_shared(
        self, estimates: Mapping[str, list], relays: int, now: float
    ) -> None:
        """Apply the estimates of the coordinator's reply.

        An endpoint that is missing has no requests of others in flight; its earlier
        estimate is kept. Raises ValueError with the reason, and changes nothing, if
        the reply is invalid.
        """
        decoded, count = decode_estimates(estimates), decode_relays(relays)
        self.relays = count
        for process, shared in self._shared.items():
            if process not in decoded and shared.estimate.others_running:
                idle = shared.estimate._replace(
                    others_running=0.0, age_s=shared.age(now)
                )
                self._shared[process] = _Shared(idle, now)
        for process, estimate in decoded.items():
            self._shared[process] = _Shared(estimate, now)
        self._others.clear()

    def forget(self, endpoint_id: str) -> None:
        """Drop all that is known of an endpoint that restarted."""
        for by_process in (
            self._meters,
            self._own,
            self._own_updated_at,
            self._shared,
        ):
            for process in [p for p in by_process if p.endpoint_id == endpoint_id]:
                del by_process[process]
        for members in self._services.values():
            member = members.pop(endpoint_id, None)
            if member is not None:
                self._members.pop(member.process, None)
        self._others.clear()

    def retain_only(self, endpoint_ids: Iterable[str]) -> None:
        """Forget all endpoints but these, except those with requests in flight."""
        known = set(endpoint_ids)
        running = {p.endpoint_id for p, meter in self._meters.items() if meter.running}
        ids = {process.endpoint_id for process in (*self._meters, *self._shared)}
        ids.update(*self._services.values())
        for endpoint_id in ids - known - running:
            self.forget(endpoint_id)

    # --- estimates -------------------------------------------------------------
    def estimate(self, member: Member, now: float) -> Estimate | None:
        """Return what an endpoint can do; None before anything is learned of it."""
        self._register(member)
        learned = self._learned(member, now)
        return None if learned is None else self._with_load(member, learned, now)

    def expected_seconds(self, member: Member, now: float) -> float | None:
        """Return the expected time of a request that is sent to an endpoint now.

        Before anything is learned of the endpoint, it is taken to be like the mean of
        its service; None if nothing is known of that either.
        """
        expected = self.estimate_or_typical(member, now)
        return None if expected is None else expected.expected_s

    def estimate_or_typical(self, member: Member, now: float) -> Estimate | None:
        """Return the estimate, that of the service's mean for an unknown endpoint."""
        self._register(member)
        learned = self._learned(member, now)
        if learned is None:
            typical = self._others_load(member.service, now).typical
            if typical is None:
                return None
            slots = float(max(1, member.slots))
            proven = max(1.0, typical.proven_per_slot * slots)
            learned = _Learned(typical.service_s, slots, proven)
        return self._with_load(member, learned, now)

    def _register(self, member: Member) -> None:
        """Note a listed endpoint; it replaces an earlier process of its id."""
        members = self._services.setdefault(member.service, {})
        known = members.get(member.endpoint_id)
        if known is not member:
            members[member.endpoint_id] = member
            if known is not None:
                self._members.pop(known.process, None)
            self._members[member.process] = member
            if known is None or known[:5] != member[:5]:
                self._others.pop(member.service, None)

    def _learned(self, member: Member, now: float) -> _Learned | None:
        """Return the service time and concurrency of an endpoint, if known.

        The coordinator's estimate, and as it gets older, this relay's own.
        """
        process = member.process
        shared = self._shared.get(process)
        if shared is None:
            return self._own_estimate(member, now)
        slots = float(max(1, member.slots))
        learned = _Learned(
            shared.estimate.service_s,
            min(shared.estimate.concurrency, slots),
            min(shared.estimate.proven, slots),
        )
        age = shared.age(now)
        if age <= _SHARED_GRACE_S:
            return learned
        own = self._own_estimate(member, now)
        if own is None:
            return learned
        weight = exp(-(age - _SHARED_GRACE_S) / _SHARED_TIME_CONSTANT_S)
        return _Learned(
            *(_geometric(a, b, weight) for a, b in zip(learned, own, strict=True))
        )

    def _own_estimate(self, member: Member, now: float) -> _Learned | None:
        """Return what this relay's own requests show of an endpoint."""
        process = member.process
        meter = self._meters.get(process)
        if meter is None:
            return None
        estimator = self._own.get(process)
        if estimator is None:
            estimator = self._own[process] = CapacityEstimator(member.slots)
        updated_at = self._own_updated_at.get(process)
        if (
            estimator.service_s is None
            or updated_at is None
            or now - updated_at >= _OWN_UPDATE_INTERVAL_S
        ):
            self._own_updated_at[process] = now
            estimator.update(meter.sample(now), member.slots, now)
        if estimator.service_s is None:
            return None
        return _Learned(estimator.service_s, estimator.concurrency, estimator.proven)

    def _with_load(self, member: Member, learned: _Learned, now: float) -> Estimate:
        """Return an endpoint's estimate with its expected requests in flight."""
        service_s, concurrency, proven = learned
        meter = self._meters.get(member.process)
        running = 0.0 if meter is None else float(meter.running)
        shared = self._shared.get(member.process)
        others = self._others_load(member.service, now)
        share = 0.0
        if others.requests_per_s > 0.0:
            share = others.running * proven / service_s / others.requests_per_s
        if shared is None:
            return Estimate(service_s, concurrency, running + share, inf, proven)
        age = shared.age(now)
        reported = shared.estimate.others_running
        weight = exp(-age / service_s)
        fade = exp(-max(0.0, age - _SHARED_GRACE_S) / _SHARED_TIME_CONSTANT_S)
        running += weight * reported + (1.0 - weight) * fade * share
        return Estimate(service_s, concurrency, running, age, proven)

    def _others_load(self, service: str, now: float) -> _OthersLoad:
        """Return the load of other relays at a service, and its capacity."""
        others = self._others.get(service)
        if others is not None:
            return others
        members = self._services.get(service, {}).values()
        learned = [(member, self._learned(member, now)) for member in members]
        typical = _typical(learned)
        if typical is None:
            return _OthersLoad(0.0, 0.0, None)
        running = per_s = 0.0
        for member, found in learned:
            shared = self._shared.get(member.process)
            if shared is not None:
                running += shared.estimate.others_running
            if found is not None:
                per_s += found.proven / found.service_s
            else:
                proven = max(1.0, typical.proven_per_slot * max(1, member.slots))
                per_s += proven / typical.service_s
        others = self._others[service] = _OthersLoad(running, per_s, typical)
        return others


def _typical(learned: list[tuple[Member, _Learned | None]]) -> _Typical | None:
    """Return the geometric means over the endpoints of which something is known."""
    known = [(member, found) for member, found in learned if found is not None]
    if not known:
        return None
    times = sum(log(found.service_s) for _member, found in known)
    ratios = sum(log(found.proven / max(1, m.slots)) for m, found in known)
    return _Typical(exp(times / len(known)), exp(ratios / len(known)))


def _geometric(first: float, second: float, weight: float) -> float:
    """Return the geometric mean of two values; ``weight`` is that of the first."""
    return exp(weight * log(first) + (1.0 - weight) * log(second))
