"""Wire format of capacities: relays' samples, and the coordinator's estimates.

A report has for each endpoint ``[incarnation, completions per second, in flight, sum of
latencies per second, running, light answers per second, sum of their latencies per
second, light ones running, sum of their ages, least latency]`` (`CapacitySample`; the
last is -1 without answers); a reply ``[incarnation, service time, concurrency, running
of other relays, age, proven concurrency]``. Times are in seconds.
"""

from collections.abc import Mapping
from math import inf, isfinite
from typing import NamedTuple

from ebonydeal._internal.models.forwarding import EndpointProcess
from ebonydeal._internal.routing.capacity.capacity_estimator import CapacitySample

# Bounds of valid values. No endpoint process completes more requests per second or has
# more in flight, and no request of a plain service takes longer than an hour.
_MAX_PER_S = 100_000.0
_MAX_RUNNING = 100_000.0
_MAX_SECONDS = 3600.0
# Bound of sums of latencies or ages.
_MAX_SUM_S = _MAX_RUNNING * _MAX_SECONDS
# A service time of 0 would make the capacity infinite.
_MIN_SERVICE_S = 1e-6
# Sums of a decayed average that may remain where its count is rounded to zero.
_MAX_REMAINDER = 0.01
# Stands for the least latency where there was no answer: JSON has no infinity.
_NO_LEAST = -1.0
_MAX_RELAYS = 100_000
# Endpoints in one message.
_MAX_ENDPOINTS = 10_000
# Characters of a wrong value in an error message.
_MAX_SHOWN = 60

# The values of a sample, and their maxima.
_SAMPLE_MAXIMA = (
    ("completions", _MAX_PER_S),
    ("in flight", _MAX_RUNNING),
    ("latencies", _MAX_SUM_S),
    ("running", _MAX_RUNNING),
    ("light completions", _MAX_PER_S),
    ("light latencies", _MAX_SUM_S),
    ("light running", _MAX_RUNNING),
    ("ages", _MAX_SUM_S),
    ("least latency", _MAX_SECONDS),
)

# A report or reply by endpoint id.
CapacityTable = dict[str, list]


class SharedEstimate(NamedTuple):
    """The coordinator's estimate for one endpoint process, as a relay gets it.

    Attributes
    ----------
    service_s, concurrency, proven : float
        As in `CapacityEstimator`.
    others_running : float
        Requests in flight of all other relays.
    age_s : float
        Mean age of the reports on these, seconds.
    """

    service_s: float
    concurrency: float
    others_running: float
    age_s: float
    proven: float


def encode_sample(incarnation: int, sample: CapacitySample) -> list:
    """Return the JSON representation of a sample."""
    if not isfinite(sample.least_s):
        sample = sample._replace(least_s=_NO_LEAST)
    return [incarnation, *(_rounded(value) for value in sample)]


def encode_estimate(incarnation: int, estimate: SharedEstimate) -> list:
    """Return the JSON representation of an estimate."""
    return [incarnation, *(_rounded(value) for value in estimate)]


def decode_samples(message: object) -> dict[EndpointProcess, CapacitySample]:
    """Return the samples of a report; raises ValueError with the reason."""
    decoded = {}
    for process, values in _entries(message, len(_SAMPLE_MAXIMA)):
        for (name, most), value in zip(_SAMPLE_MAXIMA, values, strict=True):
            if name != "least latency" or value != _NO_LEAST:
                _check(process, name, value, 0.0, most)
        sample = CapacitySample(*values)
        if sample.least_s == _NO_LEAST:
            sample = sample._replace(least_s=inf)
        _check_means(process, sample)
        decoded[process] = sample
    return decoded


def _check_means(process: EndpointProcess, sample: CapacitySample) -> None:
    """Raise ValueError if sums belong to impossible means."""
    for name, total, count in (
        ("latency", sample.latency_per_s, sample.completions_per_s),
        ("light latency", sample.light_latency_per_s, sample.light_per_s),
        ("age", sample.light_age_s, sample.light_running),
    ):
        # Values are rounded, and so may be zero next to a remainder.
        if total > count * _MAX_SECONDS + _MAX_REMAINDER:
            raise ValueError(
                f"{name} of {process.endpoint_id}: {total!r} s for {count!r} requests"
            )


def decode_estimates(message: object) -> dict[EndpointProcess, SharedEstimate]:
    """Return the estimates of a reply; raises ValueError with the reason."""
    decoded = {}
    for process, values in _entries(message, 5):
        names = ("service time", "concurrency", "running", "age", "proven")
        minima = (_MIN_SERVICE_S, 1.0, 0.0, 0.0, 1.0)
        maxima = (_MAX_SECONDS, _MAX_RUNNING, _MAX_RUNNING, _MAX_SECONDS, _MAX_RUNNING)
        for name, value, least, most in zip(names, values, minima, maxima, strict=True):
            _check(process, name, value, least, most)
        decoded[process] = SharedEstimate(*values)
    return decoded


def decode_relays(relays: object) -> int:
    """Return how many relays report, at least 1; raises ValueError with the reason."""
    if type(relays) is not int or not 0 <= relays <= _MAX_RELAYS:
        raise ValueError(f"number of relays is {_shown(relays)}")
    return max(1, relays)


def decode_running(loads: Mapping[str, list[float]]) -> dict[str, float]:
    """Return the requests in flight by endpoint id, from the loads of a report.

    Endpoints with impossible numbers are left out.
    """
    return {
        endpoint_id: float(load[0])
        for endpoint_id, load in loads.items()
        if isfinite(load[0]) and 0.0 <= load[0] <= _MAX_RUNNING
    }


def _entries(message: object, count: int) -> list[tuple[EndpointProcess, list[float]]]:
    """Return the processes and numbers of a table; raises ValueError."""
    if not isinstance(message, Mapping):
        raise ValueError(f"capacities are no table: {_shown(message)}")
    if len(message) > _MAX_ENDPOINTS:
        raise ValueError(f"{len(message)} endpoints, at most {_MAX_ENDPOINTS}")
    entries = []
    for endpoint_id, row in message.items():
        if not isinstance(endpoint_id, str):
            raise ValueError(f"endpoint id is no text: {_shown(endpoint_id)}")
        if not isinstance(row, list) or len(row) != count + 1:
            raise ValueError(f"entry of {endpoint_id}: {_shown(row)}")
        # JSON's true and false are integers in Python.
        if not all(type(value) in (int, float) for value in row):
            raise ValueError(f"entry of {endpoint_id} is no numbers: {_shown(row)}")
        if type(row[0]) is not int or row[0] < 0:
            raise ValueError(f"incarnation of {endpoint_id}: {_shown(row[0])}")
        try:
            values = [float(value) for value in row[1:]]
        except OverflowError:
            raise ValueError(f"entry of {endpoint_id}: {_shown(row)}") from None
        entries.append((EndpointProcess(endpoint_id, row[0]), values))
    return entries


def _check(
    process: EndpointProcess, name: str, value: float, least: float, most: float
) -> None:
    if not isfinite(value) or not least <= value <= most:
        raise ValueError(
            f"{name} of {process.endpoint_id} is {value!r}, not {least} to {most}"
        )


def _rounded(value: float) -> float:
    """Return four significant digits, as short as possible in JSON."""
    return float(f"{value:.4g}")


def _shown(value: object) -> str:
    return repr(value)[:_MAX_SHOWN]
