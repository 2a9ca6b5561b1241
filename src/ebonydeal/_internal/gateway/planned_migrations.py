"""Planned migrations that have not started, and exports in progress."""

from typing import NamedTuple

from ebonydeal._internal.gateway.migration_inputs import AffectedStream, stream_key


class PlannedMigration(NamedTuple):
    """The latest plan of one stream.

    Attributes
    ----------
    item : Affected
        The stream.
    number : int
        Sequence number of the plan; a higher one replaces a lower one.
    zones : frozenset of str
        Availability zones being reclaimed.
    """

    stream: AffectedStream
    number: int
    zones: frozenset[str]


class PlannedMigrations:
    """Holds the latest plan of each stream, so a source is planned as a whole."""

    def __init__(self) -> None:
        self._number = 0
        self._planned: dict[str, PlannedMigration] = {}
        self._exports: dict[str, tuple[str, float]] = {}

    def add(self, stream: AffectedStream, zones: frozenset[str]) -> int:
        """Replace the stream's plan; return the new plan's number."""
        self._number += 1
        self._planned[stream_key(stream)] = PlannedMigration(
            stream, self._number, zones
        )
        return self._number

    def start(self, stream: AffectedStream, number: int) -> bool:
        """Return whether a due plan is still current; if so, remove it."""
        key = stream_key(stream)
        planned = self._planned.get(key)
        if planned is None or planned.number != number:
            return False
        del self._planned[key]
        return stream.is_current

    def at_source(self, endpoint_id: str) -> list[PlannedMigration]:
        """Return the planned migrations off an endpoint that have not started."""
        return [
            planned
            for planned in self._planned.values()
            if planned.stream.attempt.route.endpoint.endpoint_id == endpoint_id
            and planned.stream.is_current
        ]

    def record_export_start(self, stream: AffectedStream, until: float) -> None:
        """Record an export and its expected end."""
        source = stream.attempt.route.endpoint.endpoint_id
        self._exports[stream_key(stream)] = (source, until)

    def record_export_end(self, stream: AffectedStream) -> None:
        """Remove a finished export."""
        self._exports.pop(stream_key(stream), None)

    def remaining_export_s(self, now: float) -> dict[str, float]:
        """Return the expected remaining export time of each endpoint, seconds."""
        seconds: dict[str, float] = {}
        for source, until in self._exports.values():
            seconds[source] = seconds.get(source, 0.0) + max(0.0, until - now)
        return seconds
