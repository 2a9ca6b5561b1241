"""Leaving marks as a set that can be merged in any order.

A mark of an endpoint holds for its incarnation and every lower one. A mark of an
availability zone holds for the incarnations that a process had seen up to
``at`` plus the lag of the instance list. Merging is commutative, associative
and idempotent, so marks may come late, twice, in any order and by any way.
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
    """Bounds on what is remembered.

    Attributes
    ----------
    list_lag : float
        Seconds by which the instance list may lag: a zone mark covers
        incarnations that were first seen up to this long after it.
    retention : float
        Seconds that a mark is kept and passed on after its notice or deadline.
    max_marks : int
        Most marks of single endpoints; the oldest are dropped first.
    max_zone_marks : int
        Most marks of one availability zone; the oldest are dropped first.
    """

    list_lag: float = MAX_LIST_LAG_S
    retention: float = MARK_RETENTION_S
    max_marks: int = MAX_MARKS
    max_zone_marks: int = MAX_ZONE_MARKS


def mark_for_view(view: EndpointView, source: str, now: float) -> LeavingMark:
    """Return a mark of one view's incarnation, without a deadline."""
    return LeavingMark(view.endpoint_id, view.incarnation, "", 0.0, source, now)


def mark_key(mark: LeavingMark) -> str:
    """Return the key under which marks of the same subject are joined.

    A zone can be taken back again and again, so its marks are told apart by
    their deadline.
    """
    if mark.endpoint_id:
        return f"e/{mark.endpoint_id}"
    return f"z/{mark.zone}/{mark.deadline!r}"


def join_marks(a: LeavingMark, b: LeavingMark) -> LeavingMark:
    """Return the one mark that says what both say; they have the same key.

    The higher incarnation wins whole. For the same one, the earliest known
    deadline and the first notice hold. For a zone, the last notice holds, so
    that a merge never uncovers an incarnation.
    """
    if a.incarnation != b.incarnation:
        return max(a, b, key=lambda mark: mark.incarnation)
    deadlines = [mark.deadline for mark in (a, b) if mark.deadline > 0.0]
    at = min(a.at, b.at) if a.endpoint_id else max(a.at, b.at)
    zone = max(a.zone, b.zone)
    deadline = min(deadlines, default=0.0)
    source = min(a.source, b.source)
    return LeavingMark(a.endpoint_id, a.incarnation, zone, deadline, source, at)


def _valid(mark: LeavingMark) -> bool:
    """Return whether a mark names a subject and has usable times."""
    named = bool(mark.endpoint_id) or bool(mark.zone)
    return named and math.isfinite(mark.at) and math.isfinite(mark.deadline)


class MarkSet:
    """All leaving marks that one process knows; no clock, no sockets."""

    def __init__(self, limits: MarkLimits | None = None) -> None:
        self._limits = limits or MarkLimits()
        self._marks: dict[str, LeavingMark] = {}
        self._zones: dict[str, dict[str, LeavingMark]] = {}
        self._received: dict[str, float] = {}
        self.hashes = BucketHashes()

    def __len__(self) -> int:
        """Return the number of marks held."""
        return len(self._marks)

    def __iter__(self) -> Iterator[LeavingMark]:
        """Yield all marks."""
        return iter(self._marks.values())

    def merge(self, mark: LeavingMark, now: float) -> bool:
        """Take in a mark; return whether it is news that others need at once.

        Parameters
        ----------
        mark : LeavingMark
            From any source, any number of times.
        now : float
            Wall clock seconds; marks past their retention are ignored.
        """
        if not _valid(mark) or self._is_old(mark, now):
            return False
        key = mark_key(mark)
        old = self._marks.get(key)
        new = mark if old is None else join_marks(old, mark)
        if new == old:
            return False
        self._put(key, new, now)
        self._trim(new)
        return key in self._marks and self._is_news(old, new)

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

        Deadlines of a zone that have passed by more than the list's lag belong
        to an earlier wave.
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
        old = [key for key, mark in self._marks.items() if self._is_old(mark, now)]
        for key in old:
            self._drop(key)
        return len(old)

    def in_buckets(self, buckets: Iterable[int]) -> list[LeavingMark]:
        """Return the marks in some of the hash buckets."""
        wanted = set(buckets)
        return [mark for key, mark in self._marks.items() if bucket_of(key) in wanted]

    def _covered_until(self, key: str) -> float:
        """Return up to when a zone's mark covers what is first seen.

        The time of receipt bounds it, should the notifier's clock run ahead.
        """
        at = min(self._marks[key].at, self._received[key])
        return at + self._limits.list_lag

    def _is_old(self, mark: LeavingMark, now: float) -> bool:
        return max(mark.at, mark.deadline) + self._limits.retention < now

    def _is_news(self, old: LeavingMark | None, new: LeavingMark) -> bool:
        """Return whether a change covers more, or leaves less time."""
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
    """Order marks from the oldest, the same in every process."""
    return max(mark.at, mark.deadline), mark
