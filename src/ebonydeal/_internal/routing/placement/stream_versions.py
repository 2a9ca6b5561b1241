"""Which software version began a stream, and which versions a service has had.

Events of two versions don't fit together, and endpoints don't check who began a stream.
"""

import math
from collections.abc import Iterable, Mapping, Set
from typing import NamedTuple

# Streams of one relay, and those that other relays report to it, over their lifetime.
_MAX_STARTS = 50_000
# An endpoint may have come and gone between two complete lists that are further apart.
_MAX_GAP_S = 2.0


class StreamStart(NamedTuple):
    """The version that began a stream.

    Attributes
    ----------
    request_id : str
        The client's request that brought the first event.
    until : float
        When its client won't come back any more, monotonic seconds.
    """

    request_id: str
    service: str
    version: str
    until: float


class StreamStarts:
    """The streams that a client may still resume, with the version of each."""

    def __init__(self, max_starts: int = _MAX_STARTS) -> None:
        self._max_starts = max_starts
        self._starts: dict[str, StreamStart] = {}

    def record(self, start: StreamStart) -> None:
        """Record a stream; one that is known already is kept for longer."""
        known = self._starts.pop(start.request_id, None)
        if known is not None:
            start = known._replace(until=max(known.until, start.until))
        self._starts[start.request_id] = start
        if len(self._starts) > self._max_starts:
            del self._starts[next(iter(self._starts))]

    def version(self, request_id: str, now: float) -> str | None:
        """Return the version that began a stream, or None if that isn't known."""
        start = self._starts.get(request_id)
        return None if start is None or start.until <= now else start.version

    def of_services(self, services: Set[str], now: float) -> list[StreamStart]:
        """Return the streams of some services."""
        return [start for start in self.all(now) if start.service in services]

    def all(self, now: float) -> list[StreamStart]:
        """Return the streams of all services."""
        return [start for start in self._starts.values() if start.until > now]

    def expire(self, now: float) -> None:
        """Forget streams whose clients won't come back."""
        self._starts = {k: s for k, s in self._starts.items() if s.until > now}


class VersionHistory:
    """The versions that each service had during the lifetime of a stream.

    Attributes
    ----------
    lifetime_s : float
        How long after its first event a client may resume a stream, seconds.
    known_since : float or None
        Since when each version is known, monotonic seconds.
    read_until : float
        Until when each version is known, monotonic seconds. That is earlier than the
        last look at a list that wasn't confirmed since.
    """

    def __init__(self, lifetime_s: float) -> None:
        self.lifetime_s = lifetime_s
        self._last_seen: dict[str, dict[str, float]] = {}
        self.known_since: float | None = None
        self.read_until = 0.0

    def update(
        self,
        listed: Mapping[str, Iterable[str]],
        now: float,
        read_until: float | None = None,
        is_continuous: bool = False,
    ) -> set[str]:
        """Note the listed versions by service.

        Parameters
        ----------
        listed : mapping
            Versions by service.
        now : float
            Monotonic seconds.
        read_until : float, optional
            Until when the list has each change; ``now`` by default.
        is_continuous : bool
            Whether each change since the last update was seen.

        Returns
        -------
        set of str
            Services that have more than one version now, and had at most one before.
        """
        until = now if read_until is None else read_until
        has_gap = not is_continuous and until - self.read_until > _MAX_GAP_S
        if self.known_since is None or has_gap:
            self.known_since = until
        self.read_until = max(self.read_until, until)
        for service in self._last_seen:
            versions = self.versions(service, now)
            self._last_seen[service] = {
                version: seen
                for version, seen in self._last_seen[service].items()
                if version in versions
            }
        return {s for s, versions in listed.items() if self.note(s, versions, now)}

    def note(self, service: str, versions: Iterable[str], now: float) -> bool:
        """Note that a service has some versions.

        Returns whether it has more than one now, and had at most one before.
        """
        before = self.versions(service, now)
        self._last_seen.setdefault(service, {}).update(dict.fromkeys(versions, now))
        return len(before) <= 1 < len(self.versions(service, now))

    def restore(self, versions: Mapping[str, Iterable[str]], now: float) -> None:
        """Go on from the versions that other relays noted until now.

        These versions may have been there until now, and no others were before.
        """
        for service, names in versions.items():
            self.note(service, names, now)
        self.known_since = -math.inf
        self.read_until = now

    def restart(self) -> None:
        """Note that versions may have been missed until the last update."""
        self.known_since = self.read_until

    def all_versions(self, now: float) -> dict[str, frozenset[str]]:
        """Return the versions of each service that a stream may have begun at."""
        services = {s: self.versions(s, now) for s in self._last_seen}
        return {s: versions for s, versions in services.items() if versions}

    def is_gapless(self, now: float) -> bool:
        """Whether each version of a stream's lifetime is known until ``read_until``."""
        since = self.known_since
        return since is not None and now - since >= self.lifetime_s

    def is_complete(self, now: float) -> bool:
        """Whether each version that a stream may have begun at is known here."""
        return self.is_gapless(now) and now - self.read_until <= _MAX_GAP_S

    def versions(self, service: str, now: float) -> frozenset[str]:
        """Return the versions that a stream may have begun at, as far as known here."""
        return frozenset(
            version
            for version, seen in self._last_seen.get(service, {}).items()
            if now - seen <= self.lifetime_s
        )

    def sole_version(self, service: str, now: float) -> str | None:
        """Return the version at which each stream began, None if there were others.

        None as well if this relay hasn't followed the list for long enough to know.
        """
        if not self.is_complete(now):
            return None
        versions = self.versions(service, now)
        return next(iter(versions)) if len(versions) == 1 else None
