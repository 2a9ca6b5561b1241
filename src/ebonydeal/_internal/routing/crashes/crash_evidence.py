"""The crashes that a process remembers, and the requests that it quarantines for them.

A request that crashes its endpoint is sent again, since its caller sees an ordinary
failure, and each crash fails all other requests in flight there. So each crash is
remembered with the requests in flight, and a request that three crashes are attributed
to is refused until these crashes are forgotten.

The attribution is computed anew from the remembered crashes, so that relays that
remember the same crashes quarantine the same requests, in whatever order they learned
of them.
"""

from collections.abc import Iterable
from enum import StrEnum
from math import inf
from typing import NamedTuple

from xxhash import xxh3_64_hexdigest

from ebonydeal._internal.routing.crashes.crash_attribution import (
    SUCCESS_CLEARS_S,
    Crash,
    CrashAttributor,
    CrashKey,
)
from ebonydeal._internal.routing.crashes.crash_messages import (
    CrashMessage,
    EvidenceMessage,
    ObservedCrash,
    parse_evidence,
)
from ebonydeal._internal.settings.policy import PolicySettings

# Relays see one crash within this of each other; an endpoint takes longer to start.
_SAME_CRASH_WINDOW_S = 1.0
# What an endpoint sent before it crashed is read within this, on a busy instance.
_MAX_READ_DELAY_S = 1.0
# Buffered data is read at once; a live stream has an event every few milliseconds.
_MIN_ACTIVITY_SPAN_S = 0.3
# Bounds of the memory: crashes, with 128 requests each, and successes; a megabyte at
# worst. A request is remembered only if an endpoint crashed that had accepted it.
_MAX_CRASHES = 64
_MAX_SUCCESSES = 2048
# A later success is merged only if it is newer by at least this.
_MIN_SUCCESS_ADVANCE_S = 1.0


