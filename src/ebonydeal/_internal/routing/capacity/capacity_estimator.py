"""Estimates service time and concurrency of one endpoint process from its averages."""

from math import exp, inf, log
from typing import NamedTuple

# Averages of samples are decayed over this time.
SAMPLE_WINDOW_S = 2.0
# Time constant with which estimates follow the samples.
_TIME_CONSTANT_S = 1.0
# The same for the service time while the endpoint is full. The latency is that of a
# queue then, but if it never fell again, a lasting change of all requests would count
# as a lack of concurrency for good.
_FULL_TIME_CONSTANT_S = 60.0
# A queue stands if the mean latency exceeds the service time by this factor, and the
# least latency that of an endpoint that is not full by this share of the service time:
# then all requests waited. Bursts, and requests that need more, lengthen only the mean.
_QUEUE_RATIO = 1.5
_QUEUE_SHARE = 0.5
# Fewer samples show a queue by chance where the needs of requests vary.
_MIN_QUEUE_SAMPLES = 5.0
# Up to this factor there is no queue at all. The endpoint is then taken to handle this
# many times its requests in flight, and the concurrency grows to that at this rate per
# second.
_UNLOADED_RATIO = 1.15
_HEADROOM = 1.4
_GROWTH_RATE = 0.15
# The same before the endpoint was seen full.
_FIRST_GROWTH_RATE = 1.0
# Samples with which a measured latency has half of its weight.
_HALF_WEIGHT_SAMPLES = 1.0
# Without samples, the service time returns to that of the service: an endpoint that was
# slow is tried again after some time.
_RETURN_TIME_CONSTANT_S = 15.0
# Longest time between two updates that is accounted for.
_MAX_STEP_S = 2.0
# An endpoint became slower if its least latency grew by this share of the service time.
# Without that, longer latencies have this weight only.
_SLOWER_SHARE = 0.15
_DOUBTFUL_WEIGHT = 0.05
# Latencies down to this ratio may be due to chance, and have this weight.
_FASTER_RATIO = 0.7
_CHANCE_WEIGHT = 0.2
# Averages below this are remainders of decay.
_MIN_PER_S = 0.02
_MIN_SERVICE_S = 1e-5


class CapacitySample(NamedTuple):
    """Averages of one endpoint process over about `SAMPLE_WINDOW_S`.

    A request is light if few others were in flight at the endpoint when it was sent, so
    that its latency includes no queue. Samples of several relays are added by `plus`.

    Attributes
    ----------
    completions_per_s : float
        Complete answers per second.
    in_flight : float
        Mean number of requests in flight.
    latency_per_s : float
        Sum of the latencies of the answers of one second, seconds per second.
    running : float
        Requests in flight at the time of the report.
    light_per_s, light_latency_per_s : float
        The same as above for light requests.
    light_running, light_age_s : float
        Light requests in flight, and the sum of their times in flight, seconds.
    least_s : float
        Least latency of the last seconds; inf without answers.
    """

    completions_per_s: float = 0.0
    in_flight: float = 0.0
    latency_per_s: float = 0.0
    running: float = 0.0
    light_per_s: float = 0.0
    light_latency_per_s: float = 0.0
    light_running: float = 0.0
    light_age_s: float = 0.0
    least_s: float = inf

    def plus(self, other: "CapacitySample") -> "CapacitySample":
        """Return the sums, and the smaller least latency."""
        sums = map(sum, zip(self, other, strict=True))
        least_s = min(self.least_s, other.least_s)
        return CapacitySample(*sums)._replace(least_s=least_s)

    @property
    def latency_s(self) -> float | None:
        """Mean latency of answers, seconds; None without answers."""
        if self.completions_per_s < _MIN_PER_S:
            return None
        return self.latency_per_s / self.completions_per_s

    @property
    def light_latency_s(self) -> float | None:
        """Mean latency of light requests, seconds; None if nothing is known.

        Their time in flight so far is a lower bound, which shows that an endpoint is
        slow before the first late answer arrives.
        """
        age = self.light_age_s / self.light_running if self.light_running else 0.0
        if self.light_per_s < _MIN_PER_S:
            return age if self.light_running else None
        return max(age, self.light_latency_per_s / self.light_per_s)


