"""Metadata of settings keys.

A section is a NamedTuple whose fields are annotated with `Key`. Type, default, unit,
range and help are defined in one place, so that the example file, the validation and
the documentation agree.
"""

from typing import NamedTuple

ENV_PREFIX = "EBONYDEAL_"


class Key(NamedTuple):
    """Metadata of a settings key besides its type and default.

    Attributes
    ----------
    help : str
        One sentence for the example file.
    unit : str
        Unit of a number, such as ``"seconds"``.
    low, high : float or None
        Accepted range, both ends included.
    choices : tuple of str
        Accepted values; empty for any.
    secret : bool
        Masked when shown; can be set by an environment variable.
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
