"""The crashes that a process remembers, and the requests that it quarantines for them.

A request that crashes its endpoint is sent again, since its caller sees an ordinary
failure, and each crash fails all other requests in flight there. A part of prompts that
crashes endpoints comes in ever new requests. So each crash is remembered with the
requests in flight, and what several crashes are attributed to, a request or a part, is
refused until these crashes are forgotten.

The attribution is computed anew from the remembered crashes, so that relays that
remember the same crashes quarantine the same requests, in whatever order they learned
of them.
"""

from collections.abc import Iterable, Mapping
from math import inf

from xxhash import xxh3_64_hexdigest

from ebonydeal._internal.routing.crashes.common_parts import QuarantinedParts
from ebonydeal._internal.routing.crashes.crash_attribution import (
    Crash,
    CrashAttributor,
    fewest_crashes,
)
from ebonydeal._internal.routing.crashes.crash_key import CrashKey
from ebonydeal._internal.routing.crashes.crash_messages import (
    CrashMessage,
    EvidenceMessage,
    ObservedCrash,
    pack_traits,
    parse_evidence,
)
from ebonydeal._internal.routing.crashes.quarantine import (
    QuarantineConfig,
    QuarantinedPartsKey,
    QuarantinedRequest,
    QuarantineStatus,
)
from ebonydeal._internal.routing.crashes.request_traits import RequestTraits

