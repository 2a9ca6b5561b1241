"""Finds out whether this relay's links to endpoints work, and reports it."""

import asyncio
from collections.abc import Callable, Container
from random import Random

from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.routing.placement.link_health import LinkHealth, LinkState
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.reachability import accepts_connections, any_accepts
from ebonydeal._internal.utils.supervised import SupervisedService

logger = get_logger("relay.links")

# Endpoints in one log line.
_MAX_LOGGED_ENDPOINTS = 4
# Sound endpoints accept within milliseconds, busy ones within some tens.
_FIRST_TESTS_S = 0.1
_MAX_MORE_TESTS = 4


class LinkMonitor(SupervisedService):
    """The state of this relay's links, by service.

    Parameters
    ----------
    view : RelayView
        The listed endpoints.
    clock, rng
        Time; choice of the endpoints for test connections.
    metrics : Metrics
        Counts links lost and restored.
    connect_timeout_s : float
        Timeout of a test connection, seconds.
    """

    def __init__(
        self,
        view: RelayView,
        clock: Clock,
        rng: Random,
        metrics: Metrics,
        connect_timeout_s: float,
    ) -> None:
        super().__init__()
        self._view = view
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._connect_timeout_s = connect_timeout_s
        self._health: dict[str, LinkHealth] = {}
        # Calls that wait until suspect links have been tested.
        self._if_up: dict[str, list[Callable[[], None]]] = {}
        # Set once the first test of suspect links has ended.
        self._tested: dict[str, asyncio.Event] = {}
        # Called with the endpoints whose failures were due to links that are down.
        self.on_lost: Callable[[list[str]], None] = lambda _endpoint_ids: None
        # Called when the services that can't be reached have changed.
        self.on_change: Callable[[], None] = lambda: None

    def state(self, service: str) -> LinkState:
        """Return the state of the links to a service's endpoints."""
        health = self._health.get(service)
        return LinkState.UP if health is None else health.state

    def down(self) -> list[str]:
        """Return the services whose endpoints can't be reached."""
        return sorted(s for s in self._health if self.state(s) is LinkState.DOWN)

    def open_connections_work(self, service: str) -> bool:
        """Return whether replies still come on connections that are open."""
        return self._of(service).open_connections_work

    async def wait_until_tested(self, service: str) -> None:
        """Wait while links are suspect, until their test has ended."""
        if self.state(service) is LinkState.SUSPECT:
            await self._tested[service].wait()

    def call_if_up(self, service: str, call: Callable[[], None]) -> None:
        """Call back if links work: now, or once suspect links have been tested."""
        match self.state(service):
            case LinkState.UP:
                call()
            case LinkState.SUSPECT:
                self._if_up.setdefault(service, []).append(call)
            case LinkState.DOWN:
                pass

    def record_reply(self, member: Member, new_connection: bool) -> None:
        """Record that an endpoint replied."""
        self._of(member.service).record_reply(
            member.endpoint_id, new_connection, self._clock.now()
        )

    def record_failed_connect(self, member: Member) -> None:
        """Record that no connection to an endpoint could be made."""
        health = self._of(member.service)
        listed = len(self._view.of_service(member.service))
        if health.record_failed_connect(member.endpoint_id, listed, self._clock.now()):
            self._start_tests(member.service)

    def record_missing_reply(self, member: Member, since: float) -> None:
        """Record that nothing came from an endpoint since a request was sent to it."""
        health = self._of(member.service)
        listed = len(self._view.of_service(member.service))
        if health.record_missing_reply(
            member.endpoint_id, since, listed, self._clock.now()
        ):
            self._start_tests(member.service)

    def retain_only(self, endpoint_ids: Container[str]) -> None:
        """Drop what is known of other endpoints."""
        for health in self._health.values():
            health.retain_only(endpoint_ids)

    def _of(self, service: str) -> LinkHealth:
        health = self._health.get(service)
        if health is None:
            health = self._health[service] = LinkHealth()
        return health

    def _start_tests(self, service: str) -> None:
        self._tested[service] = asyncio.Event()
        self.run_once(self._test_until_up(service))

    async def _test_until_up(self, service: str) -> None:
        """Test suspect links, and links that are down until they work again."""
        health = self._of(service)
        lost_at: float | None = None
        while not self.should_stop and health.state is not LinkState.UP:
            connected = await self._test(service, health)
            health.record_test(connected, self._clock.now())
            self._end_suspicion(service)
            if health.state is LinkState.DOWN:
                if lost_at is None:
                    lost_at = self._clock.now()
                    self._note_lost(service, health)
                    self.on_change()
                await self._clock.sleep(health.test_interval_s)
        self._end_suspicion(service)
        if lost_at is not None:
            self.on_change()
            self._metrics.count(Event.LINKS_RESTORED)
            logger.info(
                "Links to endpoints work again.",
                service=service,
                after_s=round(self._clock.now() - lost_at, 3),
            )

    def _end_suspicion(self, service: str) -> None:
        """Let those go on that waited for a test."""
        self._tested[service].set()
        for call in self._if_up.pop(service, ()):
            self.call_if_up(service, call)

    def _note_lost(self, service: str, health: LinkHealth) -> None:
        self._metrics.count(Event.LINKS_LOST)
        age = health.reply_age(self._clock.now())
        failed = health.failed_endpoints
        self.on_lost(failed)
        logger.warning(
            "Links to endpoints lost.",
            service=service,
            failed=len(failed),
            endpoints=failed[:_MAX_LOGGED_ENDPOINTS],
            listed=len(self._view.of_service(service)),
            last_reply_age_s=None if age is None else round(age, 3),
            open_connections_work=health.open_connections_work,
        )

    async def _test(self, service: str, health: LinkHealth) -> bool:
        """Return whether any of several endpoints accepts a connection.

        First one that has failed, since it may only have been slow, and one that has
        not. If neither accepts soon, some more: both may have crashed.
        """
        failed = set(health.failed_endpoints)
        listed = list(self._view.of_service(service))
        self._rng.shuffle(listed)
        suspects = [m for m in listed if m.endpoint_id in failed]
        others = [m for m in listed if m.endpoint_id not in failed]
        first = suspects[:1] + others[:1]
        more = (others[1:] + suspects[1:])[:_MAX_MORE_TESTS]
        tests = self._connect_to(first)
        try:
            if await any_accepts(tests, _FIRST_TESTS_S):
                return True
            tests += self._connect_to(more)
            return await any_accepts(tests, None)
        finally:
            for test in tests:
                test.cancel()

    def _connect_to(self, members: list[Member]) -> list[asyncio.Future[bool]]:
        return [
            asyncio.ensure_future(
                accepts_connections(member.address, self._connect_timeout_s)
            )
            for member in members
        ]
