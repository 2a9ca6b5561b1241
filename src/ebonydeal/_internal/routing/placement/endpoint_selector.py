"""Selects the endpoint of a service for a forwarded request.

An engine's score is its expected time to the first event: the prefill work queued
before this request and the request's own uncached tokens, at the recent prefill rate,
plus the delay of a full batch. Requests of one session go to the same engine where
that costs little, since it still caches the session's part of the prompt. Relays that
have no state of the session agree on its home by rendezvous hashing. Where engines can
transfer KV cache, one that lacks parts of a prompt fetches them from the engine that
most likely holds them.
"""

from collections.abc import Iterable, Mapping, Sequence
from math import inf
from types import MappingProxyType
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

from ebonydeal._internal.models.forwarding import Member, PromptPart
from ebonydeal._internal.routing.capacity.engine_speeds import (
    EngineSpeeds,
    SentPrompt,
)
from ebonydeal._internal.routing.limits.demand import RateMeter
from ebonydeal._internal.routing.placement.endpoint_load import (
    EndpointLoad,
    ReportedLoad,
    SentRequest,
)
from ebonydeal._internal.routing.placement.engine_speed import EngineSpeed
from ebonydeal._internal.routing.placement.plain_choice import (
    FAILURE_COST_S,
    OTHER_ZONE_S,
    CapacityView,
    choose_plain,
)
from ebonydeal._internal.settings.policy import PolicySettings

# A request beyond the batch waits about this long for a running one to end.
_SLOT_WAIT_S = 0.5
# Running requests slow down each step; this is the added time at a full batch.
_BATCH_SLOWDOWN_S = 0.1
# A leaving endpoint breaks off requests that run longer than expected, or they must be
# migrated.
_LEAVING_S = 0.05
# A fetch takes a few milliseconds whatever its size.
_FETCH_S = 0.004
# Fetched tokens cost about a third of prefilling them again, so sending the request to
# the endpoint that holds them is still better.
_FETCH_WEIGHT = 0.5
# Failure rates of plain endpoints are compared in steps.
_FAILURE_RATE_STEP = 0.1
# Share of the batch that is used: other relays' sends that aren't reported yet may
# fill the remainder.
_USABLE_BATCH_SHARE = 0.95
# Time over which a service's demand for work is averaged.
_WORK_WINDOW_S = 4.0


class SelectionConfig(NamedTuple):
    """Parameters of the selection; `PolicySettings` describes each.

    Opening a connection costs about a fiftieth of a request, and a round trip.
    """

    home_trust: float = 0.8
    fetch_tokens: int = 400
    prefill_weight: float = 1.5
    long_prompts: bool = True
    others_loads: bool = True
    others_age: bool = True
    connect_cost: float = 0.006
    learn_speeds: bool = False

    @classmethod
    def from_config(cls, cfg: PolicySettings) -> "SelectionConfig":
        """Build from settings."""
        return cls(
            cfg.home_trust,
            cfg.fetch_tokens,
            cfg.reread_weight,
            cfg.long_prompts,
            cfg.others_loads,
            cfg.others_age,
            cfg.connect_cost_s,
            cfg.learn_speeds,
        )


class SelectionRequest(NamedTuple):
    """The properties of a request that the selection needs.

    ``fetches`` says that engines of the service can fetch KV cache from each other.
    ``connected`` are the endpoints to which an idle connection is open.
    """

    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    zone: str
    fetches: bool = False
    connected: frozenset[str] = frozenset()


class _CachedPrompt(NamedTuple):
    """An engine and the prompt tokens that it is expected to have cached."""

    endpoint_id: str = ""
    tokens: float = 0.0


class Score(NamedTuple):
    """An endpoint's score and its terms, in seconds; the lowest total is best.

    ``uncached_tokens`` are the tokens that it must prefill. ``source`` is the endpoint
    from which it should fetch parts of the prompt, or empty. ``speed`` is the engine's
    learned speed, which ``wait``, ``prefill`` and ``batch`` include.
    """

    total: float
    endpoint_id: str
    wait: float
    prefill: float
    fetch: float
    batch: float
    zone: float
    uncached_tokens: float
    source: str
    speed: float = 1.0


