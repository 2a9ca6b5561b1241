"""Which endpoint a request goes to, of those that are listed."""

from collections.abc import Sequence, Set
from typing import NamedTuple

from ebonydeal._internal.models.forwarding import EngineCapabilities, Member
from ebonydeal._internal.relay.requests.job import Job, SendParts
from ebonydeal._internal.routing.crashes.crash_evidence import Standing
from ebonydeal._internal.routing.placement.member_choice import Ask

# Requests' lengths are guesses, right at the median: so much longer is allowed.
_DURATION_SPREAD = 1.5


class EndpointChoice(NamedTuple):
    """The endpoint for the next send.

    ``missed`` are the tokens that it must read, ``expected`` the seconds to
    the first event where that is known. ``source`` is the address of an
    endpoint to fetch parts of the prompt from, or empty.
    """

    member: Member
    missed: float
    expected: float | None
    source: str = ""


class EndpointChooser:
    """Chooses among what the relay knows of endpoints, for one request."""

    def __init__(self, parts: SendParts, job: Job) -> None:
        self._parts = parts
        self._job = job
        # Whether the request was already counted for the new version's part.
        self._asked = False
        # Endpoints that rested, or had no room in their limits, at the last choice.
        self.without_room: list[str] = []

    @property
    def engine(self) -> EngineCapabilities | None:
        """What the engines of the service can do; None for plain services."""
        index = self._parts.view.index
        service = None if index is None else index.table.services.get(self._job.service)
        return None if service is None else service.engine

    def ask(self, connected: frozenset[str] = frozenset()) -> Ask:
        """Return what a choice needs to know; ``connected`` matters to it alone."""
        req, engine = self._job.req, self.engine
        fetches = engine is not None and engine.can_migrate_runs
        tokens = req.prompt_tokens or 0
        return Ask(req.parts, tokens, self._parts.zone, fetches, connected)

    def find(self, avoid: Set[str], again: bool = False) -> EndpointChoice | None:
        """Return the best endpoint that isn't among ``avoid``, or None.

        ``again`` says that the request was sent before: while a new version is
        watched, repeats go to the old one.
        """
        parts, job = self._parts, self._job
        now = parts.clock.now()
        listed = self._open(avoid, now)
        if not parts.split.watches(job.service):
            return self._best(listed, now)
        first, self._asked = not self._asked, True
        part = parts.split.part(job.service, job.route.name, listed, now, again, first)
        found = self._best(part.members, now)
        if found is None and part.new:
            # None of the new endpoints can be asked now.
            part = parts.split.part(
                job.service, job.route.name, listed, now, again=True, first=False
            )
            found = self._best(part.members, now)
        return found

    def _open(self, avoid: Set[str], now: float) -> list[Member]:
        """Return the endpoints that may be asked now."""
        permits = self._parts.permits
        listed = [m for m in self._listed(now) if m.endpoint_id not in avoid]
        if not permits.needed:
            return listed
        closed = {m.endpoint_id for m in listed if permits.wait(m, now) > 0.0}
        self.without_room = sorted(closed)
        return [m for m in listed if m.endpoint_id not in closed]

    def opens_in(self, avoid: Set[str]) -> float | None:
        """Return when the first one that rests or lacks room may be asked, seconds.

        None where there is no such endpoint.
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
        if parts.suspects.standing(job.digest) is Standing.SUSPECT:
            return self._isolate(allowed)
        failing = parts.failing.failing(now)
        if job.req.prompt_tokens is None:
            member = parts.choice.plain(parts.zone, allowed, failing)
            return None if member is None else EndpointChoice(member, 0.0, None)
        ask = self.ask(parts.pools.connected_endpoints())
        score = parts.choice.engine(ask, allowed, now, failing)
        if score is None:
            return None
        speed = parts.choice.speed
        expected = speed.base + score.wait + speed.reading(score.missed)
        members = parts.view.members
        source = members[score.source].address if score.source else ""
        return EndpointChoice(
            members[score.endpoint_id], score.missed, expected, source
        )

    def _isolate(self, allowed: Sequence[Member]) -> EndpointChoice | None:
        """Return where a request that may bring its endpoint down costs least.

        That is where no other such request is, so that a crash tells them apart, and
        where fewest requests are at work, which a crash would take with it.
        """
        if not allowed:
            return None
        parts = self._parts

        def key(member: Member) -> tuple[int, int, bool, str]:
            endpoint_id = member.endpoint_id
            return (
                parts.suspects.runs_at(endpoint_id),
                parts.choice.running(endpoint_id),
                member.zone != parts.zone,
                endpoint_id,
            )

        # Without an expectation it isn't refused for being late there.
        tokens = self._job.req.prompt_tokens or 0
        return EndpointChoice(min(allowed, key=key), float(tokens), None)

    def _listed(self, now: float) -> list[Member]:
        """Return the endpoints that may get the request.

        One that leaves gets what likely ends in time, since zones that are
        taken back are missed most in their last seconds; all requests where no
        other is left.
        """
        parts, job = self._parts, self._job
        listed = list(parts.view.of_service(job.service))
        leaving = parts.view.leaving_of(job.service, now)
        if not listed:
            return [member for member, _left in leaving]
        if not parts.terms.use_leaving:
            return listed
        needed = self._duration() * _DURATION_SPREAD
        return listed + [member for member, left in leaving if needed < left]

    def _duration(self) -> float:
        """Return the seconds that the request is expected to run."""
        job = self._job
        if job.req.prompt_tokens is None:
            return job.route.objective
        return self._parts.choice.speed.duration(
            job.req.length_hint or job.req.output_tokens
        )
