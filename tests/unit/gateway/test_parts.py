"""Small pure parts: demand topic, migration inputs, endpoint subset."""

import pytest

from ebonydeal._internal.gateway.endpoint_subset import EndpointSubset
from ebonydeal._internal.gateway.migration_inputs import (
    AffectedStream,
    export_rate,
    migration_targets,
)
from ebonydeal._internal.gateway.wiring import new_demand_topic
from ebonydeal._internal.models.endpoints import LoadReport
from ebonydeal._internal.models.places import Place
from ebonydeal._internal.routing.limits.account_limits import AccountLimits
from ebonydeal._internal.routing.placement.subset import PlacedProcess
from ebonydeal._internal.settings.routing import AdmissionSettings, RoutingSettings
from tests.lib.clock import ManualClock
from tests.lib.gateway_fakes import MODEL, PLACE, account, view


def loaded(name: str, running: int, waiting: int = 0):
    return view(name)._replace(load=LoadReport(running, waiting, 8, 0.0, 50.0, 0.0))


class TestDemandTopic:
    def topic(self, name: str, clock: ManualClock):
        limits = AccountLimits.from_config(AdmissionSettings(), name)
        limits.take("kitchen", 10.0, clock.wall())
        return new_demand_topic(limits, clock), limits

    def sequence_numbers(self, topic) -> dict[str, int]:
        return {item["gateway"]: item["seq"] for item in topic.digest()}

    def test_demand_spreads_through_another_gateway(self):
        clock = ManualClock()
        (one, _), (two, _), (three, limits) = (
            self.topic(f"gw-{n}", clock) for n in (1, 2, 3)
        )
        report = one.digest()
        two.receive(report)
        three.receive(two.digest())
        assert set(self.sequence_numbers(three)) == {"gw-1", "gw-2", "gw-3"}
        assert self.sequence_numbers(three)["gw-1"] == report[0]["seq"]
        limits.configure({"kitchen": account()._replace(concurrency=3)})
        exceeded = limits.take("kitchen", 10.0, clock.wall())
        assert exceeded is not None and exceeded.limit == "concurrency"

    async def test_older_report_is_ignored(self):
        clock = ManualClock()
        (one, _), (two, _) = self.topic("gw-1", clock), self.topic("gw-2", clock)
        old = one.digest()
        await clock.advance(2.0)
        two.receive(one.digest())
        newest = self.sequence_numbers(two)["gw-1"]
        two.receive(old)
        assert newest > old[0]["seq"]
        assert self.sequence_numbers(two)["gw-1"] == newest

    @pytest.mark.parametrize(
        "payload",
        [None, 7, [7], [{}], [{"gateway": "x", "seq": "y", "demands": {"a": [1]}}]],
    )
    def test_invalid_payload_is_ignored(self, payload):
        topic, _limits = self.topic("gw-1", ManualClock())
        topic.receive(payload)
        assert set(self.sequence_numbers(topic)) == {"gw-1"}


class TestMigrationInputs:
    def test_free_capacity_of_targets(self):
        views = (loaded("e1", 3, 1), loaded("e2", 8, 4), view("e3"))
        rooms = {
            item.view.endpoint_id: item.room for item in migration_targets(views, MODEL)
        }
        assert rooms == {"e1": 4, "e2": 0, "e3": 4}
        assert migration_targets(views, "other") == []

    def test_export_rate_is_shared_with_other_gateways(self):
        class Attempt:
            class route:
                endpoint = loaded("e1", 8)

        mine = [AffectedStream(None, Attempt)] * 2
        assert export_rate(mine, 4.0) == 1.0

    def test_export_rate_when_the_report_lags(self):
        class Attempt:
            class route:
                endpoint = loaded("e1", 0)

        assert export_rate([AffectedStream(None, Attempt)], 4.0) == 4.0


class TestEndpointSubset:
    def test_subset_follows_endpoints_and_gateways(self):
        views = [view(f"e{n}") for n in range(20)]
        gateways: list[PlacedProcess] = []
        changes: list[frozenset[str]] = []

        class AllViews:
            def all_views(self):
                return tuple(views)

        subset = EndpointSubset(
            PlacedProcess("gw-1", PLACE),
            lambda: gateways,
            AllViews(),
            RoutingSettings(subset=4),
            changes.append,
            ManualClock(),
        )
        assert all(subset.includes(item) for item in views)
        subset.refresh()
        subset.refresh()
        # The only gateway must cover all endpoints.
        assert [len(ids) for ids in changes] == [20]
        gateways.extend(
            PlacedProcess(f"gw-{n}", Place("wales", "z")) for n in range(2, 9)
        )
        subset.refresh()
        assert 4 <= len(changes[-1]) <= 20
        assert {item.endpoint_id for item in views if subset.includes(item)} == changes[
            -1
        ]
