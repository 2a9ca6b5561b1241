"""Exit codes of ``ebonydeal``; documented in docs/operate/console.md."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes, for scripts that call commands."""

    OK = 0
    FAILED = 1
    BAD_INPUT = 2
    REFUSED = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    IN_DOUBT = 6
    UNAUTHORIZED = 7
