"""Settings of the controller."""

from typing import Annotated, NamedTuple

from ebonydeal._internal.settings.keys import Key

_DAY = 86400


class ControllerSettings(NamedTuple):
    """``[controller]``: instances, orders and spend."""

    period: Annotated[
        float, Key("Interval between scheduling rounds.", "seconds", 0.05, 300)
    ] = 2.0
    load_period: Annotated[
        float, Key("Interval between load polls of a replica.", "seconds", 0, 600)
    ] = 2.0
    notice_period: Annotated[
        float, Key("Interval between polls for reclaim notices.", "seconds", 0.05, 10)
    ] = 0.5
    lease_ttl: Annotated[
        float,
        Key("Time without renewal after which the lease expires.", "seconds", 0.2, 300),
    ] = 10.0
    longest_order: Annotated[
        float, Key("Timeout of one order to an engine.", "seconds", 0.1, 600)
    ] = 10.0
    audit_period: Annotated[
        float,
        Key("Interval of checks of engines that ignore fences.", "seconds", 1, _DAY),
    ] = 30.0
    list_grace: Annotated[
        float,
        Key("Maximum time until the cloud lists a new instance.", "seconds", 0, 600),
    ] = 20.0
    warm_timeout: Annotated[
        float, Key("Maximum time from start to warm.", "seconds", 1, _DAY)
    ] = 900.0
    drain_longest: Annotated[
        float, Key("Maximum drain time of an instance.", "seconds", 0, _DAY)
    ] = 600.0
    drain_over_ceiling: Annotated[
        float,
        Key("Maximum drain time above a price ceiling.", "seconds", 0, 3600),
    ] = 30.0
    refused_first: Annotated[
        float, Key("Backoff after the first refused start.", "seconds", 0.1, 3600)
    ] = 15.0
    refused_longest: Annotated[
        float, Key("Maximum backoff after refused starts.", "seconds", 1, _DAY)
    ] = 600.0
    zone_avoid: Annotated[
        float,
        Key("Time for which a reclaimed zone is avoided.", "seconds", 0, _DAY),
    ] = 300.0
    on_demand_share: Annotated[
        float, Key("Minimum on-demand share of the target.", "", 0, 1)
    ] = 0.0
    service_seconds: Annotated[
        float, Key("Mean time of one request in an engine.", "seconds", 0.01, 3600)
    ] = 4.0
    hold_down: Annotated[
        float, Key("Time for which a peak of demand is kept.", "seconds", 0, _DAY)
    ] = 600.0
    load_rate: Annotated[
        float, Key("Rate at which one engine can load weights.", "GB/s", 0.01, 1000)
    ] = 2.0
    spend_period: Annotated[
        float, Key("Interval between spend records.", "seconds", 1, 3600)
    ] = 30.0
