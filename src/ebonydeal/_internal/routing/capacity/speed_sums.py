"""Sums of speed samples that relays exchange, and the speed that they show.

A sample is the logarithm of an engine's speed relative to its service. Weighted sums
of samples decay over some seconds, and those of different relays can be added.
"""

from collections.abc import Sequence
from math import exp, inf, log, sqrt
from typing import NamedTuple

# Speeds are bounded: a sample beyond says that something else was measured.
MAX_SPEED = 16.0
MAX_LOG = log(MAX_SPEED)
# Samples count for about this long: long enough for some samples of each engine, short
# enough to follow a change within seconds.
WINDOW_S = 5.0
# The weight of one relay's samples of one engine: at most 1 a sample, and 100 samples
# a second would be far more than an engine answers.
MAX_WEIGHT = 100.0 * WINDOW_S
# Weight of the assumption of speed 1.0, which few samples don't outweigh.
_PRIOR_WEIGHT = 0.5
# Standard deviation of one sample: unseen queues, and prompts that are cached
# differently than expected. A queue makes several samples slow, so that 0.25 let
# engines that are alike differ under load.
_SAMPLE_STD = 0.45
# Deviations within this many standard errors may be chance, and count less the
# smaller they are.
_MIN_ERRORS = 0.7
_FULL_ERRORS = 1.4
# Engines are alike while the mean square of their deviations, in standard errors, and
# the largest one don't exceed these. In replays at 0.8 of capacity with 16 relays, the
# mean square of engines that were alike was up to 2.9 (95 %) and the largest up to 3.3;
# with speeds of 0.6, 1.0 and 1.6 the mean square was at least 4.3.
_MAX_ALIKE_SQUARE = 3.0
_MAX_ALIKE_ERRORS = 4.0
# From this mean square on engines clearly differ; below it, each must differ by up to
# so many times more to count.
_CLEAR_SQUARE = 9.0
_MAX_CHANCE_FACTOR = 3.0
# Deviations up to the lower value (4 %) are ignored, those from the upper one on count
# in full, so that engines that are alike are selected as without learned speeds.
_DEAD_BAND = 0.04
_FULL_BAND = 0.08
# Mean logarithms from less weight than this are no part of a service's mean.
_MIN_MEAN_WEIGHT = 0.3
# Larger numbers in messages are errors; an incarnation is a time in ms.
_MAX_NUMBER = 1e15


class SpeedSums(NamedTuple):
    """Decayed sums of the samples of one engine process.

    ``incarnation`` is that of `Member`, ``log_sum`` the weighted sum of logarithms.
    """

    incarnation: int
    weight: float = 0.0
    log_sum: float = 0.0

    @property
    def mean(self) -> float:
        """Mean logarithm of the speed; 0 without samples."""
        return self.log_sum / self.weight if self.weight > 0.0 else 0.0

    def times(self, factor: float) -> "SpeedSums":
        """Return the sums multiplied by ``factor``."""
        return SpeedSums(self.incarnation, self.weight * factor, self.log_sum * factor)

    def plus(self, weight: float, log_sum: float) -> "SpeedSums":
        """Return the sums with others of the same process added."""
        return SpeedSums(self.incarnation, self.weight + weight, self.log_sum + log_sum)

    def encode(self) -> list:
        """Return the sums as they are sent."""
        return [self.incarnation, round(self.weight, 3), round(self.log_sum, 3)]


def decode_sums(field: object) -> dict[str, SpeedSums]:
    """Return a message's sums by endpoint id; raises ValueError with the reason."""
    if not isinstance(field, dict):
        raise ValueError("not a table")
    return {str(name): _decode(name, value) for name, value in field.items()}


def _decode(name: object, value: object) -> SpeedSums:
    if not isinstance(value, list) or len(value) != 3:
        raise ValueError(f"{name}: not three numbers")
    if any(isinstance(v, bool) or not isinstance(v, int | float) for v in value):
        raise ValueError(f"{name}: not three numbers")
    incarnation, weight, log_sum = value
    # False for NaN too; integers of any size are valid JSON.
    if not all(-_MAX_NUMBER < v < _MAX_NUMBER for v in value):
        raise ValueError(f"{name}: not finite, or absurdly large")
    if incarnation < 0 or incarnation != int(incarnation):
        raise ValueError(f"{name}: incarnation {incarnation}")
    if not 0.0 <= weight <= MAX_WEIGHT:
        raise ValueError(f"{name}: weight {weight} is not in 0 to {MAX_WEIGHT:.0f}")
    # Both were rounded to three digits.
    if abs(log_sum) > weight * MAX_LOG + 0.01:
        raise ValueError(f"{name}: speed is not in 1/16 to 16")
    return SpeedSums(int(incarnation), float(weight), float(log_sum))


def decay(seconds: float) -> float:
    """Return the factor by which sums decay in so many seconds."""
    return exp(-max(0.0, seconds) / WINDOW_S)


def speed_of(weight: float, log_sum: float, factor: float = 1.0) -> float:
    """Return the speed that the sums show; 1.0 unless they clearly show another.

    ``log_sum`` is relative to the service's mean, ``factor`` that of `chance_factor`.
    """
    if weight <= 0.0 or factor == inf:
        return 1.0
    mean = log_sum / (weight + _PRIOR_WEIGHT)
    errors = abs(mean) * sqrt(weight) / _SAMPLE_STD / factor
    mean *= _ramp(errors, _MIN_ERRORS, _FULL_ERRORS)
    mean *= _ramp(abs(mean), _DEAD_BAND, _FULL_BAND)
    return exp(max(-MAX_LOG, min(MAX_LOG, mean)))


def chance_factor(sums: Sequence[SpeedSums], mean: float) -> float:
    """Return by how much more a speed must differ to count, from 1 to infinity.

    Infinite where chance explains all differences of a service's engines, and the
    smaller the clearer it doesn't. ``mean`` is the service's mean logarithm.
    """
    errors = [abs(s.mean - mean) * sqrt(s.weight) / _SAMPLE_STD for s in sums]
    square = sum(error * error for error in errors) / max(1, len(errors))
    if square <= _MAX_ALIKE_SQUARE and max(errors, default=0.0) <= _MAX_ALIKE_ERRORS:
        return inf
    return max(1.0, min(_MAX_CHANCE_FACTOR, _CLEAR_SQUARE / square))


def _ramp(value: float, low: float, high: float) -> float:
    """Return 0 up to ``low``, 1 from ``high`` on, and proportions between."""
    return max(0.0, min(1.0, (value - low) / (high - low)))


def service_mean(sums: Sequence[SpeedSums]) -> float:
    """Return the mean logarithm of a service's engines.

    It is the mean of the middle half: one engine at a tenth of its speed must not
    make all others look fast.
    """
    means = sorted(s.mean for s in sums if s.weight >= _MIN_MEAN_WEIGHT)
    if not means:
        return 0.0
    count = len(means)
    low, high = count * 0.25, count * 0.75
    total = 0.0
    for index, mean in enumerate(means):
        # The part of this value that lies in the middle half.
        total += mean * max(0.0, min(index + 1.0, high) - max(float(index), low))
    return total / (high - low)
