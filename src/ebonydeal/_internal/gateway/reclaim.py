"""Streams on endpoints that are leaving: finish, move the KV cache, or recompute."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from mode import Service

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.gateway.attempts import Attempt, Move
from ebonydeal._internal.gateway.background import Spawn
from ebonydeal._internal.gateway.live import LiveStream
from ebonydeal._internal.gateway.ports import DirectoryPort
from ebonydeal._internal.gateway.streams import Relay
from ebonydeal._internal.models.endpoints import EndpointView, LeavingMark
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.observe.trail import Step, Trails
from ebonydeal._internal.platform.interfaces import Engine
from ebonydeal._internal.settings.gateway import GatewaySettings
from ebonydeal._internal.utils.clock import Clock

logger = get_logger("reclaim")


@dataclass(frozen=True)
class Finish:
    """Let the stream end where it is."""


@dataclass(frozen=True)
class Export:
    """Move the KV cache to ``target``, then go on there."""

    target: EndpointView


@dataclass(frozen=True)
class Recompute:
    """Go on elsewhere by computing the tokens again."""


Action = Finish | Export | Recompute


class Affected(NamedTuple):
    """A running stream whose endpoint leaves.

    ``deadline`` is when the endpoint is taken, wall clock seconds; 0.0 if
    unknown.
    """

    live: LiveStream
    attempt: Attempt
    deadline: float


Planner = Callable[[Sequence[Affected], float], list[tuple[Affected, Action]]]


def recompute_all(
    affected: Sequence[Affected], _now: float
) -> list[tuple[Affected, Action]]:
    """Return the plan that needs neither time nor targets."""
    return [(item, Recompute()) for item in affected]


class ReclaimParts(NamedTuple):
    """What the reclaim service works with."""

    relay: Relay
    engine: Engine
    directory: DirectoryPort
    metrics: Metrics
    trails: Trails
    clock: Clock
    background: Spawn


class Reclaim(Service):
    """Moves running streams off endpoints that are marked as leaving.

    Each stream that is to move gets a Move message in any case, at the latest
    when the time for its export is over; until then its relay waits for it.

    Parameters
    ----------
    parts : ReclaimParts
        What it works with.
    cfg : GatewaySettings
        Time limits.
    plan : callable
        Pure decision over the affected streams, in order of action.
    """

    def __init__(
        self, parts: ReclaimParts, cfg: GatewaySettings, plan: Planner
    ) -> None:
        super().__init__()
        self._parts = parts
        self._cfg = cfg
        self._plan = plan
        self._marks: asyncio.Queue[LeavingMark] = asyncio.Queue()
        parts.directory.on_mark(self._marks.put_nowait)

    @Service.task
    async def _follow_marks(self) -> None:
        while not self.should_stop:
            mark = await self._marks.get()
            self.handle(mark)

    def handle(self, mark: LeavingMark) -> None:
        """Start to act on a new mark."""
        affected = self._affected(mark)
        if not affected:
            return
        logger.info(
            "Streams leave.",
            endpoint=mark.endpoint_id,
            zone=mark.zone,
            streams=len(affected),
        )
        for item, action in self._decide(affected):
            self._act(item, action)

    def _decide(self, affected: list[Affected]) -> list[tuple[Affected, Action]]:
        """Return the plan; if it can't be made, the one that always can."""
        now = self._parts.clock.wall()
        try:
            return self._plan(affected, now)
        except Exception as exc:
            logger.error("A plan failed.", exc_info=exc)
            return recompute_all(affected, now)

    def _affected(self, mark: LeavingMark) -> list[Affected]:
        """Return the streams on leaving endpoints that no move is under way for."""
        found = []
        for live in self._parts.relay.live:
            attempt = live.attempt
            if attempt is None or live.moving or live.finish:
                continue
            if self._parts.directory.is_leaving(attempt.route.endpoint):
                found.append(Affected(live, attempt, mark.deadline))
        return found

    def _act(self, item: Affected, action: Action) -> None:
        """Carry out what was decided for one stream."""
        match action:
            case Finish():
                return
            case Recompute():
                item.attempt.mailbox.post(Move(None, ""))
            case Export(target=target):
                item.live.moving = True
                self._parts.background(self._export(item, target))

    async def _export(self, item: Affected, target: EndpointView) -> None:
        """Move a stream's KV cache; where that fails, let it recompute."""
        move = Move(None, "")
        try:
            async with asyncio.timeout(self._time_left(item)):
                move = await self._transfer(item, target)
        except (EbonydealError, TimeoutError) as exc:
            self._parts.metrics.count(Event.KV_EXPORT_FAILED)
            logger.warning(
                "A KV cache could not be moved.",
                request_id=item.live.request_id,
                reason=str(exc) or type(exc).__name__,
            )
        finally:
            item.attempt.mailbox.post(move)

    def _time_left(self, item: Affected) -> float:
        """Return how long the transfer may take, seconds."""
        if not item.deadline:
            return self._cfg.export_seconds
        left = item.deadline - self._parts.clock.wall()
        return max(0.0, min(self._cfg.export_seconds, left))

    async def _transfer(self, item: Affected, target: EndpointView) -> Move:
        """Export at the source, import at the target."""
        engine = self._parts.engine
        source = item.attempt.route.endpoint
        handle = await engine.export_kv(source, item.attempt.attempt_id)
        tokens = await engine.import_kv(target, handle, source)
        self._parts.trails.note(
            item.live.request_id,
            self._parts.clock.wall(),
            Step.EXPORTED,
            source=source.endpoint_id,
            target=target.endpoint_id,
            tokens=tokens,
        )
        return Move(target, handle)
