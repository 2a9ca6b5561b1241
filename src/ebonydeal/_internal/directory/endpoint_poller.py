"""Polls idle endpoints for their load, and engines for their cache events."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable
from typing import Protocol

from mode import Service

from ebonydeal._internal.directory.poll_schedule import PollSchedule
from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.endpoints import (
    EndpointKind,
    EndpointView,
    LoadReport,
)
from ebonydeal._internal.outside.interfaces import CacheEvent, Engine
from ebonydeal._internal.settings.directory import DirectorySettings
from ebonydeal._internal.utils.clock import Clock

POLL_INTERVAL_S = 0.25
_MIN_JITTER = 0.5
_MAX_JITTER = 1.5


class PollerPort(Protocol):
    """Names the endpoints to poll, and receives the results."""

    def polled_endpoints(self) -> Iterable[EndpointView]:
        """Return the endpoints to poll."""

    def observe_load(self, endpoint_id: str, load: LoadReport) -> None:
        """Record a load report."""

    def connect_failed(self, endpoint_id: str) -> None:
        """Record a refused connection."""

    def receive_cache_events(self, endpoint_id: str, events: list[CacheEvent]) -> None:
        """Handle cache events of one engine."""

    @property
    def wants_cache_events(self) -> bool:
        """Whether anything subscribes to cache events."""


class EndpointPoller(Service):
    """Polls endpoints, longest without contact first, at a limited rate.

    Parameters
    ----------
    cfg : DirectorySettings
        Periods and the limit of polls per second.
    engine : Engine
        Client of the endpoints.
    port : PollerPort
        Names the endpoints and receives the results.
    clock, rng
        Time, and the source of jitter.
    """

    def __init__(
        self,
        cfg: DirectorySettings,
        engine: Engine,
        port: PollerPort,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self._engine = engine
        self._port = port
        self._clock = clock
        self._rng = rng
        self._max_polls = max(1, int(cfg.polls_per_s * POLL_INTERVAL_S))
        self._load_schedule = PollSchedule(cfg.load_period)
        self._event_schedule = PollSchedule(cfg.events_period)
        self._event_seq: dict[str, int] = {}

    def record_contact(self, endpoint_id: str) -> None:
        """Record that an endpoint reported its load."""
        self._load_schedule.record_contact(endpoint_id, self._clock.now())

    def forget(self, endpoint_id: str) -> None:
        """Drop the state of an incarnation that is gone."""
        self._load_schedule.forget(endpoint_id)
        self._event_schedule.forget(endpoint_id)
        self._event_seq.pop(endpoint_id, None)

    @Service.task
    async def _follow_loads(self) -> None:
        while not self.should_stop:
            await self._poll(
                self._load_schedule, self._port.polled_endpoints(), self._poll_load
            )
            await self._pause()

    @Service.task
    async def _follow_events(self) -> None:
        while not self.should_stop:
            if self._port.wants_cache_events:
                engines = [
                    view
                    for view in self._port.polled_endpoints()
                    if view.kind is EndpointKind.ENGINE
                ]
                await self._poll(self._event_schedule, engines, self._poll_events)
            await self._pause()

    async def _pause(self) -> None:
        jitter = self._rng.uniform(_MIN_JITTER, _MAX_JITTER)
        await self._clock.sleep(POLL_INTERVAL_S * jitter)

    async def _poll(
        self,
        schedule: PollSchedule,
        views: Iterable[EndpointView],
        poll_one: Callable[[EndpointView], Awaitable[None]],
    ) -> None:
        """Poll the endpoints that are due."""
        by_id = {view.endpoint_id: view for view in views}
        now = self._clock.now()
        due = schedule.due(by_id, now, self._max_polls)
        for endpoint_id in due:
            schedule.record_contact(endpoint_id, now)
        await asyncio.gather(*(self._try_poll(by_id[item], poll_one) for item in due))

    async def _try_poll(
        self, view: EndpointView, poll_one: Callable[[EndpointView], Awaitable[None]]
    ) -> None:
        try:
            await poll_one(view)
        except EbonydealError as exc:
            if exc.kind is ErrorKind.CONNECT_FAILED:
                self._port.connect_failed(view.endpoint_id)

    async def _poll_load(self, view: EndpointView) -> None:
        self._port.observe_load(view.endpoint_id, await self._engine.load(view))

    async def _poll_events(self, view: EndpointView) -> None:
        after = self._event_seq.get(view.endpoint_id, 0)
        events = await self._engine.cache_events(view, after)
        if events:
            self._event_seq[view.endpoint_id] = max(event.seq for event in events)
            self._port.receive_cache_events(view.endpoint_id, events)
