"""Sections of the routing, admission and retry decisions."""

from typing import Annotated, NamedTuple

from ebonydeal._internal.settings.keys import Key


class RoutingSettings(NamedTuple):
    """``[routing]``: how an endpoint is chosen."""

    subset: Annotated[
        int, Key("Most endpoints that one gateway watches by choice.", "", 1, 10000)
    ] = 64
    spill_share: Annotated[
        float, Key("Share of the subset kept for other zones.", "", 0, 1)
    ] = 0.34
    near_equal: Annotated[
        float, Key("Scores this share above the best count as equal.", "", 0, 1)
    ] = 0.05
    late_factor: Annotated[
        float, Key("Cost of delay beyond the latency target, against within.", "", 0)
    ] = 4.0
    report_half_life: Annotated[
        float,
        Key("Age at which what is known of load counts half.", "seconds", 0.1, 600),
    ] = 2.0
    cache_half_life: Annotated[
        float, Key("Age at which a cache event counts half.", "seconds", 1, 86400)
    ] = 600.0
    cache_blocks: Annotated[
        int, Key("Most cache blocks remembered for one endpoint.", "", 16, 10000000)
    ] = 20000
    candidates: Annotated[
        int, Key("Most endpoints scored for one request.", "", 2, 10000)
    ] = 24
    affinity: Annotated[
        float, Key("Worth of keeping a prefix at its home, in prefills.", "", 0, 10)
    ] = 1.0
    cache_total: Annotated[
        int, Key("Most cache blocks remembered for all endpoints.", "", 256, 10**9)
    ] = 200000
    prefill_rate: Annotated[
        float, Key("Prefill rate assumed before any answer.", "tokens/s", 1)
    ] = 4000.0
    service_time: Annotated[
        float, Key("Run time assumed before any answer.", "seconds", 0.001, 3600)
    ] = 2.0
    eject_failures: Annotated[
        int, Key("Failures in a row that eject an endpoint.", "", 1, 1000)
    ] = 5
    eject_time: Annotated[
        float, Key("First time out of an ejected endpoint.", "seconds", 0.1, 3600)
    ] = 5.0
    return_time: Annotated[
        float, Key("Time over which it takes its full share again.", "seconds", 0, 3600)
    ] = 20.0
    eject_floor: Annotated[
        float, Key("Share of endpoints that is never ejected.", "", 0, 1)
    ] = 0.5
    limit_start: Annotated[
        float, Key("Concurrency limit of a new endpoint, per gateway.", "", 1, 100000)
    ] = 32.0
    limit_max: Annotated[
        float, Key("Highest concurrency limit of an endpoint.", "", 1, 100000)
    ] = 512.0


class AdmissionSettings(NamedTuple):
    """``[admission]``: queues and the limits of client accounts."""

    queue: Annotated[
        int, Key("Most requests that wait for one deployment.", "", 0, 1000000)
    ] = 512
    longest_wait: Annotated[
        float, Key("Longest wait of a request without deadline.", "seconds", 0, 86400)
    ] = 30.0
    burst: Annotated[
        float, Key("Seconds of an account's rate that may come at once.", "", 0.01, 60)
    ] = 1.0
    floor_share: Annotated[
        float, Key("Share of each limit split evenly over gateways.", "", 0, 1)
    ] = 0.02
    demand_window: Annotated[
        float, Key("Time over which demand is averaged.", "seconds", 0.1, 600)
    ] = 2.0
    peer_hold: Annotated[
        float, Key("Time that a silent gateway keeps its share.", "seconds", 0.1, 600)
    ] = 5.0


class RetrySettings(NamedTuple):
    """``[retries]``: budgets and back-off."""

    budget: Annotated[float, Key("Retries earned by one request.", "", 0, 1)] = 0.09
    budget_cap: Annotated[
        float, Key("Most retries saved up by a deployment.", "", 0, 10000)
    ] = 5.0
    hedge_budget: Annotated[
        float, Key("Hedges earned by one request; they also take a retry.", "", 0, 1)
    ] = 0.02
    attempts: Annotated[int, Key("Most tries of one request.", "", 1, 100)] = 4
    backoff: Annotated[
        float, Key("Mean wait before the first retry, doubled each.", "seconds", 0, 60)
    ] = 0.05
    backoff_max: Annotated[
        float, Key("Longest wait before a retry.", "seconds", 0, 600)
    ] = 2.0
