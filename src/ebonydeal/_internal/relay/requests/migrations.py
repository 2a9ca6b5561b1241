"""Streams whose endpoints leave: their memory is passed on before that.

An endpoint that leaves cuts off what still runs there when it is gone, and most
streams may not be run again. So the run is stopped in time, its memory goes to
another endpoint, and the stream goes on there after its last event, as the same
run and without reading the prompt again.
"""

import asyncio
from dataclasses import dataclass
from typing import NamedTuple

from mode import Service

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.models.forwarding import KvCacheRef, Member
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.ports import Engines
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.routing.notices.notices import EndpointNotices
from ebonydeal._internal.routing.placement.member_choice import Ask, MemberChoice
from ebonydeal._internal.routing.placement.outliers import Outliers
from ebonydeal._internal.routing.reclaim.reclaim_streams import (
    ReclaimLimits,
    RunningStream,
    outlasts,
    seconds_to_finish,
)
from ebonydeal._internal.routing.retries.retries import RetryPolicy
from ebonydeal._internal.utils.clock import Clock

logger = get_logger("relay.moves")

_STEP_S = 0.1
# Moves start at the latest when this much of an endpoint's time is left: some
# hundred streams at a few milliseconds each, twice over.
_LAST_CHANCE_S = 0.8
# Time that a reclaimable endpoint is taken to have until it says more.
_LEAST_NOTICE_S = 1.0
_LIMITS = ReclaimLimits(hopeless=2.0)


class MigratedRun(NamedTuple):
    """Where a stream goes on."""

    member: Member
    carried: KvCacheRef


@dataclass(eq=False)
class StreamRun:
    """One stream's run at one endpoint.

    ``expected_tokens`` is the length of the whole answer as far as known;
    ``event_tokens`` how many of them one event holds.
    """

    request_id: str
    service: str
    member: Member
    prompt_tokens: int
    expected_tokens: int
    event_tokens: int
    begun_at: float = 0.0
    events: int = 0
    moving: "asyncio.Task[MigratedRun | None] | None" = None

    def count(self, events: int, now: float) -> None:
        """Note events that came."""
        if not self.events:
            self.begun_at = now
        self.events += events

    def estimate(self, now: float) -> RunningStream:
        """Return what the run is expected to need still."""
        made = self.events * self.event_tokens
        ran = max(0.001, now - self.begun_at)
        return RunningStream(
            request_id=self.request_id,
            endpoint_id=self.member.endpoint_id,
            context_tokens=self.prompt_tokens + made,
            remaining_tokens_estimate=max(
                float(self.event_tokens), self.expected_tokens - made
            ),
            tokens_per_s=made / ran,
            kv_gb=0.0,
        )


class MigratorParts(NamedTuple):
    """What moves are made with."""

    view: RelayView
    choice: MemberChoice
    outliers: Outliers
    retries: RetryPolicy
    notices: EndpointNotices
    engines: Engines
    metrics: Metrics
    clock: Clock
    zone: str
    drain_s: float
    enabled: bool = True


class StreamMigrator(Service):
    """Watches running streams, and moves those that would be cut off."""

    def __init__(self, parts: MigratorParts) -> None:
        super().__init__()
        self._parts = parts
        self._runs: set[StreamRun] = set()
        self._leaving_since: dict[str, float] = {}

    def enter(self, run: StreamRun) -> None:
        """Watch a run."""
        if self._parts.enabled:
            self._runs.add(run)

    def leave(self, run: StreamRun) -> None:
        """Watch a run no more."""
        self._runs.discard(run)

    async def result(self, run: StreamRun) -> MigratedRun | None:
        """Return where a run that broke off goes on, once that is known."""
        return None if run.moving is None else await run.moving

    @Service.task
    async def _watch(self) -> None:
        while not self.should_stop:
            await self._parts.clock.sleep(_STEP_S)
            self._step(self._parts.clock.now())

    def _step(self, now: float) -> None:
        """Begin the moves that are due."""
        self._note_leaving(now)
        for run in self._runs:
            if run.moving is None and self._is_due(run, now):
                run.moving = asyncio.ensure_future(self._move(run))

    def _note_leaving(self, now: float) -> None:
        """Note since when endpoints with runs are known to leave, or gone."""
        members = self._parts.view.members
        since = {}
        for run in self._runs:
            endpoint_id = run.member.endpoint_id
            member = members.get(endpoint_id)
            if member is None or member.leaving:
                since[endpoint_id] = self._leaving_since.get(endpoint_id, now)
        self._leaving_since = since

    def _is_due(self, run: StreamRun, now: float) -> bool:
        """Return whether a run has to move now.

        One that will likely end in time stays; one that surely won't moves at
        once, and the others wait, since each that ends meanwhile needs no move.
        """
        since = self._leaving_since.get(run.member.endpoint_id)
        if since is None or not run.events:
            return False
        left = self._left(run.member, since, now)
        stream = run.estimate(now)
        if seconds_to_finish(stream) > _LIMITS.hopeless * left:
            return True
        return (
            left <= _LAST_CHANCE_S
            and outlasts(stream, max(0.0, left), _LIMITS) > _LIMITS.break_chance
        )

    def _left(self, member: Member, since: float, now: float) -> float:
        """Return the seconds for which an endpoint that leaves still serves."""
        gone = self._parts.view.leaves_at(member.endpoint_id)
        if gone is not None:
            return gone - now
        serves = self._parts.drain_s
        if member.reclaimable:
            serves = min(serves, _LEAST_NOTICE_S)
        return serves - (now - since)

    async def _move(self, run: StreamRun) -> MigratedRun | None:
        """Stop a run and pass its memory on; None where that failed."""
        parts = self._parts
        target = self._target(run)
        if target is None or not parts.retries.spend(run.service):
            # There may be one, or budget, at the next step.
            run.moving = None
            return None
        try:
            answer = await parts.engines.migrate_run(
                run.member.address, run.request_id, target.address
            )
        except EbonydealError as exc:
            self._failed(run, target, str(exc))
            return None
        if not answer.handle:
            self._failed(run, target, answer.detail)
            return None
        parts.metrics.count(Event.STREAMS_MOVED)
        logger.info(
            "Stream moved.",
            request=run.request_id,
            endpoint=run.member.endpoint_id,
            target=target.endpoint_id,
            events=run.events,
        )
        return MigratedRun(target, KvCacheRef(run.member.address, answer.handle))

    def _target(self, run: StreamRun) -> Member | None:
        """Return the endpoint where the run waits least, or None."""
        parts = self._parts
        now = parts.clock.now()
        # What one version made of a prompt is nothing to another.
        listed = [
            member
            for member in parts.view.of_service(run.service)
            if member.version == run.member.version
            and parts.notices.takes_runs(member.process, now)
        ]
        allowed = parts.outliers.allowed(listed, now)
        score = parts.choice.engine(Ask((), 0, parts.zone), allowed, now)
        return None if score is None else parts.view.members[score.endpoint_id]

    def _failed(self, run: StreamRun, target: Member, reason: str) -> None:
        self._parts.metrics.count(Event.KV_EXPORT_FAILED)
        logger.warning(
            "Stream not moved.",
            request=run.request_id,
            endpoint=run.member.endpoint_id,
            target=target.endpoint_id,
            reason=reason,
        )
