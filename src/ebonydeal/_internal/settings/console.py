"""Settings of the operators' console."""

from typing import Annotated, NamedTuple

from ebonydeal._internal.settings.keys import Key


class ConsoleSettings(NamedTuple):
    """``[console]``: operators' forms, status pages and JSON API."""

    port: Annotated[
        int, Key("Port for operators; 0 picks a free one.", "", 0, 65535)
    ] = 9400
    operators: Annotated[
        str,
        Key(
            "Operators as name:hash, comma-separated; see 'ebonydeal key new'.",
            secret=True,
        ),
    ] = ""
    session_secret: Annotated[
        str,
        Key(
            "Signs sessions; the same on every console. Empty: new at each start.",
            secret=True,
        ),
    ] = ""
    session_hours: Annotated[float, Key("Lifetime of a login.", "hours", 0.05, 168)] = (
        12.0
    )
