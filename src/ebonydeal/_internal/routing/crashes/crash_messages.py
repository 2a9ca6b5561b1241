"""Messages in which relays report crashes to each other, and their parsing."""

from math import isfinite
from typing import Any, NamedTuple, TypedDict

_MAX_TEXT_CHARS = 200


class CrashMessage(TypedDict):
    """One crash: the endpoint, the crash's age in seconds, and the requests in flight.

    ``born`` is the endpoint's incarnation. ``alive`` says that the endpoint was
    active afterwards, so that it didn't crash.
    """

    endpoint: str
    born: int
    zone: str
    age: float
    requests: list[str]
    alive: bool


class EvidenceMessage(TypedDict):
    """What a relay remembers of crashes.

    ``served`` are seconds since the last success of a request, by digest.
    """

    crashes: list[CrashMessage]
    served: dict[str, float]


class ObservedCrash(NamedTuple):
    """A crash as one relay saw it; ``at`` is in monotonic seconds."""

    endpoint_id: str
    incarnation: int
    zone: str
    at: float


class ReportedCrash(NamedTuple):
    """One crash as another relay reported it."""

    observed: ObservedCrash
    digests: frozenset[str]
    alive: bool


class ReportedEvidence(NamedTuple):
    """Another relay's evidence; ``successes`` are monotonic seconds by digest."""

    crashes: tuple[ReportedCrash, ...]
    successes: dict[str, float]


def parse_evidence(message: Any, now: float) -> ReportedEvidence:
    """Parse a message; raises ValueError, KeyError or TypeError if it is invalid.

    All of it is parsed before any is applied, so that an invalid message changes
    nothing.
    """
    if not isinstance(message["served"], dict):
        raise ValueError("successes must be a mapping by digest")
    crashes = tuple(
        ReportedCrash(
            ObservedCrash(
                _text(reported["endpoint"]),
                _integer(reported["born"]),
                _text(reported["zone"]),
                now - _age(reported["age"]),
            ),
            frozenset(_text(digest) for digest in reported["requests"]),
            bool(reported["alive"]),
        )
        for reported in message["crashes"]
    )
    successes = {
        _text(digest): now - _age(age) for digest, age in message["served"].items()
    }
    return ReportedEvidence(crashes, successes)


def _text(value: object) -> str:
    if not isinstance(value, str) or len(value) > _MAX_TEXT_CHARS:
        raise ValueError("a name must be a string, and not too long")
    return value


def _integer(value: object) -> int:
    if not isinstance(value, int):
        raise ValueError("a number must be an integer")
    return value


def _age(value: object) -> float:
    if not isinstance(value, (int, float)) or not isfinite(value) or value < 0.0:
        raise ValueError("an age must be finite and not negative")
    return float(value)
