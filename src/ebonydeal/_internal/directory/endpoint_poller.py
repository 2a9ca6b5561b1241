"""Asks idle endpoints for their load, and engines for their cache events."""

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

POLL_TICK_S = 0.25
_LOWEST_JITTER = 0.5
_HIGHEST_JITTER = 1.5


class PollerPort(Protocol):
    """Who names the endpoints to ask, and hears what they say."""

    def polled_endpoints(self) -> Iterable[EndpointView]:
        """Return the endpoints that matter to this process."""

    def observe_load(self, endpoint_id: str, load: LoadReport) -> None:
        """Take in a load report."""

    def connect_failed(self, endpoint_id: str) -> None:
        """Note a refused connection."""

    def receive_cache_events(self, endpoint_id: str, events: list[CacheEvent]) -> None:
        """Take in cache events."""

    @property
    def wants_cache_events(self) -> bool:
        """Whether anybody listens to cache events."""


class EndpointPoller(Service):
    """Polls endpoints, the longest unheard first, within a bound a second.

    Parameters
    ----------
    cfg : DirectorySettings
        Periods and the bound.
    engine : Engine
        By which endpoints are asked.
    port : AskedPort
        Whom the answers are told.
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
        self._limit = max(1, int(cfg.polls_per_s * POLL_TICK_S))
        self._loads = PollSchedule(cfg.load_period)
        self._events = PollSchedule(cfg.events_period)
        self._event_seq: dict[str, int] = {}

    def record_contact(self, endpoint_id: str) -> None:
        """Note that an endpoint told its load by itself."""
        self._loads.record_contact(endpoint_id, self._clock.now())

    def forget(self, endpoint_id: str) -> None:
        """Drop what is known of an incarnation that is gone."""
        self._loads.forget(endpoint_id)
        self._events.forget(endpoint_id)
        self._event_seq.pop(endpoint_id, None)

    @Service.task
    async def _follow_loads(self) -> None:
        while not self.should_stop:
            await self._poll(self._loads, self._port.polled_endpoints(), self._ask_load)
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
                await self._poll(self._events, engines, self._ask_events)
            await self._pause()

    async def _pause(self) -> None:
        jitter = self._rng.uniform(_LOWEST_JITTER, _HIGHEST_JITTER)
        await self._clock.sleep(POLL_TICK_S * jitter)

    async def _poll(
        self,
        plan: PollSchedule,
        views: Iterable[EndpointView],
        ask: Callable[[EndpointView], Awaitable[None]],
    ) -> None:
        """Ask the endpoints that are due."""
        by_id = {view.endpoint_id: view for view in views}
        now = self._clock.now()
        due = plan.due(by_id, now, self._limit)
        for endpoint_id in due:
            plan.record_contact(endpoint_id, now)
        await asyncio.gather(*(self._try(by_id[item], ask) for item in due))

    async def _try(
        self, view: EndpointView, ask: Callable[[EndpointView], Awaitable[None]]
    ) -> None:
        try:
            await ask(view)
        except EbonydealError as exc:
            if exc.kind is ErrorKind.CONNECT_FAILED:
                self._port.connect_failed(view.endpoint_id)

    async def _ask_load(self, view: EndpointView) -> None:
        self._port.observe_load(view.endpoint_id, await self._engine.load(view))

    async def _ask_events(self, view: EndpointView) -> None:
        after = self._event_seq.get(view.endpoint_id, 0)
        events = await self._engine.cache_events(view, after)
        if events:
            self._event_seq[view.endpoint_id] = max(event.seq for event in events)
            self._port.receive_cache_events(view.endpoint_id, events)
