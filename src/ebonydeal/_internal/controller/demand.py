"""Computes how many replicas a deployment needs now.

A pure function. The load is the number of requests in flight (Little's law:
arrival rate times time in the engine). The result is the smallest number of
replicas for which 95 in 100 requests wait no longer than the latency target
allows (Erlang C). It rises at once, and falls only after the need has been lower
for a while.
"""

import math
from typing import NamedTuple

from ebonydeal._internal.models.endpoints import LoadReport

_MAX_LATE_SHARE = 0.05


class DemandConfig(NamedTuple):
    """Parameters of the computation.

    Attributes
    ----------
    smoothing_s : float
        Seconds over which the load is averaged.
    hold_down : float
        Seconds for which a higher number of replicas is kept.
    service_s : float
        Mean seconds of one request in an engine.
    wait_share : float
        Share of the first-token latency target that may be spent waiting.
    forecast_s : float
        Seconds by which a rising load is extrapolated, as an instance takes
        that long to start and warm up.
    """

    smoothing_s: float = 30.0
    hold_down: float = 600.0
    service_s: float = 4.0
    wait_share: float = 0.5
    forecast_s: float = 120.0


class Load(NamedTuple):
    """Total load that the replicas of a deployment report.

    ``in_flight`` requests are running or waiting; each replica has ``slots``.
    """

    in_flight: float
    slots: int

    @classmethod
    def from_reports(cls, reports: list[LoadReport]) -> "Load":
        """Add up reports; the load is 0 without reports."""
        in_flight = sum(item.running + item.waiting for item in reports)
        slots = min((item.slots for item in reports if item.slots > 0), default=1)
        return cls(float(in_flight), slots)


class DemandState(NamedTuple):
    """State between two computations.

    Attributes
    ----------
    load : float
        Smoothed requests in flight.
    slope : float
        Its smoothed change per second.
    at : float
        Monotonic seconds of the last computation.
    peaks : tuple of (float, int)
        (time until which it is kept, replicas), in falling order of replicas.
    """

    load: float = 0.0
    slope: float = 0.0
    at: float | None = None
    peaks: tuple[tuple[float, int], ...] = ()


def slots_needed(load: float, service_s: float, wait_s: float) -> int:
    """Return the fewest slots for which 95 in 100 requests wait at most ``wait_s``.

    Parameters
    ----------
    load : float
        Offered load in slots (requests that would be in flight without waiting).
    service_s, wait_s : float
        Mean seconds in a slot, and the maximum wait.
    """
    if load <= 0:
        return 0
    blocking = 1.0
    slots = 0
    while True:
        slots += 1
        blocking = load * blocking / (slots + load * blocking)
        if slots <= load:
            continue
        waits = slots * blocking / (slots - load * (1.0 - blocking))
        late = waits * math.exp(-(slots - load) * wait_s / service_s)
        if late <= _MAX_LATE_SHARE:
            return slots


def desired_replicas(
    state: DemandState,
    load: Load,
    first_token_s: float,
    min_replicas: int,
    max_replicas: int,
    config: DemandConfig,
    now: float,
) -> tuple[int, DemandState]:
    """Return the replicas needed now, and the state for the next call.

    Parameters
    ----------
    state : DemandState
        From the last call.
    load : Load
        Current load.
    first_token_s : float
        First-token latency target for 95 in 100 requests, seconds.
    min_replicas, max_replicas : int
        Bounds from the document.
    config : DemandConfig
        Parameters.
    now : float
        Monotonic seconds.
    """
    smoothed = _smoothed(state, load.in_flight, config, now)
    forecast = smoothed.load + max(0.0, smoothed.slope) * config.forecast_s
    wait = first_token_s * config.wait_share
    slots = slots_needed(forecast, config.service_s, wait)
    need = min(max_replicas, max(min_replicas, math.ceil(slots / max(1, load.slots))))
    peaks = _kept_peaks(smoothed.peaks, need, now, config.hold_down)
    return peaks[0][1], smoothed._replace(peaks=peaks)


def _smoothed(
    state: DemandState, in_flight: float, config: DemandConfig, now: float
) -> DemandState:
    """Return the state with the load averaged over time."""
    if state.at is None:
        return state._replace(load=in_flight, at=now)
    passed = max(0.0, now - state.at)
    if passed == 0.0:
        return state
    share = 1.0 - math.exp(-passed / config.smoothing_s)
    load = state.load + share * (in_flight - state.load)
    slope = state.slope + share * ((load - state.load) / passed - state.slope)
    return state._replace(load=load, slope=slope, at=now)


def _kept_peaks(
    peaks: tuple[tuple[float, int], ...], need: int, now: float, hold_down: float
) -> tuple[tuple[float, int], ...]:
    """Return the peaks that are still kept, highest first (a sliding maximum)."""
    kept = [(until, number) for until, number in peaks if number > need and until > now]
    return (*kept, (now + hold_down, need))
