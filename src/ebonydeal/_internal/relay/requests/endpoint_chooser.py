"""Choice of the endpoint for a request among those listed."""

from collections.abc import Sequence, Set
from math import inf
from typing import NamedTuple

from ebonydeal._internal.models.forwarding import EngineCapabilities, Member
from ebonydeal._internal.relay.requests.job import Job, SendParts
from ebonydeal._internal.routing.admission.others_share import ServiceLoad
from ebonydeal._internal.routing.capacity.engine_speeds import SentPrompt
from ebonydeal._internal.routing.crashes.quarantine import QuarantineStatus
from ebonydeal._internal.routing.placement.endpoint_selector import (
    Score,
    SelectionRequest,
)
from ebonydeal._internal.routing.placement.plain_choice import CapacityView

# Expected durations are right at the median only: a request may take this many times
# longer.
_DURATION_MARGIN = 1.5

# Requests in flight at an endpoint that count as none: those of others are estimated.
_RUNNING_TOLERANCE = 0.05


class EndpointChoice(NamedTuple):
    """The endpoint for the next send.

    ``uncached_tokens`` are those that it must prefill, ``expected`` the seconds to
    the first event, if known. ``source`` is the address of an endpoint to fetch the
    KV cache of parts of the prompt from, or empty. ``prompt`` is what is expected of
    the prefill, for the engine's learned speed; None if nothing can be learned.
    """

    member: Member
    uncached_tokens: float
    expected: float | None
    source: str = ""
    prompt: SentPrompt | None = None

    @property
    def speed(self) -> float:
        """The engine's learned speed; 1.0 if none is known."""
        return 1.0 if self.prompt is None else self.prompt.speed


