"""Which endpoint of a service takes a forwarded request.

An engine's score is the time to the first event that it is expected to give:
the prompt tokens that wait before this request and those of its own that the
engine must read, at the rate seen lately, and what a full batch adds. Requests
of one session go to the same engine where that costs little, since it still
holds the session's part of the prompt; relays that never met the session agree
on its home by rendezvous hashing. Where engines can pass memory on, one that
lacks parts of a prompt fetches them from the engine that most likely holds them.
"""

from collections.abc import Iterable, Mapping, Sequence
from math import inf
from types import MappingProxyType
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

from ebonydeal._internal.models.forwarding import Member, PromptPart
from ebonydeal._internal.routing.limits.demand import RateMeter
from ebonydeal._internal.routing.placement.endpoint_load import EndpointLoad, Sent, Told
from ebonydeal._internal.routing.placement.engine_speed import EngineSpeed
from ebonydeal._internal.settings.policy import PolicySettings

# A request beyond the batch waits for one that ends, about this long.
_SLOT_WAIT_S = 0.5
# Running requests slow a step: share of the fixed time at a full batch.
_BATCH_SLOWDOWN_S = 0.1
# Another zone costs the way there and back, and bytes between zones.
_OTHER_ZONE_S = 0.003
# An endpoint that leaves cuts off what runs longer than expected, or costs a move.
_LEAVING_S = 0.05
# A fetch takes a few milliseconds whatever its size.
_FETCH_S = 0.004
# Fetched tokens are paid for at about a third of what reading them again costs,
# so sending the request to where they lie is still better.
_FETCH_WEIGHT = 0.5
# An endpoint that fails all of its answers costs as much as waiting this long, about
# the objective of a stream; shares of plain endpoints are alike within a step.
_FAILING_S = 1.0
_FAILING_STEP = 0.1
# Part of the batch beyond which other relays' unseen sends may fill it.
_SEATS_KEPT = 0.95
# Time over which the work asked of a service is averaged.
_WORK_WINDOW_S = 4.0


