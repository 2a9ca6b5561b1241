"""``[directory]``: how endpoints, their load and their leaving are followed."""

from typing import Annotated, NamedTuple

from ebonydeal._internal.settings.keys import Key


class DirectorySettings(NamedTuple):
    """``[directory]``: how endpoints, their load and their leaving are followed."""

    list_period: Annotated[
        float, Key("Mean time between looks at the instance list.", "seconds", 0.05, 60)
    ] = 1.0
    list_lag: Annotated[
        float, Key("By how much the instance list may lag.", "seconds", 0, 600)
    ] = 10.0
    notices_period: Annotated[
        float, Key("Mean time between looks for notices.", "seconds", 0.05, 60)
    ] = 1.0
    load_period: Annotated[
        float,
        Key("Age at which an idle endpoint's load is asked.", "seconds", 0.1, 600),
    ] = 5.0
    events_period: Annotated[
        float, Key("Mean time between looks at cache events.", "seconds", 0.1, 600)
    ] = 2.0
    polls_per_s: Annotated[
        float, Key("Most polls of endpoints by one process.", "polls/s", 1, 10000)
    ] = 100.0
    refusals_suspect: Annotated[
        int, Key("Refused connections in a row that make a suspect.", "", 1, 100)
    ] = 3
    suspect_seconds: Annotated[
        float, Key("How long a suspected endpoint is left out.", "seconds", 0, 600)
    ] = 10.0
    mark_retention: Annotated[
        float, Key("How long leaving marks are passed on.", "seconds", 60, 86400)
    ] = 3600.0
