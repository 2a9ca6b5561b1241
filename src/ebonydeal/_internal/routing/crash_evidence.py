"""Which requests bring down the endpoints that run them, from what relays saw.

A request that crashes what runs it comes again, since its caller sees a failure like
any other. What it costs is borne by all others at work on those endpoints. So each
crash is remembered with the requests that were at work, and a request under which three
endpoints crashed is refused until the memory of it ends.

Most requests at work in a crash have no part in it. Not held against one are:

* crashes up to some seconds after a success of an equal request;
* crashes at which another request was at work that is held to bring endpoints down;
* of crashes in one zone at one moment all but two: a zone's loss takes all of it;
* crashes of endpoints that were heard of afterwards.

Where two requests were at work in the same three crashes, one more crash, or a success,
tells them apart. All of this is worked out anew from the remembered crashes, so that
relays with the same memory hold the same, in whatever order they heard it.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import islice
from math import inf, isfinite
from typing import NamedTuple, TypedDict

from xxhash import xxh3_64_hexdigest

from ebonydeal._internal.settings.policy import PolicySettings

# Crashes at which requests that were at work alike are told apart no longer.
_MOST_ALIKE = 4
# A success clears crashes up to so many seconds after it: a popular request comes many
# times a second, and one that crashes endpoints never succeeds.
_ALIBI_S = 10.0
# A zone's endpoints go at once: relays see it within some 30 ms. Two of them still
# count, as one request may well be sent to two endpoints of a zone at once.
_ZONE_S = 0.1
_MOST_OF_ZONE = 2
# Relays see one crash within this of each other; an endpoint takes longer to start.
_SAME_S = 1.0
# What an endpoint sent before it crashed is read within this, on a busy instance.
_ON_ITS_WAY_S = 1.0
# Bounds of the memory: crashes, requests of each, and successes. A megabyte at worst; a
# request enters it only with the crash of an endpoint that had taken it.
_MOST_CRASHES = 64
_MOST_AT_WORK = 128
_MOST_SUCCESSES = 2048
# Differences of a success's time that are worth telling, seconds.
_NEWER_S = 1.0
_MOST_TEXT = 200


class Standing(StrEnum):
    """What is held of a request."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


class CrashKey(NamedTuple):
    """One crash: of which start of an endpoint, and which of that start's.

    Endpoints that don't tell when they started come back under the same key but for
    the number.
    """

    endpoint_id: str
    born: int
    number: int = 0


class CrashMessage(TypedDict):
    """One crash: the endpoint, seconds since then, and the requests at work.

    ``alive`` says that the endpoint was heard of afterwards, so that it was none.
    """

    endpoint: str
    born: int
    zone: str
    age: float
    requests: list[str]
    alive: bool


class EvidenceMessage(TypedDict):
    """What a relay remembers.

    ``served`` are seconds since the last success of a request, by digest.
    """

    crashes: list[CrashMessage]
    served: dict[str, float]


class SeenCrash(NamedTuple):
    """A crash as one relay saw it; ``at`` is in monotonic seconds."""

    endpoint_id: str
    born: int
    zone: str
    at: float


class Quarantine(NamedTuple):
    """A request that is refused, and the endpoints that crashed under it."""

    digest: str
    endpoints: tuple[str, ...]


class EvidenceTerms(NamedTuple):
    """How much is enough, and how long it is remembered.

    Attributes
    ----------
    crashes : int
        Endpoints that a request may bring down before it is refused; 0 is off.
    memory : float
        Seconds for which a crash is remembered.
    """

    crashes: int = 3
    memory: float = 1800.0

    @classmethod
    def from_config(cls, cfg: PolicySettings) -> "EvidenceTerms":
        """Build from settings."""
        return cls(cfg.quarantine_crashes, cfg.quarantine_s)


@dataclass
class _Crash:
    """A crash as remembered; ``at`` is in monotonic seconds."""

    zone: str
    at: float
    digests: set[str] = field(default_factory=set)
    mark: str = ""

    def add(self, digests: set[str]) -> None:
        """Add requests at work, as many as there is room for."""
        room = max(0, _MOST_AT_WORK - len(self.digests))
        self.digests.update(islice(sorted(digests), room))
        self.mark = xxh3_64_hexdigest("".join(sorted(self.digests)).encode())