class EndpointSelector:
    """Selects endpoints for one relay, by its own view of their load.

    Parameters
    ----------
    cache_ttl_s : float
        Seconds for which a prefilled part is assumed to stay cached.
    config : SelectionConfig, optional
        Weights and switches.
    """

    def __init__(
        self, cache_ttl_s: float, config: SelectionConfig | None = None
    ) -> None:
        self._cache_ttl_s = cache_ttl_s
        self._config = config or SelectionConfig()
        self._last_activity: dict[str, float] = {}
        self._loads: dict[str, EndpointLoad] = {}
        self._work_meters: dict[str, RateMeter] = {}
        self.speed = EngineSpeed(self._config.long_prompts)
        self.speeds = EngineSpeeds(self._config.learn_speeds)

    def _load(self, endpoint_id: str) -> EndpointLoad:
        load = self._loads.get(endpoint_id)
        if load is None:
            load = self._loads[endpoint_id] = EndpointLoad()
        return load

    # --- view of endpoints ---------------------------------------------------
    def update_reported_loads(self, loads: dict[str, ReportedLoad]) -> None:
        """Replace the load that other relays have at each endpoint."""
        if not self._config.others_loads:
            return
        for endpoint_id, load in self._loads.items():
            load.reported = loads.get(endpoint_id, ReportedLoad())
        for endpoint_id, reported in loads.items():
            self._load(endpoint_id).reported = reported

    def mark_prefilling(self, endpoint_id: str, until: float) -> None:
        """Record that an endpoint prefills a long prompt of another relay."""
        load = self._load(endpoint_id)
        load.prefilling_until = max(load.prefilling_until, until)

    def own_loads(self) -> dict[str, ReportedLoad]:
        """Return this relay's load at each endpoint."""
        return {
            endpoint_id: ReportedLoad(load.running, load.pending_prefill_tokens)
            for endpoint_id, load in self._loads.items()
            if load.running
        }

    def work_rates(self, now: float) -> dict[str, float]:
        """Return the requested prefill work by service, endpoint seconds per second."""
        return {name: meter.rate(now) for name, meter in self._work_meters.items()}

    def running_requests(self, endpoint_id: str) -> int:
        """Return the requests of all relays at an endpoint, as far as known."""
        load = self._loads.get(endpoint_id)
        return 0 if load is None else load.all_running

    def own_running(self, endpoint_id: str) -> int:
        """Return this relay's requests at an endpoint."""
        load = self._loads.get(endpoint_id)
        return 0 if load is None else load.running

    def report_age(self, endpoint_id: str, now: float) -> float | None:
        """Return the age of other relays' report on an endpoint, seconds."""
        load = self._loads.get(endpoint_id)
        if load is None or load.reported.at <= 0.0:
            return None
        return round(now - load.reported.at, 3)

    def retain_only(self, endpoint_ids: Iterable[str]) -> None:
        """Forget all endpoints but these, except those with requests in flight."""
        known = set(endpoint_ids)
        for endpoint_id in [e for e in self._loads if e not in known]:
            if not self._loads[endpoint_id].running:
                del self._loads[endpoint_id]
                self._last_activity.pop(endpoint_id, None)
        self.speeds.retain_only(known)

    def forget(self, endpoint_id: str) -> None:
        """Drop the state of an endpoint that restarted: its cache is empty."""
        self._loads.pop(endpoint_id, None)
        self._last_activity.pop(endpoint_id, None)
        self.speeds.forget(endpoint_id)

    def record_activity(self, endpoint_id: str, now: float) -> None:
        """Record that an endpoint sent something."""
        self._last_activity[endpoint_id] = now

    def seconds_since_activity(self, endpoint_id: str, now: float) -> float:
        """Return the seconds since an endpoint last sent something."""
        return now - self._last_activity.get(endpoint_id, -inf)

    # --- selection -------------------------------------------------------------
    def select_engine(
        self,
        request: SelectionRequest,
        members: Sequence[Member],
        now: float,
        failing: Mapping[str, float] = MappingProxyType({}),
    ) -> Score | None:
        """Return the best engine for ``request``, or None without members.

        ``failing`` are the failure rates of endpoints.
        """
        if not members:
            return None
        home = session_home(request.parts, members)
        cached = [
            self._expected_cached(request, m.endpoint_id, home, now) for m in members
        ]
        source = _CachedPrompt()
        if request.fetches and self._config.fetch_tokens:
            # The engine that is expected to have cached most of the shared parts.
            index = max(range(len(cached)), key=cached.__getitem__)
            source = _CachedPrompt(members[index].endpoint_id, cached[index])
        return min(
            self._score(
                request,
                member,
                tokens,
                source,
                now,
                failing.get(member.endpoint_id, 0.0) * FAILURE_COST_S,
            )
            for member, tokens in zip(members, cached, strict=True)
        )

    def select_plain(
        self,
        zone: str,
        members: Sequence[Member],
        failing: Mapping[str, float] = MappingProxyType({}),
        view: CapacityView | None = None,
    ) -> Member | None:
        """Return the plain service's endpoint with the most free capacity.

        An endpoint that fails part of its answers is selected only if all others are
        full or fail as often. With ``view``, the endpoint that is expected to answer
        first, if anything is known of the service's endpoints.
        """
        if not members:
            return None
        if view is not None:
            chosen = choose_plain(zone, members, failing, view)
            if chosen is not None:
                return chosen

        def key(member: Member) -> tuple[bool, int, float, bool, float, str]:
            failures = round(failing.get(member.endpoint_id, 0.0) / _FAILURE_RATE_STEP)
            used = self.running_requests(member.endpoint_id) / max(1, member.slots)
            full = used >= 1.0
            rounded = used if full else round(used * 2)
            other_zone = member.zone != zone
            return (full, failures, rounded, other_zone, used, member.endpoint_id)

        return min(members, key=key)

    def _score(
        self,
        request: SelectionRequest,
        member: Member,
        cached: float,
        source: _CachedPrompt,
        now: float,
        failure_cost: float,
    ) -> Score:
        load = self._load(member.endpoint_id)
        fetched = max(0.0, source.tokens - cached)
        if (
            fetched < self._config.fetch_tokens
            or source.endpoint_id == member.endpoint_id
        ):
            fetched = 0.0
        uncached_tokens = max(0.0, request.prompt_tokens - cached - fetched)
        running = load.all_running
        slots = max(1.0, member.slots * _USABLE_BATCH_SHARE)
        batch = _BATCH_SLOWDOWN_S * running / slots
        if running >= slots:
            batch += _SLOT_WAIT_S * (1.0 + (running - slots) / slots)
        speed = self.speeds.speed(member, now)
        batch /= speed
        wait = load.prefill_wait(
            self.speed.prefill_rate * speed, now, self._config.others_age
        )
        prefill = (
            self.speed.prefill_seconds(uncached_tokens)
            * self._config.prefill_weight
            / speed
        )
        fetch = (
            _FETCH_S + fetched * _FETCH_WEIGHT / self.speed.prefill_rate
            if fetched
            else 0.0
        )
        zone = 0.0 if member.zone == request.zone else OTHER_ZONE_S
        total = (
            wait + prefill + fetch + batch + zone + member.warmup_left + failure_cost
        )
        if member.leaving:
            total += _LEAVING_S
        if member.endpoint_id not in request.connected:
            total += self._config.connect_cost
        return Score(
            total,
            member.endpoint_id,
            wait,
            prefill,
            fetch,
            batch,
            zone,
            uncached_tokens,
            source.endpoint_id if fetched else "",
            speed,
        )

    def _expected_cached(
        self, request: SelectionRequest, endpoint_id: str, home: str, now: float
    ) -> float:
        """Return the tokens of shared parts that an engine is expected to cache."""
        sent_at = self._load(endpoint_id).part_sent_at
        cached = 0.0
        for part in request.parts[:-1]:
            at = sent_at.get(part.part_id)
            if at is not None and now - at <= self._cache_ttl_s:
                cached += part.tokens
            elif endpoint_id == home:
                cached += part.tokens * self._config.home_trust
            else:
                break
        return cached

    # --- progress of a request -------------------------------------------------
    def record_sent(
        self,
        request: SelectionRequest,
        member: Member,
        uncached_tokens: float,
        now: float,
        prompt: SentPrompt | None = None,
    ) -> SentRequest:
        """Record that a request is sent to ``member``.

        ``prompt`` is what is expected of its prefill, None to learn no speed from it.
        """
        load = self._load(member.endpoint_id)
        load.running += 1
        pending_prefill_tokens = (
            self.speed.prefill_seconds(uncached_tokens) * self.speed.prefill_rate
        )
        load.pending_prefill_tokens += pending_prefill_tokens
        meter = self._work_meters.setdefault(member.service, RateMeter(_WORK_WINDOW_S))
        meter.add(pending_prefill_tokens / self.speed.prefill_rate, now)
        load.record_parts(
            [part.part_id for part in request.parts], now, self._cache_ttl_s
        )
        return SentRequest(
            member.endpoint_id,
            uncached_tokens,
            pending_prefill_tokens,
            now,
            load,
            prompt,
        )

    def record_first_event(self, sent: SentRequest, now: float) -> SentRequest:
        """Record a request's first event; returns the value for `record_end`."""
        load = sent.load
        load.pending_prefill_tokens = max(
            0.0, load.pending_prefill_tokens - sent.pending_prefill_tokens
        )
        if self._loads.get(sent.endpoint_id) is load:
            self.record_activity(sent.endpoint_id, now)
        seconds, speed = now - sent.sent_at, 1.0
        if sent.prompt is not None:
            speed = self.speeds.speed(sent.prompt.member, now)
            self.speeds.record_first_event(
                sent.prompt, seconds - self.speed.base_latency_s, now
            )
        self.speed.record_first_event(sent.uncached_tokens, seconds, speed)
        return sent._replace(
            uncached_tokens=0.0, pending_prefill_tokens=0.0, prompt=None
        )

    def record_stream(
        self, member: Member, tokens: int, seconds: float, now: float
    ) -> None:
        """Record the duration of a complete stream after its first event."""
        speed = self.speeds.speed(member, now)
        self.speeds.record_stream(member, tokens, seconds, self.speed.token_s, now)
        self.speed.record_stream(tokens, seconds, speed)

    def record_end(self, sent: SentRequest) -> None:
        """Record that a request ended, successfully or not."""
        load = sent.load
        load.running = max(0, load.running - 1)
        load.pending_prefill_tokens = max(
            0.0, load.pending_prefill_tokens - sent.pending_prefill_tokens
        )


def session_home(parts: tuple[PromptPart, ...], members: Sequence[Member]) -> str:
    """Return the endpoint at which a session's shared parts should be cached."""
    if len(parts) < 2 or not members:
        return ""
    session = f"{parts[-2].part_id}\0"
    ids = [member.endpoint_id for member in members]
    return max(ids, key=lambda name: xxh3_64_intdigest((session + name).encode()))
