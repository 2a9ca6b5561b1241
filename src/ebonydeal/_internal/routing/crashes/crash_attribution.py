"""Attributes crashes of endpoints to the requests that were in flight there.

Most of these requests didn't cause the crash. The following crashes are not attributed
to a request:

* crashes up to some seconds after a success of an equal request;
* crashes that are attributed to another request already;
* all but two of the crashes in one zone at one moment, as a zone outage takes down
  every endpoint of the zone;
* crashes of endpoints that were active afterwards.

Where two requests were in flight in the same three crashes, one more crash, or a
success, distinguishes them.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from xxhash import xxh3_64_hexdigest

# From this number of crashes on, requests that were in flight in the same crashes are
# quarantined together.
_MAX_CRASHES_TO_DISTINGUISH = 4
# A success clears crashes up to so many seconds after it: a popular request comes many
# times a second, and one that crashes endpoints never succeeds.
SUCCESS_CLEARS_S = 10.0
# In a zone outage all endpoints crash at once, and relays see it within some 30 ms. Two
# of them still count, as one request may be sent to two endpoints of a zone at once.
_ZONE_OUTAGE_WINDOW_S = 0.1
_MAX_CRASHES_PER_ZONE_OUTAGE = 2
# Requests remembered per crash: as many as large engines take at once.
_MAX_REQUESTS_PER_CRASH = 128


class CrashKey(NamedTuple):
    """Identifies a crash by the endpoint's incarnation (``born``), and by its number.

    Endpoints that don't report when they started always have the same ``born``, so only
    the number distinguishes their crashes. The names of the class and its fields are
    part of the fingerprint that relays compare.
    """

    endpoint_id: str
    born: int
    number: int = 0


@dataclass
class Crash:
    """A remembered crash; ``at`` is in monotonic seconds."""

    zone: str
    at: float
    digests: set[str] = field(default_factory=set)
    fingerprint: str = ""

    # Whether the endpoint was active afterwards, so that it didn't crash.
    alive: bool = False

    def add(self, digests: Iterable[str]) -> bool:
        """Add in-flight requests up to the maximum; return whether any is new.

        Where there are more, all relays remember the same ones.
        """
        known = len(self.digests), self.fingerprint
        self.digests = set(
            sorted(self.digests.union(digests))[:_MAX_REQUESTS_PER_CRASH]
        )
        self.fingerprint = xxh3_64_hexdigest("".join(sorted(self.digests)).encode())
        return known != (len(self.digests), self.fingerprint)


class Attribution(NamedTuple):
    """Crashes by the digests of the requests that they are attributed to.

    Attributes
    ----------
    quarantined : dict
        Requests that crash endpoints.
    suspected : dict
        Requests that may.
    """

    quarantined: dict[str, frozenset[CrashKey]]
    suspected: dict[str, frozenset[CrashKey]]


class CrashAttributor:
    """Attributes remembered crashes to requests.

    Parameters
    ----------
    crashes : mapping
        The crashes.
    successes : mapping
        When requests in flight in them last succeeded, monotonic seconds.
    threshold : int
        Crashes from which on a request is quarantined; 0 is off.
    """

    def __init__(
        self,
        crashes: Mapping[CrashKey, Crash],
        successes: Mapping[str, float],
        threshold: int,
    ) -> None:
        self._crashes = crashes
        self._successes = successes
        self._threshold = threshold

    def attribute(self) -> Attribution:
        """Return the crashes attributed to each request."""
        quarantined: dict[str, frozenset[CrashKey]] = {}
        attributed: set[CrashKey] = set()
        while True:
            candidates = self._candidates(attributed)
            causes = self._causes(candidates)
            if not causes:
                return Attribution(quarantined, candidates)
            quarantined.update((digest, candidates[digest]) for digest in causes)
            attributed.update(
                key
                for key, crash in self._crashes.items()
                if not crash.digests.isdisjoint(causes)
            )

    def _candidates(self, attributed: set[CrashKey]) -> dict[str, frozenset[CrashKey]]:
        """Return the crashes that each request may have caused."""
        found: dict[str, list[CrashKey]] = {}
        for key, crash in sorted(self._crashes.items(), key=_zone_and_time):
            if crash.alive or key in attributed:
                continue
            for digest in crash.digests:
                if not self._is_cleared(digest, crash):
                    found.setdefault(digest, []).append(key)
        return {
            digest: self._without_zone_outages(keys) for digest, keys in found.items()
        }

    def _without_zone_outages(self, keys: list[CrashKey]) -> frozenset[CrashKey]:
        """Return crashes, given in order of zone and time, without zone outages."""
        if len(keys) <= _MAX_CRASHES_PER_ZONE_OUTAGE:
            return frozenset(keys)
        counted: list[CrashKey] = []
        for key in keys:
            crash = self._crashes[key]
            near = [
                before
                for before in counted
                if self._crashes[before].zone == crash.zone
                and crash.at - self._crashes[before].at <= _ZONE_OUTAGE_WINDOW_S
            ]
            if len(near) < _MAX_CRASHES_PER_ZONE_OUTAGE:
                counted.append(key)
        return frozenset(counted)

    def _is_cleared(self, digest: str, crash: Crash) -> bool:
        """Return whether an equal request succeeded since shortly before a crash."""
        succeeded = self._successes.get(digest)
        return succeeded is not None and crash.at <= succeeded + SUCCESS_CLEARS_S

    def _causes(self, candidates: dict[str, frozenset[CrashKey]]) -> list[str]:
        """Return the requests with the most crashes, if these reach the threshold.

        Leaves out requests that share so many crashes that one of them may have caused
        those of the other.
        """
        threshold = self._threshold
        max_crashes = max((len(keys) for keys in candidates.values()), default=0)
        if not threshold or max_crashes < threshold:
            return []
        top = [d for d, keys in candidates.items() if len(keys) == max_crashes]
        if max_crashes >= max(_MAX_CRASHES_TO_DISTINGUISH, threshold + 1):
            return top
        return [
            digest
            for digest in top
            if not any(
                other != digest
                and len(candidates[other] - candidates[digest]) < threshold
                for other in top
            )
        ]


def _zone_and_time(item: tuple[CrashKey, Crash]) -> tuple[str, float]:
    return item[1].zone, item[1].at
