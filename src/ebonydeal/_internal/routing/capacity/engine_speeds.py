"""The speed of each engine relative to its service, from samples of all relays.

A relay compares the time to a first event with the time that it expected, and a
complete stream's time per token with the service's. The expectation includes the wait
at the engine when the request was sent, so that a queue doesn't look like a slow
engine; samples with much wait have little weight, since the wait is known less well.
Failed, rejected and broken-off requests are no samples.

Relays with few requests learn little on their own, so the coordinator sends each the
sums of all others (`SpeedTotals`), which are relative to the service's mean already. A
relay's own samples have a bias, as its rates may be wrong for all engines alike; it is
the mean difference from what the others measured.
"""

from collections.abc import Collection, Mapping, Set
from math import exp, isfinite, log
from typing import NamedTuple

from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.routing.capacity.speed_sums import (
    MAX_LOG,
    MAX_WEIGHT,
    WINDOW_S,
    SpeedSums,
    decay,
    service_mean,
    speed_of,
)

# Delays of this size (event loops, networks) are no sign of an engine's speed: samples
# with less expected time count less.
_NOISE_S = 0.03
# Added to both times of a ratio, which times near 0 would make meaningless. It draws
# samples of short prefills to the known speed, so it is small: 0.03 s kept an engine of
# speed 1.3 at 1.0.
_RATIO_OFFSET_S = 0.004
# Shorter prefills show mostly noise.
_MIN_PREFILL_S = 0.01
# Weight of samples below the known speed: unseen queues only ever lower a sample. With
# the same weight for all, 60 relays put 0.6 and 1.6 at 0.8 and 1.15. Samples below half
# of the known speed have full weight: they are few, as the slow engine is avoided.
_SLOWER_SAMPLE_WEIGHT = 0.4
_MUCH_SLOWER = 0.5
# Streams of fewer tokens show mostly noise. Slow clients and full batches lengthen
# streams too, so that a stream has less weight than a first event.
_MIN_STREAM_TOKENS = 16
_STREAM_WEIGHT = 0.3
# The speeds are computed again after this long, and after each reply of the
# coordinator: with 90 engines that costs as much as a decision.
_REFRESH_S = 0.2
# Sums of less weight are dropped.
_MIN_WEIGHT = 0.05
# The coordinator's reply lacks engines of a speed near 1.0. That holds while sums of
# the reply's age count at least this much (3.5 s), and afterwards as samples of this
# weight, which decay: own samples alone made engines that are alike differ.
_MIN_TRUST = 0.5
_UNLISTED_WEIGHT = 8.0
# A report has at most so many engines, those with most samples, so that its size is
# bounded: about 3 kB.
_MAX_REPORTED = 64


class SentPrompt(NamedTuple):
    """What was expected of a prompt's prefill when it was sent.

    ``wait_s`` and ``prefill_s`` are the seconds of the queue and of the prompt itself
    at ``speed``, the engine's speed as it was known. ``fetches`` says that parts of the
    prompt come from another engine, which takes a time that says nothing of speed.
    """

    member: Member
    wait_s: float
    prefill_s: float
    speed: float = 1.0
    fetches: bool = False


class _OwnSums(NamedTuple):
    """One relay's samples of an engine, as of a time."""

    service: str
    sums: SpeedSums
    at: float


