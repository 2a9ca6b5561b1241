"""Settings for following the configuration."""

from typing import Annotated, NamedTuple

from ebonydeal._internal.settings.keys import Key


class ConfigSettings(NamedTuple):
    """``[config]``: how accepted configuration documents are followed."""

    polls_per_s: Annotated[
        float, Key("Table reads by all processes together.", "reads/s", 1, 100000)
    ] = 200.0
    shortest_poll: Annotated[
        float, Key("Minimum time between two polls.", "seconds", 0.05, 60)
    ] = 1.0
