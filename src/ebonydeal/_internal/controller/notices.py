"""Reads the cloud's reclaim notices and publishes leaving marks."""

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
_NOTICE_TTL_S = 3600.0


class ZoneReclaim(NamedTuple):
    """Reclaim of a zone's reclaimable instances started before ``observed_at``."""

    observed_at: float
    deadline: float


class ReclaimNotices:
    """Instances and zones that the cloud will reclaim; wall clock seconds."""

    def __init__(self) -> None:
        self.last_seq = 0
        self._instances: dict[str, float] = {}
        self._zones: dict[str, ZoneReclaim] = {}
        self._first_read = True

    def record(
        self,
        notices: list[ReclaimNotice],
        incarnations: Mapping[str, int],
        now: float,
    ) -> list[LeavingMark]:
        """Record notices; return the marks to publish.

        The first read after the process started also returns old notices. A
        zone notice whose deadline has passed applies to no running instance.
        """
        marks = []
        for notice in sorted(notices):
            self.last_seq = max(self.last_seq, notice.seq)
            if not notice.instance_id:
                if self._first_read and 0.0 < notice.deadline < now:
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
        self._first_read = False
        self._drop_expired(now)
        return marks

    def deadline(self, instance: CloudInstance) -> float | None:
        """Return when the instance will be reclaimed; None without a notice."""
        deadline = self._instances.get(instance.instance_id)
        zone = self._zones.get(instance.zone)
        if (
            zone is not None
            and instance.reclaimable
            and instance.started_at < zone.observed_at
        ):
            return zone.deadline if deadline is None else min(deadline, zone.deadline)
        return deadline

    def recently_reclaimed_zones(self, now: float, seconds: float) -> frozenset[str]:
        """Return the zones with a reclaim notice in the last ``seconds``."""
        return frozenset(
            zone
            for zone, item in self._zones.items()
            if now - item.observed_at < seconds
        )

    def _drop_expired(self, now: float) -> None:
        """Drop instances whose deadline has long passed; ids are never reused."""
        expired = [
            name
            for name, deadline in self._instances.items()
            if 0.0 < deadline < now - _NOTICE_TTL_S
        ]
        for name in expired:
            del self._instances[name]


class NoticeReader(Service):
    """Polls the cloud for notices, in every controller process.

    Parameters
    ----------
    cloud : Cloud
        Adapter.
    clock : Clock
        Source of time.
    period : float
        Seconds between polls.
    mark : callable
        Publishes each `LeavingMark` to the other processes.
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
        """Update the incarnations from the instance list."""
        self._incarnations = {view.endpoint_id: view.incarnation for view in views}

    async def poll(self) -> None:
        """Read new notices once and publish their marks."""
        notices = await self._cloud.notices(self.reclaim_notices.last_seq)
        for mark in self.reclaim_notices.record(
            notices, self._incarnations, self._clock.wall()
        ):
            logger.info(
                "Reclaim notice received.",
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
                logger.warning("Reading reclaim notices failed.", kind=str(exc.kind))
            await self._clock.sleep(self._period)