class EngineSpeeds:
    """The engines' speeds as one relay knows them.

    Parameters
    ----------
    enabled : bool
        Whether to learn; otherwise all speeds are 1.0.
    """

    def __init__(self, enabled: bool = True) -> None:
        self.enabled = enabled
        self._own: dict[str, _OwnSums] = {}
        self._shared: dict[str, SpeedSums] = {}
        self._shared_at: float | None = None
        self._speeds: dict[str, tuple[int, float]] = {}
        self._refresh_at = 0.0

    # --- samples ---------------------------------------------------------------
    def record_first_event(self, sent: SentPrompt, seconds: float, now: float) -> None:
        """Learn from the time to a first event.

        ``seconds`` is that time without the base latency.
        """
        if not self.enabled or sent.fetches or sent.prefill_s < _MIN_PREFILL_S:
            return
        if not isfinite(seconds):
            return
        expected = sent.wait_s + sent.prefill_s
        ratio = (expected + _RATIO_OFFSET_S) / (max(0.0, seconds) + _RATIO_OFFSET_S)
        share = sent.prefill_s / (expected + _NOISE_S)
        self._add(sent.member, share, log(sent.speed * ratio), now)

    def record_stream(
        self, member: Member, tokens: int, seconds: float, token_s: float, now: float
    ) -> None:
        """Learn from a complete stream after its first event.

        ``token_s`` are the seconds per token at speed 1.0.
        """
        if not self.enabled or tokens < _MIN_STREAM_TOKENS:
            return
        if seconds <= 0.0 or not isfinite(seconds):
            return
        # On average, the tokens are half of the duration old.
        weight = _STREAM_WEIGHT * exp(-seconds / 2.0 / WINDOW_S)
        self._add(member, weight, log(tokens * token_s / seconds), now)

    def _add(self, member: Member, weight: float, sample: float, now: float) -> None:
        known = self._own.get(member.endpoint_id)
        sums = SpeedSums(member.incarnation)
        if known is not None:
            sums = known.sums.times(decay(now - known.at))
        if member.incarnation < sums.incarnation:
            # A late answer of a process that has restarted since.
            return
        if member.incarnation > sums.incarnation:
            sums = SpeedSums(member.incarnation)
        sample = max(-MAX_LOG, min(MAX_LOG, sample))
        known_speed = self.speed(member, now)
        if known_speed * _MUCH_SLOWER < exp(sample) < known_speed:
            weight *= _SLOWER_SAMPLE_WEIGHT
        if sums.weight + weight <= MAX_WEIGHT:
            sums = sums.plus(weight, weight * sample)
        self._own[member.endpoint_id] = _OwnSums(member.service, sums, now)

    def _decay_own(self, now: float) -> None:
        decayed = {}
        for name, (service, sums, at) in self._own.items():
            sums = sums.times(decay(now - at))
            if sums.weight >= _MIN_WEIGHT:
                decayed[name] = _OwnSums(service, sums, now)
        self._own = decayed

    # --- exchange --------------------------------------------------------------
    def own_sums(self, now: float) -> dict[str, list]:
        """Return this relay's sums as they are reported."""
        self._decay_own(now)
        found = sorted(self._own.items(), key=lambda item: -item[1].sums.weight)
        return {name: own.sums.encode() for name, own in found[:_MAX_REPORTED]}

    def update_shared(self, sums: Mapping[str, SpeedSums], now: float) -> None:
        """Replace the sums of all other relays, by the coordinator's reply.

        Engines that it lacks have a speed near 1.0.
        """
        self._shared = dict(sums)
        self._shared_at = now
        self._refresh_at = now

    def forget(self, endpoint_id: str) -> None:
        """Drop the state of an engine that restarted."""
        self._own.pop(endpoint_id, None)
        self._shared.pop(endpoint_id, None)
        self._speeds.pop(endpoint_id, None)

    def retain_only(self, endpoint_ids: Set[str]) -> None:
        """Forget all engines but these."""
        for endpoint_id in (self._own.keys() | self._shared.keys()) - endpoint_ids:
            self.forget(endpoint_id)

    # --- speeds ----------------------------------------------------------------
    def speed(self, member: Member, now: float) -> float:
        """Return an engine's speed; 1.0 if nothing else is known."""
        if not self.enabled:
            return 1.0
        if now >= self._refresh_at:
            self._refresh(now)
        incarnation, speed = self._speeds.get(member.endpoint_id, (-1, 1.0))
        return speed if incarnation == member.incarnation else 1.0

    def _refresh(self, now: float) -> None:
        self._refresh_at = now + _REFRESH_S
        self._decay_own(now)
        trust = 0.0 if self._shared_at is None else decay(now - self._shared_at)
        services: dict[str, list[str]] = {}
        for name, own in self._own.items():
            services.setdefault(own.service, []).append(name)
        biases = {s: self._bias(names, trust) for s, names in services.items()}
        self._speeds = {
            name: (shared.incarnation, speed_of(shared.weight, shared.log_sum))
            for name, shared in self._shared_now(trust).items()
        }
        for name, (service, sums, _at) in self._own.items():
            others = self._others(name, sums.incarnation, trust)
            if others is None:
                # Other relays know a later process.
                continue
            if name not in self._shared and trust >= _MIN_TRUST:
                # The coordinator's sums include this relay's samples, and it found the
                # engine alike.
                continue
            total = others.plus(
                sums.weight, sums.log_sum - sums.weight * biases[service]
            )
            self._speeds[name] = (
                sums.incarnation,
                speed_of(total.weight, total.log_sum),
            )

    def _shared_now(self, trust: float) -> dict[str, SpeedSums]:
        return {name: sums.times(trust) for name, sums in self._shared.items()}

    def _others(
        self, endpoint_id: str, incarnation: int, trust: float
    ) -> SpeedSums | None:
        """Return the others' sums for a process, None if they know a later one."""
        shared = self._shared.get(endpoint_id)
        if shared is None:
            return SpeedSums(incarnation, _UNLISTED_WEIGHT * trust)
        if shared.incarnation > incarnation:
            return None
        if shared.incarnation < incarnation:
            return SpeedSums(incarnation)
        return shared.times(trust)

    def _bias(self, names: Collection[str], trust: float) -> float:
        """Return by how much this relay's samples of a service are off.

        Relative to the other relays as far as their sums are recent, else to the mean
        of this relay's own samples.
        """
        weight, difference = 0.0, 0.0
        for name in names:
            sums = self._own[name].sums
            others = self._others(name, sums.incarnation, trust)
            if others is not None and others.weight > 0.0:
                weight += sums.weight
                difference += sums.log_sum - sums.weight * others.mean
        own = service_mean([self._own[name].sums for name in names])
        if weight <= 0.0:
            return own
        return trust * difference / weight + (1.0 - trust) * own
