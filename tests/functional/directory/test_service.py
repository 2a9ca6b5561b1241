import random

from ebonydeal._internal.directory.service import Directory
from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.endpoints import (
    EndpointKind,
    EndpointState,
    LoadReport,
)
from ebonydeal._internal.models.places import Place
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.outside.interfaces import CacheEvent, ReclaimNotice
from ebonydeal._internal.settings.directory import DirectorySettings
from tests.lib.clock import ManualClock
from tests.lib.endpoints import ListedInstances, make_mark, make_view


class Notices:
    """The part of the cloud that the directory reads."""

    def __init__(self) -> None:
        self.list: list[ReclaimNotice] = []

    async def notices(self, after: int) -> list[ReclaimNotice]:
        return [notice for notice in self.list if notice.seq > after]


class Engines:
    """The part of engines that the directory asks."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.asked: list[str] = []
        self.refusing: set[str] = set()
        self.events: dict[str, list[CacheEvent]] = {}

    async def load(self, endpoint):
        self.asked.append(endpoint.endpoint_id)
        if endpoint.endpoint_id in self.refusing:
            raise EbonydealError(ErrorKind.CONNECT_FAILED, "refused")
        return LoadReport(1, 0, 8, 0.5, 40.0, self.clock.wall())

    async def cache_events(self, endpoint, after):
        known = self.events.get(endpoint.endpoint_id, [])
        return [event for event in known if event.seq > after]


class World:
    def __init__(self, *views, **settings) -> None:
        self.clock = ManualClock()
        self.metrics = Metrics()
        self.instances = ListedInstances(*views)
        self.cloud = Notices()
        self.engine = Engines(self.clock)
        self.directory = Directory.from_config(
            DirectorySettings(**settings),
            self.instances,
            self.metrics,
            self.clock,
            random.Random(7),
            cloud=self.cloud,
            engine=self.engine,
        )

    async def __aenter__(self) -> "World":
        await self.directory.start()
        await self.clock.advance(0.0)
        return self

    async def __aexit__(self, *exc) -> None:
        await self.directory.stop()

    def ids(self) -> list[str]:
        return [view.endpoint_id for view in self.directory.views("pool")]


OUTAGE = EbonydealError(ErrorKind.STORE_UNAVAILABLE, "down")


class TestList:
    async def test_last_good_list_is_kept_in_an_outage(self):
        async with World(make_view("a")) as world:
            world.instances.error = OUTAGE
            await world.clock.advance(30.0)
            assert world.ids() == ["a"]
            world.instances.error = None
            world.instances.views = [make_view("b")]
            await world.clock.advance(2.0)
            assert world.ids() == ["b"]

    async def test_changes_are_told(self):
        async with World(make_view("a")) as world:
            changes = []
            world.directory.on_change(changes.append)
            restarted = make_view("a", incarnation=2)
            world.instances.views = [restarted]
            await world.clock.advance(2.0)
            assert [change.added for change in changes] == [(restarted,)]
            removed = [view._replace(load=None) for view in changes[0].removed]
            assert removed == [make_view("a")]

    async def test_fault_in_a_callback_does_not_stop_the_following(self):
        async with World(make_view("a")) as world:
            world.directory.on_change(lambda change: 1 / 0)
            world.instances.views = [make_view("b")]
            await world.clock.advance(2.0)
            world.instances.views = [make_view("c")]
            await world.clock.advance(2.0)
            assert world.ids() == ["c"]


class TestLeaving:
    async def test_mark_sticks_though_the_list_says_ready(self):
        views = [make_view("a"), make_view("b")]
        async with World(*views, mark_retention=60.0) as world:
            assert world.directory.mark(make_mark("a")) is True
            assert world.directory.mark(make_mark("a")) is False
            await world.clock.advance(100.0)
            assert list(world.directory.marks) == []
            assert world.ids() == ["b"]
            assert world.directory.is_leaving(make_view("a"))

    async def test_mark_before_the_list_holds_after_it(self):
        world = World(make_view("a"))
        world.directory.mark(make_mark("a"))
        async with world:
            assert world.ids() == []

    async def test_restarted_incarnation_is_used(self):
        async with World(make_view("a")) as world:
            world.directory.mark(make_mark("a"))
            world.instances.views = [make_view("a", incarnation=2)]
            await world.clock.advance(2.0)
            assert world.ids() == ["a"]
            assert world.directory.is_leaving(make_view("a", incarnation=1))
            assert not world.directory.is_leaving(make_view("a", incarnation=2))

    async def test_older_incarnation_from_a_lagging_list_is_ignored(self):
        async with World(make_view("a", incarnation=2)) as world:
            world.instances.views = [make_view("a", incarnation=1)]
            await world.clock.advance(2.0)
            assert world.directory.get("a").incarnation == 2

    async def test_zone_notice_covers_old_ones_and_spares_new_ones(self):
        other = make_view("c", place=Place("wales", "wales-2"))
        async with World(make_view("a"), make_view("b"), other) as world:
            now = world.clock.wall()
            world.cloud.list = [ReclaimNotice(1, "", "wales-1", now + 5.0)]
            await world.clock.advance(2.0)
            assert world.ids() == ["c"]
            assert world.directory.deadline(make_view("a")) == now + 5.0
            await world.clock.advance(60.0)
            world.instances.views.append(make_view("d"))
            await world.clock.advance(2.0)
            assert world.ids() == ["c", "d"]
            assert world.metrics.value("events", str(Event.LEAVING_MARKED)) == 1

    async def test_gap_in_the_list_does_not_uncover(self):
        async with World(make_view("a")) as world:
            zone_mark = make_mark("", zone="wales-1", at=world.clock.wall())
            world.directory.mark(zone_mark)
            world.instances.views = []
            await world.clock.advance(100.0)
            world.instances.views = [make_view("a")]
            await world.clock.advance(2.0)
            assert world.ids() == []

    async def test_notice_waits_for_an_endpoint_not_listed_yet(self):
        async with World() as world:
            now = world.clock.wall()
            world.cloud.list = [ReclaimNotice(1, "a", "", now + 30.0)]
            await world.clock.advance(3.0)
            world.instances.views = [make_view("a")]
            await world.clock.advance(2.0)
            assert world.ids() == []
            assert world.directory.is_leaving(make_view("a"))

    async def test_notice_of_the_past_does_not_mark_a_new_process(self):
        world = World(make_view("a"))
        past = world.clock.wall() - 60.0
        world.cloud.list = [
            ReclaimNotice(1, "a", "", past),
            ReclaimNotice(2, "", "wales-1", past),
        ]
        async with world:
            await world.clock.advance(3.0)
            assert world.ids() == ["a"]

    async def test_leaving_in_the_list_is_a_mark(self):
        async with World(make_view("a", state=EndpointState.LEAVING)) as world:
            assert world.ids() == []
            assert [mark.source for mark in world.directory.marks] == ["list"]


class TestPolls:
    async def test_idle_endpoints_are_asked_and_busy_ones_are_not(self):
        views = [make_view("idle"), make_view("busy"), make_view("unwatched")]
        async with World(*views, load_period=5.0) as world:
            world.directory.set_poll_filter(
                lambda view: view.endpoint_id != "unwatched"
            )
            await world.clock.advance(1.0)
            world.engine.asked.clear()
            for _ in range(20):
                report = LoadReport(2, 0, 8, 0.5, 40.0, world.clock.wall())
                world.directory.observe_load("busy", report)
                await world.clock.advance(1.0)
            assert set(world.engine.asked) == {"idle"}
            assert 3 <= len(world.engine.asked) <= 4

    async def test_older_report_does_not_replace_a_newer(self):
        async with World(make_view("a")) as world:
            at = world.clock.wall()
            new = LoadReport(5, 1, 8, 0.5, 40.0, at + 2.0)
            world.directory.observe_load("a", new)
            world.directory.observe_load("a", new._replace(running=1, at=at + 1.0))
            assert world.directory.get("a").load == new

    async def test_refusing_endpoint_is_left_out_until_it_answers(self):
        async with World(make_view("a"), make_view("b"), load_period=1.0) as world:
            world.engine.refusing = {"a"}
            await world.clock.advance(6.0)
            assert world.ids() == ["b"]
            world.engine.refusing = set()
            await world.clock.advance(3.0)
            assert world.ids() == ["a", "b"]

    async def test_all_suspected_means_none_is_left_out(self):
        async with World(make_view("a")) as world:
            for _ in range(3):
                world.directory.connect_failed("a")
            assert world.ids() == ["a"]

    async def test_cache_events_are_passed_on_once(self):
        service = make_view("s", kind=EndpointKind.SERVICE)
        async with World(make_view("a"), service) as world:
            heard = []
            world.directory.on_cache_events(lambda i, events: heard.append((i, events)))
            first = [CacheEvent(3, True, "x"), CacheEvent(7, True, "y")]
            world.engine.events = {"a": first, "s": first}
            await world.clock.advance(10.0)
            assert heard == [("a", first)]

    async def test_polls_a_second_are_bounded(self):
        views = [make_view(f"i-{n}") for n in range(300)]
        async with World(*views, load_period=1.0, polls_per_s=40.0) as world:
            await world.clock.advance(5.0)
            world.engine.asked.clear()
            await world.clock.advance(10.0)
            assert 340 <= len(world.engine.asked) <= 460