class CapacityEstimator:
    """Learns what one endpoint process can do.

    The latency is taken to be ``service_s * max(1, in flight / concurrency)``.

    Parameters
    ----------
    slots : int
        Listed slots; the concurrency before anything is learned, and its maximum.

    Attributes
    ----------
    service_s : float or None
        Seconds that a request takes while the endpoint is not full; None before the
        first sample.
    proven : float
        Requests in flight that the endpoint was seen to handle without a queue, with
        some headroom. At most the concurrency.
    full_at : float or None
        When the endpoint was last seen full; None if it never was.
    """

    def __init__(self, slots: int) -> None:
        self.service_s: float | None = None
        self.proven = 1.0
        self._slots = float(max(1, slots))
        # Least latency while the endpoint is not full.
        self._least_s = inf
        self.full_at: float | None = None
        self._updated_at: float | None = None

    @property
    def concurrency(self) -> float:
        """Requests in flight beyond which the latency grows.

        The listed slots, unless the endpoint was seen full.
        """
        return self._slots if self.full_at is None else self.proven

    @property
    def spread(self) -> float:
        """How much requests differ, 0 to 1: the share of time that the least lacks."""
        if self.service_s is None or self._least_s >= self.service_s:
            return 0.0
        return 1.0 - self._least_s / self.service_s

    def update(
        self,
        sample: CapacitySample,
        slots: int,
        now: float,
        typical_s: float | None = None,
    ) -> None:
        """Learn from the averages at ``now``.

        Parameters
        ----------
        sample : CapacitySample
            Sums of all relays.
        slots : int
            Listed slots, to which the concurrency is limited.
        now : float
            Monotonic time, seconds.
        typical_s : float, optional
            Service time of the service's endpoints, to which the estimate returns
            while there are no samples.
        """
        step = 0.0 if self._updated_at is None else now - self._updated_at
        step = min(_MAX_STEP_S, max(0.0, step))
        self._updated_at = now
        latency, light = sample.latency_s, sample.light_latency_s
        if self.service_s is None:
            if latency is not None:
                first = light if light and sample.light_per_s >= _MIN_PER_S else latency
                self.service_s = max(_MIN_SERVICE_S, first)
                self._least_s = max(_MIN_SERVICE_S, min(sample.least_s, first))
        elif latency is None and light is None:
            if typical_s is not None:
                self._follow(typical_s, 1.0 - exp(-step / _RETURN_TIME_CONSTANT_S))
        else:
            self._learn_service_time(sample, step)
            if latency is not None:
                self._learn_concurrency(sample, latency, step)
        self._slots = float(max(1, slots))
        self.proven = min(self.proven, self._slots)

    def _learn_service_time(self, sample: CapacitySample, step: float) -> None:
        """Follow light requests in both directions, and others if they are faster."""
        assert self.service_s is not None
        light, latency = sample.light_latency_s, sample.latency_s
        if light is not None:
            count = SAMPLE_WINDOW_S * sample.light_per_s
            gain = _gain(count + sample.light_running, step)
            if light > self.service_s and sample.least_s < (
                self._least_s + _SLOWER_SHARE * self.service_s
            ):
                # Some are as fast as ever: others queue, although they seemed light.
                gain *= _DOUBTFUL_WEIGHT
            if sample.light_per_s >= _MIN_PER_S or light > self.service_s:
                self._follow(light, gain)
        if latency is not None and latency < self.service_s:
            count = SAMPLE_WINDOW_S * sample.completions_per_s
            gain = _gain(count, step)
            if latency > _FASTER_RATIO * self.service_s:
                gain *= _CHANCE_WEIGHT
            self._follow(latency, gain)
        if sample.least_s < self._least_s:
            self._least_s = max(_MIN_SERVICE_S, sample.least_s)
        elif sample.least_s < inf:
            light_count = SAMPLE_WINDOW_S * sample.light_per_s
            slow = 1.0 - exp(-step / _FULL_TIME_CONSTANT_S)
            gain = max(slow, _gain(light_count, step))
            self._least_s *= exp(gain * log(sample.least_s / self._least_s))

    def _learn_concurrency(
        self, sample: CapacitySample, latency: float, step: float
    ) -> None:
        """Follow the throughput while a queue stands, else grow with the load."""
        assert self.service_s is not None
        per_s, service_s = sample.completions_per_s, self.service_s
        in_service = per_s * service_s
        if (
            SAMPLE_WINDOW_S * per_s >= _MIN_QUEUE_SAMPLES
            and sample.running >= _QUEUE_RATIO * in_service
            and latency >= _QUEUE_RATIO * service_s
            and sample.least_s >= self._least_s + _QUEUE_SHARE * service_s
        ):
            self.full_at = self._updated_at
            gain = _gain(SAMPLE_WINDOW_S * per_s, step)
            target = max(1.0, in_service)
            self.proven *= exp(gain * log(target / self.proven))
            if in_service < 1.0 and self.proven < 1.5 and sample.running > 1.0:
                # Not even one request at a time would explain the throughput.
                self._follow(min(latency, 1.0 / per_s), gain)
            else:
                self._follow(latency, 1.0 - exp(-step / _FULL_TIME_CONSTANT_S))
        else:
            rate = _FIRST_GROWTH_RATE if self.full_at is None else _GROWTH_RATE
            grown = self.proven * exp(rate * step)
            if latency <= _UNLOADED_RATIO * service_s:
                in_service *= _HEADROOM
            self.proven = max(self.proven, min(in_service, grown))

    def _follow(self, latency: float, gain: float) -> None:
        """Move the service time towards a latency, by a part of their ratio."""
        assert self.service_s is not None
        latency = max(_MIN_SERVICE_S, latency)
        self.service_s *= exp(gain * log(latency / self.service_s))


def _gain(samples: float, step: float) -> float:
    """Return the weight of averages over so many samples after a step of time."""
    return (1.0 - exp(-step / _TIME_CONSTANT_S)) * (
        samples / (samples + _HALF_WEIGHT_SAMPLES)
    )
