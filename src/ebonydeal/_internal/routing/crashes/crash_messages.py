"""Messages in which relays report crashes to each other, and their parsing."""

from math import isfinite
from typing import Any, NamedTuple, NotRequired, TypedDict

from ebonydeal._internal.routing.crashes.request_traits import (
    MAX_PARTS,
    RequestTraits,
)

_MAX_TEXT_CHARS = 200


class CrashMessage(TypedDict):
    """One crash: the endpoint, the crash's age in seconds, and the requests in flight.

    ``born`` is the endpoint's incarnation. ``alive`` says that the endpoint was
    active afterwards, so that it didn't crash. ``cleared`` are the requests and prompt
    parts that succeeded shortly before the crash, or since.
    """

    endpoint: str
    born: int
    zone: str
    age: float
    requests: list[str]
    alive: bool
    cleared: NotRequired[list[str]]


class EvidenceMessage(TypedDict):
    """What a relay remembers of crashes.

    ``served`` are seconds since the last success of a request, or of requests with a
    prompt part, by digest. ``traits`` are, by the digest of a request, its account and
    the digests of its prompt parts. Relays of the previous release send no traits.
    """

    crashes: list[CrashMessage]
    served: dict[str, float]
    traits: NotRequired[dict[str, list[str]]]


class ObservedCrash(NamedTuple):
    """A crash as one relay saw it; ``at`` is in monotonic seconds."""

    endpoint_id: str
    incarnation: int
    zone: str
    at: float


class ReportedCrash(NamedTuple):
    """One crash as another relay reported it."""

    observed: ObservedCrash
    requests: tuple[RequestTraits, ...]
    alive: bool
    cleared: frozenset[str]


class ReportedEvidence(NamedTuple):
    """Another relay's evidence; ``successes`` are monotonic seconds by digest."""

    crashes: tuple[ReportedCrash, ...]
    successes: dict[str, float]


def parse_evidence(message: Any, now: float) -> ReportedEvidence:
    """Parse a message; raises ValueError, KeyError or TypeError if it is invalid.

    All of it is parsed before any is applied, so that an invalid message changes
    nothing.
    """
    traits = message.get("traits", {})
    if not isinstance(message["served"], dict) or not isinstance(traits, dict):
        raise ValueError("successes and traits must be mappings by digest")
    crashes = tuple(
        ReportedCrash(
            ObservedCrash(
                _text(reported["endpoint"]),
                _integer(reported["born"]),
                _text(reported["zone"]),
                now - _age(reported["age"]),
            ),
            tuple(
                _traits(_text(digest), traits.get(digest, ()))
                for digest in reported["requests"]
            ),
            bool(reported["alive"]),
            frozenset(_text(key) for key in reported.get("cleared", ())),
        )
        for reported in message["crashes"]
    )
    successes = {
        _text(digest): now - _age(age) for digest, age in message["served"].items()
    }
    return ReportedEvidence(crashes, successes)


def pack_traits(traits: RequestTraits) -> list[str]:
    """Return a request's traits, without its digest, as they are sent."""
    return [traits.account, *traits.parts]


def _traits(digest: str, packed: Any) -> RequestTraits:
    account, *parts = (_text(item) for item in packed or [""])
    return RequestTraits(digest, account, tuple(parts[:MAX_PARTS]))


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
