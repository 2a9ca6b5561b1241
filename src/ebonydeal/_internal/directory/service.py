"""The endpoints that a process knows, followed without a central registry.

The instance list lags and has outages, so the last good list is kept. Leaving
marks come from the cloud, engines, peers and the list itself; they remain valid for
an incarnation whatever the list says later.
"""

import random
from collections.abc import Awaitable, Callable

from mode import Service

from ebonydeal._internal.directory.callbacks import call_all
from ebonydeal._internal.directory.endpoint_poller import EndpointPoller
from ebonydeal._internal.directory.marks import MarkLimits, MarkSet, mark_for_view
from ebonydeal._internal.directory.notices import NoticeResolver
from ebonydeal._internal.directory.refusal_tracker import RefusalTracker
from ebonydeal._internal.directory.sharing import (
    EndpointRecord,
    SharedInstanceList,
    should_read,
)
from ebonydeal._internal.directory.table import EndpointTable, TableChange
from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.models.endpoints import (
    EndpointState,
    EndpointView,
    LeavingMark,
    LoadReport,
)
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.outside.interfaces import (
    CacheEvent,
    Cloud,
    Engine,
    InstanceList,
)
from ebonydeal._internal.settings.directory import DirectorySettings
from ebonydeal._internal.utils.clock import Clock

logger = get_logger("directory")

NOTICE_READS_PER_PERIOD = 6
_MIN_JITTER = 0.5
_MAX_JITTER = 1.5
MarkCallback = Callable[[LeavingMark], None]
ChangeCallback = Callable[[TableChange], None]
EventsCallback = Callable[[str, list[CacheEvent]], None]
RecordsCallback = Callable[[list[EndpointRecord]], None]


