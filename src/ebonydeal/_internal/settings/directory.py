"""Settings of the endpoint directory."""

from typing import Annotated, NamedTuple

from ebonydeal._internal.settings.keys import Key


class DirectorySettings(NamedTuple):
    """``[directory]``: how endpoints, their load and their departure are tracked."""

    list_period: Annotated[
        float, Key("Mean interval of instance list polls.", "seconds", 0.05, 60)
    ] = 1.0
    list_lag: Annotated[
        float, Key("Maximum lag of the instance list.", "seconds", 0, 600)
    ] = 10.0
    notices_period: Annotated[
        float, Key("Mean interval of reclaim notice polls.", "seconds", 0.05, 60)
    ] = 1.0
    load_period: Annotated[
        float,
        Key(
            "Age of a load report before an idle endpoint is polled.",
            "seconds",
            0.1,
            600,
        ),
    ] = 5.0
    events_period: Annotated[
        float, Key("Mean interval of cache event polls.", "seconds", 0.1, 600)
    ] = 2.0
    polls_per_s: Annotated[
        float,
        Key("Maximum rate of endpoint polls by one process.", "polls/s", 1, 10000),
    ] = 100.0
    refusals_suspect: Annotated[
        int, Key("Consecutive refused connections that make a suspect.", "", 1, 100)
    ] = 3
    suspect_seconds: Annotated[
        float,
        Key("Time for which a suspected endpoint is excluded.", "seconds", 0, 600),
    ] = 10.0
    mark_retention: Annotated[
        float, Key("Time for which leaving marks are propagated.", "seconds", 60, 86400)
    ] = 3600.0