class EndpointChooser:
    """Chooses endpoints for one request by what the relay knows of them."""

    def __init__(self, parts: SendParts, job: Job) -> None:
        self._parts = parts
        self._job = job
        # Whether the request already took part in the roll-out's traffic split.
        self._split_done = False
        # The version that began the stream, at which alone it may continue.
        self.version: str | None = None
        # Endpoints in backoff, or at their rate limit, at the last choice.
        self.unavailable: list[str] = []

    @property
    def engine(self) -> EngineCapabilities | None:
        """Capabilities of the service's engines; None for plain services."""
        index = self._parts.view.index
        service = None if index is None else index.table.services.get(self._job.service)
        return None if service is None else service.engine

    def selection_request(
        self, connected: frozenset[str] = frozenset()
    ) -> SelectionRequest:
        """Return the selector's input; ``connected`` ones have an idle connection."""
        req, engine = self._job.req, self.engine
        can_fetch = engine is not None and engine.can_migrate_runs
        tokens = req.prompt_tokens or 0
        return SelectionRequest(
            req.parts, tokens, self._parts.zone, can_fetch, connected
        )

    def find(self, avoid: Set[str], resend: bool = False) -> EndpointChoice | None:
        """Return the best endpoint that isn't among ``avoid``, or None.

        ``resend`` says that the request was sent before: during a roll-out, resends
        go to the old version.
        """
        parts, job = self._parts, self._job
        now = parts.clock.now()
        listed = self._available(avoid, now)
        if self.version is not None or not parts.split.has_rollout(job.service):
            return self._best(listed, now)
        first, self._split_done = not self._split_done, True
        version = parts.split.choose_version(
            job.service, job.route.name, listed, now, resend, first
        )
        found = self._best(version.members, now)
        if found is None and version.is_new:
            # No endpoint of the new version can take the request now.
            version = parts.split.choose_version(
                job.service, job.route.name, listed, now, resend=True, first=False
            )
            found = self._best(version.members, now)
        return found

    def may_serve(self, member: Member) -> bool:
        """Return whether an endpoint's version may serve the request."""
        if self.version is None:
            return True
        split = self._parts.split
        return member.version == self.version and not split.is_barred(
            member.service, member.version
        )

    def is_version_gone(self) -> bool:
        """Return whether no endpoint is left that may continue the stream."""
        return self.version is not None and not any(
            member.service == self._job.service and self.may_serve(member)
            for member in self._parts.view.members.values()
        )

    def _available(self, avoid: Set[str], now: float) -> list[Member]:
        """Return the endpoints that may get a request now."""
        permits = self._parts.permits
        listed = [m for m in self._listed(now) if m.endpoint_id not in avoid]
        if not permits.needed:
            return listed
        unavailable = {m.endpoint_id for m in listed if permits.wait(m, now) > 0.0}
        self.unavailable = sorted(unavailable)
        return [m for m in listed if m.endpoint_id not in unavailable]

    def available_in(self, avoid: Set[str]) -> float | None:
        """Return the seconds until the first backoff or limit permits a send.

        None if no endpoint is in backoff or at its limit.
        """
        now = self._parts.clock.now()
        waits = [
            self._parts.permits.wait(member, now)
            for member in self._listed(now)
            if member.endpoint_id not in avoid
        ]
        return min((wait for wait in waits if wait > 0.0), default=None)

    def _best(self, listed: Sequence[Member], now: float) -> EndpointChoice | None:
        """Return the best one of these endpoints, or None."""
        parts, job = self._parts, self._job
        allowed = parts.outliers.allowed(listed, now)
        if parts.suspects.status(job.traits) is QuarantineStatus.SUSPECT:
            return self._isolate(allowed)
        failing = parts.failure_rates.failing_endpoints(now)
        if job.req.prompt_tokens is None:
            view = None
            if parts.plain_capacity is not None:
                view = CapacityView(parts.plain_capacity, now, parts.rng)
            member = parts.selector.select_plain(parts.zone, allowed, failing, view)
            return None if member is None else EndpointChoice(member, 0.0, None)
        request = self.selection_request(parts.pools.connected_endpoints())
        score = parts.selector.select_engine(request, allowed, now, failing)
        if score is None:
            return None
        expected = self._first_event_s(score)
        prefill_s = parts.selector.speed.prefill_seconds(score.uncached_tokens)
        prefill_s /= score.speed
        members = parts.view.members
        member = members[score.endpoint_id]
        source = members[score.source].address if score.source else ""
        prompt = SentPrompt(
            member, score.wait, prefill_s, score.speed, bool(score.source)
        )
        return EndpointChoice(member, score.uncached_tokens, expected, source, prompt)

    def resend_expected_s(self, avoid: Set[str], current: Member) -> float | None:
        """Return the seconds in which a resend is expected to be answered.

        That is the time to the first event of a stream, or to a plain answer, at the
        best endpoint that isn't among ``avoid``; the ``current`` one is used only if
        there is no other. It is infinite without any endpoint, and None if nothing is
        known.
        """
        found = self.least_expected_s(avoid | {current.endpoint_id})
        return self.least_expected_s(avoid) if found == inf else found

    def least_expected_s(self, avoid: Set[str]) -> float | None:
        """Return the least expected time over the endpoints that may be used.

        It is infinite if there is none, and None if nothing is known of one of them,
        since that one may be the fastest.
        """
        parts = self._parts
        now = parts.clock.now()
        listed = self._usable(avoid, now)
        if not listed:
            return inf
        if self._job.req.prompt_tokens is None:
            times = [self.plain_expected_s(member, now) for member in listed]
            known = [seconds for seconds in times if seconds is not None]
            return min(known) if len(known) == len(times) else None
        request = self.selection_request(parts.pools.connected_endpoints())
        failing = parts.failure_rates.failing_endpoints(now)
        score = parts.selector.select_engine(request, listed, now, failing)
        return None if score is None else self._first_event_s(score)

    def has_free_endpoint(self, avoid: Set[str], expected_s: float, idle: bool) -> bool:
        """Return whether a plain endpoint of at most this expected time has no queue.

        It handles one more request well, or with ``idle`` has none at all; or nothing
        is known of it.
        """
        capacity, now = self._parts.plain_capacity, self._parts.clock.now()
        if capacity is None:
            return False
        for member in self._usable(avoid, now):
            expected = self.plain_expected_s(member, now)
            if expected is None or expected > expected_s:
                continue
            estimate = capacity.estimate(member, now)
            if estimate is None:
                return True
            queued = expected > max(estimate.service_s, estimate.expected_s)
            allowed = 0.0 if idle or queued else estimate.concurrency - 1.0
            if estimate.running <= allowed + _RUNNING_TOLERANCE:
                return True
        return False

    def service_expected_s(self) -> float:
        """Return the expected time at a plain service as a whole, seconds.

        That is by this relay's requests in flight, and by what other relays had on
        average meanwhile; 0 if no queue is expected, or nothing is known.
        """
        parts, service = self._parts, self._job.service
        now, selector = parts.clock.now(), parts.selector
        members = parts.view.of_service(service)
        own = float(sum(selector.own_running(m.endpoint_id) for m in members))
        if parts.others_share.is_due(service, now):
            load = self._service_load(members, own, now)
            if load is not None:
                parts.others_share.record(service, load, now)
        return parts.others_share.expected_s(service, own)

    def _service_load(
        self, members: Sequence[Member], own: float, now: float
    ) -> ServiceLoad | None:
        """Return the load of a plain service, or None if an endpoint is unknown.

        While an endpoint has a queue, all count with what they were seen to handle.
        """
        parts = self._parts
        if parts.plain_capacity is None:
            return None
        estimates = []
        queued = False
        for member in members:
            estimate = parts.plain_capacity.estimate(member, now)
            if estimate is None:
                return None
            estimates.append(estimate)
            queued = queued or parts.plain_queues.has_queue(
                member.endpoint_id, estimate.service_s, now
            )
        running = concurrency = requests_per_s = 0.0
        for estimate in estimates:
            usable = estimate.proven if queued else estimate.concurrency
            running += estimate.running
            concurrency += usable
            requests_per_s += usable / estimate.service_s
        others = max(0.0, running - own)
        return ServiceLoad(own, others, concurrency, requests_per_s)

    def _usable(self, avoid: Set[str], now: float) -> list[Member]:
        """Return the endpoints that aren't ejected and may get a request now."""
        parts = self._parts
        return [
            member
            for member in self._listed(now)
            if member.endpoint_id not in avoid
            and parts.permits.wait(member, now) <= 0.0
            and parts.outliers.traffic_share(member.endpoint_id, now) > 0.0
        ]

    def plain_expected_s(self, member: Member, now: float) -> float | None:
        """Return the expected time of a plain request sent now, or None if unknown.

        An endpoint with a queue is expected to handle no more requests than it was seen
        to, although more slots are listed.
        """
        parts = self._parts
        if parts.plain_capacity is None:
            return None
        estimate = parts.plain_capacity.estimate(member, now)
        if estimate is not None and parts.plain_queues.has_queue(
            member.endpoint_id, estimate.service_s, now
        ):
            return max(estimate.expected_s, estimate.cautious_s)
        return parts.plain_capacity.expected_seconds(member, now)

    def _first_event_s(self, score: Score) -> float:
        """Return the expected seconds to the first event at a selected engine."""
        speed = self._parts.selector.speed
        prefill_s = speed.prefill_seconds(score.uncached_tokens) / score.speed
        return speed.base_latency_s + score.wait + prefill_s

    def _isolate(self, allowed: Sequence[Member]) -> EndpointChoice | None:
        """Return the endpoint where a request suspected of crashes does least harm.

        That is one without another suspect, so that a crash distinguishes them, and
        with the fewest requests in flight, which a crash would break off.
        """
        if not allowed:
            return None
        parts = self._parts

        def key(member: Member) -> tuple[int, int, bool, str]:
            endpoint_id = member.endpoint_id
            return (
                parts.suspects.suspects_at(endpoint_id),
                parts.selector.running_requests(endpoint_id),
                member.zone != parts.zone,
                endpoint_id,
            )

        # Without an expected time it isn't refused as late.
        tokens = self._job.req.prompt_tokens or 0
        return EndpointChoice(min(allowed, key=key), float(tokens), None)

    def _listed(self, now: float) -> list[Member]:
        """Return the endpoints that may get the request.

        A leaving one gets requests that will probably end in time, since capacity is
        scarcest in the last seconds of a zone that is reclaimed. If no other endpoint
        is left, it gets all requests.
        """
        parts, job = self._parts, self._job
        staying = list(parts.view.of_service(job.service))
        leaving = parts.view.recently_leaving(job.service, now)
        if self.version is not None:
            staying = [member for member in staying if self.may_serve(member)]
            leaving = [(m, left) for m, left in leaving if self.may_serve(m)]
        if not staying:
            return [member for member, _left in leaving]
        if not parts.config.use_leaving:
            return staying
        needed = self._duration() * _DURATION_MARGIN
        return staying + [member for member, left in leaving if needed < left]

    def _duration(self) -> float:
        """Return the seconds that the request is expected to run."""
        job = self._job
        if job.req.prompt_tokens is None:
            return job.route.objective
        return self._parts.selector.speed.answer_seconds(
            job.req.length_hint or job.req.output_tokens
        )