class QuarantineStatus(StrEnum):
    """Whether crashes are attributed to a request."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


class QuarantinedRequest(NamedTuple):
    """A request that is refused, and the endpoints that it crashed."""

    digest: str
    endpoints: tuple[str, ...]


class QuarantineConfig(NamedTuple):
    """When a request is quarantined, and for how long.

    Attributes
    ----------
    crash_threshold : int
        Endpoints that a request may crash before it is refused; 0 is off.
    retention_s : float
        Seconds for which a crash is remembered.
    """

    crash_threshold: int = 3
    retention_s: float = 1800.0

    @classmethod
    def from_config(cls, cfg: PolicySettings) -> "QuarantineConfig":
        """Build from settings."""
        return cls(cfg.quarantine_crashes, cfg.quarantine_s)


class CrashEvidence:
    """Remembers crashes, and updates their attribution.

    Parameters
    ----------
    config : QuarantineConfig, optional
        When a request is quarantined.
    """

    def __init__(self, config: QuarantineConfig | None = None) -> None:
        self._config = config or QuarantineConfig()
        self._crashes: dict[CrashKey, Crash] = {}
        # Last successes of requests that were in flight in a crash.
        self._successes: dict[str, float] = {}
        # Last successes of any requests, up to a maximum.
        self._recent_successes: dict[str, float] = {}
        self._unreported: set[CrashKey] = set()
        # When the endpoint was first active after a crash.
        self._first_activity: dict[CrashKey, float] = {}
        # Crashes attributed to each request, by digest.
        self._suspected: dict[str, frozenset[CrashKey]] = {}
        self._quarantined: dict[str, frozenset[CrashKey]] = {}
        self.fingerprint = ""
        # When the last crash was, monotonic seconds.
        self.last_crash = -inf
        self._update_attribution()

    # --- observations ----------------------------------------------------------
    def record_crash(
        self, observed: ObservedCrash, digests: Iterable[str]
    ) -> CrashKey | None:
        """Record a crash and requests in flight; return its key if any of it is new."""
        if not self._config.crash_threshold:
            return None
        key = self._add_crash(observed, digests)
        if key is not None:
            self._update_attribution()
        return key

    def _add_crash(
        self, observed: ObservedCrash, digests: Iterable[str]
    ) -> CrashKey | None:
        key = self._key_of(observed)
        crash = self._crashes.get(key)
        known = crash is not None
        if crash is None:
            crash = self._crashes[key] = Crash(observed.zone, observed.at)
            self.last_crash = max(self.last_crash, observed.at)
            self._evict()
        new = set(digests) - crash.digests
        changed = crash.add(new)
        for digest in new & crash.digests:
            recent = self._recent_successes.get(digest)
            if recent is not None and observed.at - recent <= SUCCESS_CLEARS_S:
                self._successes[digest] = max(
                    recent, self._successes.get(digest, recent)
                )
                self._unreported.add(key)
        return None if known and not changed else key

    def _key_of(self, observed: ObservedCrash) -> CrashKey:
        """Return the key of a crash; relays that see it at about one time share it."""
        number = 0
        while True:
            key = CrashKey(observed.endpoint_id, observed.incarnation, number)
            crash = self._crashes.get(key)
            if crash is None or abs(crash.at - observed.at) <= _SAME_CRASH_WINDOW_S:
                return key
            number += 1

    def record_success(self, digest: str, at: float) -> bool:
        """Record a success; return whether it must be reported to other relays."""
        self._recent_successes.pop(digest, None)
        self._recent_successes[digest] = at
        if len(self._recent_successes) > _MAX_SUCCESSES:
            del self._recent_successes[next(iter(self._recent_successes))]
        keys = self._quarantined.get(digest) or self._suspected.get(digest)
        if not keys:
            return False
        self._successes[digest] = at
        self._unreported.update(keys)
        self._update_attribution()
        return True

    def record_activity(
        self, endpoint_id: str, incarnation: int, sent_at: float, now: float
    ) -> bool:
        """Record data from an endpoint; return whether it disproves a crash.

        Only data on a connection from before the crash does, since a process that ended
        has lost these connections. It must come too late to have been sent before the
        crash, and more than once, as a relay that was suspended reads old data late.
        """
        disproved = [
            key
            for key, crash in self._crashes.items()
            if key[:2] == (endpoint_id, incarnation)
            and sent_at < crash.at - _SAME_CRASH_WINDOW_S
            and now > crash.at + _MAX_READ_DELAY_S
            and not crash.alive
            and now - self._first_activity.setdefault(key, now) >= _MIN_ACTIVITY_SPAN_S
        ]
        if not disproved:
            return False
        for key in disproved:
            self._crashes[key].alive = True
        self._unreported.update(disproved)
        self._update_attribution()
        return True

    def take_unreported(self) -> list[CrashKey]:
        """Return, once, the crashes with changes that weren't reported yet."""
        keys = [key for key in self._unreported if key in self._crashes]
        self._unreported.clear()
        return keys

    def expire(self, now: float) -> None:
        """Forget crashes older than the retention time."""
        oldest = now - self._config.retention_s
        retained = {k: c for k, c in self._crashes.items() if c.at >= oldest}
        if len(retained) < len(self._crashes):
            self._crashes = retained
            self._drop_unused()
            self._update_attribution()

    def _evict(self) -> None:
        """Drop the oldest crashes, those without a quarantined request first."""
        while len(self._crashes) > _MAX_CRASHES:
            *known, _newest = self._crashes
            in_use = set().union(*self._quarantined.values())
            unused = [key for key in known if key not in in_use]
            del self._crashes[(unused or known)[0]]

    # --- attribution -----------------------------------------------------------
    def status(self, digest: str) -> QuarantineStatus:
        """Return whether a request is quarantined or suspected."""
        if digest in self._quarantined:
            return QuarantineStatus.QUARANTINED
        return (
            QuarantineStatus.SUSPECT
            if digest in self._suspected
            else QuarantineStatus.CLEAR
        )

    def crashed_endpoints(self, digest: str) -> tuple[str, ...]:
        """Return the endpoints whose crashes are attributed to a request."""
        keys = self._quarantined.get(digest) or self._suspected.get(digest, frozenset())
        return tuple(sorted(key.endpoint_id for key in keys))

    def quarantined(self) -> list[QuarantinedRequest]:
        """Return the requests that are refused."""
        return [
            QuarantinedRequest(digest, self.crashed_endpoints(digest))
            for digest in self._quarantined
        ]

    def _update_attribution(self) -> None:
        self.fingerprint = self._compute_fingerprint()
        attributor = CrashAttributor(
            self._crashes, self._successes, self._config.crash_threshold
        )
        self._quarantined, self._suspected = attributor.attribute()

    # --- exchange with other relays ----------------------------------------------
    def _compute_fingerprint(self) -> str:
        """Return a short text that is equal where two relays remember the same."""
        if not self._crashes:
            return ""
        lines = [
            f"{key}{crash.alive}{crash.fingerprint}"
            for key, crash in sorted(self._crashes.items(), key=_key_first)
        ]
        return xxh3_64_hexdigest("\n".join([*lines, *sorted(self._successes)]).encode())

    def to_message(
        self, now: float, only: Iterable[CrashKey] | None = None
    ) -> EvidenceMessage:
        """Return all that is remembered, or what concerns ``only`` these crashes."""
        keys = self._crashes if only is None else only
        # A crash may have been dropped since its report was queued.
        crashes = {key: self._crashes[key] for key in keys if key in self._crashes}
        in_flight = set().union(*(crash.digests for crash in crashes.values()))
        return EvidenceMessage(
            crashes=[
                CrashMessage(
                    endpoint=key.endpoint_id,
                    born=key.born,
                    zone=crash.zone,
                    age=round(max(0.0, now - crash.at), 3),
                    requests=sorted(crash.digests),
                    alive=crash.alive,
                )
                for key, crash in crashes.items()
            ],
            served={
                digest: round(max(0.0, now - at), 3)
                for digest, at in self._successes.items()
                if digest in in_flight
            },
        )

    def merge(self, message: EvidenceMessage, now: float) -> bool:
        """Merge another relay's evidence; return whether anything changed.

        Raises ValueError, KeyError or TypeError for an invalid message.
        """
        reported = parse_evidence(message, now)
        if not self._config.crash_threshold:
            return False
        changed = False
        for item in reported.crashes[-_MAX_CRASHES:]:
            if now - item.observed.at >= self._config.retention_s:
                continue
            changed |= self._add_crash(item.observed, item.digests) is not None
            crash = self._crashes.get(self._key_of(item.observed))
            if item.alive and crash is not None and not crash.alive:
                crash.alive = changed = True
        for digest, at in reported.successes.items():
            known = self._successes.get(digest)
            if known is None or at > known + _MIN_SUCCESS_ADVANCE_S:
                self._successes[digest] = at
                changed = True
        if changed:
            self._drop_unused()
            self._update_attribution()
        return changed

    def _drop_unused(self) -> None:
        """Drop successes and activity that concern no remembered crash."""
        in_flight = set().union(*(c.digests for c in self._crashes.values()))
        self._successes = {d: at for d, at in self._successes.items() if d in in_flight}
        self._first_activity = {
            k: at for k, at in self._first_activity.items() if k in self._crashes
        }


def _key_first(item: tuple[CrashKey, Crash]) -> CrashKey:
    return item[0]
