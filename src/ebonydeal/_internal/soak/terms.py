"""What a soak promises, and how a broken promise is told."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from ebonydeal._internal.soak.records import Log


class Limit(NamedTuple):
    """A client account's limit: the most in a window, in requests or tokens."""

    account: str
    most: float
    in_tokens: bool = False


class Terms(NamedTuple):
    """What the deployment of a soak promises; seconds."""

    drain: float
    apply: float
    usage_window: float
    quota_window: float
    limits: tuple[Limit, ...]


class Violation(NamedTuple):
    """A promise that was broken."""

    promise: str
    detail: str


Check = Callable[[Log, Terms], Iterable[Violation]]


def harmed(log: Log, relay: str, begin: float, end: float) -> bool:
    """Return whether a relay itself, or its link, was harmed in some time."""
    return any(
        trouble.relay == relay and trouble.begin <= end and trouble.end >= begin
        for trouble in log.troubles
    )
