"""Leaving marks as a set that can be merged in any order.

A mark of an endpoint covers its incarnation and every lower one. A mark of an
availability zone covers the incarnations that a process had first seen by ``at``
plus the lag of the instance list. Merging is commutative, associative and
idempotent, so marks may arrive late, twice, in any order and from any source.
"""

import math
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from ebonydeal._internal.models.endpoints import EndpointView, LeavingMark
from ebonydeal._internal.utils.buckets import BucketHashes, bucket_of

MAX_LIST_LAG_S = 10.0
MARK_RETENTION_S = 3600.0
MAX_MARKS = 20_000
MAX_ZONE_MARKS = 8


class MarkLimits(NamedTuple):
    """Limits of a set of marks.

    Attributes
    ----------
    list_lag : float
        Seconds by which the instance list may lag: a zone mark covers
        incarnations that were first seen up to this long after it.
    retention : float
        Seconds for which a mark is kept and spread after its notice or deadline.
    max_marks : int
        Maximum number of marks; the oldest are dropped first.
    max_zone_marks : int
        Maximum number of marks of one availability zone; the oldest are dropped first.
    """

    list_lag: float = MAX_LIST_LAG_S
    retention: float = MARK_RETENTION_S
    max_marks: int = MAX_MARKS
    max_zone_marks: int = MAX_ZONE_MARKS


def mark_for_view(view: EndpointView, source: str, now: float) -> LeavingMark:
    """Return a mark of a view's incarnation, without a deadline."""
    return LeavingMark(view.endpoint_id, view.incarnation, "", 0.0, source, now)


def mark_key(mark: LeavingMark) -> str:
    """Return the key under which marks of the same subject are joined.

    A zone can be reclaimed repeatedly, so its marks are distinguished by deadline.
    """
    if mark.endpoint_id:
        return f"e/{mark.endpoint_id}"
    return f"z/{mark.zone}/{mark.deadline!r}"


def join_marks(a: LeavingMark, b: LeavingMark) -> LeavingMark:
    """Return the mark that combines two marks of the same key.

    The mark of the higher incarnation wins entirely. For the same incarnation, the
    earliest known deadline and the first notice win. For a zone, the last notice
    wins, so that a merge never uncovers an incarnation.
    """
    if a.incarnation != b.incarnation:
        return max(a, b, key=lambda mark: mark.incarnation)
    deadlines = [mark.deadline for mark in (a, b) if mark.deadline > 0.0]
    at = min(a.at, b.at) if a.endpoint_id else max(a.at, b.at)
    zone = max(a.zone, b.zone)
    deadline = min(deadlines, default=0.0)
    source = min(a.source, b.source)
    return LeavingMark(a.endpoint_id, a.incarnation, zone, deadline, source, at)


def _is_valid(mark: LeavingMark) -> bool:
    """Return whether a mark names a subject and has finite times."""
    named = bool(mark.endpoint_id) or bool(mark.zone)
    return named and math.isfinite(mark.at) and math.isfinite(mark.deadline)


