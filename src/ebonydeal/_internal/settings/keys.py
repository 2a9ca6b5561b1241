"""How a settings key describes itself.

A section is a NamedTuple whose fields are annotated with `Key`, so that type,
default, unit, range and help stand in one place and the example file, the
checks and the documentation can't disagree.
"""

from typing import NamedTuple

ENV_PREFIX = "EBONYDEAL_"


class Key(NamedTuple):
    """What is said of a settings key beside its type and default.

    Attributes
    ----------
    help : str
        One sentence for the example file.
    unit : str
        Unit of a number, such as ``"seconds"``.
    low, high : float or None
        Accepted range, both ends included.
    choices : tuple of str
        Accepted words; empty for any.
    secret : bool
        Masked when shown; may come from the environment.
    """

    help: str
    unit: str = ""
    low: float | None = None
    high: float | None = None
    choices: tuple[str, ...] = ()
    secret: bool = False


def env_name(section: str, key: str) -> str:
    """Return the environment variable that overrides a key."""
    return f"{ENV_PREFIX}{section}_{key}".upper()