class CrashEvidence:
    """Crashes, and what follows from them.

    Parameters
    ----------
    terms : EvidenceTerms, optional
        How much is enough.
    """

    def __init__(self, terms: EvidenceTerms | None = None) -> None:
        self._terms = terms or EvidenceTerms()
        self._crashes: dict[CrashKey, _Crash] = {}
        self._alive: dict[CrashKey, float] = {}
        # Successes of requests that were at work in a crash, and of any lately.
        self._served: dict[str, float] = {}
        self._lately: dict[str, float] = {}
        self._untold: set[CrashKey] = set()
        # What follows, by digest: the crashes that count against it.
        self._against: dict[str, frozenset[CrashKey]] = {}
        self._held: dict[str, frozenset[CrashKey]] = {}
        self.mark = ""
        # When the last crash was, monotonic seconds.
        self.last_crash = -inf
        self._conclude()

    # --- what was seen -------------------------------------------------------
    def crashed(self, seen: SeenCrash, digests: Iterable[str]) -> CrashKey | None:
        """Note a crash and requests at work; return it if any of this is news."""
        if not self._terms.crashes:
            return None
        key = self._note(seen, digests)
        if key is not None:
            self._conclude()
        return key

    def _note(self, seen: SeenCrash, digests: Iterable[str]) -> CrashKey | None:
        key = self._key_of(seen)
        crash = self._crashes.get(key)
        known = crash is not None
        if crash is None:
            crash = self._crashes[key] = _Crash(seen.zone, seen.at)
            self.last_crash = max(self.last_crash, seen.at)
            self._make_room()
        new = set(digests) - crash.digests
        crash.add(new)
        for digest in new:
            lately = self._lately.get(digest)
            if lately is not None and seen.at - lately <= _ALIBI_S:
                self._served[digest] = max(lately, self._served.get(digest, lately))
                self._untold.add(key)
        return None if known and not new else key

    def _key_of(self, seen: SeenCrash) -> CrashKey:
        """Return the key of a crash: what others saw of it at about the same time."""
        number = 0
        while True:
            key = CrashKey(seen.endpoint_id, seen.born, number)
            crash = self._crashes.get(key)
            if crash is None or abs(crash.at - seen.at) <= _SAME_S:
                return key
            number += 1

    def served(self, digest: str, at: float) -> bool:
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

    def heard(self, endpoint_id: str, born: int, sent_at: float, now: float) -> bool:
        """Note a sign of life; return whether it shows that a crash was none.

        It does so on a connection from before the crash, since a process that ended
        has none of these; not so soon after it that it may have been on its way.
        """
        found = [
            key
            for key, crash in self._crashes.items()
            if key[:2] == (endpoint_id, born)
            and sent_at < crash.at - _SAME_S
            and now > crash.at + _ON_ITS_WAY_S
            and key not in self._alive
        ]
        if not found:
            return False
        self._alive.update((key, now) for key in found)
        self._untold.update(found)
        self._conclude()
        return True

    def untold(self) -> list[CrashKey]:
        """Return crashes of which this relay knows what it hasn't told yet."""
        keys = [key for key in self._untold if key in self._crashes]
        self._untold.clear()
        return keys

    def expire(self, now: float) -> None:
        """Forget what is older than the memory."""
        oldest = now - self._terms.memory
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
    def standing(self, digest: str) -> Standing:
        """Return what is held of a request."""
        if digest in self._held:
            return Standing.QUARANTINED
        return Standing.SUSPECT if digest in self._against else Standing.CLEAR

    def endpoints(self, digest: str) -> tuple[str, ...]:
        """Return the endpoints whose crashes are held against a request."""
        keys = self._held.get(digest) or self._against.get(digest, frozenset())
        return tuple(sorted(key.endpoint_id for key in keys))

    def quarantined(self) -> list[Quarantine]:
        """Return the requests that are refused."""
        return [Quarantine(digest, self.endpoints(digest)) for digest in self._held]

    def _conclude(self) -> None:
        """Work out from the crashes what is held of each request."""
        self.mark = self._mark()
        self._held = {}
        explained: set[CrashKey] = set()
        while True:
            counted = self._counted(explained)
            guilty = self._guilty(counted)
            if not guilty:
                break
            self._held.update((digest, counted[digest]) for digest in guilty)
            explained.update(
                key
                for key, crash in self._crashes.items()
                if not crash.digests.isdisjoint(guilty)
            )
        self._against = counted

    def _counted(self, explained: set[CrashKey]) -> dict[str, frozenset[CrashKey]]:
        """Return the crashes that may be held against each request."""
        found: dict[str, list[CrashKey]] = {}
        for key, crash in sorted(self._crashes.items(), key=_zone_and_time):
            if key in self._alive or key in explained:
                continue
            for digest in crash.digests:
                if not self._has_alibi(digest, crash):
                    found.setdefault(digest, []).append(key)
        return {digest: self._of_zones(keys) for digest, keys in found.items()}

    def _of_zones(self, keys: list[CrashKey]) -> frozenset[CrashKey]:
        """Return crashes, in order of zone and time, without a zone's loss."""
        if len(keys) <= _MOST_OF_ZONE:
            return frozenset(keys)
        kept: list[CrashKey] = []
        for key in keys:
            crash = self._crashes[key]
            near = [
                before
                for before in kept
                if self._crashes[before].zone == crash.zone
                and crash.at - self._crashes[before].at <= _ZONE_S
            ]
            if len(near) < _MOST_OF_ZONE:
                kept.append(key)
        return frozenset(kept)

    def _has_alibi(self, digest: str, crash: _Crash) -> bool:
        """Return whether an equal request succeeded since shortly before a crash."""
        served = self._served.get(digest)
        return served is not None and crash.at <= served + _ALIBI_S

    def _guilty(self, counted: dict[str, frozenset[CrashKey]]) -> list[str]:
        """Return those under which most endpoints crashed, if these were enough.

        Of those that share so few crashes that either may have caused the other's,
        none.
        """
        least = self._terms.crashes
        most = max((len(starts) for starts in counted.values()), default=0)
        if not least or most < least:
            return []
        top = [d for d, starts in counted.items() if len(starts) == most]
        if most >= max(_MOST_ALIKE, least + 1):
            return top
        return [
            digest
            for digest in top
            if not any(
                other != digest and len(counted[other] - counted[digest]) < least
                for other in top
            )
        ]

    # --- between relays ----------------------------------------------------------
    def _mark(self) -> str:
        """Return a short text that tells whether two memories are the same."""
        if not self._crashes:
            return ""
        words = [
            f"{key}{key in self._alive}{crash.mark}"
            for key, crash in sorted(self._crashes.items(), key=_key_first)
        ]
        return xxh3_64_hexdigest("\n".join([*words, *sorted(self._served)]).encode())

    def to_message(
        self, now: float, only: Iterable[CrashKey] | None = None
    ) -> EvidenceMessage:
        """Return what is remembered, or what of it speaks of ``only`` some crashes."""
        keys = list(self._crashes if only is None else only)
        crashes = {key: self._crashes[key] for key in keys}
        at_work = set().union(*(crash.digests for crash in crashes.values()))
        return EvidenceMessage(
            crashes=[
                CrashMessage(
                    endpoint=key.endpoint_id,
                    born=key.born,
                    zone=crash.zone,
                    age=round(max(0.0, now - crash.at), 3),
                    requests=sorted(crash.digests),
                    alive=key in self._alive,
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
        if not self._terms.crashes:
            return False
        news = False
        for told in message["crashes"][-_MOST_CRASHES:]:
            at = now - _age(told["age"])
            if now - at >= self._terms.memory:
                continue
            seen = SeenCrash(
                _text(told["endpoint"]), int(told["born"]), _text(told["zone"]), at
            )
            digests = [_text(digest) for digest in told["requests"]]
            news |= self._note(seen, digests) is not None
            key = self._key_of(seen)
            if told["alive"] and key in self._crashes and key not in self._alive:
                self._alive[key] = now
                news = True
        for digest, age in message["served"].items():
            at = now - _age(age)
            known = self._served.get(_text(digest))
            if known is None or at > known + _NEWER_S:
                self._served[digest] = at
                news = True
        if news:
            self._trim()
            self._conclude()
        return news

    def _trim(self) -> None:
        """Keep what others tell within bounds: only what crashes speak of."""
        at_work = set().union(*(c.digests for c in self._crashes.values()))
        self._served = {d: at for d, at in self._served.items() if d in at_work}
        self._alive = {s: at for s, at in self._alive.items() if s in self._crashes}


def _key_first(item: tuple[CrashKey, _Crash]) -> CrashKey:
    return item[0]


def _zone_and_time(item: tuple[CrashKey, _Crash]) -> tuple[str, float]:
    return item[1].zone, item[1].at


def _text(value: object) -> str:
    if not isinstance(value, str) or len(value) > _MOST_TEXT:
        raise ValueError("a name is wrong")
    return value


def _age(value: object) -> float:
    if not isinstance(value, (int, float)) or not isfinite(value) or value < 0.0:
        raise ValueError("an age is wrong")
    return float(value)
