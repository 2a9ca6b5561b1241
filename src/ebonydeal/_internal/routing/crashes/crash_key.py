"""Key by which relays know a crash."""

from typing import NamedTuple


class CrashKey(NamedTuple):
    """Identifies a crash by the endpoint's incarnation (``born``), and by its number.

    Endpoints that don't report when they started always have the same ``born``, so only
    the number distinguishes their crashes. The names of the class and its fields are
    part of the fingerprint that relays compare.
    """

    endpoint_id: str
    born: int
    number: int = 0
