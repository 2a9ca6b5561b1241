"""Streams with a planned move that has not begun, and the exports under way."""

from typing import NamedTuple

from ebonydeal._internal.gateway.migration_inputs import AffectedStream, stream_key


class PlannedMigration(NamedTuple):
    """The newest plan of one stream.

    Attributes
    ----------
    item : Affected
        The stream.
    number : int
        A higher one replaces a lower one.
    zones : frozenset of str
        Availability zones being reclaimed.
    """

    stream: AffectedStream
    number: int
    zones: frozenset[str]


class PlannedMigrations:
    """Keeps the newest plan of each stream, so that a source is planned as one."""

    def __init__(self) -> None:
        self._number = 0
        self._planned: dict[str, PlannedMigration] = {}
        self._exports: dict[str, tuple[str, float]] = {}

    def add(self, stream: AffectedStream, zones: frozenset[str]) -> int:
        """Keep a plan in place of the stream's former one; return its number."""
        self._number += 1
        self._planned[stream_key(stream)] = PlannedMigration(
            stream, self._number, zones
        )
        return self._number

    def start(self, stream: AffectedStream, number: int) -> bool:
        """Return whether a due move still holds; it is no longer planned then."""
        key = stream_key(stream)
        planned = self._planned.get(key)
        if planned is None or planned.number != number:
            return False
        del self._planned[key]
        return stream.is_current

    def at_source(self, endpoint_id: str) -> list[PlannedMigration]:
        """Return the streams of an endpoint whose planned move has not begun."""
        return [
            planned
            for planned in self._planned.values()
            if planned.stream.attempt.route.endpoint.endpoint_id == endpoint_id
            and planned.stream.is_current
        ]

    def record_export_start(self, stream: AffectedStream, until: float) -> None:
        """Note an export, and when it is expected to be over."""
        source = stream.attempt.route.endpoint.endpoint_id
        self._exports[stream_key(stream)] = (source, until)

    def record_export_end(self, stream: AffectedStream) -> None:
        """Forget an export."""
        self._exports.pop(stream_key(stream), None)

    def remaining_export_s(self, now: float) -> dict[str, float]:
        """Return the seconds that exports under way still take at each endpoint."""
        seconds: dict[str, float] = {}
        for source, until in self._exports.values():
            seconds[source] = seconds.get(source, 0.0) + max(0.0, until - now)
        return seconds
