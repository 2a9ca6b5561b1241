"""What a process knows of the endpoints, followed without a fixed place to ask.

The instance list lags and has outages, so the last good list is kept. Leaving
marks come from the cloud, engines, peers and the list itself; they stick to an
incarnation whatever the list says later.
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
_LOWEST_JITTER = 0.5
_HIGHEST_JITTER = 1.5
MarkCallback = Callable[[LeavingMark], None]
ChangeCallback = Callable[[TableChange], None]
EventsCallback = Callable[[str, list[CacheEvent]], None]
RecordsCallback = Callable[[list[EndpointRecord]], None]


class Directory(Service):
    """Follows endpoints, their load and their leaving.

    Parameters
    ----------
    cfg : DirectorySettings
        Periods and bounds.
    instances : InstanceList
        The lagging list.
    metrics, clock, rng
        Counters, time, and the source of jitter.
    cloud : Cloud, optional
        Where notices are read.
    engine : Engine, optional
        By which endpoints are asked for load and cache events.
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
        self._readers: Callable[[], int] = _one_reader
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
        self._listed = False

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
        return self._listed

    def views(self, deployment: str) -> tuple[EndpointView, ...]:
        """Return a deployment's endpoints, without leaving and suspected ones.

        If all are suspected, the suspicion says more of this process than of
        them, so all are returned.
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
        """Return the present view of one endpoint, also of a leaving one."""
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
        """Return when the endpoint is taken, in wall seconds; 0.0 if unknown."""
        return self.marks.deadline(view, self._clock.wall())

    # --- telling -----------------------------------------------------------------
    def mark(self, mark: LeavingMark) -> bool:
        """Take in a leaving mark; return whether it was news.

        Callbacks of `on_mark` run for news only.
        """
        news = self.marks.merge(mark, self._clock.wall())
        self._apply(mark)
        if not news:
            return False
        self._metrics.count(Event.LEAVING_MARKED)
        logger.info("Leaving.", endpoint=mark.endpoint_id, zone=mark.zone)
        call_all(self._mark_callbacks, mark)
        return True

    def observe_load(self, endpoint_id: str, load: LoadReport) -> None:
        """Take in a load report, for example one that rode on an answer."""
        self._refusals.clear(endpoint_id)
        if self._poller is not None:
            self._poller.record_contact(endpoint_id)
        self._table.observe_load(endpoint_id, load)

    def connect_failed(self, endpoint_id: str) -> None:
        """Note a refused connection; several in a row make a suspect."""
        if self._refusals.record_refusal(endpoint_id, self._clock.now()):
            logger.warning("Connections are refused.", endpoint=endpoint_id)

    def set_poll_filter(self, watch: Callable[[EndpointView], bool]) -> None:
        """Poll only the endpoints for which ``watch`` is true."""
        self._poll_filter = watch

    def set_reader_count(self, readers: Callable[[], int]) -> None:
        """Share the platform's list and notices with others.

        ``readers`` gives the number of processes that share, this one included;
        `on_records` and `receive_records` must then be connected to them.
        """
        self._readers = readers

    def on_records(self, callback: RecordsCallback) -> None:
        """Call ``callback`` with what is news of the instance list."""
        self._record_callbacks.append(callback)

    def receive_records(self, facts: list[EndpointRecord]) -> None:
        """Take in what another process read of the instance list."""
        now = self._clock.wall()
        news = [fact for fact in facts if self.shared.merge(fact, now)]
        # A few facts are no list: until one was read whole, they only wait.
        if news and self.ready:
            self.apply_list(self.shared.views())
        self._publish_records(news)

    def on_mark(self, callback: MarkCallback) -> None:
        """Call ``callback`` with each mark that is news."""
        self._mark_callbacks.append(callback)

    def on_change(self, callback: ChangeCallback) -> None:
        """Call ``callback`` when incarnations come or go."""
        self._change_callbacks.append(callback)

    def on_cache_events(self, callback: EventsCallback) -> None:
        """Call ``callback(endpoint_id, events)`` with each batch of cache events."""
        self._event_callbacks.append(callback)

    # --- following ---------------------------------------------------------------
    async def on_start(self) -> None:
        """Start to ask endpoints, where they can be asked."""
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
        """Run ``step`` again and again, jittered; report outages once."""
        failing = False
        while not self.should_stop:
            try:
                await step()
                failing = False
            except EbonydealError as exc:
                if not failing:
                    logger.warning("Can't read.", what=what, reason=str(exc))
                failing = True
            jitter = self._rng.uniform(_LOWEST_JITTER, _HIGHEST_JITTER)
            await self._clock.sleep(period * jitter)

    async def _read_list(self) -> None:
        if self.ready and not should_read(self._readers(), self._rng.random()):
            return
        asked_at = self._clock.wall()
        listed = await self._instances.endpoints()
        news = self.shared.apply_list(listed, asked_at)
        self.shared.expire(asked_at)
        self.apply_list(self.shared.views())
        self._publish_records(news)

    def _publish_records(self, news: list[EndpointRecord]) -> None:
        """Pass on what is news of the list."""
        if not news:
            return
        call_all(self._record_callbacks, news)

    def apply_list(self, listed: list[EndpointView]) -> None:
        """Take in a whole instance list."""
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
        self._listed = True
        if change:
            call_all(self._change_callbacks, change)

    async def _read_notices(self) -> None:
        assert self._cloud is not None
        if not should_read(
            self._readers(), self._rng.random(), NOTICE_READS_PER_PERIOD
        ):
            return
        notices = await self._cloud.notices(self._notices.last_seq)
        now = self._clock.wall()
        for mark in self._notices.receive(notices, self._table, now):
            self.mark(mark)

    # --- asking endpoints -----------------------------------------------------------
    def polled_endpoints(self) -> list[EndpointView]:
        """Return the endpoints that are asked for load and cache events."""
        watch = self._poll_filter
        views = [v for v in self._table.all() if v.endpoint_id not in self._leaving]
        return views if watch is None else [view for view in views if watch(view)]

    @property
    def wants_cache_events(self) -> bool:
        """Whether anybody listens to cache events."""
        return bool(self._event_callbacks)

    def receive_cache_events(self, endpoint_id: str, events: list[CacheEvent]) -> None:
        """Pass on cache events of one engine."""
        call_all(self._event_callbacks, endpoint_id, events)

    # --- state --------------------------------------------------------------------
    def _apply(self, mark: LeavingMark) -> None:
        """Hold the incarnations that a mark covers, as long as they are listed."""
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


def _one_reader() -> int:
    """Return the number of readers of a process that shares with nobody."""
    return 1
