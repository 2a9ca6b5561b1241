"""Which of the requests at work in crashes brought the endpoints down.

Most of them have no part in it. Not held against one are:

* crashes up to some seconds after a success of an equal request;
* crashes at which another request was at work that is held to bring endpoints down;
* of crashes in one zone at one moment all but two: a zone's loss takes all of it;
* crashes of endpoints that were heard of afterwards.

Where two requests were at work in the same three crashes, one more crash, or a success,
tells them apart.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from xxhash import xxh3_64_hexdigest

# Crashes at which requests that were at work alike are told apart no longer.
_MOST_ALIKE = 4
# A success clears crashes up to so many seconds after it: a popular request comes many
# times a second, and one that crashes endpoints never succeeds.
SUCCESS_CLEARS_S = 10.0
# A zone's endpoints go at once: relays see it within some 30 ms. Two of them still
# count, as one request may well be sent to two endpoints of a zone at once.
_ZONE_S = 0.1
_MOST_OF_ZONE = 2
# Requests that are remembered of one crash: as many as large engines take at once.
_MOST_AT_WORK = 128


class CrashKey(NamedTuple):
    """One crash: of which start of an endpoint, and which of that start's.

    Endpoints that don't tell when they started come back under the same key but for
    the number.
    """

    endpoint_id: str
    born: int
    number: int = 0


@dataclass
class Crash:
    """A crash as remembered; ``at`` is in monotonic seconds."""

    zone: str
    at: float
    digests: set[str] = field(default_factory=set)
    mark: str = ""

    # Whether the endpoint was heard of afterwards, so that it was none.
    alive: bool = False

    def add(self, digests: Iterable[str]) -> bool:
        """Add requests at work, as many as are remembered; return whether any is new.

        Of more, all relays remember the same.
        """
        known = len(self.digests), self.mark
        self.digests = set(sorted(self.digests.union(digests))[:_MOST_AT_WORK])
        self.mark = xxh3_64_hexdigest("".join(sorted(self.digests)).encode())
        return known != (len(self.digests), self.mark)


class Attribution(NamedTuple):
    """What follows: crashes by the requests that they are held against.

    Attributes
    ----------
    held : dict
        Requests that bring endpoints down.
    suspected : dict
        Requests that may.
    """

    held: dict[str, frozenset[CrashKey]]
    suspected: dict[str, frozenset[CrashKey]]


class CrashAttributor:
    """Works out what follows from the crashes that are remembered.

    Parameters
    ----------
    crashes : mapping
        The crashes.
    served : mapping
        When requests at work in them last succeeded, monotonic seconds.
    least : int
        Crashes that are enough.
    """

    def __init__(
        self,
        crashes: Mapping[CrashKey, Crash],
        served: Mapping[str, float],
        least: int,
    ) -> None:
        self._crashes = crashes
        self._served = served
        self._least = least

    def attribute(self) -> Attribution:
        """Return what is held of each request."""
        held: dict[str, frozenset[CrashKey]] = {}
        explained: set[CrashKey] = set()
        while True:
            counted = self._counted(explained)
            guilty = self._guilty(counted)
            if not guilty:
                return Attribution(held, counted)
            held.update((digest, counted[digest]) for digest in guilty)
            explained.update(
                key
                for key, crash in self._crashes.items()
                if not crash.digests.isdisjoint(guilty)
            )

    def _counted(self, explained: set[CrashKey]) -> dict[str, frozenset[CrashKey]]:
        """Return the crashes that may be held against each request."""
        found: dict[str, list[CrashKey]] = {}
        for key, crash in sorted(self._crashes.items(), key=_zone_and_time):
            if crash.alive or key in explained:
                continue
            for digest in crash.digests:
                if not self._has_alibi(digest, crash):
                    found.setdefault(digest, []).append(key)
        return {digest: self._of_zones(keys) for digest, keys in found.items()}

    def _of_zones(self, keys: list[CrashKey]) -> frozenset[CrashKey]:
        """Return crashes, in order of zone and time, without a zone's loss."""
        if len(keys) <= _MOST_OF_ZONE:
            return frozenset(keys)
        kept: list[CrashKey] = []
        for key in keys:
            crash = self._crashes[key]
            near = [
                before
                for before in kept
                if self._crashes[before].zone == crash.zone
                and crash.at - self._crashes[before].at <= _ZONE_S
            ]
            if len(near) < _MOST_OF_ZONE:
                kept.append(key)
        return frozenset(kept)

    def _has_alibi(self, digest: str, crash: Crash) -> bool:
        """Return whether an equal request succeeded since shortly before a crash."""
        served = self._served.get(digest)
        return served is not None and crash.at <= served + SUCCESS_CLEARS_S

    def _guilty(self, counted: dict[str, frozenset[CrashKey]]) -> list[str]:
        """Return those under which most endpoints crashed, if these were enough.

        Of those that share so few crashes that either may have caused the other's,
        none.
        """
        least = self._least
        most = max((len(starts) for starts in counted.values()), default=0)
        if not least or most < least:
            return []
        top = [d for d, starts in counted.items() if len(starts) == most]
        if most >= max(_MOST_ALIKE, least + 1):
            return top
        return [
            digest
            for digest in top
            if not any(
                other != digest and len(counted[other] - counted[digest]) < least
                for other in top
            )
        ]


def _zone_and_time(item: tuple[CrashKey, Crash]) -> tuple[str, float]:
    return item[1].zone, item[1].at
