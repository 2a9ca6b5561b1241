"""Reads the cloud's reclaim notices and passes leaving marks on."""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from mode import Service

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.models.endpoints import EndpointView, LeavingMark
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.outside.interfaces import (
    Cloud,
    CloudInstance,
    ReclaimNotice,
)
from ebonydeal._internal.utils.clock import Clock

logger = get_logger("controller")

MarkCallback = Callable[[LeavingMark], None]
_FORGET_AFTER = 3600.0


class ZoneReclaim(NamedTuple):
    """A zone is taken back: all that was started before ``at``."""

    at: float
    deadline: float


class ReclaimNotices:
    """What the cloud has said will be taken back; wall clock seconds."""

    def __init__(self) -> None:
        self.last_seq = 0
        self._instances: dict[str, float] = {}
        self._zones: dict[str, ZoneReclaim] = {}
        self._first = True

    def record(
        self,
        notices: list[ReclaimNotice],
        incarnations: Mapping[str, int],
        now: float,
    ) -> list[LeavingMark]:
        """Take in notices; return the marks to spread.

        The first read after a start holds old notices as well. A zone notice
        whose deadline is over has been carried out, and covers nothing that
        runs now.
        """
        marks = []
        for notice in sorted(notices):
            self.last_seq = max(self.last_seq, notice.seq)
            if not notice.instance_id:
                if self._first and 0.0 < notice.deadline < now:
                    continue
                self._zones[notice.zone] = ZoneReclaim(now, notice.deadline)
            else:
                self._instances[notice.instance_id] = notice.deadline
            marks.append(
                LeavingMark(
                    endpoint_id=notice.instance_id,
                    incarnation=incarnations.get(notice.instance_id, 0),
                    zone="" if notice.instance_id else notice.zone,
                    deadline=notice.deadline,
                    source="cloud",
                    at=now,
                )
            )
        self._first = False
        self._forget(now)
        return marks

    def deadline(self, instance: CloudInstance) -> float | None:
        """Return when the instance is taken back, or None."""
        known = self._instances.get(instance.instance_id)
        zone = self._zones.get(instance.zone)
        if zone is not None and instance.reclaimable and instance.started_at < zone.at:
            return zone.deadline if known is None else min(known, zone.deadline)
        return known

    def recently_reclaimed_zones(self, now: float, seconds: float) -> frozenset[str]:
        """Return the zones that were reclaimed in the last ``seconds``."""
        return frozenset(
            zone for zone, item in self._zones.items() if now - item.at < seconds
        )

    def _forget(self, now: float) -> None:
        """Drop instances whose deadline has long passed; ids aren't used again."""
        old = [
            name
            for name, deadline in self._instances.items()
            if 0.0 < deadline < now - _FORGET_AFTER
        ]
        for name in old:
            del self._instances[name]


class NoticeReader(Service):
    """Polls the cloud for notices, on every controller process.

    Parameters
    ----------
    cloud : Cloud
        Adapter.
    clock : Clock
        Source of time.
    period : float
        Seconds between polls.
    mark : callable
        Takes each `LeavingMark`; spreads it to the other processes.
    """

    def __init__(
        self, cloud: Cloud, clock: Clock, period: float, mark: MarkCallback
    ) -> None:
        super().__init__()
        self.reclaim_notices = ReclaimNotices()
        self._cloud = cloud
        self._clock = clock
        self._period = period
        self._mark = mark
        self._incarnations: dict[str, int] = {}

    def set_incarnations(self, views: list[EndpointView]) -> None:
        """Take the incarnations from the instance list."""
        self._incarnations = {view.endpoint_id: view.incarnation for view in views}

    async def poll(self) -> None:
        """Read new notices once and spread their marks."""
        notices = await self._cloud.notices(self.reclaim_notices.last_seq)
        for mark in self.reclaim_notices.record(
            notices, self._incarnations, self._clock.wall()
        ):
            logger.info(
                "A reclaim was announced.",
                instance=mark.endpoint_id,
                zone=mark.zone,
                deadline=mark.deadline,
            )
            self._mark(mark)

    @Service.task
    async def _read(self) -> None:
        """Poll until stopped."""
        while not self.should_stop:
            try:
                await self.poll()
            except EbonydealError as exc:
                logger.warning("Reading notices failed.", kind=str(exc.kind))
            await self._clock.sleep(self._period)
