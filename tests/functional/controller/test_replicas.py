from ebonydeal._internal.benchmarks.spend.simulated_platform import SimulatedCloud
from ebonydeal._internal.controller.values import MANAGER
from ebonydeal._internal.errors import EbonydealError, ErrorKind
from tests.lib.controller_fakes import (
    ControllerCluster,
    make_deployment,
    make_document,
    make_offers,
)


class TestReplicas:
    async def test_replicas_are_spread_over_three_zones(self):
        cluster = ControllerCluster()
        await cluster.rounds(cluster.controller("n1"), 40)
        zones = sorted(item.offer.zone for item in cluster.world.live())
        assert zones == ["z1", "z1", "z2", "z2", "z3", "z3"]
        assert cluster.ready() == 6
        assert {row["state"] for row in cluster.instance_rows()} == {"ready"}

    async def test_reclaimed_zone_is_replaced_elsewhere_before_its_deadline(self):
        cluster = ControllerCluster()
        leader = cluster.controller("n1")
        await cluster.rounds(leader, 40)
        cluster.world.announce_reclaim("z1", 30.0)
        cluster.world.refused_markets.add(("z1", True))
        await cluster.rounds(leader, 6)
        assert cluster.world.stop_zone("z1") == 0
        await cluster.rounds(leader, 40)
        zones = sorted(item.offer.zone for item in cluster.world.live())
        assert zones == ["z2", "z2", "z2", "z2", "z3", "z3", "z3", "z3"]
        assert cluster.ready() == 8

    async def test_dropped_deployment_releases_all_instances(self):
        cluster = ControllerCluster()
        leader = cluster.controller("n1")
        await cluster.rounds(leader, 40)
        cluster.document = make_document(make_deployment(name="other", min_replicas=1))
        await cluster.rounds(leader, 40)
        names = {item.tags["deployment"] for item in cluster.world.live()}
        assert names == {"other"}
        assert {row["deployment"] for row in cluster.instance_rows()} == {"other"}

    async def test_late_start_without_a_row_is_released(self):
        cluster = ControllerCluster()
        leader = cluster.controller("n1")
        await cluster.rounds(leader, 40)
        tags = {"managed_by": MANAGER, "deployment": "kitchen", "fence": "0"}
        late = await SimulatedCloud(cluster.world).start(
            "kitchen:0-x", make_offers()[0], tags
        )
        await cluster.rounds(leader, 3)
        assert cluster.world.find(late.instance_id).stopped_at is not None
        assert len(cluster.instance_rows()) == cluster.ready() == 6

    async def test_untagged_instance_is_not_released(self):
        cluster = ControllerCluster()
        offer = make_offers()[0]
        other = await SimulatedCloud(cluster.world).start("theirs", offer, {})
        await cluster.rounds(cluster.controller("n1"), 10)
        assert cluster.world.find(other.instance_id).stopped_at is None

    async def test_unmanaged_instances_of_the_deployment_are_taken_over(self):
        cluster = ControllerCluster()
        cloud = SimulatedCloud(cluster.world)
        for number in range(6):
            offer = make_offers()[2 * (number % 3)]
            await cloud.start(f"first-{number}", offer, {"deployment": "kitchen"})
        await cluster.rounds(cluster.controller("n1"), 40)
        assert cluster.world.starts == 6
        assert (
            sorted(row["token"][:6] for row in cluster.instance_rows())
            == ["first-"] * 6
        )
        assert cluster.ready() == 6
        assert {row["state"] for row in cluster.instance_rows()} == {"ready"}


class TestLoad:
    async def loaded_cluster(self):
        cluster = ControllerCluster()
        leader = cluster.controller("n1")
        await cluster.rounds(leader, 30)
        for item in cluster.world.live():
            item.running = 8
        await cluster.rounds(leader, 40)
        replicas = cluster.ready()
        assert replicas > 6
        return cluster, replicas

    async def test_new_leader_keeps_ready_replicas(self):
        cluster, replicas = await self.loaded_cluster()
        for item in cluster.world.live():
            item.running = 0
        await cluster.rounds(cluster.controller("n2"), 30)
        assert cluster.table.rows["leases/controller-kitchen"].value["epoch"] == 2
        assert cluster.ready() == replicas

    async def test_unreachable_engines_do_not_count_as_idle(self):
        cluster, replicas = await self.loaded_cluster()

        async def fail_load_reports(when: str, operation: str) -> None:
            if operation == "load":
                raise EbonydealError(ErrorKind.CONNECT_FAILED, "engine unreachable")

        await cluster.rounds(cluster.controller("n2", fail_load_reports), 200)
        assert cluster.ready() == replicas

    async def test_missing_offers_release_no_replicas(self):
        cluster, replicas = await self.loaded_cluster()
        cluster.world.offers = []
        await cluster.rounds(cluster.controller("n2"), 40)
        assert cluster.ready() == replicas

    async def test_replicas_are_released_after_sustained_low_load(self):
        cluster, replicas = await self.loaded_cluster()
        for item in cluster.world.live():
            item.running = 0
        await cluster.rounds(cluster.controller("n2"), 200)
        assert cluster.ready() == 6 < replicas

    async def test_one_empty_cloud_list_drops_no_instance(self):
        cluster, replicas = await self.loaded_cluster()
        leader = cluster.controller("n2")
        await cluster.rounds(leader, 10)
        starts = cluster.world.starts
        machines, cluster.world.machines = cluster.world.machines, {}
        await cluster.rounds(leader, 1, 2.0)
        cluster.world.machines = machines
        await cluster.rounds(leader, 20)
        assert cluster.ready() == replicas
        assert cluster.world.starts == starts

    async def test_taken_over_instances_stay_until_their_load_is_known(self):
        cluster = ControllerCluster()
        cloud = SimulatedCloud(cluster.world)
        for number in range(18):
            offer = make_offers()[2 * (number % 3)]
            await cloud.start(f"first-{number}", offer, {"deployment": "kitchen"})
        leader = cluster.controller("n1")
        await cluster.rounds(leader, 60)
        assert (cluster.ready(), cluster.world.starts) == (18, 18)
        await cluster.rounds(leader, 200)
        assert (cluster.ready(), cluster.world.starts) == (6, 18)
