"""Settings of routing, admission and retries."""

from typing import Annotated, NamedTuple

from ebonydeal._internal.settings.keys import Key


class RoutingSettings(NamedTuple):
    """``[routing]``: how an endpoint is chosen."""

    subset: Annotated[
        int, Key("Maximum size of the subset of one gateway.", "", 1, 10000)
    ] = 64
    spill_share: Annotated[
        float, Key("Share of the subset reserved for other zones.", "", 0, 1)
    ] = 0.34
    near_equal: Annotated[
        float, Key("Scores up to this share above the best are equal.", "", 0, 1)
    ] = 0.05
    late_factor: Annotated[
        float, Key("Relative cost of delay beyond the latency target.", "", 0)
    ] = 4.0
    report_half_life: Annotated[
        float,
        Key("Half-life of the weight of load reports.", "seconds", 0.1, 600),
    ] = 2.0
    cache_half_life: Annotated[
        float, Key("Half-life of the weight of a cache event.", "seconds", 1, 86400)
    ] = 600.0
    cache_blocks: Annotated[
        int, Key("Maximum cache blocks kept per endpoint.", "", 16, 10000000)
    ] = 20000
    candidates: Annotated[
        int, Key("Maximum endpoints scored per request.", "", 2, 10000)
    ] = 24
    affinity: Annotated[
        float, Key("Value of keeping a prefix at its home, in prefills.", "", 0, 10)
    ] = 1.0
    cache_total: Annotated[
        int, Key("Maximum cache blocks kept for all endpoints.", "", 256, 10**9)
    ] = 200000
    prefill_rate: Annotated[
        float, Key("Prefill rate assumed before the first answer.", "tokens/s", 1)
    ] = 4000.0
    service_time: Annotated[
        float, Key("Run time assumed before the first answer.", "seconds", 0.001, 3600)
    ] = 2.0
    eject_failures: Annotated[
        int, Key("Consecutive failures that eject an endpoint.", "", 1, 1000)
    ] = 5
    eject_time: Annotated[
        float,
        Key("Duration of the first ejection of an endpoint.", "seconds", 0.1, 3600),
    ] = 5.0
    return_time: Annotated[
        float, Key("Ramp-up time of an endpoint after ejection.", "seconds", 0, 3600)
    ] = 20.0
    eject_floor: Annotated[
        float, Key("Share of endpoints that are never ejected.", "", 0, 1)
    ] = 0.5
    limit_start: Annotated[
        float,
        Key("Initial concurrency limit of an endpoint, per gateway.", "", 1, 100000),
    ] = 32.0
    limit_max: Annotated[
        float, Key("Maximum concurrency limit of an endpoint.", "", 1, 100000)
    ] = 512.0


class AdmissionSettings(NamedTuple):
    """``[admission]``: queues and the limits of client accounts."""

    queue: Annotated[
        int, Key("Maximum requests queued for one deployment.", "", 0, 1000000)
    ] = 512
    longest_wait: Annotated[
        float, Key("Maximum wait of a request without a deadline.", "seconds", 0, 86400)
    ] = 30.0
    burst: Annotated[
        float, Key("Burst of an account, in seconds of its rate.", "", 0.01, 60)
    ] = 1.0
    floor_share: Annotated[
        float, Key("Share of each limit split evenly over gateways.", "", 0, 1)
    ] = 0.02
    demand_window: Annotated[
        float, Key("Time over which demand is averaged.", "seconds", 0.1, 600)
    ] = 2.0
    peer_hold: Annotated[
        float,
        Key(
            "Time for which an unreachable gateway keeps its share.",
            "seconds",
            0.1,
            600,
        ),
    ] = 5.0


class RetrySettings(NamedTuple):
    """``[retries]``: budgets and backoff."""

    budget: Annotated[float, Key("Retries earned by one request.", "", 0, 1)] = 0.09
    budget_cap: Annotated[
        float, Key("Maximum retry budget of a deployment.", "", 0, 10000)
    ] = 5.0
    hedge_budget: Annotated[
        float, Key("Hedges earned by one request; each also uses a retry.", "", 0, 1)
    ] = 0.02
    attempts: Annotated[int, Key("Maximum attempts of one request.", "", 1, 100)] = 4
    backoff: Annotated[
        float,
        Key("Mean delay before the first retry; doubles each time.", "seconds", 0, 60),
    ] = 0.05
    backoff_max: Annotated[
        float, Key("Maximum delay before a retry.", "seconds", 0, 600)
    ] = 2.0
