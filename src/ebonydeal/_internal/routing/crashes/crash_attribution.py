"""Attributes crashes of endpoints to what the requests in flight there have in common.

That is a whole request that is repeated, or a part of the prompt of several requests.
Most of what was in flight didn't cause the crash. The following crashes are not
attributed to a request or a part:

* crashes up to some seconds after a success of an equal request, or of one with the
  same part;
* crashes that are attributed to another request or part already;
* all but two of the crashes in one zone at one moment, as a zone outage takes down
  every endpoint of the zone; for parts, which are in flight at many endpoints, all but
  two of the crashes in all zones;
* crashes of endpoints that were active afterwards.

Where two requests were in flight in the same three crashes, one more crash, or a
success, distinguishes them.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import inf
from typing import NamedTuple

from xxhash import xxh3_64_hexdigest

from ebonydeal._internal.routing.crashes.common_parts import (
    QuarantinedParts,
    common_accounts,
    common_parts,
)
from ebonydeal._internal.routing.crashes.crash_key import CrashKey
from ebonydeal._internal.routing.crashes.request_traits import RequestTraits

# From this number of crashes on, requests that were in flight in the same crashes are
# quarantined together.
_MAX_CRASHES_TO_DISTINGUISH = 4
# In a zone outage all endpoints crash at once, and relays see it within some 30 ms. Two
# of them still count, as one request may be sent to two endpoints of a zone at once.
_OUTAGE_WINDOW_S = 0.1
_MAX_CRASHES_PER_OUTAGE = 2
# Requests remembered per crash: as many as large engines take at once.
_MAX_REQUESTS_PER_CRASH = 128


@dataclass
class Crash:
    """A remembered crash.

    Attributes
    ----------
    at : float
        Monotonic seconds.
    digests : set of str
        Requests in flight.
    parts : set of str
        Parts of their prompts.
    cleared : set of str
        Requests and prompt parts that succeeded shortly before, or since.
    alive : bool
        Whether the endpoint was active afterwards, so that it didn't crash.
    """

    zone: str
    at: float
    digests: set[str] = field(default_factory=set)
    parts: set[str] = field(default_factory=set)
    cleared: set[str] = field(default_factory=set)
    fingerprint: str = ""
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
    """Crashes, by what they are attributed to.

    Attributes
    ----------
    quarantined : dict
        Crashes by the digests of requests that crash endpoints.
    suspected : dict
        Crashes by the digests of requests and of prompt parts that may.
    quarantined_parts : tuple of QuarantinedParts
        Prompt parts that crash endpoints.
    """

    quarantined: dict[str, frozenset[CrashKey]]
    suspected: dict[str, frozenset[CrashKey]]
    quarantined_parts: tuple[QuarantinedParts, ...]


def fewest_crashes(threshold: int, part_threshold: int) -> float:
    """Return from how many crashes on anything may be quarantined; 0 is off."""
    return min(t for t in (threshold, part_threshold, inf) if t)


_Candidates = dict[str, frozenset[CrashKey]]


class CrashAttributor:
    """Attributes remembered crashes to requests and to parts of their prompts.

    Parameters
    ----------
    crashes : mapping
        The crashes.
    requests : mapping
        The traits of requests in flight in them, by digest; without these, a request
        has no parts.
    threshold : int
        Crashes from which on a request is quarantined; 0 is off.
    part_threshold : int
        Crashes from which on a part is quarantined; 0 is off.
    """

    def __init__(
        self,
        crashes: Mapping[CrashKey, Crash],
        requests: Mapping[str, RequestTraits],
        threshold: int,
        part_threshold: int = 0,
    ) -> None:
        self._crashes = {
            key: crash for key, crash in crashes.items() if not crash.alive
        }
        self._threshold = threshold
        self._part_threshold = part_threshold
        # The requests that may have caused each crash.
        self._in_flight = {
            key: [
                requests.get(digest) or RequestTraits(digest)
                for digest in crash.digests - crash.cleared
            ]
            for key, crash in self._crashes.items()
        }
        self._parts: set[str] = set()
        # Those of a request in order of zone and time, those of a part by time.
        self._crashes_with = self._index()
        # What may reach a threshold; most requests are in one crash.
        fewest = fewest_crashes(threshold, part_threshold)
        self._frequent = [
            cause for cause, keys in self._crashes_with.items() if len(keys) >= fewest
        ]
        self._all_candidates = self._candidates(frozenset())

    def attribute(self) -> Attribution:
        """Return the crashes attributed to each request and each part."""
        quarantined: _Candidates = {}
        quarantined_parts: list[QuarantinedParts] = []
        attributed: frozenset[CrashKey] = frozenset()
        while True:
            candidates = self._candidates(attributed)
            causes = self._causes(candidates)
            digests = causes - self._parts
            parts = self._quarantine_parts(causes & self._parts, candidates)
            if not digests and not parts:
                suspected = self._suspected(attributed)
                return Attribution(quarantined, suspected, tuple(quarantined_parts))
            quarantined.update((digest, candidates[digest]) for digest in digests)
            quarantined_parts += parts
            attributed |= {
                key
                for key, in_flight in self._in_flight.items()
                if any(
                    traits.digest in digests or any(p.matches(traits) for p in parts)
                    for traits in in_flight
                )
            }

    def _index(self) -> dict[str, list[CrashKey]]:
        """Return the crashes that each request and each part may have caused."""
        found: dict[str, list[CrashKey]] = {}
        for key, _crash in sorted(self._crashes.items(), key=_zone_and_time):
            for traits in self._in_flight[key]:
                found.setdefault(traits.digest, []).append(key)
        for key, crash in sorted(self._crashes.items(), key=_time):
            parts = set().union(*(traits.parts for traits in self._in_flight[key]))
            parts -= crash.cleared
            self._parts |= parts
            for part in parts:
                found.setdefault(part, []).append(key)
        return found

    def _suspected(self, attributed: frozenset[CrashKey]) -> _Candidates:
        suspected = (
            (cause, frozenset(keys) - attributed)
            for cause, keys in self._crashes_with.items()
        )
        return {cause: keys for cause, keys in suspected if keys}

    def _candidates(self, attributed: frozenset[CrashKey]) -> _Candidates:
        """Return the crashes, less outages, that frequent causes may explain."""
        return {
            cause: self._without_outages(
                [key for key in self._crashes_with[cause] if key not in attributed],
                any_zone=cause in self._parts,
            )
            for cause in self._frequent
        }

    def _without_outages(
        self, keys: list[CrashKey], any_zone: bool
    ) -> frozenset[CrashKey]:
        """Return crashes, given in order, without those of outages.

        ``any_zone`` says whether crashes in several zones may be one outage.
        """
        counted: list[CrashKey] = []
        for key in keys:
            crash = self._crashes[key]
            near = [
                before
                for before in counted[-_MAX_CRASHES_PER_OUTAGE:]
                if (any_zone or self._crashes[before].zone == crash.zone)
                and crash.at - self._crashes[before].at <= _OUTAGE_WINDOW_S
            ]
            if len(near) < _MAX_CRASHES_PER_OUTAGE:
                counted.append(key)
        return frozenset(counted)

    def _causes(self, candidates: _Candidates) -> set[str]:
        """Return the requests and parts with the most crashes, if they are enough.

        Leaves out those that share so many crashes that one of them may have caused
        those of the other.
        """
        reached = {
            cause: len(keys)
            for cause, keys in candidates.items()
            if self._has_reached_threshold(cause, len(keys))
        }
        if not reached:
            return set()
        most = max(reached.values())
        top = {cause for cause, keys in candidates.items() if len(keys) >= most}
        top = self._without_parts_of_one_request(top, candidates)
        total = max(len(self._all_candidates[cause]) for cause in top)
        if total >= max(_MAX_CRASHES_TO_DISTINGUISH, self._threshold + 1):
            top = self._most_present(top)
        else:
            top = self._distinguishable(top, candidates)
        return top & reached.keys()

    def _has_reached_threshold(self, cause: str, crashes: int) -> bool:
        threshold = self._part_threshold if cause in self._parts else self._threshold
        return 0 < threshold <= crashes

    def _without_parts_of_one_request(
        self, top: set[str], candidates: _Candidates
    ) -> set[str]:
        """Leave out parts whose crashes one of the requests explains as well.

        Quarantining the request affects no other request that has the part.
        """
        digests = {cause for cause in top if cause not in self._parts}
        return {
            cause
            for cause in top
            if cause not in self._parts
            or all(
                self._is_part_of_others(cause, digest, candidates) for digest in digests
            )
        }

    def _is_part_of_others(
        self, part: str, digest: str, candidates: _Candidates
    ) -> bool:
        """Return whether each crash of a part had it in another request, too."""
        return all(
            any(
                traits.digest != digest and part in traits.parts
                for traits in self._in_flight[key]
            )
            for key in candidates[part]
        )

    def _distinguishable(self, top: set[str], candidates: _Candidates) -> set[str]:
        return {
            cause
            for cause in top
            if not any(
                other != cause
                and len(candidates[other] - candidates[cause]) < self._threshold
                for other in top
            )
        }

    def _most_present(self, top: set[str]) -> set[str]:
        """Return those that were in flight in most of the crashes since their first.

        What crashes endpoints is in flight in each crash but those of other causes.
        """
        shares = {cause: self._presence(cause) for cause in top}
        highest = max(shares.values())
        return {cause for cause, share in shares.items() if share == highest}

    def _presence(self, cause: str) -> float:
        keys = self._all_candidates[cause]
        first = min(self._crashes[key].at for key in keys)
        since = sum(crash.at >= first for crash in self._crashes.values())
        return len(keys) / since

    def _quarantine_parts(
        self, parts: set[str], candidates: _Candidates
    ) -> list[QuarantinedParts]:
        """Return the quarantine of parts that were in flight in the same crashes.

        Requests that had all of them are affected, since any of these may be the cause.
        Where several requests had a part each, one more crash distinguishes them.
        """
        if not parts:
            return []
        crashes = frozenset.union(*(candidates[part] for part in parts))
        in_flight = [self._in_flight[key] for key in sorted(crashes)]
        found = common_parts(frozenset(parts), in_flight)
        if len(found) > 1 and len(crashes) <= self._part_threshold:
            return []
        return [
            QuarantinedParts(combined, common_accounts(combined, in_flight), crashes)
            for combined in found
        ]


def _zone_and_time(item: tuple[CrashKey, Crash]) -> tuple[str, float]:
    return item[1].zone, item[1].at


def _time(item: tuple[CrashKey, Crash]) -> tuple[float, CrashKey]:
    return item[1].at, item[0]
