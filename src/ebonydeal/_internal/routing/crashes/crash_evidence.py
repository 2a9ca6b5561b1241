"""What a relay remembers of crashes, and which requests it refuses for them.

A request that crashes what runs it comes again, since its caller sees a failure like
any other. What it costs is borne by all others at work on those endpoints. So each
crash is remembered with the requests that were at work, and a request under which three
endpoints crashed is refused until the memory of it ends.

What is held of requests is worked out anew from the remembered crashes, so that relays
with the same memory hold the same, in whatever order they heard it.
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
    read_memory,
)
from ebonydeal._internal.settings.policy import PolicySettings

# Relays see one crash within this of each other; an endpoint takes longer to start.
_SAME_S = 1.0
# What an endpoint sent before it crashed is read within this, on a busy instance.
_ON_ITS_WAY_S = 1.0
# What was buffered is read at once; a live stream has an event every few milliseconds.
_SIGNS_APART_S = 0.3
# Bounds of the memory: crashes, with 128 requests each, and successes. A megabyte at
# worst; a request enters it only with the crash of an endpoint that had taken it.
_MOST_CRASHES = 64
_MOST_SUCCESSES = 2048
# Differences of a success's time that are worth telling, seconds.
_NEWER_S = 1.0


class QuarantineStatus(StrEnum):
    """What is held of a request."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


class QuarantinedRequest(NamedTuple):
    """A request that is refused, and the endpoints that crashed under it."""

    digest: str
    endpoints: tuple[str, ...]


class QuarantinePolicy(NamedTuple):
    """How much is enough, and how long it is remembered.

    Attributes
    ----------
    crash_threshold : int
        Endpoints that a request may bring down before it is refused; 0 is off.
    retention_s : float
        Seconds for which a crash is remembered.
    """

    crash_threshold: int = 3
    retention_s: float = 1800.0

    @classmethod
    def from_config(cls, cfg: PolicySettings) -> "QuarantinePolicy":
        """Build from settings."""
        return cls(cfg.quarantine_crashes, cfg.quarantine_s)