# Relays see one crash within this of each other; an endpoint takes longer to start.
_SAME_CRASH_WINDOW_S = 1.0
# What an endpoint sent before it crashed is read within this, on a busy instance.
_MAX_READ_DELAY_S = 1.0
# Buffered data is read at once; a live stream has an event every few milliseconds.
_MIN_ACTIVITY_SPAN_S = 0.3
# Bounds of the memory: crashes, with 128 requests each, and successes of requests and
# of parts; some megabytes at worst. A request is remembered only if an endpoint crashed
# that had accepted it.
_MAX_CRASHES = 64
_MAX_SUCCESSES = 2048
# A later success is merged only if it is newer by at least this.
_MIN_SUCCESS_ADVANCE_S = 1.0
# A success clears crashes up to so many seconds after it: a popular request or part
# comes many times a second, and one that crashes endpoints never succeeds.
_SUCCESS_CLEARS_S = 10.0
# A part of one crash alone isn't near its threshold: other relays needn't hear of its
# successes.
_MIN_CRASHES_TO_REPORT_PART = 2


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
        # Traits of the requests that were in flight in a crash, by digest.
        self._traits: dict[str, RequestTraits] = {}
        # Last successes of requests and parts that were in flight in a crash.
        self._successes: dict[str, float] = {}
        # Last successes of any requests, and of any parts, up to a maximum.
        self._recent_successes: dict[str, float] = {}
        self._recent_part_successes: dict[str, float] = {}
        self._unreported: set[CrashKey] = set()
        # When the endpoint was first active after a crash.
        self._first_activity: dict[CrashKey, float] = {}
        # Crashes attributed to each request, by digest, and to each part.
        self._suspected: dict[str, frozenset[CrashKey]] = {}
        self._quarantined: dict[str, frozenset[CrashKey]] = {}
        self._quarantined_parts: tuple[QuarantinedParts, ...] = ()
        self.fingerprint = ""
        # When the last crash was, monotonic seconds.
        self.last_crash = -inf
        self._update_attribution()

    # --- observations ----------------------------------------------------------
    def record_crash(
        self, observed: ObservedCrash, requests: Iterable[RequestTraits]
    ) -> CrashKey | None:
        """Record a crash and requests in flight; return its key if any of it is new."""
        if not self._config.crash_threshold:
            return None
        key = self._add_crash(observed, requests)
        if key is not None:
            self._drop_unused()
            self._update_attribution()
        return key

    def _add_crash(
        self,
        observed: ObservedCrash,
        requests: Iterable[RequestTraits],
        cleared: frozenset[str] = frozenset(),
    ) -> CrashKey | None:
        key = self._key_of(observed)
        crash = self._crashes.get(key)
        known = crash is not None
        if crash is None:
            crash = self._crashes[key] = Crash(observed.zone, observed.at)
            self.last_crash = max(self.last_crash, observed.at)
            self._evict()
        added = {found.digest: found for found in requests}
        new = added.keys() - crash.digests
        changed = crash.add(new)
        for digest in added.keys() & crash.digests:
            if digest not in self._traits or not self._traits[digest].parts:
                self._traits[digest] = added[digest]
        crash.parts = self._parts_of(crash.digests)
        changed |= not cleared <= crash.cleared
        crash.cleared |= cleared
        self._apply_successes(new & crash.digests)
        return None if known and not changed else key

    def _apply_successes(self, digests: Iterable[str]) -> None:
        """Clear requests in a new crash, and their parts, for earlier successes."""
        for digest in digests:
            self._apply_success(digest, self._recent_successes.get(digest))
        for part in self._parts_of(digests):
            if len(self._crashes_with(part)) >= _MIN_CRASHES_TO_REPORT_PART:
                self._apply_success(part, self._recent_part_successes.get(part))

    def _apply_success(self, cause: str, recent: float | None) -> None:
        """Clear a request or part for its last success, here or at another relay."""
        known = self._successes.get(cause)
        if known is not None:
            self._clear(cause, known)
        if recent is not None and self._clear(cause, recent):
            self._successes[cause] = recent

    def _clear(self, cause: str, succeeded_at: float) -> bool:
        """Clear a request or part in crashes that its success speaks against."""
        cleared = [
            key
            for key in self._crashes_with(cause)
            if self._crashes[key].at <= succeeded_at + _SUCCESS_CLEARS_S
            and cause not in self._crashes[key].cleared
        ]
        for key in cleared:
            self._crashes[key].cleared.add(cause)
        self._unreported.update(cleared)
        return bool(cleared)

    def _crashes_with(self, cause: str) -> list[CrashKey]:
        """Return the crashes in which a request, or one with a part, was in flight."""
        return [
            key
            for key, crash in self._crashes.items()
            if cause in crash.digests or cause in crash.parts
        ]

    def _key_of(self, observed: ObservedCrash) -> CrashKey:
        """Return the key of a crash; relays that see it at about one time share it."""
        number = 0
        while True:
            key = CrashKey(observed.endpoint_id, observed.incarnation, number)
            crash = self._crashes.get(key)
            if crash is None or abs(crash.at - observed.at) <= _SAME_CRASH_WINDOW_S:
                return key
            number += 1

    def record_success(self, traits: RequestTraits, at: float) -> bool:
        """Record a success; return whether it must be reported to other relays."""
        _remember(self._recent_successes, traits.digest, at)
        for part in traits.parts:
            _remember(self._recent_part_successes, part, at)
        causes = self._causes_of(traits)
        crashes = max((len(self._crashes_with(cause)) for cause in causes), default=0)
        for cause in causes:
            suspected = len(self._suspected.pop(cause, ()))
            if cause in traits.parts and 0 < suspected < _MIN_CRASHES_TO_REPORT_PART:
                continue
            self._successes[cause] = at
            self._clear(cause, at)
        if not self._unreported:
            return False
        cfg = self._config
        if crashes >= fewest_crashes(cfg.crash_threshold, cfg.part_crash_threshold):
            self._update_attribution()
        else:
            self.fingerprint = self._compute_fingerprint()
        return True

    def _causes_of(self, traits: RequestTraits) -> list[str]:
        """Return the request and its parts that crashes are attributed to."""
        return [
            cause
            for cause in (traits.digest, *traits.parts)
            if cause in self._suspected
            or cause in self._quarantined
            or any(cause in found.parts for found in self._quarantined_parts)
        ]

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
            in_use = set().union(
                *self._quarantined.values(),
                *(found.crashes for found in self._quarantined_parts),
            )
            unused = [key for key in known if key not in in_use]
            del self._crashes[(unused or known)[0]]

    # --- attribution -----------------------------------------------------------
    def status(self, traits: RequestTraits) -> QuarantineStatus:
        """Return whether a request is quarantined or suspected."""
        if traits.digest in self._quarantined or self.quarantining_parts(traits):
            return QuarantineStatus.QUARANTINED
        if any(cause in self._suspected for cause in (traits.digest, *traits.parts)):
            return QuarantineStatus.SUSPECT
        return QuarantineStatus.CLEAR

    def quarantining_parts(self, traits: RequestTraits) -> QuarantinedParts | None:
        """Return the quarantined parts for which a request is refused, or None."""
        for found in self._quarantined_parts:
            if found.matches(traits):
                return found
        return None

    def crashed_endpoints(self, traits: RequestTraits) -> tuple[str, ...]:
        """Return the endpoints whose crashes are attributed to a request."""
        digest, parts = traits.digest, self.quarantining_parts(traits)
        keys = self._quarantined.get(digest)
        if keys is None and parts is not None:
            keys = parts.crashes
        return _endpoints(keys or self._suspected.get(digest, frozenset()))

    def quarantined(self) -> list[QuarantinedRequest]:
        """Return the requests that are refused."""
        return [
            QuarantinedRequest(digest, _endpoints(keys))
            for digest, keys in self._quarantined.items()
        ]

    def quarantined_parts(self) -> Mapping[QuarantinedPartsKey, tuple[str, ...]]:
        """Return the endpoints that crashed under parts, by parts and accounts."""
        return {
            QuarantinedPartsKey(
                tuple(sorted(found.parts)), tuple(sorted(found.accounts))
            ): _endpoints(found.crashes)
            for found in self._quarantined_parts
        }

    def _update_attribution(self) -> None:
        self.fingerprint = self._compute_fingerprint()
        attributor = CrashAttributor(
            self._crashes,
            self._traits,
            self._config.crash_threshold,
            self._config.part_crash_threshold,
        )
        found = attributor.attribute()
        self._quarantined = found.quarantined
        self._quarantined_parts = found.quarantined_parts
        self._suspected = {
            cause: keys
            for cause, keys in found.suspected.items()
            if not self._has_succeeded_since(cause, keys)
        }

    def _has_succeeded_since(self, part: str, keys: frozenset[CrashKey]) -> bool:
        """Return whether this relay alone knows that a part didn't cause crashes."""
        recent = self._recent_part_successes.get(part)
        return recent is not None and all(
            self._crashes[key].at <= recent + _SUCCESS_CLEARS_S for key in keys
        )

    # --- exchange with other relays ----------------------------------------------
    def _compute_fingerprint(self) -> str:
        """Return a short text that is equal where two relays remember the same."""
        if not self._crashes:
            return ""
        lines = [
            f"{key}{crash.alive}{crash.fingerprint}{sorted(crash.cleared)}"
            for key, crash in sorted(self._crashes.items(), key=_key_first)
        ]
        return xxh3_64_hexdigest("\n".join(lines).encode())

    def to_message(
        self,
        now: float,
        only: Iterable[CrashKey] | None = None,
        with_requests: bool = True,
    ) -> EvidenceMessage:
        """Return all that is remembered, or what concerns ``only`` these crashes.

        Without the requests, for relays that know the crashes already, it is short.
        """
        keys = self._crashes if only is None else only
        # A crash may have been dropped since its report was queued.
        crashes = {key: self._crashes[key] for key in keys if key in self._crashes}
        digests = set().union(*(crash.digests for crash in crashes.values()))
        in_flight = digests.union(*(crash.parts for crash in crashes.values()))
        if not with_requests:
            digests = set()
        return EvidenceMessage(
            crashes=[
                CrashMessage(
                    endpoint=key.endpoint_id,
                    born=key.born,
                    zone=crash.zone,
                    age=round(max(0.0, now - crash.at), 3),
                    requests=sorted(crash.digests & digests),
                    alive=crash.alive,
                    cleared=sorted(crash.cleared),
                )
                for key, crash in crashes.items()
            ],
            served={
                cause: round(max(0.0, now - at), 3)
                for cause, at in self._successes.items()
                if cause in in_flight
            },
            traits={digest: pack_traits(self._traits[digest]) for digest in digests},
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
            added = self._add_crash(item.observed, item.requests, item.cleared)
            changed |= added is not None
            crash = self._crashes.get(self._key_of(item.observed))
            if item.alive and crash is not None and not crash.alive:
                crash.alive = changed = True
        for cause, at in reported.successes.items():
            known = self._successes.get(cause)
            if known is None or at > known + _MIN_SUCCESS_ADVANCE_S:
                self._successes[cause] = at
                self._clear(cause, at)
                changed = True
        if changed:
            self._drop_unused()
            self._update_attribution()
        return changed

    def _parts_of(self, digests: Iterable[str]) -> set[str]:
        return {part for digest in digests for part in self._traits[digest].parts}

    def _drop_unused(self) -> None:
        """Drop what concerns no remembered crash."""
        crashes = self._crashes.values()
        digests = set().union(*(crash.digests for crash in crashes))
        in_flight = digests.union(*(crash.parts for crash in crashes))
        self._traits = {d: t for d, t in self._traits.items() if d in digests}
        self._successes = {c: at for c, at in self._successes.items() if c in in_flight}
        self._first_activity = {
            k: at for k, at in self._first_activity.items() if k in self._crashes
        }


def _key_first(item: tuple[CrashKey, Crash]) -> CrashKey:
    return item[0]


def _remember(successes: dict[str, float], cause: str, at: float) -> None:
    """Add a success, and drop the oldest one beyond the maximum."""
    successes.pop(cause, None)
    successes[cause] = at
    if len(successes) > _MAX_SUCCESSES:
        del successes[next(iter(successes))]


def _endpoints(keys: Iterable[CrashKey]) -> tuple[str, ...]:
    return tuple(sorted(key.endpoint_id for key in keys))
