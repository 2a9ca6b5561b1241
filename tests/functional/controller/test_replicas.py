from ebonydeal._internal.benchmarks.spend.world import WorldCloud
from ebonydeal._internal.controller.values import MANAGER
from ebonydeal._internal.errors import EbonydealError, ErrorKind
from tests.lib.controller_fakes import (
    ControllerCluster,
    make_deployment,
    make_document,
    make_offers,
)


class TestReplicas:
    async def test_a_deployment_comes_to_strength_over_three_zones(self):
        site = ControllerCluster()
        await site.rounds(site.controller("n1"), 40)
        zones = sorted(item.offer.zone for item in site.world.live())
        assert zones == ["z1", "z1", "z2", "z2", "z3", "z3"]
        assert site.ready() == 6
        assert {row["state"] for row in site.instance_rows()} == {"ready"}

    async def test_a_reclaimed_zone_is_replaced_elsewhere_before_it_goes(self):
        site = ControllerCluster()
        leader = site.controller("n1")
        await site.rounds(leader, 40)
        site.world.reclaim_zone("z1", 30.0)
        site.world.full.add(("z1", True))
        await site.rounds(leader, 6)
        assert site.world.take_zone("z1") == 0
        await site.rounds(leader, 40)
        zones = sorted(item.offer.zone for item in site.world.live())
        assert zones == ["z2", "z2", "z2", "z2", "z3", "z3", "z3", "z3"]
        assert site.ready() == 8

    async def test_a_dropped_deployment_is_released_whole(self):
        site = ControllerCluster()
        leader = site.controller("n1")
        await site.rounds(leader, 40)
        site.document = make_document(make_deployment(name="other", min_replicas=1))
        await site.rounds(leader, 40)
        names = {item.tags["deployment"] for item in site.world.live()}
        assert names == {"other"}
        assert {row["deployment"] for row in site.instance_rows()} == {"other"}

    async def test_a_start_that_lands_after_its_row_went_is_released(self):
        site = ControllerCluster()
        leader = site.controller("n1")
        await site.rounds(leader, 40)
        tags = {"managed_by": MANAGER, "deployment": "kitchen", "fence": "0"}
        late = await WorldCloud(site.world).start("kitchen:0-x", make_offers()[0], tags)
        await site.rounds(leader, 3)
        assert site.world.find(late.instance_id).stopped_at is not None
        assert len(site.instance_rows()) == site.ready() == 6

    async def test_an_instance_of_somebody_else_is_left_alone(self):
        site = ControllerCluster()
        offer = make_offers()[0]
        other = await WorldCloud(site.world).start("theirs", offer, {})
        await site.rounds(site.controller("n1"), 10)
        assert site.world.find(other.instance_id).stopped_at is None

    async def test_instances_started_for_it_by_others_are_taken_over(self):
        site = ControllerCluster()
        cloud = WorldCloud(site.world)
        for number in range(6):
            offer = make_offers()[2 * (number % 3)]
            await cloud.start(f"first-{number}", offer, {"deployment": "kitchen"})
        await site.rounds(site.controller("n1"), 40)
        assert site.world.starts == 6
        assert (
            sorted(row["token"][:6] for row in site.instance_rows()) == ["first-"] * 6
        )
        assert site.ready() == 6
        assert {row["state"] for row in site.instance_rows()} == {"ready"}


class TestLoad:
    async def busy_site(self):
        site = ControllerCluster()
        leader = site.controller("n1")
        await site.rounds(leader, 30)
        for item in site.world.live():
            item.running = 8
        await site.rounds(leader, 40)
        strength = site.ready()
        assert strength > 6
        return site, strength

    async def test_a_new_leader_keeps_the_strength_it_finds(self):
        site, strength = await self.busy_site()
        for item in site.world.live():
            item.running = 0
        await site.rounds(site.controller("n2"), 30)
        assert site.rows.rows["leases/controller-kitchen"].value["epoch"] == 2
        assert site.ready() == strength

    async def test_silent_engines_are_not_taken_for_idle_ones(self):
        site, strength = await self.busy_site()

        async def silent(when: str, operation: str) -> None:
            if operation == "load":
                raise EbonydealError(ErrorKind.CONNECT_FAILED, "silent")

        await site.rounds(site.controller("n2", silent), 200)
        assert site.ready() == strength

    async def test_no_offers_are_no_reason_to_release(self):
        site, strength = await self.busy_site()
        site.world.offers = []
        await site.rounds(site.controller("n2"), 40)
        assert site.ready() == strength

    async def test_strength_falls_once_the_load_has_been_low_for_long(self):
        site, strength = await self.busy_site()
        for item in site.world.live():
            item.running = 0
        await site.rounds(site.controller("n2"), 200)
        assert site.ready() == 6 < strength

    async def test_one_empty_answer_of_the_cloud_loses_no_instance(self):
        site, strength = await self.busy_site()
        leader = site.controller("n2")
        await site.rounds(leader, 10)
        starts = site.world.starts
        machines, site.world.machines = site.world.machines, {}
        await site.rounds(leader, 1, 2.0)
        site.world.machines = machines
        await site.rounds(leader, 20)
        assert site.ready() == strength
        assert site.world.starts == starts

    async def test_a_fleet_that_is_taken_over_is_not_cut_before_its_load_is_known(self):
        site = ControllerCluster()
        cloud = WorldCloud(site.world)
        for number in range(18):
            offer = make_offers()[2 * (number % 3)]
            await cloud.start(f"first-{number}", offer, {"deployment": "kitchen"})
        leader = site.controller("n1")
        await site.rounds(leader, 60)
        assert (site.ready(), site.world.starts) == (18, 18)
        await site.rounds(leader, 200)
        assert (site.ready(), site.world.starts) == (6, 18)