class ChoiceTerms(NamedTuple):
    """Terms of the choice; `PolicySettings` says what each does.

    Connections to endpoints that have none open are paid for with about a fiftieth
    of a request, and take a way there and back.
    """

    home_trust: float = 0.8
    fetch_tokens: int = 400
    reread_weight: float = 1.5
    long_prompts: bool = True
    others_loads: bool = True
    others_age: bool = True
    connect_cost: float = 0.006

    @classmethod
    def from_config(cls, cfg: PolicySettings) -> "ChoiceTerms":
        """Build from settings."""
        return cls(
            cfg.home_trust,
            cfg.fetch_tokens,
            cfg.reread_weight,
            cfg.long_prompts,
            cfg.others_loads,
            cfg.others_age,
            cfg.connect_cost_s,
        )


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
    terms : ChoiceTerms, optional
        What is weighed, and how much.
    """

    def __init__(self, keep: float, terms: ChoiceTerms | None = None) -> None:
        self._keep = keep
        self._terms = terms or ChoiceTerms()
        self._signs: dict[str, float] = {}
        self._loads: dict[str, EndpointLoad] = {}
        self._work: dict[str, RateMeter] = {}
        self.speed = EngineSpeed(self._terms.long_prompts)

    def _load(self, endpoint_id: str) -> EndpointLoad:
        load = self._loads.get(endpoint_id)
        if load is None:
            load = self._loads[endpoint_id] = EndpointLoad()
        return load

    # --- what is known -------------------------------------------------------
    def told(self, loads: dict[str, Told]) -> None:
        """Take what the other relays have at each endpoint."""
        if not self._terms.others_loads:
            return
        for endpoint_id, load in self._loads.items():
            load.told = loads.get(endpoint_id, Told())
        for endpoint_id, told in loads.items():
            self._load(endpoint_id).told = told

    def reads_until(self, endpoint_id: str, until: float) -> None:
        """Note that an endpoint reads a long prompt of another relay."""
        load = self._load(endpoint_id)
        load.reads_until = max(load.reads_until, until)

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
        return 0 if load is None else load.all_running

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
                self._signs.pop(endpoint_id, None)

    def forget(self, endpoint_id: str) -> None:
        """Drop what is known of an endpoint that started again: it holds nothing."""
        self._loads.pop(endpoint_id, None)
        self._signs.pop(endpoint_id, None)

    def heard(self, endpoint_id: str, now: float) -> None:
        """Note a sign of life of an endpoint."""
        self._signs[endpoint_id] = now

    def silent_for(self, endpoint_id: str, now: float) -> float:
        """Return the seconds since an endpoint's last sign of life."""
        return now - self._signs.get(endpoint_id, -inf)

    # --- choice ----------------------------------------------------------------
    def engine(
        self,
        ask: Ask,
        members: Sequence[Member],
        now: float,
        failing: Mapping[str, float] = MappingProxyType({}),
    ) -> Score | None:
        """Return the best engine for ``ask``, or None without members.

        ``failing`` are the shares of answers that endpoints fail.
        """
        if not members:
            return None
        home = home_of(ask.parts, members)
        held = [self._held(ask, m.endpoint_id, home, now) for m in members]
        source = _Held()
        if ask.fetches and self._terms.fetch_tokens:
            # The engine that most likely holds most of the shared parts.
            index = max(range(len(held)), key=held.__getitem__)
            source = _Held(members[index].endpoint_id, held[index])
        return min(
            self._score(
                ask,
                member,
                tokens,
                source,
                now,
                failing.get(member.endpoint_id, 0.0) * _FAILING_S,
            )
            for member, tokens in zip(members, held, strict=True)
        )

    def plain(
        self,
        zone: str,
        members: Sequence[Member],
        failing: Mapping[str, float] = MappingProxyType({}),
    ) -> Member | None:
        """Return the plain service's endpoint with the most room.

        One that fails a part of its answers is taken where the others are full,
        or fail as much.
        """
        if not members:
            return None

        def key(member: Member) -> tuple[bool, int, float, bool, float, str]:
            fails = round(failing.get(member.endpoint_id, 0.0) / _FAILING_STEP)
            used = self.running(member.endpoint_id) / max(1, member.slots)
            full = used >= 1.0
            rough = used if full else round(used * 2)
            other = member.zone != zone
            return (full, fails, rough, other, used, member.endpoint_id)

        return min(members, key=key)

    def _score(
        self,
        ask: Ask,
        member: Member,
        held: float,
        source: _Held,
        now: float,
        failing: float,
    ) -> Score:
        load = self._load(member.endpoint_id)
        fetched = max(0.0, source.tokens - held)
        if (
            fetched < self._terms.fetch_tokens
            or source.endpoint_id == member.endpoint_id
        ):
            fetched = 0.0
        missed = max(0.0, ask.prompt_tokens - held - fetched)
        running = load.all_running
        seats = max(1.0, member.slots * _SEATS_KEPT)
        batch = _BATCH_SLOWDOWN_S * running / seats
        if running >= seats:
            batch += _SLOT_WAIT_S * (1.0 + (running - seats) / seats)
        wait = load.wait(self.speed.rate, now, self._terms.others_age)
        read = self.speed.reading(missed) * self._terms.reread_weight
        fetch = _FETCH_S + fetched * _FETCH_WEIGHT / self.speed.rate if fetched else 0.0
        zone = 0.0 if member.zone == ask.zone else _OTHER_ZONE_S
        total = wait + read + fetch + batch + zone + member.warmup_left + failing
        if member.leaving:
            total += _LEAVING_S
        if member.endpoint_id not in ask.connected:
            total += self._terms.connect_cost
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

    def _held(self, ask: Ask, endpoint_id: str, home: str, now: float) -> float:
        """Return the tokens of shared parts that an engine is expected to hold."""
        seen = self._load(endpoint_id).parts
        held = 0.0
        for part in ask.parts[:-1]:
            at = seen.get(part.part_id)
            if at is not None and now - at <= self._keep:
                held += part.tokens
            elif endpoint_id == home:
                held += part.tokens * self._terms.home_trust
            else:
                break
        return held

    # --- life of a request -----------------------------------------------------
    def sent(self, ask: Ask, member: Member, missed: float, now: float) -> Sent:
        """Note that a request goes to ``member``, which must read ``missed``."""
        load = self._load(member.endpoint_id)
        load.running += 1
        unread = self.speed.reading(missed) * self.speed.rate
        load.unread += unread
        meter = self._work.setdefault(member.service, RateMeter(_WORK_WINDOW_S))
        meter.add(unread / self.speed.rate, now)
        load.note_parts([part.part_id for part in ask.parts], now, self._keep)
        return Sent(member.endpoint_id, missed, unread, now, load)

    def began(self, sent: Sent, now: float) -> Sent:
        """Note the first event of a request; returns what `ended` gets."""
        load = sent.load
        load.unread = max(0.0, load.unread - sent.unread)
        if self._loads.get(sent.endpoint_id) is load:
            self.heard(sent.endpoint_id, now)
        self.speed.first_event(sent.missed, now - sent.at)
        return sent._replace(missed=0.0, unread=0.0)

    def ended(self, sent: Sent) -> None:
        """Note that a request is over, well or not."""
        load = sent.load
        load.running = max(0, load.running - 1)
        load.unread = max(0.0, load.unread - sent.unread)


def home_of(parts: tuple[PromptPart, ...], members: Sequence[Member]) -> str:
    """Return the endpoint where a session's shared parts are kept."""
    if len(parts) < 2 or not members:
        return ""
    session = f"{parts[-2].part_id}\0"
    ids = [member.endpoint_id for member in members]
    return max(ids, key=lambda name: xxh3_64_intdigest((session + name).encode()))