class Directory(Service):
    """Follows endpoints, their load and their leaving marks.

    Parameters
    ----------
    cfg : DirectorySettings
        Periods and limits.
    instances : InstanceList
        The platform's instance list, which lags.
    metrics, clock, rng
        Counters, time, and the source of jitter.
    cloud : Cloud, optional
        Source of reclaim notices.
    engine : Engine, optional
        Client for polling endpoints for load and cache events.
    """

    def __init__(
        self,
        cfg: DirectorySettings,
        instances: InstanceList,
        metrics: Metrics,
        clock: Clock,
        rng: random.Random,
        *,
        cloud: Cloud | None = None,
        engine: Engine | None = None,
    ) -> None:
        super().__init__()
        self._cfg = cfg
        self._instances = instances
        self._cloud = cloud
        self._metrics = metrics
        self._clock = clock
        self._rng = rng
        self.marks = MarkSet(MarkLimits(cfg.list_lag, cfg.mark_retention))
        self.shared = SharedInstanceList()
        self._reader_count: Callable[[], int] = _single_reader
        self._record_callbacks: list[RecordsCallback] = []
        self._table = EndpointTable()
        self._leaving: set[str] = set()
        self._refusals = RefusalTracker(cfg.refusals_suspect, cfg.suspect_seconds)
        self._notices = NoticeResolver(cfg.list_lag)
        self._poller: EndpointPoller | None = None
        if engine is not None:
            self._poller = EndpointPoller(cfg, engine, self, clock, rng)
        self._poll_filter: Callable[[EndpointView], bool] | None = None
        self._mark_callbacks: list[MarkCallback] = []
        self._change_callbacks: list[ChangeCallback] = []
        self._event_callbacks: list[EventsCallback] = []
        self._has_list = False

    @classmethod
    def from_config(
        cls,
        cfg: DirectorySettings,
        instances: InstanceList,
        metrics: Metrics,
        clock: Clock,
        rng: random.Random,
        *,
        cloud: Cloud | None = None,
        engine: Engine | None = None,
    ) -> "Directory":
        """Build from the ``[directory]`` section and the platform's adapters."""
        return cls(cfg, instances, metrics, clock, rng, cloud=cloud, engine=engine)

    # --- reading ---------------------------------------------------------------
    @property
    def ready(self) -> bool:
        """Whether an instance list has been read."""
        return self._has_list

    def views(self, deployment: str) -> tuple[EndpointView, ...]:
        """Return a deployment's endpoints, without leaving and suspected ones.

        If all are suspected, the cause is more likely this process than
        the endpoints, so all are returned.
        """
        views = [
            view
            for view in self._table.in_deployment(deployment)
            if view.endpoint_id not in self._leaving
        ]
        if not self._refusals:
            return tuple(views)
        now = self._clock.now()
        trusted = [
            view
            for view in views
            if not self._refusals.is_suspected(view.endpoint_id, now)
        ]
        return tuple(trusted or views)

    def all_views(self) -> tuple[EndpointView, ...]:
        """Return all listed endpoints, also leaving ones."""
        return self._table.all()

    def get(self, endpoint_id: str) -> EndpointView | None:
        """Return the current view of one endpoint, also of a leaving one."""
        return self._table.get(endpoint_id)

    def is_leaving(self, view: EndpointView) -> bool:
        """Return whether this incarnation is leaving (or is gone)."""
        known = self._table.get(view.endpoint_id)
        if known is not None and known.incarnation > view.incarnation:
            return True
        if known is not None and known.incarnation == view.incarnation:
            return view.endpoint_id in self._leaving
        return self.marks.covers(view, self._table.first_seen(view))

    def deadline(self, view: EndpointView) -> float:
        """Return when the endpoint is reclaimed, wall clock seconds; 0.0 if unknown."""
        return self.marks.deadline(view, self._clock.wall())

    # --- updates -----------------------------------------------------------------
    def mark(self, mark: LeavingMark) -> bool:
        """Apply a leaving mark; return whether it was new.

        Callbacks of `on_mark` run only for new marks.
        """
        is_new = self.marks.merge(mark, self._clock.wall())
        self._apply_mark(mark)
        if not is_new:
            return False
        self._metrics.count(Event.LEAVING_MARKED)
        logger.info("Marked as leaving.", endpoint=mark.endpoint_id, zone=mark.zone)
        call_all(self._mark_callbacks, mark)
        return True

    def observe_load(self, endpoint_id: str, load: LoadReport) -> None:
        """Record a load report, for example one from the headers of an answer."""
        self._refusals.clear(endpoint_id)
        if self._poller is not None:
            self._poller.record_contact(endpoint_id)
        self._table.observe_load(endpoint_id, load)

    def connect_failed(self, endpoint_id: str) -> None:
        """Record a refused connection; several in a row make the endpoint suspected."""
        if self._refusals.record_refusal(endpoint_id, self._clock.now()):
            logger.warning("Endpoint refuses connections.", endpoint=endpoint_id)

    def set_poll_filter(self, matches: Callable[[EndpointView], bool]) -> None:
        """Poll only the endpoints for which ``matches`` returns true."""
        self._poll_filter = matches

    def set_reader_count(self, reader_count: Callable[[], int]) -> None:
        """Share reads of the platform's list and notices with other processes.

        ``reader_count`` returns the number of these processes, this one included;
        `on_records` and `receive_records` must be connected to them.
        """
        self._reader_count = reader_count

    def on_records(self, callback: RecordsCallback) -> None:
        """Call ``callback`` with changed records of the instance list."""
        self._record_callbacks.append(callback)

    def receive_records(self, records: list[EndpointRecord]) -> None:
        """Merge records of the instance list that another process read."""
        now = self._clock.wall()
        changed = [record for record in records if self.shared.merge(record, now)]
        # Single records are not a complete list, so they aren't applied until this
        # process has read one.
        if changed and self.ready:
            self.apply_list(self.shared.views())
        self._publish_records(changed)

    def on_mark(self, callback: MarkCallback) -> None:
        """Call ``callback`` with each new mark."""
        self._mark_callbacks.append(callback)

    def on_change(self, callback: ChangeCallback) -> None:
        """Call ``callback`` when incarnations are added or removed."""
        self._change_callbacks.append(callback)

    def on_cache_events(self, callback: EventsCallback) -> None:
        """Call ``callback(endpoint_id, events)`` with each batch of cache events."""
        self._event_callbacks.append(callback)

    # --- following ---------------------------------------------------------------
    async def on_start(self) -> None:
        """Start polling endpoints, if there is a client for it."""
        if self._poller is not None:
            await self.add_runtime_dependency(self._poller)

    @Service.task
    async def _follow_list(self) -> None:
        await self._repeat(self._cfg.list_period, self._read_list, "instance list")

    @Service.task
    async def _follow_notices(self) -> None:
        if self._cloud is not None:
            await self._repeat(self._cfg.notices_period, self._read_notices, "notices")

    async def _repeat(
        self, period: float, step: Callable[[], Awaitable[None]], what: str
    ) -> None:
        """Run ``step`` periodically with jitter; log each outage once."""
        failing = False
        while not self.should_stop:
            try:
                await step()
                failing = False
            except EbonydealError as exc:
                if not failing:
                    logger.warning("Read failed.", what=what, reason=str(exc))
                failing = True
            jitter = self._rng.uniform(_MIN_JITTER, _MAX_JITTER)
            await self._clock.sleep(period * jitter)

    async def _read_list(self) -> None:
        if self.ready and not should_read(self._reader_count(), self._rng.random()):
            return
        requested_at = self._clock.wall()
        listed = await self._instances.endpoints()
        changed = self.shared.apply_list(listed, requested_at)
        self.shared.expire(requested_at)
        self.apply_list(self.shared.views())
        self._publish_records(changed)

    def _publish_records(self, changed: list[EndpointRecord]) -> None:
        """Pass changed records to the callbacks."""
        if not changed:
            return
        call_all(self._record_callbacks, changed)

    def apply_list(self, listed: list[EndpointView]) -> None:
        """Apply a complete instance list."""
        now = self._clock.wall()
        change = self._table.apply_list(listed, now)
        for view in change.removed:
            self._forget(view.endpoint_id)
        for view in change.added:
            if self.marks.covers(view, self._table.first_seen(view)):
                self._leaving.add(view.endpoint_id)
        for view in self._table.all():
            if view.state is EndpointState.LEAVING and not self.is_leaving(view):
                self.mark(mark_for_view(view, "list", now))
        for mark in self._notices.resolve(self._table, now):
            self.mark(mark)
        self.marks.expire(now)
        self._has_list = True
        if change:
            call_all(self._change_callbacks, change)

    async def _read_notices(self) -> None:
        assert self._cloud is not None
        if not should_read(
            self._reader_count(), self._rng.random(), NOTICE_READS_PER_PERIOD
        ):
            return
        notices = await self._cloud.notices(self._notices.last_seq)
        now = self._clock.wall()
        for mark in self._notices.receive(notices, self._table, now):
            self.mark(mark)

    # --- polling endpoints ----------------------------------------------------------
    def polled_endpoints(self) -> list[EndpointView]:
        """Return the endpoints to poll for load and cache events."""
        matches = self._poll_filter
        views = [v for v in self._table.all() if v.endpoint_id not in self._leaving]
        return views if matches is None else [view for view in views if matches(view)]

    @property
    def wants_cache_events(self) -> bool:
        """Whether any callback receives cache events."""
        return bool(self._event_callbacks)

    def receive_cache_events(self, endpoint_id: str, events: list[CacheEvent]) -> None:
        """Pass cache events of one engine to the callbacks."""
        call_all(self._event_callbacks, endpoint_id, events)

    # --- state --------------------------------------------------------------------
    def _apply_mark(self, mark: LeavingMark) -> None:
        """Record as leaving the listed incarnations that a mark covers."""
        if mark.endpoint_id:
            view = self._table.get(mark.endpoint_id)
            views = [] if view is None else [view]
        else:
            views = [v for v in self._table.all() if v.place.zone == mark.zone]
        for view in views:
            if self.marks.covers(view, self._table.first_seen(view)):
                self._leaving.add(view.endpoint_id)

    def _forget(self, endpoint_id: str) -> None:
        self._leaving.discard(endpoint_id)
        self._refusals.clear(endpoint_id)
        if self._poller is not None:
            self._poller.forget(endpoint_id)


def _single_reader() -> int:
    """Return 1: this process shares its reads with no other."""
    return 1
