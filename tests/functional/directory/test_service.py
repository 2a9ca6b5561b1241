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
    """Fake cloud with the notices that the directory reads."""

    def __init__(self) -> None:
        self.list: list[ReclaimNotice] = []

    async def notices(self, after: int) -> list[ReclaimNotice]:
        return [notice for notice in self.list if notice.seq > after]


class Engines:
    """Fake client of the endpoints that the directory polls."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.polled: list[str] = []
        self.refusing: set[str] = set()
        self.events: dict[str, list[CacheEvent]] = {}

    async def load(self, endpoint):
        self.polled.append(endpoint.endpoint_id)
        if endpoint.endpoint_id in self.refusing:
            raise EbonydealError(ErrorKind.CONNECT_FAILED, "refused")
        return LoadReport(1, 0, 8, 0.5, 40.0, self.clock.wall())

    async def cache_events(self, endpoint, after):
        known = self.events.get(endpoint.endpoint_id, [])
        return [event for event in known if event.seq > after]


class DirectoryFixture:
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

    async def __aenter__(self) -> "DirectoryFixture":
        await self.directory.start()
        await self.clock.advance(0.0)
        return self

    async def __aexit__(self, *exc) -> None:
        await self.directory.stop()

    def ids(self) -> list[str]:
        return [view.endpoint_id for view in self.directory.views("pool")]


OUTAGE = EbonydealError(ErrorKind.STORE_UNAVAILABLE, "down")


class TestList:
    async def test_last_good_list_is_kept_during_an_outage(self):
        async with DirectoryFixture(make_view("a")) as fixture:
            fixture.instances.error = OUTAGE
            await fixture.clock.advance(30.0)
            assert fixture.ids() == ["a"]
            fixture.instances.error = None
            fixture.instances.views = [make_view("b")]
            await fixture.clock.advance(2.0)
            assert fixture.ids() == ["b"]

    async def test_callbacks_receive_changes(self):
        async with DirectoryFixture(make_view("a")) as fixture:
            changes = []
            fixture.directory.on_change(changes.append)
            restarted = make_view("a", incarnation=2)
            fixture.instances.views = [restarted]
            await fixture.clock.advance(2.0)
            assert [change.added for change in changes] == [(restarted,)]
            removed = [view._replace(load=None) for view in changes[0].removed]
            assert removed == [make_view("a")]

    async def test_fault_in_a_callback_does_not_stop_later_updates(self):
        async with DirectoryFixture(make_view("a")) as fixture:
            fixture.directory.on_change(lambda change: 1 / 0)
            fixture.instances.views = [make_view("b")]
            await fixture.clock.advance(2.0)
            fixture.instances.views = [make_view("c")]
            await fixture.clock.advance(2.0)
            assert fixture.ids() == ["c"]


class TestLeaving:
    async def test_endpoint_stays_leaving_though_the_list_says_ready(self):
        views = [make_view("a"), make_view("b")]
        async with DirectoryFixture(*views, mark_retention=60.0) as fixture:
            assert fixture.directory.mark(make_mark("a")) is True
            assert fixture.directory.mark(make_mark("a")) is False
            await fixture.clock.advance(100.0)
            assert list(fixture.directory.marks) == []
            assert fixture.ids() == ["b"]
            assert fixture.directory.is_leaving(make_view("a"))

    async def test_mark_received_before_the_list_applies_to_it(self):
        fixture = DirectoryFixture(make_view("a"))
        fixture.directory.mark(make_mark("a"))
        async with fixture:
            assert fixture.ids() == []

    async def test_restarted_incarnation_is_used(self):
        async with DirectoryFixture(make_view("a")) as fixture:
            fixture.directory.mark(make_mark("a"))
            fixture.instances.views = [make_view("a", incarnation=2)]
            await fixture.clock.advance(2.0)
            assert fixture.ids() == ["a"]
            assert fixture.directory.is_leaving(make_view("a", incarnation=1))
            assert not fixture.directory.is_leaving(make_view("a", incarnation=2))

    async def test_older_incarnation_from_a_lagging_list_is_ignored(self):
        async with DirectoryFixture(make_view("a", incarnation=2)) as fixture:
            fixture.instances.views = [make_view("a", incarnation=1)]
            await fixture.clock.advance(2.0)
            assert fixture.directory.get("a").incarnation == 2

    async def test_zone_notice_covers_old_endpoints_but_not_new_ones(self):
        other = make_view("c", place=Place("wales", "wales-2"))
        async with DirectoryFixture(make_view("a"), make_view("b"), other) as fixture:
            now = fixture.clock.wall()
            fixture.cloud.list = [ReclaimNotice(1, "", "wales-1", now + 5.0)]
            await fixture.clock.advance(2.0)
            assert fixture.ids() == ["c"]
            assert fixture.directory.deadline(make_view("a")) == now + 5.0
            await fixture.clock.advance(60.0)
            fixture.instances.views.append(make_view("d"))
            await fixture.clock.advance(2.0)
            assert fixture.ids() == ["c", "d"]
            assert fixture.metrics.value("events", str(Event.LEAVING_MARKED)) == 1

    async def test_gap_in_the_list_does_not_uncover_an_endpoint(self):
        async with DirectoryFixture(make_view("a")) as fixture:
            zone_mark = make_mark("", zone="wales-1", at=fixture.clock.wall())
            fixture.directory.mark(zone_mark)
            fixture.instances.views = []
            await fixture.clock.advance(100.0)
            fixture.instances.views = [make_view("a")]
            await fixture.clock.advance(2.0)
            assert fixture.ids() == []

    async def test_notice_is_held_until_its_endpoint_is_listed(self):
        async with DirectoryFixture() as fixture:
            now = fixture.clock.wall()
            fixture.cloud.list = [ReclaimNotice(1, "a", "", now + 30.0)]
            await fixture.clock.advance(3.0)
            fixture.instances.views = [make_view("a")]
            await fixture.clock.advance(2.0)
            assert fixture.ids() == []
            assert fixture.directory.is_leaving(make_view("a"))

    async def test_past_notice_does_not_mark_a_new_process(self):
        fixture = DirectoryFixture(make_view("a"))
        past = fixture.clock.wall() - 60.0
        fixture.cloud.list = [
            ReclaimNotice(1, "a", "", past),
            ReclaimNotice(2, "", "wales-1", past),
        ]
        async with fixture:
            await fixture.clock.advance(3.0)
            assert fixture.ids() == ["a"]

    async def test_leaving_state_in_the_list_makes_a_mark(self):
        async with DirectoryFixture(
            make_view("a", state=EndpointState.LEAVING)
        ) as fixture:
            assert fixture.ids() == []
            assert [mark.source for mark in fixture.directory.marks] == ["list"]


class TestPolls:
    async def test_idle_endpoints_are_polled_and_busy_ones_are_not(self):
        views = [make_view("idle"), make_view("busy"), make_view("unwatched")]
        async with DirectoryFixture(*views, load_period=5.0) as fixture:
            fixture.directory.set_poll_filter(
                lambda view: view.endpoint_id != "unwatched"
            )
            await fixture.clock.advance(1.0)
            fixture.engine.polled.clear()
            for _ in range(20):
                report = LoadReport(2, 0, 8, 0.5, 40.0, fixture.clock.wall())
                fixture.directory.observe_load("busy", report)
                await fixture.clock.advance(1.0)
            assert set(fixture.engine.polled) == {"idle"}
            assert 3 <= len(fixture.engine.polled) <= 4

    async def test_older_report_does_not_replace_a_newer_one(self):
        async with DirectoryFixture(make_view("a")) as fixture:
            at = fixture.clock.wall()
            new = LoadReport(5, 1, 8, 0.5, 40.0, at + 2.0)
            fixture.directory.observe_load("a", new)
            fixture.directory.observe_load("a", new._replace(running=1, at=at + 1.0))
            assert fixture.directory.get("a").load == new

    async def test_refusing_endpoint_is_left_out_until_it_responds(self):
        async with DirectoryFixture(
            make_view("a"), make_view("b"), load_period=1.0
        ) as fixture:
            fixture.engine.refusing = {"a"}
            await fixture.clock.advance(6.0)
            assert fixture.ids() == ["b"]
            fixture.engine.refusing = set()
            await fixture.clock.advance(3.0)
            assert fixture.ids() == ["a", "b"]

    async def test_no_endpoint_is_left_out_if_all_are_suspected(self):
        async with DirectoryFixture(make_view("a")) as fixture:
            for _ in range(3):
                fixture.directory.connect_failed("a")
            assert fixture.ids() == ["a"]

    async def test_cache_events_are_passed_on_once(self):
        service = make_view("s", kind=EndpointKind.SERVICE)
        async with DirectoryFixture(make_view("a"), service) as fixture:
            received = []
            fixture.directory.on_cache_events(
                lambda i, events: received.append((i, events))
            )
            first = [CacheEvent(3, True, "x"), CacheEvent(7, True, "y")]
            fixture.engine.events = {"a": first, "s": first}
            await fixture.clock.advance(10.0)
            assert received == [("a", first)]

    async def test_polls_per_second_are_bounded(self):
        views = [make_view(f"i-{n}") for n in range(300)]
        async with DirectoryFixture(
            *views, load_period=1.0, polls_per_s=40.0
        ) as fixture:
            await fixture.clock.advance(5.0)
            fixture.engine.polled.clear()
            await fixture.clock.advance(10.0)
            assert 340 <= len(fixture.engine.polled) <= 460
