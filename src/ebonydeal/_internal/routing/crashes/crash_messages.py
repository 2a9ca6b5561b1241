"""What relays tell each other of crashes, and its reading."""

from math import isfinite
from typing import Any, NamedTuple, TypedDict

_MOST_TEXT = 200


class CrashMessage(TypedDict):
    """One crash: the endpoint, seconds since then, and the requests at work.

    ``alive`` says that the endpoint was heard of afterwards, so that it was none.
    """

    endpoint: str
    born: int
    zone: str
    age: float
    requests: list[str]
    alive: bool


class EvidenceMessage(TypedDict):
    """What a relay remembers.

    ``served`` are seconds since the last success of a request, by digest.
    """

    crashes: list[CrashMessage]
    served: dict[str, float]


class ObservedCrash(NamedTuple):
    """A crash as one relay saw it; ``at`` is in monotonic seconds."""

    endpoint_id: str
    born: int
    zone: str
    at: float


class Told(NamedTuple):
    """One crash as another relay told it."""

    seen: ObservedCrash
    digests: frozenset[str]
    alive: bool


class Memory(NamedTuple):
    """A relay's memory as it was told; ``served`` are monotonic seconds."""

    crashes: tuple[Told, ...]
    served: dict[str, float]


def read_memory(message: Any, now: float) -> Memory:
    """Return what a message says; raises ValueError, KeyError or TypeError for none.

    All of it is read before any is taken, so that half of a wrong one changes nothing.
    """
    if not isinstance(message["served"], dict):
        raise ValueError("successes aren't told by digest")
    crashes = tuple(
        Told(
            ObservedCrash(
                _text(told["endpoint"]),
                _whole(told["born"]),
                _text(told["zone"]),
                now - _age(told["age"]),
            ),
            frozenset(_text(digest) for digest in told["requests"]),
            bool(told["alive"]),
        )
        for told in message["crashes"]
    )
    served = {
        _text(digest): now - _age(age) for digest, age in message["served"].items()
    }
    return Memory(crashes, served)


def _text(value: object) -> str:
    if not isinstance(value, str) or len(value) > _MOST_TEXT:
        raise ValueError("a name is wrong")
    return value


def _whole(value: object) -> int:
    if not isinstance(value, int):
        raise ValueError("a number isn't whole")
    return value


def _age(value: object) -> float:
    if not isinstance(value, (int, float)) or not isfinite(value) or value < 0.0:
        raise ValueError("an age is wrong")
    return float(value)
