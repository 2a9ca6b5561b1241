"""Section of ``ebonydeal-controller``."""

from typing import Annotated, NamedTuple

from ebonydeal._internal.settings.keys import Key

_DAY = 86400


class ControllerSettings(NamedTuple):
    """``[controller]``: instances, orders and spend."""

    period: Annotated[
        float, Key("Time between rounds of decisions.", "seconds", 0.05, 300)
    ] = 2.0
    load_period: Annotated[
        float, Key("Time between questions for a replica's load.", "seconds", 0, 600)
    ] = 2.0
    notice_period: Annotated[
        float, Key("Time between looks for reclaim notices.", "seconds", 0.05, 10)
    ] = 0.5
    lease_ttl: Annotated[
        float,
        Key("Time without a renewal until another leads.", "seconds", 0.2, 300),
    ] = 10.0
    longest_order: Annotated[
        float, Key("Longest time of one order to an engine.", "seconds", 0.1, 600)
    ] = 10.0
    audit_period: Annotated[
        float,
        Key("Time between reads of engines that ignore fences.", "seconds", 1, _DAY),
    ] = 30.0
    list_grace: Annotated[
        float,
        Key("How long the cloud's list may lack a new instance.", "seconds", 0, 600),
    ] = 20.0
    warm_timeout: Annotated[
        float, Key("Longest time from start to warm.", "seconds", 1, _DAY)
    ] = 900.0
    drain_longest: Annotated[
        float, Key("Longest drain of an instance.", "seconds", 0, _DAY)
    ] = 600.0
    drain_over_ceiling: Annotated[
        float,
        Key("Longest drain of what breaks a price ceiling.", "seconds", 0, 3600),
    ] = 30.0
    refused_first: Annotated[
        float, Key("Back-off after the first refused start.", "seconds", 0.1, 3600)
    ] = 15.0
    refused_longest: Annotated[
        float, Key("Longest back-off after refused starts.", "seconds", 1, _DAY)
    ] = 600.0
    zone_avoid: Annotated[
        float,
        Key("How long a reclaimed zone is left alone.", "seconds", 0, _DAY),
    ] = 300.0
    on_demand_share: Annotated[
        float, Key("Least share of the target on-demand.", "", 0, 1)
    ] = 0.0
    service_seconds: Annotated[
        float, Key("Mean time of one request in an engine.", "seconds", 0.01, 3600)
    ] = 4.0
    hold_down: Annotated[
        float, Key("Time for which a higher need is kept.", "seconds", 0, _DAY)
    ] = 600.0
    load_rate: Annotated[
        float, Key("Weights that one engine can read.", "GB/s", 0.01, 1000)
    ] = 2.0
    spend_period: Annotated[
        float, Key("Time between records of the spend.", "seconds", 1, 3600)
    ] = 30.0