class CrashEvidence:
    """Crashes, and what follows from them.

    Parameters
    ----------
    terms : EvidenceTerms, optional
        How much is enough.
    """

    def __init__(self, policy: QuarantinePolicy | None = None) -> None:
        self._policy = policy or QuarantinePolicy()
        self._crashes: dict[CrashKey, Crash] = {}
        # Successes of requests that were at work in a crash, and of any lately.
        self._served: dict[str, float] = {}
        self._lately: dict[str, float] = {}
        self._untold: set[CrashKey] = set()
        # When the first sign of life after a crash came.
        self._signs: dict[CrashKey, float] = {}
        # What follows, by digest: the crashes that count against it.
        self._against: dict[str, frozenset[CrashKey]] = {}
        self._held: dict[str, frozenset[CrashKey]] = {}
        self.fingerprint = ""
        # When the last crash was, monotonic seconds.
        self.last_crash = -inf
        self._conclude()

    # --- what was seen -------------------------------------------------------
    def record_crash(
        self, seen: ObservedCrash, digests: Iterable[str]
    ) -> CrashKey | None:
        """Note a crash and requests at work; return it if any of this is news."""
        if not self._policy.crash_threshold:
            return None
        key = self._note(seen, digests)
        if key is not None:
            self._conclude()
        return key

    def _note(self, seen: ObservedCrash, digests: Iterable[str]) -> CrashKey | None:
        key = self._key_of(seen)
        crash = self._crashes.get(key)
        known = crash is not None
        if crash is None:
            crash = self._crashes[key] = Crash(seen.zone, seen.at)
            self.last_crash = max(self.last_crash, seen.at)
            self._make_room()
        new = set(digests) - crash.digests
        changed = crash.add(new)
        for digest in new & crash.digests:
            lately = self._lately.get(digest)
            if lately is not None and seen.at - lately <= SUCCESS_CLEARS_S:
                self._served[digest] = max(lately, self._served.get(digest, lately))
                self._untold.add(key)
        return None if known and not changed else key

    def _key_of(self, seen: ObservedCrash) -> CrashKey:
        """Return the key of a crash: what others saw of it at about the same time."""
        number = 0
        while True:
            key = CrashKey(seen.endpoint_id, seen.born, number)
            crash = self._crashes.get(key)
            if crash is None or abs(crash.at - seen.at) <= _SAME_S:
                return key
            number += 1

    def record_success(self, digest: str, at: float) -> bool:
        """Note a success; return whether others should know of it."""
        self._lately.pop(digest, None)
        self._lately[digest] = at
        if len(self._lately) > _MOST_SUCCESSES:
            del self._lately[next(iter(self._lately))]
        keys = self._held.get(digest) or self._against.get(digest)
        if not keys:
            return False
        self._served[digest] = at
        self._untold.update(keys)
        self._conclude()
        return True

    def record_activity(
        self, endpoint_id: str, born: int, sent_at: float, now: float
    ) -> bool:
        """Note a sign of life; return whether it shows that a crash was none.

        It does so on a connection from before the crash, since a process that ended
        has none of these; not so soon after it that it may have been on its way, and
        not by one sign alone, as a relay that stood still reads late what was.
        """
        found = [
            key
            for key, crash in self._crashes.items()
            if key[:2] == (endpoint_id, born)
            and sent_at < crash.at - _SAME_S
            and now > crash.at + _ON_ITS_WAY_S
            and not crash.alive
            and now - self._signs.setdefault(key, now) >= _SIGNS_APART_S
        ]
        if not found:
            return False
        for key in found:
            self._crashes[key].alive = True
        self._untold.update(found)
        self._conclude()
        return True

    def take_unreported(self) -> list[CrashKey]:
        """Return crashes of which this relay knows what it hasn't told yet."""
        keys = [key for key in self._untold if key in self._crashes]
        self._untold.clear()
        return keys

    def expire(self, now: float) -> None:
        """Forget what is older than the memory."""
        oldest = now - self._policy.retention_s
        kept = {k: c for k, c in self._crashes.items() if c.at >= oldest}
        if len(kept) < len(self._crashes):
            self._crashes = kept
            self._trim()
            self._conclude()

    def _make_room(self) -> None:
        """Drop the oldest crashes that nobody is held to have caused."""
        while len(self._crashes) > _MOST_CRASHES:
            *known, _newest = self._crashes
            spoken_for = set().union(*self._held.values())
            idle = [key for key in known if key not in spoken_for]
            del self._crashes[(idle or known)[0]]

    # --- what follows ----------------------------------------------------------
    def status(self, digest: str) -> QuarantineStatus:
        """Return what is held of a request."""
        if digest in self._held:
            return QuarantineStatus.QUARANTINED
        return (
            QuarantineStatus.SUSPECT
            if digest in self._against
            else QuarantineStatus.CLEAR
        )

    def crashed_endpoints(self, digest: str) -> tuple[str, ...]:
        """Return the endpoints whose crashes are held against a request."""
        keys = self._held.get(digest) or self._against.get(digest, frozenset())
        return tuple(sorted(key.endpoint_id for key in keys))

    def quarantined(self) -> list[QuarantinedRequest]:
        """Return the requests that are refused."""
        return [
            QuarantinedRequest(digest, self.crashed_endpoints(digest))
            for digest in self._held
        ]

    def _conclude(self) -> None:
        """Work out from the crashes what is held of each request."""
        self.fingerprint = self._compute_fingerprint()
        inquiry = CrashAttributor(
            self._crashes, self._served, self._policy.crash_threshold
        )
        self._held, self._against = inquiry.attribute()

    # --- between relays ----------------------------------------------------------
    def _compute_fingerprint(self) -> str:
        """Return a short text that tells whether two memories are the same."""
        if not self._crashes:
            return ""
        words = [
            f"{key}{crash.alive}{crash.mark}"
            for key, crash in sorted(self._crashes.items(), key=_key_first)
        ]
        return xxh3_64_hexdigest("\n".join([*words, *sorted(self._served)]).encode())

    def to_message(
        self, now: float, only: Iterable[CrashKey] | None = None
    ) -> EvidenceMessage:
        """Return what is remembered, or what of it speaks of ``only`` some crashes."""
        keys = self._crashes if only is None else only
        # One that was to be told may have been dropped since.
        crashes = {key: self._crashes[key] for key in keys if key in self._crashes}
        at_work = set().union(*(crash.digests for crash in crashes.values()))
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
                for digest, at in self._served.items()
                if digest in at_work
            },
        )

    def merge(self, message: EvidenceMessage, now: float) -> bool:
        """Take what another relay remembers; return whether any of it is news.

        Raises ValueError, KeyError or TypeError for what can't be a memory.
        """
        memory = read_memory(message, now)
        if not self._policy.crash_threshold:
            return False
        news = False
        for told in memory.crashes[-_MOST_CRASHES:]:
            if now - told.seen.at >= self._policy.retention_s:
                continue
            news |= self._note(told.seen, told.digests) is not None
            crash = self._crashes.get(self._key_of(told.seen))
            if told.alive and crash is not None and not crash.alive:
                crash.alive = news = True
        for digest, at in memory.served.items():
            known = self._served.get(digest)
            if known is None or at > known + _NEWER_S:
                self._served[digest] = at
                news = True
        if news:
            self._trim()
            self._conclude()
        return news

    def _trim(self) -> None:
        """Keep successes only of requests that crashes speak of."""
        at_work = set().union(*(c.digests for c in self._crashes.values()))
        self._served = {d: at for d, at in self._served.items() if d in at_work}
        self._signs = {k: at for k, at in self._signs.items() if k in self._crashes}


def _key_first(item: tuple[CrashKey, Crash]) -> CrashKey:
    return item[0]
