"""Which endpoint of a service takes a forwarded request.

An engine's score is the time to the first event that it is expected to give:
the prompt tokens that wait before this request and those of its own that the
engine must read, at the rate seen lately, and what a full batch adds. Requests
of one session go to the same engine where that costs little, since it still
holds the session's part of the prompt; relays that never met the session agree
on its home by rendezvous hashing. Where engines can pass memory on, one that
lacks parts of a prompt fetches them from the engine that most likely holds them.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

from ebonydeal._internal.models.forwarding import Member, PromptPart
from ebonydeal._internal.routing.demand import RateMeter

# Reading rate and fixed time assumed before any answer was seen; both are
# replaced by what answers show within a few requests.
_FIRST_RATE = 50_000.0
_FIRST_BASE_S = 0.08
# Weights of samples above and below what is held; four to one makes the rate
# settle near the upper fifth of them.
_RATE_UP = 0.12
_RATE_DOWN = 0.03
_RATE_MOST_STEP = 3.0
# Shorter prompts show the fixed time, longer ones the rate.
_BASE_MOST_TOKENS = 600
_BASE_DRIFT = 0.02
_RATE_LEAST_TOKENS = 3000
# A request beyond the batch waits for one that ends, about this long.
_SLOT_WAIT_S = 0.5
# Running requests slow a step: share of the fixed time at a full batch.
_BATCH_SLOWDOWN_S = 0.1
# Another zone costs the way there and back, and bytes between zones.
_OTHER_ZONE_S = 0.003
# A new connection costs the way there and back and work at both ends, and is paid
# for with about a fiftieth of a request.
_CONNECT_S = 0.006
# An endpoint that leaves cuts off what runs longer than expected, or costs a move.
_LEAVING_S = 0.05
# Seconds for one output token assumed before any stream ended, and the weight of
# a stream in the average.
_FIRST_PACE_S = 0.02
_PACE_WEIGHT = 0.05
# Trust that a session's home holds its parts when this relay didn't send them.
_HOME_TRUST = 0.8
# A part read again is paid for besides the time that it takes.
_REREAD_WEIGHT = 1.5
# Parts are fetched from another engine from this many tokens on: a fetch takes a
# few milliseconds whatever its size.
_FETCH_LEAST_TOKENS = 400
_FETCH_S = 0.004
# Fetched tokens are paid for at about a third of what reading them again costs,
# so sending the request to where they lie is still better.
_FETCH_WEIGHT = 0.5
# Part of the batch beyond which other relays' unseen sends may fill it.
_SEATS_KEPT = 0.95
# Time over which the work asked of a service is averaged.
_WORK_WINDOW_S = 4.0


class Ask(NamedTuple):
    """What is known of a request when its endpoint is chosen.

    ``fetches`` tells that engines of the service pass memory to each other;
    ``connected`` are endpoints to which an idle connection is open.
    """

    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    zone: str
    fetches: bool = False
    connected: frozenset[str] = frozenset()


class _Held(NamedTuple):
    """An engine and the prompt tokens that it likely holds."""

    endpoint_id: str = ""
    tokens: float = 0.0


class Told(NamedTuple):
    """What other relays have at an endpoint: requests, and tokens to be read."""

    running: int = 0
    unread: float = 0.0
    at: float = 0.0


class Sent(NamedTuple):
    """A request that was sent; give it back to `MemberChoice.ended`."""

    endpoint_id: str
    missed: float
    at: float


class _Load:
    """One endpoint as this relay knows it."""

    def __init__(self) -> None:
        self.running = 0
        self.unread = 0.0
        self.told = Told()
        self.parts: OrderedDict[str, float] = OrderedDict()


class Score(NamedTuple):
    """An endpoint's terms, in seconds, lowest total first.

    ``missed`` are tokens that it must read; ``source`` is the endpoint that it
    should fetch parts of the prompt from, or empty.
    """

    total: float
    endpoint_id: str
    wait: float
    read: float
    fetch: float
    batch: float
    zone: float
    missed: float
    source: str


class MemberChoice:
    """State of the choice at one relay.

    Parameters
    ----------
    keep : float
        Seconds for which a part that was read is held to be in memory.
    """

    def __init__(self, keep: float) -> None:
        self._keep = keep
        self._loads: dict[str, _Load] = {}
        self._work: dict[str, RateMeter] = {}
        self.rate = _FIRST_RATE
        self.base = _FIRST_BASE_S
        self._pace = _FIRST_PACE_S

    def _load(self, endpoint_id: str) -> _Load:
        load = self._loads.get(endpoint_id)
        if load is None:
            load = self._loads[endpoint_id] = _Load()
        return load

    # --- what is known -------------------------------------------------------
    def told(self, loads: dict[str, Told]) -> None:
        """Take what the other relays have at each endpoint."""
        for endpoint_id, load in self._loads.items():
            load.told = loads.get(endpoint_id, Told())
        for endpoint_id, told in loads.items():
            self._load(endpoint_id).told = told

    def own(self) -> dict[str, Told]:
        """Return what this relay has at each endpoint."""
        return {
            endpoint_id: Told(load.running, load.unread)
            for endpoint_id, load in self._loads.items()
            if load.running
        }

    def work(self, now: float) -> dict[str, float]:
        """Return seconds of an endpoint's time asked for a second, by service."""
        return {name: meter.rate(now) for name, meter in self._work.items()}

    def running(self, endpoint_id: str) -> int:
        """Return how many requests all relays have there, as far as known."""
        load = self._loads.get(endpoint_id)
        return 0 if load is None else load.running + load.told.running

    def told_age(self, endpoint_id: str, now: float) -> float | None:
        """Return how old the others' word on an endpoint is, seconds."""
        load = self._loads.get(endpoint_id)
        if load is None or load.told.at <= 0.0:
            return None
        return round(now - load.told.at, 3)

    def keep_only(self, endpoint_ids: Iterable[str]) -> None:
        """Forget endpoints that are gone."""
        known = set(endpoint_ids)
        for endpoint_id in [e for e in self._loads if e not in known]:
            if not self._loads[endpoint_id].running:
                del self._loads[endpoint_id]

    # --- choice ----------------------------------------------------------------
    def engine(self, ask: Ask, members: Sequence[Member], now: float) -> Score | None:
        """Return the best engine for ``ask``, or None without members."""
        if not members:
            return None
        home = home_of(ask.parts, members)
        held = [self._held(ask, m.endpoint_id, home, now) for m in members]
        source = _Held()
        if ask.fetches:
            # The engine that most likely holds most of the shared parts.
            index = max(range(len(held)), key=held.__getitem__)
            source = _Held(members[index].endpoint_id, held[index])
        return min(
            self._score(ask, member, tokens, source, now)
            for member, tokens in zip(members, held, strict=True)
        )

    def plain(self, zone: str, members: Sequence[Member]) -> Member | None:
        """Return the plain service's endpoint with the most room."""
        if not members:
            return None

        def key(member: Member) -> tuple[bool, float, bool, float, str]:
            used = self.running(member.endpoint_id) / max(1, member.slots)
            full = used >= 1.0
            rough = used if full else round(used * 2)
            other = member.zone != zone
            return (full, rough, other, used, member.endpoint_id)

        return min(members, key=key)

    def _score(
        self, ask: Ask, member: Member, held: float, source: _Held, now: float
    ) -> Score:
        load = self._load(member.endpoint_id)
        fetched = max(0.0, source.tokens - held)
        if fetched < _FETCH_LEAST_TOKENS or source.endpoint_id == member.endpoint_id:
            fetched = 0.0
        missed = max(0.0, ask.prompt_tokens - held - fetched)
        running = load.running + load.told.running
        seats = max(1.0, member.slots * _SEATS_KEPT)
        batch = _BATCH_SLOWDOWN_S * running / seats
        if running >= seats:
            batch += _SLOT_WAIT_S * (1.0 + (running - seats) / seats)
        wait = load.unread / self.rate + self._told_wait(load.told, now)
        read = missed * _REREAD_WEIGHT / self.rate
        fetch = _FETCH_S + fetched * _FETCH_WEIGHT / self.rate if fetched else 0.0
        zone = 0.0 if member.zone == ask.zone else _OTHER_ZONE_S
        total = wait + read + fetch + batch + zone + member.warming
        if member.leaving:
            total += _LEAVING_S
        if member.endpoint_id not in ask.connected:
            total += _CONNECT_S
        return Score(
            total,
            member.endpoint_id,
            wait,
            read,
            fetch,
            batch,
            zone,
            missed,
            source.endpoint_id if fetched else "",
        )

    def _told_wait(self, told: Told, now: float) -> float:
        """Return the seconds of reading left of what others had there.

        The word is older than most prompts take to read: without this, engines
        would be avoided for work that was done long ago.
        """
        return max(0.0, told.unread / self.rate - max(0.0, now - told.at))

    def _held(self, ask: Ask, endpoint_id: str, home: str, now: float) -> float:
        """Return the tokens of shared parts that an engine is expected to hold."""
        seen = self._load(endpoint_id).parts
        held = 0.0
        for part in ask.parts[:-1]:
            at = seen.get(part.part_id)
            if at is not None and now - at <= self._keep:
                held += part.tokens
            elif endpoint_id == home:
                held += part.tokens * _HOME_TRUST
            else:
                break
        return held

    # --- life of a request -----------------------------------------------------
    def sent(self, ask: Ask, member: Member, missed: float, now: float) -> Sent:
        """Note that a request goes to ``member``, which must read ``missed``."""
        load = self._load(member.endpoint_id)
        load.running += 1
        load.unread += missed
        meter = self._work.setdefault(member.service, RateMeter(_WORK_WINDOW_S))
        meter.add(missed / self.rate, now)
        for part in ask.parts:
            load.parts[part.part_id] = now
            load.parts.move_to_end(part.part_id)
        while load.parts and now - next(iter(load.parts.values())) > self._keep:
            load.parts.popitem(last=False)
        return Sent(member.endpoint_id, missed, now)

    def began(self, sent: Sent, now: float) -> Sent:
        """Note the first event of a request; returns what `ended` gets."""
        load = self._load(sent.endpoint_id)
        load.unread = max(0.0, load.unread - sent.missed)
        self._learn(sent, now)
        return sent._replace(missed=0.0)

    def _learn(self, sent: Sent, now: float) -> None:
        """Take the reading rate and the fixed time from one first event."""
        took = now - sent.at
        if sent.missed < _BASE_MOST_TOKENS:
            # The fixed time is the least that is seen, and forgets slowly.
            self.base = min(took, self.base + _BASE_DRIFT * (took - self.base))
            return
        spare = took - self.base
        if sent.missed < _RATE_LEAST_TOKENS or spare <= 0.0:
            return
        rate = min(sent.missed / spare, _RATE_MOST_STEP * self.rate)
        # Waiting behind others only ever lowers a sample, so those that are
        # higher say more of what the engine can do.
        weight = _RATE_UP if rate > self.rate else _RATE_DOWN
        self.rate += weight * (rate - self.rate)

    def paced(self, tokens: int, seconds: float) -> None:
        """Note how long a whole stream took after its first event."""
        if tokens > 0 and seconds > 0.0:
            self._pace += _PACE_WEIGHT * (seconds / tokens - self._pace)

    def duration(self, tokens: int) -> float:
        """Return the seconds that an answer of so many tokens is expected to take."""
        return self.base + tokens * self._pace

    def ended(self, sent: Sent) -> None:
        """Note that a request is over, well or not."""
        load = self._load(sent.endpoint_id)
        load.running = max(0, load.running - 1)
        load.unread = max(0.0, load.unread - sent.missed)


def home_of(parts: tuple[PromptPart, ...], members: Sequence[Member]) -> str:
    """Return the endpoint where a session's shared parts are kept."""
    if len(parts) < 2 or not members:
        return ""
    session = f"{parts[-2].part_id}\0"
    ids = [member.endpoint_id for member in members]
    return max(ids, key=lambda name: xxh3_64_intdigest((session + name).encode()))