class MarkSet:
    """All leaving marks that one process knows; uses neither clock nor sockets."""

    def __init__(self, limits: MarkLimits | None = None) -> None:
        self._limits = limits or MarkLimits()
        self._marks: dict[str, LeavingMark] = {}
        self._zones: dict[str, dict[str, LeavingMark]] = {}
        self._received: dict[str, float] = {}
        self.hashes = BucketHashes()

    def __len__(self) -> int:
        """Return the number of marks."""
        return len(self._marks)

    def __iter__(self) -> Iterator[LeavingMark]:
        """Yield all marks."""
        return iter(self._marks.values())

    def merge(self, mark: LeavingMark, now: float) -> bool:
        """Merge a mark; return whether it changed enough to be pushed to peers.

        Parameters
        ----------
        mark : LeavingMark
            From any source, any number of times.
        now : float
            Wall clock seconds; marks past their retention are ignored.
        """
        if not _is_valid(mark) or self._is_expired(mark, now):
            return False
        key = mark_key(mark)
        old = self._marks.get(key)
        new = mark if old is None else join_marks(old, mark)
        if new == old:
            return False
        self._put(key, new, now)
        self._trim(new)
        return key in self._marks and self._needs_push(old, new)

    def covers(self, view: EndpointView, first_seen: float) -> bool:
        """Return whether an endpoint's incarnation is leaving.

        Parameters
        ----------
        view : EndpointView
            Names the endpoint, its incarnation and its zone.
        first_seen : float
            Wall clock seconds at which this process first saw the incarnation;
            0.0 if it may be older than the process.
        """
        mark = self._marks.get(f"e/{view.endpoint_id}")
        if mark is not None and view.incarnation <= mark.incarnation:
            return True
        zone_marks = self._zones.get(view.place.zone, {})
        return any(first_seen <= self._covered_until(key) for key in zone_marks)

    def deadline(self, view: EndpointView, now: float) -> float:
        """Return the earliest known deadline of an endpoint; 0.0 if none.

        Deadlines of a zone that passed longer ago than the list's lag belong to an
        earlier reclaim.
        """
        found = []
        mark = self._marks.get(f"e/{view.endpoint_id}")
        if mark is not None and view.incarnation <= mark.incarnation:
            found.append(mark.deadline)
        for zone_mark in self._zones.get(view.place.zone, {}).values():
            if zone_mark.deadline + self._limits.list_lag >= now:
                found.append(zone_mark.deadline)
        return min((item for item in found if item > 0.0), default=0.0)

    def expire(self, now: float) -> int:
        """Drop marks that are past their retention; return how many."""
        old = [key for key, mark in self._marks.items() if self._is_expired(mark, now)]
        for key in old:
            self._drop(key)
        return len(old)

    def in_buckets(self, buckets: Iterable[int]) -> list[LeavingMark]:
        """Return the marks in these hash buckets."""
        wanted = set(buckets)
        return [mark for key, mark in self._marks.items() if bucket_of(key) in wanted]

    def _covered_until(self, key: str) -> float:
        """Return until when a zone's mark covers newly seen incarnations.

        It is bounded by the time of receipt, since the notifier's clock may be ahead.
        """
        at = min(self._marks[key].at, self._received[key])
        return at + self._limits.list_lag

    def _is_expired(self, mark: LeavingMark, now: float) -> bool:
        return max(mark.at, mark.deadline) + self._limits.retention < now

    def _needs_push(self, old: LeavingMark | None, new: LeavingMark) -> bool:
        """Return whether a change covers more incarnations or changes the deadline."""
        if old is None or new.incarnation > old.incarnation:
            return True
        if not new.endpoint_id:
            return new.at > old.at + self._limits.list_lag
        return new.deadline != old.deadline

    def _put(self, key: str, mark: LeavingMark, now: float) -> None:
        self._marks[key] = mark
        self._received[key] = now
        if not mark.endpoint_id:
            self._zones.setdefault(mark.zone, {})[key] = mark
        self.hashes.put(key, repr(tuple(mark)))

    def _drop(self, key: str) -> None:
        mark = self._marks.pop(key)
        del self._received[key]
        self.hashes.drop(key)
        zone_marks = self._zones.get(mark.zone, {})
        if zone_marks.pop(key, None) is not None and not zone_marks:
            del self._zones[mark.zone]

    def _trim(self, added: LeavingMark) -> None:
        """Drop the oldest marks beyond the limits."""
        zone_marks = self._zones.get(added.zone, {})
        if not added.endpoint_id and len(zone_marks) > self._limits.max_zone_marks:
            self._drop(min(zone_marks, key=lambda key: _age_order(zone_marks[key])))
        if len(self._marks) > self._limits.max_marks:
            self._drop(min(self._marks, key=lambda key: _age_order(self._marks[key])))


def _age_order(mark: LeavingMark) -> tuple[float, LeavingMark]:
    """Return a sort key, oldest marks first, that is the same in every process."""
    return max(mark.at, mark.deadline), mark
