"""The small pure parts: demand topic, moves, watch set."""

import pytest

from ebonydeal._internal.gateway.demand import DemandTopic
from ebonydeal._internal.gateway.moves import Affected, export_rate, targets
from ebonydeal._internal.gateway.watchset import WatchSet
from ebonydeal._internal.models.endpoints import LoadReport
from ebonydeal._internal.models.places import Place
from ebonydeal._internal.routing.limits import AccountLimits
from ebonydeal._internal.routing.subset import Member
from ebonydeal._internal.settings.routing import AdmissionSettings, RoutingSettings
from tests.lib.clock import ManualClock
from tests.lib.gateway_fakes import MODEL, PLACE, view


def loaded(name: str, running: int, waiting: int = 0):
    return view(name)._replace(load=LoadReport(running, waiting, 8, 0.0, 50.0, 0.0))


class TestDemandTopic:
    def topic(self, name: str, clock: ManualClock) -> DemandTopic:
        limits = AccountLimits.from_config(AdmissionSettings(), name)
        limits.take("kitchen", 10.0, clock.wall())
        return DemandTopic(limits, clock)

    def test_spreads_over_a_third_gateway(self):
        clock = ManualClock()
        one, two, three = (self.topic(f"gw-{n}", clock) for n in (1, 2, 3))
        two.receive(one.answer(two.digest()))
        three.receive(two.answer(three.digest()))
        assert set(three.digest()) == {"gw-1", "gw-2", "gw-3"}
        assert three.digest()["gw-1"] == one.digest()["gw-1"]
        assert two.answer(three.digest()) is None

    async def test_older_report_is_ignored(self):
        clock = ManualClock()
        one, two = self.topic("gw-1", clock), self.topic("gw-2", clock)
        old = one.answer({})
        await clock.advance(2.0)
        two.receive(one.answer({}))
        newest = two.digest()["gw-1"]
        two.receive(old)
        assert two.digest()["gw-1"] == newest

    @pytest.mark.parametrize(
        "payload",
        [None, 7, [7], [{}], [{"gateway": "x", "seq": "y", "demands": {"a": [1]}}]],
    )
    def test_garbage(self, payload):
        topic = self.topic("gw-1", ManualClock())
        topic.receive(payload)
        assert set(topic.digest()) == {"gw-1"}


class TestMoves:
    def test_room_of_targets(self):
        views = (loaded("e1", 3, 1), loaded("e2", 8, 4), view("e3"))
        rooms = {item.view.endpoint_id: item.room for item in targets(views, MODEL)}
        assert rooms == {"e1": 4, "e2": 0, "e3": 4}
        assert targets(views, "other") == []

    def test_export_rate_is_shared_with_other_gateways(self):
        class Attempt:
            class route:
                endpoint = loaded("e1", 8)

        mine = [Affected(None, Attempt)] * 2
        assert export_rate(mine, 4.0) == 1.0

    def test_export_rate_when_the_report_lags(self):
        class Attempt:
            class route:
                endpoint = loaded("e1", 0)

        assert export_rate([Affected(None, Attempt)], 4.0) == 4.0


class TestWatchSet:
    def test_follows_endpoints_and_gateways(self):
        views = [view(f"e{n}") for n in range(20)]
        gateways: list[Member] = []
        told: list[frozenset[str]] = []

        class Views:
            def all_views(self):
                return tuple(views)

        watch = WatchSet(
            Member("gw-1", PLACE),
            lambda: gateways,
            Views(),
            RoutingSettings(subset=4),
            told.append,
            ManualClock(),
        )
        assert all(watch.watches(item) for item in views)
        watch.refresh()
        watch.refresh()
        # Alone, it has to cover all of them.
        assert [len(ids) for ids in told] == [20]
        gateways.extend(Member(f"gw-{n}", Place("wales", "z")) for n in range(2, 9))
        watch.refresh()
        assert 4 <= len(told[-1]) <= 20
        assert {item.endpoint_id for item in views if watch.watches(item)} == told[-1]
